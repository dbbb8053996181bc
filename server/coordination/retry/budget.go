// Package retry limits repeated attempts: by a budget, by the deadline and attempts of the call chain, and by
// what is known about the previous attempt.
package retry

import (
	"sync"

	"wagtailford.example/server/protocol/outcome"
)

// BudgetSettings are the settings of a Budget.
type BudgetSettings struct {
	// Fraction is the number of retries allowed for each first attempt.
	Fraction float64
	// FloorPerSecond is the rate of retries allowed without first attempts, so that a quiet node can retry at all.
	FloorPerSecond float64
	// TokensMax limits the retries that can be saved up.
	TokensMax float64
	// UnknownCost is the number of tokens that a retry after an unknown outcome takes; a refusal costs one.
	UnknownCost float64
}

// Defaults of the limits on attempts, the first one included. With 10% of the attempts refused, a chain of 15 hops is
// answered in 76% of the calls if the whole chain has 3 attempts, and in more than 99% with these limits.
const (
	// DefaultHopAttempts applies to one hop. Three attempts leave one call in 70 unanswered in that case.
	DefaultHopAttempts = 4
	// DefaultChainAttempts applies to a whole call chain.
	DefaultChainAttempts = 12
)

// DefaultBudget is the default budget. The fraction has to exceed the retries that the refusals need, 0.11 with 10% of
// the attempts refused. The saved tokens are few, so that a sudden outage starts few retries. An attempt with an unknown
// outcome may have run at every hop below, so its repeats multiply along a chain; at the cost of a refusal they keep an
// overloaded service from recovering.
func DefaultBudget() BudgetSettings {
	return BudgetSettings{Fraction: 0.15, FloorPerSecond: 1, TokensMax: 10, UnknownCost: 10}
}

// Budget is a token bucket that is filled by first attempts and emptied by retries. It is safe for concurrent use.
type Budget struct {
	settings BudgetSettings

	mu     sync.Mutex
	tokens float64
	lastMS int64
}

// NewBudget returns a budget that holds one second of the floor, or the tokens for one retry of the more expensive kind
// if those are more, so that a node can retry soon after its start.
func NewBudget(settings BudgetSettings, nowMS int64) *Budget {
	return &Budget{settings: settings, tokens: min(max(settings.FloorPerSecond, settings.UnknownCost), settings.TokensMax), lastMS: nowMS}
}

// RecordRequest counts a first attempt.
func (b *Budget) RecordRequest(nowMS int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(nowMS)
	b.tokens = min(b.tokens+b.settings.Fraction, b.settings.TokensMax)
}

// Take takes the tokens for a retry after an attempt with the outcome o and reports whether there were enough.
func (b *Budget) Take(o outcome.Outcome, nowMS int64) bool {
	cost := 1.0
	if o == outcome.Unknown {
		cost = b.settings.UnknownCost
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(nowMS)
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

// Tokens returns the tokens at hand.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

func (b *Budget) refill(nowMS int64) {
	if nowMS <= b.lastMS {
		return
	}
	b.tokens += float64(nowMS-b.lastMS) / 1000 * b.settings.FloorPerSecond
	b.tokens = min(b.tokens, b.settings.TokensMax)
	b.lastMS = nowMS
}
