package policysim

import (
	"math/rand/v2"
	"time"

	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/protocol/outcome"
)

// Chain is a run of calls, one after another, through a chain of services in which every node refuses attempts at
// random.
type Chain struct {
	Depth   int
	Calls   int
	Refusal float64
	// GapMS is the time between two calls.
	GapMS int64
	// TimeoutMS is the deadline of a call.
	TimeoutMS int64
	Seed      uint64
	// RepeatFailures lets a caller repeat a call to a service whose own call failed. In the mesh the response of such a
	// service is answered, which is final.
	RepeatFailures bool
	// Decide is the policy; nil for the mesh's own with its budget and attempt counts.
	Decide func(retry.State) retry.Decision
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
		r.budgets = append(r.budgets, retry.NewBudget(retry.DefaultBudget(), 0))
	}
	for range c.Calls {
		r.nowMS += c.GapMS
		r.inCall = 0
		r.reached = 0
		if r.call(0, r.nowMS+c.TimeoutMS, defaultAttempts) {
			r.report.Answered++
		}
		r.report.Needed += r.reached
		if r.inCall >= attemptsMax {
			r.report.Cut++
		}
	}
	return r.report
}

// defaultAttempts is max_attempts of the settings.
const defaultAttempts = 3

// call takes one request from the service at hop to its outcome.
func (r *chainRun) call(hop int, deadlineMS int64, attempts int) bool {
	r.budgets[hop].First(r.nowMS)
	for made := 1; ; made++ {
		result := r.attempt(hop, deadlineMS, attempts-made+1)
		if result == outcome.Answered {
			return true
		}
		if result == outcome.Unknown && !r.RepeatFailures {
			return false
		}
		if r.inCall >= attemptsMax || !r.again(hop, deadlineMS, attempts, made, result) {
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

func (r *chainRun) again(hop int, deadlineMS int64, attempts, made int, result outcome.Outcome) bool {
	state := retry.State{
		Outcome: result, Reason: outcome.ReasonQueueFull, Idempotent: true,
		AttemptsLeft: attempts - made, AttemptsMade: made,
		Remaining:  time.Duration(deadlineMS-r.nowMS) * time.Millisecond,
		BudgetLeft: true,
	}
	if r.Decide != nil {
		return r.Decide(state).Action != retry.GiveUp
	}
	return retry.Next(state).Action != retry.GiveUp && r.budgets[hop].Take(r.nowMS)
}
