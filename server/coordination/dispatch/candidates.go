package dispatch

import (
	"slices"
	"sync"

	"wagtailford.example/server/coordination/rollout"
	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

// candidates are the members of a service that may receive new requests, ordered with the localCount members of
// the local failure domain first.
type candidates struct {
	entries    []*endpoint.Entry
	localCount int
}

// candidateCache caches the candidates of each service for one view, so that selecting a target does not scan all
// members of the service. It is safe for concurrent use.
type candidateCache struct {
	mu       sync.Mutex
	view     *view.View
	services map[string]candidates
	// versions are the candidates of the services with an order.
	versions map[versionKey]candidates
}

// versionKey identifies the members of a service that a filter selects.
type versionKey struct{ service, filter string }

func (c *candidateCache) lookup(v *view.View, service string, s *Settings) candidates {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != v {
		c.view = v
		c.services = make(map[string]candidates)
		c.versions = nil
	}
	list, known := c.services[service]
	if !known {
		members := routing.Candidates(v.ByService[service], nil, s.Routing.PanicFraction)
		list.entries, list.localCount = routing.OrderByLocality(members, s.Place, s.Node)
		c.services[service] = list
	}
	return list
}

// lookupVersion returns the candidates among the members whose software version a filter selects.
func (c *candidateCache) lookupVersion(v *view.View, service string, f *rollout.Filter, s *Settings) candidates {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != v {
		c.view = v
		c.services = make(map[string]candidates)
		c.versions = nil
	}
	key := versionKey{service, f.Key}
	list, known := c.versions[key]
	if !known {
		var selected []*endpoint.Entry
		for _, e := range v.ByService[service] {
			if f.Allows(e.SoftwareVersion) {
				selected = append(selected, e)
			}
		}
		members := routing.Candidates(selected, nil, s.Routing.PanicFraction)
		// Whether failure detection is trusted depends on all targets of the version, so the filter by node comes after it.
		members = slices.DeleteFunc(members, func(e *endpoint.Entry) bool { return !f.AllowsNode(e.Node) })
		list.entries, list.localCount = routing.OrderByLocality(members, s.Place, s.Node)
		if c.versions == nil {
			c.versions = make(map[versionKey]candidates)
		}
		c.versions[key] = list
	}
	return list
}
