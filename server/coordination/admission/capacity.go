package admission

import (
	"slices"
	"time"
)

const (
	// heldMax bounds the time for which the slot of a broken-off request stays counted. A kind of very long requests would
	// otherwise take a slot for as long as its estimate says, which nothing confirms.
	heldMax = 3 * time.Second
	// heldOverdueShare is the part of the mean service time for which the slot of a request stays counted that has run longer
	// than usual already.
	heldOverdueShare = 0.5
	// marginGrowth is the factor by which slots stay counted for longer after a verdict at a target that keeps broken-off
	// requests, marginDecay the one by which that shrinks with each such slot, marginMax its bound. Requests that take many times
	// the mean are broken off most often, and the mean of the others says little about them.
	marginGrowth = 1.5
	marginDecay  = 0.998
	marginMax    = 6
	// recoverFirst is the time after which one slot more is offered again after a verdict. recoverMost bounds it after further
	// verdicts: at a target that holds fewer requests than it states, each attempt to offer more costs a request.
	recoverFirst = 2 * time.Second
	recoverMost  = 32 * time.Second
	// trialsNeeded is the number of requests that have to be answered in a usual time in slots that a target which goes on with
	// broken-off requests would not have had free.
	trialsNeeded = 3
	// failuresNeeded is the number of requests in such slots that have to be left unanswered, with fewer than failureForgotten
	// answered ones after each. One may be slow.
	failuresNeeded   = 2
	failureForgotten = 50
	// trialDeviations is the number of mean deviations beyond the mean service time up to which a time counts as usual.
	trialDeviations = 2
	// trialInterval is the number of breaks of which one is a trial, while slots are kept for the others.
	trialInterval = 8
	// keepsFor is the time without a verdict after which a target that kept broken-off requests is tried again.
	keepsFor = time.Minute
)

// AfterBreak says what a process of the target does with a request whose connection closes before the answer.
type AfterBreak uint8

// What a target does with broken-off requests.
const (
	// AfterBreakUntried means that nothing is known.
	AfterBreakUntried AfterBreak = iota
	// AfterBreakDrops means that the slot is free at once.
	AfterBreakDrops
	// AfterBreakKeeps means that the request goes on, and keeps its slot.
	AfterBreakKeeps
)

// String returns the value as dumped and logged.
func (a AfterBreak) String() string {
	switch a {
	case AfterBreakDrops:
		return "drops"
	case AfterBreakKeeps:
		return "keeps"
	default:
		return "untried"
	}
}

// heldSlot is the slot of a request that was broken off and that the target may still work on.
type heldSlot struct {
	grant Grant
	until time.Time
	// counted is true if no other request gets the slot until then.
	counted bool
}

// capacity is what is known of how many requests a process of the target holds, beyond what it states.
//
// It addresses targets that never answer what they cannot queue: a request that is broken off may still occupy such a target,
// and the next one in its place is lost.
type capacity struct {
	// reduction is the number of slots that were not offered at reducedAt. One of them is offered again after each recovery.
	reduction int
	reducedAt time.Time
	recovery  time.Duration
	// verdictAt is the time of the latest verdict that took a slot away.
	verdictAt time.Time

	afterBreak AfterBreak
	// keptAt is the time of the latest evidence for AfterBreakKeeps.
	keptAt time.Time
	// trials and failures count the requests by which that is learned.
	trials, failures int
	breaks           int
	held             []heldSlot
	// margin multiplies what is added to the mean service time of broken-off requests; 0 counts as 1.
	margin float64
}

func (c *capacity) growMargin() { c.margin = min(max(c.margin, 1)*marginGrowth, marginMax) }

// withheld returns the number of slots that are not offered.
func (c *capacity) withheld(now time.Time) int {
	if c.reduction == 0 {
		return 0
	}
	return max(0, c.reduction-int(now.Sub(c.reducedAt)/c.recovery))
}

// offered returns how many of a number of slots are offered.
func (c *capacity) offered(now time.Time, slots int) int {
	if c.reduction == 0 {
		return slots
	}
	return max(1, slots-c.withheld(now))
}

// reduce takes one slot away after a verdict, at most once in the given time, and reports whether it did.
func (c *capacity) reduce(now time.Time, slots int, least time.Duration) bool {
	if !c.verdictAt.IsZero() && now.Sub(c.verdictAt) < least {
		return false
	}
	withheld := c.withheld(now)
	switch {
	case withheld == 0 && now.Sub(c.verdictAt) > recoverMost:
		c.recovery = recoverFirst
	case withheld < c.reduction:
		// Offering more has failed since.
		c.recovery = min(max(2*c.recovery, recoverFirst), recoverMost)
	}
	c.recovery = max(c.recovery, recoverFirst)
	c.reduction = min(withheld+1, max(slots-1, 0))
	c.reducedAt, c.verdictAt = now, now
	return c.reduction > withheld
}

// recoversAt returns the time at which one slot more is offered.
func (c *capacity) recoversAt(now time.Time) (time.Time, bool) {
	if c.withheld(now) == 0 {
		return time.Time{}, false
	}
	return c.reducedAt.Add((now.Sub(c.reducedAt)/c.recovery + 1) * c.recovery), true
}

// hold notes a broken-off request and reports whether its slot stays counted.
func (c *capacity) hold(now time.Time, g Grant, until time.Time, slots int, unknownKeeps bool) bool {
	if c.afterBreak == AfterBreakKeeps && now.Sub(c.keptAt) >= keepsFor {
		c.afterBreak, c.trials = AfterBreakUntried, 0
	}
	c.breaks++
	counted := c.afterBreak == AfterBreakKeeps
	if c.afterBreak == AfterBreakUntried && unknownKeeps {
		counted = c.breaks%trialInterval != 0
	}
	c.held = slices.DeleteFunc(c.held, func(h heldSlot) bool { return !h.counted && !now.Before(h.until) })
	if !counted && len(c.held) >= slots {
		return false
	}
	c.margin = max(1, marginDecay*c.margin)
	c.held = append(c.held, heldSlot{grant: g, until: until, counted: counted})
	return counted
}

// occupied returns the number of broken-off requests that the target may still work on.
func (c *capacity) occupied(now time.Time) int {
	n := 0
	for _, h := range c.held {
		if now.Before(h.until) {
			n++
		}
	}
	return n
}

// trialPassed notes that a request was answered in a usual time that ran in a slot which a target that keeps broken-off
// requests would not have had free.
func (c *capacity) trialPassed() {
	c.trials++
	if c.trials >= trialsNeeded && c.afterBreak == AfterBreakUntried {
		c.afterBreak = AfterBreakDrops
	}
	if c.trials >= failureForgotten {
		c.failures = 0
	}
}

// trialFailed notes that such a request was left unanswered.
func (c *capacity) trialFailed(now time.Time) {
	c.failures++
	c.trials = 0
	if c.failures >= failuresNeeded {
		c.afterBreak, c.keptAt, c.trials, c.failures = AfterBreakKeeps, now, 0, 0
	}
}

// Grant describes a request that holds a slot.
type Grant struct {
	Kind                 uint32
	Organisation         string
	OrganisationPriority int
}

// End says how a request that held a slot ended.
type End uint8

// Ends of a request.
const (
	// EndNotRun means that the target did not run the request.
	EndNotRun End = iota
	// EndAnswered means that the target is done with the request.
	EndAnswered
	// EndBroken means that the request was broken off while the target may still work on it.
	EndBroken
	// EndUnanswered means that the target was judged not to answer the request.
	EndUnanswered
	// EndUntimed means that the time of the request depended on its caller, because its body was streamed.
	EndUntimed
)

// Release ends a request that has held its slot for some time.
func (s *State) Release(now time.Time, g Grant, elapsed time.Duration, end End) []Action {
	held := false
	if end == EndBroken {
		held = s.capacity.hold(now, g, s.neededUntil(now, g.Kind, elapsed), s.slots, s.settings.HoldBroken)
	}
	switch end {
	case EndAnswered, EndBroken:
		s.Observe(elapsed, g.Kind)
		s.correctCharge(g, elapsed)
	case EndNotRun:
		s.correctCharge(g, 0)
	}
	if held {
		s.Held++
		return s.settle(now)
	}
	s.free(g)
	return s.settle(now)
}

// neededUntil returns the time until which a request probably needs its slot that has held it for some time.
func (s *State) neededUntil(now time.Time, kind uint32, elapsed time.Duration) time.Time {
	times := s.times.of(kind)
	margin := max(s.capacity.margin, 1)
	rest := max(times.beyond(margin)-elapsed, time.Duration(heldOverdueShare*margin*float64(times.mean)))
	return now.Add(min(rest, heldMax))
}

// free makes the slot of a request available.
func (s *State) free(g Grant) {
	s.inUse--
	if q := s.normal.findRanked(g.Kind, rankOf(g.OrganisationPriority)); q != nil && q.inUse > 0 {
		q.inUse--
	}
	if s.exclusiveRunning {
		s.exclusiveRunning = false
		s.resetNormalTurns()
	}
}

// freeHeld makes the slots of broken-off requests available that the target is done with by now.
func (s *State) freeHeld(now time.Time) {
	if len(s.capacity.held) == 0 {
		return
	}
	s.capacity.held = slices.DeleteFunc(s.capacity.held, func(h heldSlot) bool {
		over := !now.Before(h.until)
		if over && h.counted {
			s.free(h.grant)
		}
		return over
	})
}

// capacityWake returns the time at which a slot becomes available without an event; false if there is none.
func (s *State) capacityWake(now time.Time) (wake time.Time, ok bool) {
	for _, h := range s.capacity.held {
		if h.counted && (!ok || h.until.Before(wake)) {
			wake, ok = h.until, true
		}
	}
	if s.Queued() == 0 || s.inUse < s.Slots(now) {
		return wake, ok
	}
	if at, recovers := s.capacity.recoversAt(now); recovers && (!ok || at.Before(wake)) {
		wake, ok = at, true
	}
	return wake, ok
}

// ResetProcess forgets what was learned of the process of the target, which has been replaced. Slots that are counted for
// broken-off requests become available.
func (s *State) ResetProcess(now time.Time) []Action {
	for _, h := range s.capacity.held {
		if h.counted {
			s.free(h.grant)
		}
	}
	s.capacity = capacity{}
	s.inFlight.reset()
	return s.settle(now)
}

// CapacityState is what is known of how many requests a target holds.
type CapacityState struct {
	// Stated is the number of slots that the target states, Offered the number of requests that are sent to it at a time,
	// Held the number of slots that are counted for broken-off requests.
	Stated, Offered, Held int
	AfterBreak            AfterBreak
}

// Capacity returns what is known of how many requests the target holds.
func (s *State) Capacity(now time.Time) CapacityState {
	state := CapacityState{Stated: s.slots, Offered: s.capacity.offered(now, s.slots), AfterBreak: s.capacity.afterBreak}
	for _, h := range s.capacity.held {
		if h.counted {
			state.Held++
		}
	}
	return state
}
