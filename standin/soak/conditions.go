package soak

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"wagtailford.example/standin/platform"
)

// What a target tolerates: from limitStability after it first named a limit, in any limitWindow at most limitExcess times
// what the limit allows and limitSlack more, from the nodes that had passed on a response with the limit limitSpread before.
const (
	limitStability = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitSpread    = 500 * time.Millisecond
	limitExcess    = 1.5
	limitSlack     = 5
)

// entry is the node through which a call was sent, and when it was sent and answered.
type entry struct {
	node           int
	sent, answered time.Time
}

// span is a time during which a node was disturbed; to is zero while that lasts.
type span struct{ from, to time.Time }

// disturb notes that a node is disturbed until the returned function is called.
func (c *check) disturb(node int) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := len(c.disturbed[node])
	c.disturbed[node] = append(c.disturbed[node], span{from: time.Now()})
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.disturbed[node][i].to = time.Now()
	}
}

// wasDisturbed reports whether a node was disturbed between two times.
func (c *check) wasDisturbed(node int, from, to time.Time) bool {
	return slices.ContainsFunc(c.disturbed[node], func(s span) bool {
		return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// isDisturbed is wasDisturbed while the run goes on.
func (c *check) isDisturbed(node int, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wasDisturbed(node, from, to)
}

// told returns when each node first passed on a response to one of the arrivals.
func (c *check) told(arrivals []platform.Arrival) map[int]time.Time {
	first := make(map[int]time.Time)
	for _, a := range arrivals {
		e, known := c.entries[a.RequestID]
		if reply := c.replies[a.RequestID]; !known || reply.Err != nil || reply.ID != a.RequestID {
			continue
		}
		if at, ok := first[e.node]; !ok || e.answered.Before(at) {
			first[e.node] = e.answered
		}
	}
	return first
}

// endConditions compares the arrivals with what the targets had said of themselves.
func (c *check) endConditions(arrivals []platform.Arrival) {
	slices.SortStableFunc(arrivals, func(a, b platform.Arrival) int { return a.At.Compare(b.At) })
	byInstance := make(map[string][]platform.Arrival)
	for _, a := range arrivals {
		byInstance[a.Instance] = append(byInstance[a.Instance], a)
	}
	for _, list := range byInstance {
		for first := 0; first < len(list); {
			last := first
			for last < len(list) && list[last].Limit == list[first].Limit {
				last++
			}
			c.endLimit(list[first:last])
			first = last
		}
		c.endLeaving(list)
	}
}

// endLimit checks arrivals at one target that all got the same limit in their responses.
func (c *check) endLimit(list []platform.Arrival) {
	limit, err := strconv.ParseFloat(list[0].Limit, 64)
	if err != nil {
		return
	}
	named := list[0].At
	toldAt := c.told(list)
	counted := slices.DeleteFunc(slices.Clone(list), func(a platform.Arrival) bool {
		e := c.entries[a.RequestID]
		told, ok := toldAt[e.node]
		return !ok || a.At.Before(told.Add(limitSpread)) || c.wasDisturbed(e.node, told, a.At)
	})
	allowed := int(limitExcess*limit*limitWindow.Seconds()) + limitSlack
	first := 0
	for last, a := range counted {
		for a.At.Sub(counted[first].At) > limitWindow {
			first++
		}
		if n := last - first + 1; n > allowed && a.At.Sub(named) > limitStability {
			c.fault("LIMIT", fmt.Sprintf("%s got %d requests in %v, allowed %d", a.Instance, n, limitWindow, allowed))
			return
		}
	}
}

// endLeaving checks the arrivals at one target after nodes were told that it leaves.
func (c *check) endLeaving(list []platform.Arrival) {
	first := slices.IndexFunc(list, func(a platform.Arrival) bool { return a.StatesLeaving })
	if first < 0 {
		return
	}
	toldAt := c.told(list[first:])
	for _, a := range list[first:] {
		e := c.entries[a.RequestID]
		told, ok := toldAt[e.node]
		if ok && e.sent.After(told.Add(drainBound)) && !c.wasDisturbed(e.node, told, a.At) {
			c.fault("DRAIN", fmt.Sprintf("%s reached %s %v after node %d was told", a.RequestID, a.Instance, e.sent.Sub(told), e.node))
		}
	}
}
