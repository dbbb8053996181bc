package routing

import (
	"math"
	"sync"

	"wagtailford.example/server/state/config"
)

// goldenRatioStep is the fractional part of the golden ratio. Its multiples are spread evenly over [0, 1), so that even
// a short run of requests follows the weights closely; with 200 random draws, a destination with a weight of 10% is off
// by a fifth.
const goldenRatioStep = math.Phi - 1

// trackedRoutesMax limits the routes whose position is tracked; it is above the routes of any configuration in use. Beyond it, any
// position gives way to a new one.
const trackedRoutesMax = 32768

// Splitter distributes the requests of each route over its destinations by weight. It is safe for concurrent use.
type Splitter struct {
	random func() uint64

	mu        sync.Mutex
	positions map[string]float64
}

// NewSplitter returns a splitter that starts each route at a random position, so that nodes do not select destinations
// in lockstep.
func NewSplitter(random func() uint64) *Splitter {
	return &Splitter{random: random, positions: make(map[string]float64)}
}

// Next returns the destination of the next request of a route, or nil if no destination has a weight. A destination
// without usable targets keeps its share.
func (s *Splitter) Next(route *config.Route) *config.Destination {
	if len(route.Destinations) == 1 {
		return &route.Destinations[0]
	}
	return DestinationAt(route, s.advance(route.Name))
}

// Peek returns what Next would return, without advancing the route. decided is false if Next would start the route at a random
// position, which Peek does not draw; the result is then that of one position among all.
func (s *Splitter) Peek(route *config.Route) (next *config.Destination, decided bool) {
	if len(route.Destinations) == 1 {
		return &route.Destinations[0], true
	}
	s.mu.Lock()
	position, known := s.positions[route.Name]
	s.mu.Unlock()
	return DestinationAt(route, following(position)), known
}

// following returns the position after another one.
func following(position float64) float64 {
	_, next := math.Modf(position + goldenRatioStep)
	return next
}

func (s *Splitter) advance(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	position, known := s.positions[route]
	if !known {
		makeRoom(s.positions, trackedRoutesMax)
		position = float64(s.random()>>11) / (1 << 53)
	}
	position = following(position)
	s.positions[route] = position
	return position
}

// makeRoom removes any one entry of a map that has reached its limit. To remove all would forget what is in use as soon as the limit
// is below it.
func makeRoom[K comparable, V any](m map[K]V, limit int) {
	if len(m) < limit {
		return
	}
	for key := range m {
		delete(m, key)
		return
	}
}

// DestinationAt returns the destination whose interval of the cumulative weights contains a position in [0, 1).
func DestinationAt(route *config.Route, position float64) *config.Destination {
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
