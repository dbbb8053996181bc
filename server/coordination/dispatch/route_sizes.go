package dispatch

import "sync"

const (
	// maxTrackedSizes limits the number of tracked routes; it is above the routes of any configuration in use. At the limit all
	// entries are dropped.
	maxTrackedSizes = 32768
	// sizeWeight is the weight of a new observation in the exponentially weighted moving average.
	sizeWeight = 0.1
)

// routeSizes tracks the average combined size of request and response bodies of each route. It is safe for
// concurrent use.
type routeSizes struct {
	mu    sync.Mutex
	bytes map[string]float64
}

func (s *routeSizes) observe(route string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, known := s.bytes[route]
	switch {
	case known:
		s.bytes[route] = mean + sizeWeight*(float64(n)-mean)
		return
	case s.bytes == nil || len(s.bytes) >= maxTrackedSizes:
		s.bytes = make(map[string]float64)
	}
	s.bytes[route] = float64(n)
}

// expected returns the average size for a route in bytes; 0 if there is none.
func (s *routeSizes) expected(route string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.bytes[route])
}
