// Package retry limits repeated attempts: by a budget, by the deadline and attempts of the call chain, and by
// what is known about the previous attempt.
package retry

import "sync"

// BudgetSettings are the settings of a Budget.
type BudgetSettings struct {
	// Fraction is the number of retries allowed for each first attempt.
	Fraction float64
	// FloorPerSecond is the rate of retries allowed without first attempts, so that a quiet node can retry at all.
	FloorPerSecond float64
	// TokensMax limits the retries that can be saved up.
	TokensMax float64
}

// DefaultBudget is the default budget. The saved tokens are few, so that a sudden outage starts few retries.
func DefaultBudget() BudgetSettings {
	return BudgetSettings{Fraction: 0.1, FloorPerSecond: 1, TokensMax: 10}
}

// Budget is a token bucket that is filled by first attempts and emptied by retries. It is safe for concurrent use.
type Budget struct {
	settings BudgetSettings

	mu     sync.Mutex
	tokens float64
	lastMS int64
}

// NewBudget returns a budget that holds one second of the floor.
func NewBudget(settings BudgetSettings, nowMS int64) *Budget {
	return &Budget{settings: settings, tokens: min(settings.FloorPerSecond, settings.TokensMax), lastMS: nowMS}
}

// First counts a first attempt.
func (b *Budget) First(nowMS int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(nowMS)
	b.tokens = min(b.tokens+b.settings.Fraction, b.settings.TokensMax)
}

// Take takes a token for a retry and reports whether there was one.
func (b *Budget) Take(nowMS int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(nowMS)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
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
