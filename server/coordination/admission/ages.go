package admission

import "time"

const (
	// ageShare is the part of the mean age of the running requests that is a lower bound of their service time. At a
	// target with constant speed, the mean age is at most about the mean service time.
	ageShare = 0.6
	// ageCountMin is the minimum number of running requests for which their mean age is meaningful.
	ageCountMin = 3
)

// runningAges tracks how long the requests of each kind have been running. The mean service time reveals that a target
// has become slow only when the first slow requests have ended, which is too late for the requests sent there
// meanwhile.
type runningAges struct {
	base  time.Time
	kinds map[uint32]runningKind
}

// runningKind summarizes the running requests of a kind.
type runningKind struct {
	count int
	// started is the sum of their start times, relative to the base.
	started time.Duration
}

func newAges(base time.Time) runningAges {
	return runningAges{base: base, kinds: make(map[uint32]runningKind)}
}

func (a *runningAges) start(at time.Time, kind uint32) {
	k := a.kinds[kind]
	k.count++
	k.started += at.Sub(a.base)
	a.kinds[kind] = k
}

func (a *runningAges) end(startedAt time.Time, kind uint32) {
	k := a.kinds[kind]
	k.count--
	k.started -= startedAt.Sub(a.base)
	if k.count <= 0 {
		delete(a.kinds, kind)
		return
	}
	a.kinds[kind] = k
}

// serviceTime returns the service time of a kind: the estimate from requests that ended, or more if the running
// requests are older than requests with that service time become.
func (a *runningAges) serviceTime(now time.Time, kind uint32, estimate time.Duration) time.Duration {
	k := a.kinds[kind]
	if k.count < ageCountMin {
		return estimate
	}
	mean := now.Sub(a.base) - k.started/time.Duration(k.count)
	return max(estimate, time.Duration(ageShare*float64(mean)))
}
