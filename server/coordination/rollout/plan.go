package rollout

import "time"

// plan are the times of a rollout, counted from the order.
type plan struct {
	// prove is when the share has reached its value for the time of proving; ramp is when it begins to rise beyond,
	// finish when all requests are moved, and last when the state has to be final.
	prove, ramp, finish, last time.Duration
	// hold is the least time between two steps.
	hold time.Duration
}

const (
	// wayMax covers the way of the order to the decider and that of the status to the store.
	wayMax = 2500 * time.Millisecond
	// finishMax is the time given to the requests at the old version to end, and to steps that were undone before.
	finishMax = 5 * time.Second
	holdMin   = 300 * time.Millisecond
	holdMax   = 2 * time.Second
	// rampExposure is the part of the exposure that the steps beyond the time of proving use, proveExposure that of the
	// time of proving. The rest covers requests that are not yet reported.
	rampExposure  = 0.35
	proveExposure = 0.4
	// slackExposure is the part of the slack that raises the share under little traffic, where a few nodes have no room for
	// their part.
	slackExposure = 0.8
	// rampSteps is the number of steps beyond the time of proving, the last of which moves all requests, and rampSum the
	// sum of their shares.
	rampSteps = 3
	rampSum   = 1.75
)

// planFor returns the times of a rollout. A version may turn bad at any time before the end of the duration, and the
// exposure allows only a few seconds of all requests. So the share stays low for as long as possible and rises at the end
// only, in steps so short that all of them together stay within the exposure.
func planFor(duration time.Duration, exposure float64) plan {
	last := duration - min(wayMax, duration*15/100)
	finish := last - min(max(duration/8, 500*time.Millisecond), finishMax, last/4)
	hold := time.Duration(rampExposure * exposure * float64(finish) / rampSum)
	hold = min(max(hold, holdMin), holdMax, finish/8)
	return plan{prove: finish / 4, ramp: finish - rampSteps*hold, finish: finish, last: last, hold: hold}
}

// level is a step of a rollout.
type level int

const (
	// levelNone sends nothing: the order is not yet in the store.
	levelNone level = iota
	levelQuarter
	levelHalf
	// levelProve is the largest share before the version has proved itself.
	levelProve
	levelRamp1
	levelRamp2
	levelRamp3
	// levelFinish sends everything to the new version while requests at the old one end.
	levelFinish
)

// wanted returns the level that the plan has at a time after the order.
func (p plan) wanted(elapsed time.Duration) level {
	switch {
	case elapsed >= p.finish:
		return levelFinish
	case elapsed >= p.ramp:
		return levelRamp1 + level((elapsed-p.ramp)/p.hold)
	case elapsed >= p.prove:
		return levelProve
	case elapsed >= p.prove/2:
		return levelHalf
	}
	return levelQuarter
}

// share returns the share of a level. prove is the share of levelProve.
func (l level) share(prove float64) float64 {
	switch l {
	case levelNone:
		return 0
	case levelQuarter:
		return prove / 4
	case levelHalf:
		return prove / 2
	case levelProve:
		return prove
	case levelRamp1:
		return max(0.25, prove)
	case levelRamp2:
		return max(0.5, prove)
	}
	return 1
}
