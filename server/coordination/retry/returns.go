package retry

import (
	"sync"
	"time"
)

const (
	// refusalDelay is the delay if no node reported a wait.
	refusalDelay = 100 * time.Millisecond
	// lateReturnMin and lateReturnMax bound the delay of a caller that returns after its objective, as parts of the time
	// that it still waits. Callers make few attempts, so early returns would all meet the same overload.
	lateReturnMin, lateReturnMax = 0.3, 0.5
)

// Refusal describes a request that no node accepted.
type Refusal struct {
	Now, Objective time.Time
	// CallerDeadline is when the caller gives up.
	CallerDeadline time.Time
	// Wait and Service are the shortest wait for a slot and the shortest service time that nodes reported; 0 if none
	// did.
	Wait, Service time.Duration
	// Late is true if the caller has missed the objective already, Overloaded if new requests of its kind are being
	// refused as well.
	Late, Overloaded bool
	// Random is uniformly distributed in [0, 1). Callers that were refused at the same time thus return at different
	// times.
	Random float64
}

// ReturnDelay returns the delay after which a refused caller should return. A caller that can still be served in time
// returns when a slot is expected. In an overload it could not: a queue is as long as the objective of new requests
// permits, and a returning caller has less time left. It then returns once during the rest of its time, when the
// overload may be over.
func ReturnDelay(r Refusal) time.Duration {
	wait := max(r.Wait, refusalDelay)
	wait += time.Duration(r.Random * float64(wait/2))
	if !r.Late && !r.Overloaded && r.Now.Add(wait+r.Service).Before(r.Objective) {
		return wait
	}
	left := float64(r.CallerDeadline.Sub(r.Now))
	return max(wait, time.Duration(left*(lateReturnMin+r.Random*(lateReturnMax-lateReturnMin))))
}

const (
	// refusalWeight is the weight of a new request in the refused share of its kind.
	refusalWeight = 0.1
	// overloadShare is the refused share of the new requests above which only about one in six of the callers that return
	// at once is served in time.
	overloadShare = 0.35
	// forgottenShare is the refused share below which a kind is no longer tracked.
	forgottenShare = 0.01
	// refusalKindsMax limits the kinds that are tracked; it is above the routes of any configuration in use. At the limit all are
	// dropped.
	refusalKindsMax = 32768
)

// RefusedShares tracks which share of the new requests of each kind is refused. The zero value is ready to use; it is
// safe for concurrent use.
type RefusedShares struct {
	mu     sync.Mutex
	byKind map[uint32]float64
}

// Record counts a request that its caller made for the first time.
func (s *RefusedShares) Record(kind uint32, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share, known := s.byKind[kind]
	if !known && !refused {
		return
	}
	if s.byKind == nil || !known && len(s.byKind) >= refusalKindsMax {
		s.byKind = make(map[uint32]float64)
	}
	observed := 0.0
	if refused {
		observed = 1
	}
	share += refusalWeight * (observed - share)
	if !refused && share < forgottenShare {
		delete(s.byKind, kind)
		return
	}
	s.byKind[kind] = share
}

// Overloaded reports whether so many new requests of a kind are refused that a returning caller is unlikely to be served
// in time.
func (s *RefusedShares) Overloaded(kind uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKind[kind] > overloadShare
}
