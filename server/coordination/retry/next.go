package retry

import (
	"time"

	"wagtailford.example/server/protocol/outcome"
)

// Action is what follows an attempt.
type Action uint8

// Actions after an attempt.
const (
	// GiveUp returns the outcome of the attempt to the caller.
	GiveUp Action = iota
	// RetryElsewhere starts a new attempt, at another target if there is one.
	RetryElsewhere
	// RetryOwner starts a new attempt at the owner of the same key after Wait.
	RetryOwner
)

// Stop is the reason why no further attempt follows.
type Stop uint8

// Reasons for GiveUp.
const (
	StopNone Stop = iota
	// StopFinal means that the outcome or its reason rules out another attempt.
	StopFinal
	StopAttempts
	StopDeadline
	StopBudget
)

// State is the input of Decide.
type State struct {
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	Idempotent bool
	// OwnerOnly is true if the caller chose the key, so that only the owner of the key may execute the request.
	OwnerOnly bool
	// AttemptsLeft is the number of attempts left after this one.
	AttemptsLeft int
	// AttemptsMade is the number of attempts so far, which determines the wait.
	AttemptsMade int
	Remaining    time.Duration
	// BudgetLeft is true if the retry budget allows another attempt.
	BudgetLeft bool
}

// Decision is the result of Decide.
type Decision struct {
	Action Action
	Wait   time.Duration
	Stop   Stop
}

// retryOwnerWait is the wait before the first retry at the same owner; it doubles with each attempt. It is about the
// time until a slot of a busy target becomes free.
const retryOwnerWait = 20 * time.Millisecond

// waitDoublingsMax limits how often the wait doubles.
const waitDoublingsMax = 5

// Decide determines what follows an attempt. Only a request that is known not to have executed, or an idempotent one,
// is attempted again.
func Decide(s State) Decision {
	if !repeatable(s) {
		return Decision{Stop: StopFinal}
	}
	if s.AttemptsLeft <= 0 {
		return Decision{Stop: StopAttempts}
	}
	next := Decision{Action: RetryElsewhere}
	if s.OwnerOnly && !s.Idempotent {
		next = Decision{Action: RetryOwner, Wait: retryOwnerWait << min(max(s.AttemptsMade-1, 0), waitDoublingsMax)}
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
