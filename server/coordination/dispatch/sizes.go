package dispatch

import "sync"

const (
	// sizesMax limits the routes whose sizes are remembered; when it is reached all are forgotten.
	sizesMax = 4096
	// sizeWeight is the share of a new observation in the mean.
	sizeWeight = 0.1
)

// sizes remembers how large requests and answers of a route are together. It is safe for concurrent use.
type sizes struct {
	mu    sync.Mutex
	bytes map[string]float64
}

func (s *sizes) observe(route string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, known := s.bytes[route]
	switch {
	case known:
		s.bytes[route] = mean + sizeWeight*(float64(n)-mean)
		return
	case s.bytes == nil || len(s.bytes) >= sizesMax:
		s.bytes = make(map[string]float64)
	}
	s.bytes[route] = float64(n)
}

// expected returns the mean of a route, in bytes; 0 if none is known.
func (s *sizes) expected(route string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.bytes[route])
}
