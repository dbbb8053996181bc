package routing

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

// Candidates returns the members of a service that may serve a request for a destination with the given labels. Suspect
// members are included only if no alive member matches. If the alive share of the service's members is below
// panicFraction, suspect and dead members are included too, because failure detection is more likely to be wrong about
// most of a service than right. Draining members and members that left are never included, and neither are members
// whose target was withdrawn before their node was declared dead: a service that shrinks as planned would otherwise
// offer its requests to nodes that are gone.
func Candidates(members []*endpoint.Entry, labels map[string]string, panicFraction float64) []*endpoint.Entry {
	alive, total := 0, 0
	for _, e := range members {
		if e.Withdrawn {
			continue
		}
		switch e.State {
		case endpoint.Alive:
			alive++
			total++
		case endpoint.Suspect, endpoint.Dead:
			total++
		}
	}
	if float64(alive) < panicFraction*float64(total) {
		return membersInStates(members, labels, endpoint.Alive, endpoint.Suspect, endpoint.Dead)
	}
	if matching := membersInStates(members, labels, endpoint.Alive); len(matching) > 0 {
		return matching
	}
	return membersInStates(members, labels, endpoint.Suspect)
}

func membersInStates(members []*endpoint.Entry, labels map[string]string, states ...endpoint.State) []*endpoint.Entry {
	var matching []*endpoint.Entry
	for _, e := range members {
		if e.Withdrawn || !hasState(e.State, states) || !HasLabels(e, labels) {
			continue
		}
		matching = append(matching, e)
	}
	return matching
}

func hasState(state endpoint.State, states []endpoint.State) bool {
	for _, s := range states {
		if s == state {
			return true
		}
	}
	return false
}

// HasLabels reports whether an entry has every label of a selector.
func HasLabels(e *endpoint.Entry, labels map[string]string) bool {
	for name, value := range labels {
		if have, ok := e.Labels[name]; !ok || have != value {
			return false
		}
	}
	return true
}

// ChooseDestination selects a destination at random by weight among those for which usable returns true. random must be
// uniform over all values. It returns nil if no usable destination has a weight above 0.
func ChooseDestination(route *config.Route, random uint64, usable func(*config.Destination) bool) *config.Destination {
	chosen := make([]*config.Destination, 0, len(route.Destinations))
	var total uint64
	for i := range route.Destinations {
		d := &route.Destinations[i]
		if d.Weight == 0 || !usable(d) {
			continue
		}
		chosen = append(chosen, d)
		total += uint64(d.Weight)
	}
	if total == 0 {
		return nil
	}
	point := random % total
	for _, d := range chosen {
		if point < uint64(d.Weight) {
			return d
		}
		point -= uint64(d.Weight)
	}
	return nil
}

// ServiceForKey returns the service that owns an idempotency key of a caller, by weighted rendezvous hashing over the
// services of the route. The result depends only on the key and the route, so that every retry with a key reaches the
// same service; a random choice could execute a retry at a second service.
func ServiceForKey(route *config.Route, key string) (string, bool) {
	weights := make(map[string]uint64, len(route.Destinations))
	for i := range route.Destinations {
		weights[route.Destinations[i].Service] += uint64(route.Destinations[i].Weight)
	}
	best := ""
	bestScore := math.Inf(-1)
	for service, weight := range weights {
		if weight == 0 {
			continue
		}
		score := rendezvousScore(service, key, weight)
		if score > bestScore || (score == bestScore && service < best) {
			best = service
			bestScore = score
		}
	}
	return best, best != ""
}

// rendezvousScore returns weight / -ln(u), where u is uniform in (0, 1) and derived from the key and the service.
func rendezvousScore(service, key string, weight uint64) float64 {
	hash := xxhash.Sum64String(service + "\x00" + key)
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return float64(weight) / -math.Log(u)
}
