// Package baseline holds the simple policies that the mesh's own are compared with. Nothing that ships imports it.
package baseline

import (
	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/endpoint"
)

// RoundRobin takes the targets in turn.
type RoundRobin struct {
	next int
}

// Choose returns the next target; nil if there is none.
func (r *RoundRobin) Choose(targets []*endpoint.Entry) *endpoint.Entry {
	if len(targets) == 0 {
		return nil
	}
	e := targets[r.next%len(targets)]
	r.next++
	return e
}

// UnlimitedRetries repeats every attempt that was not answered as long as time remains.
func UnlimitedRetries(s retry.State) retry.Decision {
	if s.Outcome == outcome.Answered {
		return retry.Decision{Stop: retry.StopFinal}
	}
	if s.Remaining <= 0 {
		return retry.Decision{Stop: retry.StopDeadline}
	}
	return retry.Decision{Action: retry.RetryElsewhere}
}

// FixedRetries repeats up to a number of attempts at every hop, with no budget and no count along the chain.
func FixedRetries(attemptsMax int) func(retry.State) retry.Decision {
	return func(s retry.State) retry.Decision {
		if s.AttemptsMade >= attemptsMax {
			return retry.Decision{Stop: retry.StopAttempts}
		}
		return UnlimitedRetries(s)
	}
}
