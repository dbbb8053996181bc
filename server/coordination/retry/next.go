package retry

import (
	"time"

	"wagtailford.example/server/protocol/outcome"
)

// Action says how a request goes on after an attempt.
type Action uint8

// Actions after an attempt.
const (
	// GiveUp passes the outcome of the attempt on.
	GiveUp Action = iota
	// RetryElsewhere starts a new attempt, at another target if there is one.
	RetryElsewhere
	// RetryOwner starts a new attempt at the owner of the same key after Wait.
	RetryOwner
)

// Why an attempt was not followed by another one.
type Stop uint8

// Causes of GiveUp.
const (
	StopNone Stop = iota
	// StopFinal means that the outcome or its reason rules out another attempt.
	StopFinal
	StopAttempts
	StopDeadline
	StopBudget
)

// State is the input of Next.
type State struct {
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	Idempotent bool
	// OwnerOnly is true if the caller chose the key, so that only its owner may run the request.
	OwnerOnly bool
	// AttemptsLeft is the number of attempts left after this one.
	AttemptsLeft int
	// AttemptsMade counts the attempts so far, for the wait.
	AttemptsMade int
	Remaining    time.Duration
	// BudgetLeft is true if the budget has a token.
	BudgetLeft bool
}

// Decision is the result of Next.
type Decision struct {
	Action Action
	Wait   time.Duration
	Stop   Stop
}

// askAgainWait is the wait before the first repeat at the same owner; it doubles with each attempt. It is about the
// time in which a slot of a busy target becomes free.
const askAgainWait = 20 * time.Millisecond

// waitDoublingsMax limits the doublings of the wait.
const waitDoublingsMax = 5

// Decide decides what follows an attempt. Only a request that certainly did not run, or an idempotent one, is
// attempted again.
func Decide(s State) Decision {
	if !repeatable(s) {
		return Decision{Stop: StopFinal}
	}
	if s.AttemptsLeft <= 0 {
		return Decision{Stop: StopAttempts}
	}
	next := Decision{Action: RetryElsewhere}
	if s.OwnerOnly && !s.Idempotent {
		next = Decision{Action: RetryOwner, Wait: askAgainWait << min(max(s.AttemptsMade-1, 0), waitDoublingsMax)}
	}
	if s.Remaining <= next.Wait {
		return Decision{Stop: StopDeadline}
	}
	if !s.BudgetLeft {
		return Decision{Stop: StopBudget}
	}
	return next
}

func repeatable(s State) bool {
	if s.Outcome == outcome.Answered {
		return false
	}
	if s.Outcome != outcome.RefusedNotRun && !s.Idempotent {
		return false
	}
	switch s.Reason {
	case outcome.ReasonNoRoute, outcome.ReasonMalformed, outcome.ReasonTooLarge, outcome.ReasonDeadline,
		outcome.ReasonDepthExceeded, outcome.ReasonKeyExpired, outcome.ReasonKeyReused, outcome.ReasonCanceled,
		outcome.ReasonSuspect, outcome.ReasonAttemptsExhausted, outcome.ReasonHeaderTooLarge,
		outcome.ReasonRouteChanged:
		return false
	}
	return true
}
