package policysim

import (
	"math"
	"math/rand/v2"
	"time"

	"wagtailford.example/server/coordination/admission"
	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/protocol/outcome"
)

// Returns is a run of callers at one service whose requests take longer for a while, as after a loss of power of all
// VMs. A refused caller returns after Delay, at most returnAttempts times in all.
type Returns struct {
	Delay func(retry.Refusal) time.Duration
	// Load is the share of the slots that new requests use at normal speed.
	Load float64
	// SlowFactor multiplies the service times of requests that start in the SlowMS milliseconds from returnsStartMS.
	SlowFactor, SlowMS float64
	Seed               uint64
}

// ReturnsReport counts the callers by result.
type ReturnsReport struct {
	Callers, InTime, Late, Refused int
}

// Sizes of the model.
const (
	returnSlots      = 60
	returnQueue      = 600
	returnAttempts   = 3
	returnServiceMS  = 160.0
	returnSpread     = 0.5
	returnsStartMS   = 4_000.0
	returnsEndMS     = 14_000.0
	returnObjective  = 400 * time.Millisecond
	routeTimeout     = 1200 * time.Millisecond
	callerTimeout    = 2400 * time.Millisecond
	callerTimeoutVar = 200 * time.Millisecond
)

type returnsRun struct {
	clock
	Returns
	// arrivals draws the callers, random everything else, so that two policies get the same callers.
	arrivals, random *rand.Rand

	state  *admission.State
	shares retry.RefusedShares
	queued map[uint64]*returningCall
	lastID uint64
	report ReturnsReport
}

type returningCall struct {
	firstMS, deadlineMS float64
	attempts            int
}

// RunReturns plays the callers until all of them have a result.
func RunReturns(p Returns) ReturnsReport {
	r := &returnsRun{
		Returns: p, arrivals: rand.New(rand.NewPCG(p.Seed, 5)), random: rand.New(rand.NewPCG(p.Seed, 6)),
		queued: make(map[uint64]*returningCall),
		state:  admission.New(admission.Settings{Slots: returnSlots, Queue: returnQueue}),
	}
	r.after(0, r.arrive)
	r.run()
	return r.report
}

func (r *returnsRun) time(ms float64) time.Time {
	return time.UnixMilli(1_800_000_000_000).Add(time.Duration(ms * float64(time.Millisecond)))
}

// arrive starts one caller and schedules the next one, with exponential gaps.
func (r *returnsRun) arrive() {
	if r.nowMS >= returnsEndMS {
		return
	}
	r.after(r.arrivals.ExpFloat64()*returnServiceMS/(r.Load*returnSlots), r.arrive)
	r.report.Callers++
	timeout := callerTimeout + time.Duration(r.arrivals.Int64N(int64(callerTimeoutVar)))
	r.try(&returningCall{firstMS: r.nowMS, deadlineMS: r.nowMS + milliseconds(timeout)})
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (r *returnsRun) try(c *returningCall) {
	c.attempts++
	now := r.time(r.nowMS)
	elapsed := time.Duration((r.nowMS - c.firstMS) * float64(time.Millisecond))
	objective := returnObjective
	if elapsed < objective {
		objective -= elapsed
	}
	deadline := now.Add(routeTimeout)
	if end := r.time(c.deadlineMS); end.Before(deadline) {
		deadline = end
	}
	r.lastID++
	a := admission.Arrival{
		ID: r.lastID, Kind: 1, Deadline: deadline, Due: now.Add(objective), Late: elapsed >= returnObjective,
	}
	verdict, _ := r.state.Admit(now, a)
	if c.attempts == 1 {
		r.shares.Record(a.Kind, verdict == admission.Refused)
	}
	switch verdict {
	case admission.Granted:
		r.start(c)
	case admission.Queued:
		r.queued[a.ID] = c
	case admission.Refused:
		r.refuse(c)
	}
}

// start draws a service time from a long-tailed distribution.
func (r *returnsRun) start(c *returningCall) {
	tookMS := returnServiceMS * math.Exp(returnSpread*r.random.NormFloat64()-returnSpread*returnSpread/2)
	if r.nowMS >= returnsStartMS && r.nowMS < returnsStartMS+r.SlowMS {
		tookMS *= r.SlowFactor
	}
	r.after(tookMS, func() {
		if r.nowMS-c.firstMS <= milliseconds(returnObjective) {
			r.report.InTime++
		} else {
			r.report.Late++
		}
		r.state.Observe(time.Duration(tookMS*float64(time.Millisecond)), 1)
		r.settle(r.state.ReleaseSlot(r.time(r.nowMS), 1))
	})
}

// settle starts or refuses the requests that no longer wait.
func (r *returnsRun) settle(actions []admission.Action) {
	var refused []*returningCall
	for _, a := range actions {
		c := r.queued[a.ID]
		delete(r.queued, a.ID)
		if a.Reason == outcome.ReasonNone {
			r.start(c)
		} else {
			refused = append(refused, c)
		}
	}
	for _, c := range refused {
		r.refuse(c)
	}
}

func (r *returnsRun) refuse(c *returningCall) {
	now := r.time(r.nowMS)
	due := r.time(c.firstMS).Add(returnObjective)
	delayMS := milliseconds(r.Delay(retry.Refusal{
		Now: now, Objective: due, CallerDeadline: r.time(c.deadlineMS), Wait: r.state.Wait(now, 1), Service: r.state.KindTime(1),
		Late: !now.Before(due), Overloaded: r.shares.Overloaded(1), Random: r.random.Float64(),
	}))
	if c.attempts >= returnAttempts || r.nowMS+delayMS >= c.deadlineMS {
		r.report.Refused++
		return
	}
	r.after(delayMS, func() { r.try(c) })
}
