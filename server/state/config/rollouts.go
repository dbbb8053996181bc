package config

import (
	"cmp"
	"fmt"
	"slices"
)

func compareRollouts(a, b Rollout) int { return cmp.Compare(a.Service, b.Service) }

// PlaceRollouts replaces the orders of rollouts: those that name a service of the content become Rollouts, the others
// UnplacedRollouts.
func (c *Content) PlaceRollouts(orders []Rollout) {
	services := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		services[c.Services[i].Name] = true
	}
	c.Rollouts, c.UnplacedRollouts = nil, nil
	for _, o := range orders {
		if services[o.Service] {
			c.Rollouts = append(c.Rollouts, o)
		} else {
			c.UnplacedRollouts = append(c.UnplacedRollouts, o)
		}
	}
	slices.SortFunc(c.Rollouts, compareRollouts)
	slices.SortFunc(c.UnplacedRollouts, compareRollouts)
}

// checkRollouts returns the first fault in the orders of a sorted content, or "".
func checkRollouts(c *Content) string {
	for _, list := range [][]Rollout{c.Rollouts, c.UnplacedRollouts} {
		for i := range list {
			o := &list[i]
			switch {
			case o.Service == "" || o.TargetVersion == "" || o.Duration <= 0:
				return fmt.Sprintf("incomplete rollout of service %q", o.Service)
			case i > 0 && list[i-1].Service == o.Service:
				return fmt.Sprintf("two rollouts of service %s", o.Service)
			}
		}
	}
	for i := range c.Rollouts {
		if !c.hasService(c.Rollouts[i].Service) {
			return fmt.Sprintf("rollout of unknown service %q", c.Rollouts[i].Service)
		}
	}
	return ""
}
