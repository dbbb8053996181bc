package admission

import "time"

const (
	// ageShare is the part of the mean age of running requests that is a bound of their service time. Of a target with an
	// even speed, the mean age is at most about its mean service time.
	ageShare = 0.6
	// agedMin is the number of running requests from which their ages say something.
	agedMin = 3
)

// ages are how long the requests of each kind have run. The mean service time notices a target that turned slow only when
// the first slow requests have ended, which is late for those that were sent there meanwhile.
type ages struct {
	base  time.Time
	kinds map[uint32]runningKind
}

// runningKind are the running requests of a kind.
type runningKind struct {
	count int
	// started is the sum of their starts after the base.
	started time.Duration
}

func newAges(base time.Time) ages { return ages{base: base, kinds: make(map[uint32]runningKind)} }

func (a *ages) start(at time.Time, kind uint32) {
	k := a.kinds[kind]
	k.count++
	k.started += at.Sub(a.base)
	a.kinds[kind] = k
}

func (a *ages) end(startedAt time.Time, kind uint32) {
	k := a.kinds[kind]
	k.count--
	k.started -= startedAt.Sub(a.base)
	if k.count <= 0 {
		delete(a.kinds, kind)
		return
	}
	a.kinds[kind] = k
}

// slowed returns the service time of a kind: the estimate from requests that ended, or more if those that run are older than
// such requests get.
func (a *ages) slowed(now time.Time, kind uint32, estimate time.Duration) time.Duration {
	k := a.kinds[kind]
	if k.count < agedMin {
		return estimate
	}
	mean := now.Sub(a.base) - k.started/time.Duration(k.count)
	return max(estimate, time.Duration(ageShare*float64(mean)))
}
