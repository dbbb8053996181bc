// Package retry limits retries: by a retry budget, by the deadline and remaining attempts of the call chain, and by the
// outcome of the previous attempt.
package retry

import (
	"sync"

	"wagtailford.example/server/protocol/outcome"
)

// BudgetSettings configures a Budget.
type BudgetSettings struct {
	// Fraction is the number of retries allowed for each first attempt.
	Fraction float64
	// FloorPerSecond is the rate of retries allowed without first attempts, so that a node with little traffic can
	// retry at all.
	FloorPerSecond float64
	// TokensMax limits the retries that can accumulate.
	TokensMax float64
	// UnknownCost is the number of tokens that a retry after an unknown outcome takes; one after a refusal takes a
	// single token.
	UnknownCost float64
}

// Default limits on attempts, including the first one. With 10% of the attempts refused, a chain of 15 hops is answered
// in 76% of the calls if the whole chain has 3 attempts, and in more than 99% with these limits.
const (
	// DefaultHopAttempts applies to one hop. Three attempts leave one call in 70 unanswered in that case.
	DefaultHopAttempts = 4
	// DefaultChainAttempts applies to a whole call chain.
	DefaultChainAttempts = 12
)

// DefaultBudget returns the default settings. The fraction has to exceed the retries that the refusals need, which is
// 0.11 with 10% of the attempts refused. TokensMax is low, so that a sudden outage starts few retries. An attempt with
// an unknown outcome may have executed at every hop below, so its retries multiply along a chain; if they cost as
// little as those after a refusal, they keep an overloaded service from recovering.
func DefaultBudget() BudgetSettings {
	return BudgetSettings{Fraction: 0.15, FloorPerSecond: 1, TokensMax: 10, UnknownCost: 10}
}

// Budget is a token bucket that first attempts fill and retries drain. It is safe for concurrent use.
type Budget struct {
	settings BudgetSettings

	mu     sync.Mutex
	tokens float64
	lastMS int64
}

// NewBudget returns a budget that holds the tokens of one second of the floor or, if that is more, those for one retry
// after an unknown outcome, so that a node can retry soon after its start.
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

// Take takes the tokens for a retry after an attempt with the outcome o. It reports whether there were enough.
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

// Tokens returns the available tokens.
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
