package policysim

import (
	"math/rand/v2"
	"time"

	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/protocol/outcome"
)

// RetryPolicy is what limits the retries of a run. Without Decide the mesh's own decision applies with these limits.
type RetryPolicy struct {
	Budget retry.BudgetSettings
	// HopAttempts limits the attempts of one hop, ChainAttempts those of the whole chain.
	HopAttempts   int
	ChainAttempts int
	// RepeatFailures lets a caller repeat a call to a service whose own call failed. In the mesh the response of such a
	// service is answered, which is final.
	RepeatFailures bool
	// Decide replaces the mesh's decision, its budget and its attempt counts.
	Decide func(retry.State) retry.Decision
}

// MeshPolicy is the policy of the mesh with its defaults.
func MeshPolicy() RetryPolicy {
	return RetryPolicy{
		Budget:        retry.DefaultBudget(),
		HopAttempts:   retry.DefaultHopAttempts,
		ChainAttempts: retry.DefaultChainAttempts,
	}
}

// again reports whether another attempt follows. made counts the attempts at this hop.
func (p *RetryPolicy) again(result outcome.Outcome, chain retry.Chain, made int, remaining time.Duration, budget *retry.Budget, nowMS int64) bool {
	if result == outcome.Unknown && !p.RepeatFailures {
		return false
	}
	state := retry.State{
		Outcome: result, Reason: outcome.ReasonQueueFull, Idempotent: true,
		AttemptsLeft: chain.RemainingAttempts(made), AttemptsMade: made, Remaining: remaining, BudgetLeft: true,
	}
	if p.Decide != nil {
		return p.Decide(state).Action != retry.GiveUp
	}
	return retry.Decide(state).Action != retry.GiveUp && budget.Take(result, nowMS)
}

// Chain is a run of calls, one after another, through a chain of services in which every node refuses attempts at
// random.
type Chain struct {
	RetryPolicy
	Depth   int
	Calls   int
	Refusal float64
	// GapMS is the time between two calls.
	GapMS int64
	// TimeoutMS is the deadline of a call.
	TimeoutMS int64
	Seed      uint64
}

// ChainReport is the result of a run.
type ChainReport struct {
	Attempts int
	// Needed is the number of attempts that the services reached would have needed without refusals.
	Needed   int
	Answered int
	// Cut is the number of calls that the model ended at attemptsMax.
	Cut int
}

// attemptsMax ends a call in the model, since unlimited policies would not end it within the deadline of a chain.
const attemptsMax = 20_000

type chainRun struct {
	Chain
	random  *rand.Rand
	budgets []*retry.Budget
	nowMS   int64
	report  ChainReport
	inCall  int
	reached int
}

// RunChain plays the calls.
func RunChain(c Chain) ChainReport {
	r := &chainRun{Chain: c, random: rand.New(rand.NewPCG(c.Seed, 2))}
	for range c.Depth {
		r.budgets = append(r.budgets, retry.NewBudget(c.Budget, 0))
	}
	for range c.Calls {
		r.nowMS += c.GapMS
		r.inCall = 0
		r.reached = 0
		if r.call(0, r.nowMS+c.TimeoutMS, c.ChainAttempts) {
			r.report.Answered++
		}
		r.report.Needed += r.reached
		if r.inCall >= attemptsMax {
			r.report.Cut++
		}
	}
	return r.report
}

// call takes one request from the service at hop to its outcome.
func (r *chainRun) call(hop int, deadlineMS int64, attempts int) bool {
	r.budgets[hop].RecordRequest(r.nowMS)
	chain := retry.Chain{HopAttempts: r.HopAttempts, Attempts: attempts}
	for made := 1; ; made++ {
		result := r.attempt(hop, deadlineMS, chain.DownstreamAttempts(made))
		if result == outcome.Answered {
			return true
		}
		remaining := time.Duration(deadlineMS-r.nowMS) * time.Millisecond
		if r.inCall >= attemptsMax || !r.again(result, chain, made, remaining, r.budgets[hop], r.nowMS) {
			return false
		}
	}
}

// attempt sends once and takes one millisecond. The outcome is unknown if the service ran and its own call failed.
func (r *chainRun) attempt(hop int, deadlineMS int64, attempts int) outcome.Outcome {
	r.nowMS++
	r.inCall++
	r.report.Attempts++
	r.reached = max(r.reached, hop+1)
	if r.random.Float64() < r.Refusal {
		return outcome.RefusedNotRun
	}
	if hop+1 == r.Depth || r.call(hop+1, deadlineMS, attempts) {
		return outcome.Answered
	}
	return outcome.Unknown
}
