package policysim

import (
	"math/rand/v2"
	"time"

	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/protocol/outcome"
)

// Overload is a run of overlapping calls through a chain of services of which one has a limited capacity. The calls
// arrive at Before times the capacity, then at Peak times, then at Before times again.
type Overload struct {
	RetryPolicy
	Depth int
	// Limited is the hop with the limited capacity, counted from 0.
	Limited int
	// Nodes is the number of nodes of every service, each with its own budget.
	Nodes        int
	Before, Peak float64
	// PhaseMS is the length of each of the three phases.
	PhaseMS   float64
	TimeoutMS float64
	Seed      uint64
}

// Costs of the limited service in milliseconds of its time. A refusal costs a part of a served request, for reading it
// and answering; without that cost, retries could not reduce what the service serves.
const (
	servedCostMS  = 2.0
	refusedCostMS = 0.4
	// backlogMaxMS is the work that waits at the limited service; it refuses what exceeds that.
	backlogMaxMS = 100.0
	// capacityPerMS is what the limited service serves without refusals.
	capacityPerMS = 1 / servedCostMS
	phases        = 3
)

// Phase is what became of the calls that arrived in one phase.
type Phase struct {
	Calls    int
	Answered int
	// Attempts are the attempts at the limited service.
	Attempts int
}

// OverloadReport is the result of a run: before, during and after the peak.
type OverloadReport [phases]Phase

type overloadRun struct {
	clock
	Overload
	random  *rand.Rand
	budgets [][]*retry.Budget
	// busyUntilMS is when the limited service has done its backlog.
	busyUntilMS float64
	report      OverloadReport
}

// RunOverload plays the calls until all of them have ended.
func RunOverload(o Overload) OverloadReport {
	r := &overloadRun{Overload: o, random: rand.New(rand.NewPCG(o.Seed, 3))}
	for range o.Depth {
		var nodes []*retry.Budget
		for range o.Nodes {
			nodes = append(nodes, retry.NewBudget(o.Budget, 0))
		}
		r.budgets = append(r.budgets, nodes)
	}
	r.after(0, r.arrive)
	r.run()
	return r.report
}

// arrive starts one call and schedules the next one, with exponential gaps.
func (r *overloadRun) arrive() {
	n := int(r.nowMS / r.PhaseMS)
	if n >= phases {
		return
	}
	load := r.Before
	if n == 1 {
		load = r.Peak
	}
	r.after(r.random.ExpFloat64()/(load*capacityPerMS), r.arrive)
	phase := &r.report[n]
	phase.Calls++
	r.call(&hopCall{phase: phase, deadlineMS: r.nowMS + r.TimeoutMS, chain: r.chain(r.ChainAttempts)}, func(ok bool) {
		if ok {
			phase.Answered++
		}
	})
}

func (r *overloadRun) chain(attempts int) retry.Chain {
	return retry.Chain{HopAttempts: r.HopAttempts, Attempts: attempts}
}

// hopCall is a call on its way from one hop.
type hopCall struct {
	phase      *Phase
	hop        int
	deadlineMS float64
	chain      retry.Chain
	budget     *retry.Budget
	made       int
}

func (r *overloadRun) call(c *hopCall, done func(ok bool)) {
	c.budget = r.budgets[c.hop][r.random.IntN(r.Nodes)]
	c.budget.RecordRequest(int64(r.nowMS))
	r.try(c, done)
}

func (r *overloadRun) try(c *hopCall, done func(ok bool)) {
	c.made++
	r.after(latencyMS, func() {
		r.receive(c, func(result outcome.Outcome) { r.after(latencyMS, func() { r.end(c, result, done) }) })
	})
}

// receive lets the service at the hop take or refuse an attempt. The limited service works off what it took even if
// the caller has given up meanwhile.
func (r *overloadRun) receive(c *hopCall, reply func(outcome.Outcome)) {
	if c.hop != r.Limited {
		r.serve(c, reply)
		return
	}
	c.phase.Attempts++
	r.busyUntilMS = max(r.busyUntilMS, r.nowMS)
	if r.busyUntilMS-r.nowMS > backlogMaxMS {
		r.busyUntilMS += refusedCostMS
		reply(outcome.RefusedNotRun)
		return
	}
	r.busyUntilMS += servedCostMS
	r.after(r.busyUntilMS-r.nowMS, func() { r.serve(c, reply) })
}

// serve makes the call to the next service, if there is one.
func (r *overloadRun) serve(c *hopCall, reply func(outcome.Outcome)) {
	if r.nowMS >= c.deadlineMS {
		reply(outcome.Unknown)
		return
	}
	if c.hop+1 == r.Depth {
		reply(outcome.Answered)
		return
	}
	next := &hopCall{phase: c.phase, hop: c.hop + 1, deadlineMS: c.deadlineMS, chain: r.chain(c.chain.DownstreamAttempts(c.made))}
	r.call(next, func(ok bool) {
		if ok {
			reply(outcome.Answered)
			return
		}
		reply(outcome.Unknown)
	})
}

func (r *overloadRun) end(c *hopCall, result outcome.Outcome, done func(ok bool)) {
	if result == outcome.Answered {
		done(r.nowMS < c.deadlineMS)
		return
	}
	remaining := time.Duration((c.deadlineMS - r.nowMS) * float64(time.Millisecond))
	if !r.again(result, c.chain, c.made, remaining, c.budget, int64(r.nowMS)) {
		done(false)
		return
	}
	r.try(c, done)
}
