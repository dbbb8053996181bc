package routing

import (
	"math"
	"sync"

	"wagtailford.example/server/state/config"
)

// goldenStep is the fractional part of the golden ratio. Multiples of it spread over [0, 1) with the least gaps, so
// that every short run of draws is close to the weights; 200 random draws of a part of 10% are off by a fifth.
const goldenStep = math.Phi - 1

// splitsMax limits the routes whose position is kept; when it is reached all start anew.
const splitsMax = 4096

// Splitter divides the requests of each route over its destinations by their weights. It is safe for concurrent use.
type Splitter struct {
	random func() uint64

	mu        sync.Mutex
	positions map[string]float64
}

// NewSplitter returns a splitter that starts each route at a random position, so that nodes do not draw in step.
func NewSplitter(random func() uint64) *Splitter {
	return &Splitter{random: random, positions: make(map[string]float64)}
}

// Next returns the destination of the next request of a route; nil if no destination has a weight. A destination
// without usable targets keeps its part.
func (s *Splitter) Next(route *config.Route) *config.Destination {
	if len(route.Destinations) == 1 {
		return &route.Destinations[0]
	}
	return PartAt(route, s.advance(route.Name))
}

func (s *Splitter) advance(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	position, known := s.positions[route]
	if !known {
		if len(s.positions) >= splitsMax {
			clear(s.positions)
		}
		position = float64(s.random()>>11) / (1 << 53)
	}
	_, position = math.Modf(position + goldenStep)
	s.positions[route] = position
	return position
}

// PartAt returns the destination whose part of the weights covers a position in [0, 1).
func PartAt(route *config.Route, position float64) *config.Destination {
	var total uint64
	for i := range route.Destinations {
		total += uint64(route.Destinations[i].Weight)
	}
	point := position * float64(total)
	for i := range route.Destinations {
		d := &route.Destinations[i]
		if point < float64(d.Weight) {
			return d
		}
		point -= float64(d.Weight)
	}
	return nil
}
