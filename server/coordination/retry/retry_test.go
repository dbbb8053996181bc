package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
)

// TestBudget guards that retries stay a fraction of first attempts beyond the floor.
func TestBudget(t *testing.T) {
	b := NewBudget(BudgetSettings{Fraction: 0.1, FloorPerSecond: 1, TokensMax: 5, UnknownCost: 1}, 0)
	assert.Assert(t, b.Take(outcome.RefusedNotRun, 0))
	assert.Assert(t, !b.Take(outcome.RefusedNotRun, 0))
	assert.Assert(t, b.Take(outcome.RefusedNotRun, 1000))
	retries := 0
	for range 1000 {
		b.RecordRequest(1000)
		if b.Take(outcome.RefusedNotRun, 1000) {
			retries++
		}
	}
	assert.Assert(t, retries >= 99 && retries <= 100, "%d retries", retries)
	for range 1000 {
		b.RecordRequest(500)
	}
	assert.Equal(t, b.Tokens(), 5.0)
	b = NewBudget(BudgetSettings{TokensMax: 10, UnknownCost: 10}, 0)
	assert.Assert(t, b.Take(outcome.Unknown, 0))
	assert.Assert(t, !b.Take(outcome.RefusedNotRun, 0))
}

// TestParseChain guards that a header never extends what the hop allows.
func TestParseChain(t *testing.T) {
	limits := Limits{Timeout: time.Second, Attempts: 3, ChainAttempts: 12}
	for _, c := range []struct {
		deadline, attempts, depth string
		want                      Chain
		malformed                 string
	}{
		{"", "", "", Chain{time.Second, 3, 12, 0}, ""},
		{"200", "2", "15", Chain{200 * time.Millisecond, 3, 2, 15}, ""},
		{"999999999999999", "99", "99999999999", Chain{time.Second, 3, 12, maxInt32}, ""},
		{"0", "0", "0", Chain{0, 3, 0, 0}, ""},
		{"-1", "", "", Chain{}, HeaderDeadline},
		{"", "x", "", Chain{}, HeaderAttempts},
		{"", "", "1e3", Chain{}, HeaderDepth},
	} {
		headers := map[string]string{HeaderDeadline: c.deadline, HeaderAttempts: c.attempts, HeaderDepth: c.depth}
		chain, err := ParseChain(func(name string) string { return headers[name] }, limits)
		if c.malformed != "" {
			var malformed *MalformedError
			assert.Assert(t, asMalformed(err, &malformed) && malformed.Header == c.malformed, "%v", err)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, chain, c.want)
	}
}

func asMalformed(err error, target **MalformedError) bool {
	malformed, ok := err.(*MalformedError)
	*target = malformed
	return ok
}

// TestNext guards that only requests that did not run, or idempotent ones, are attempted again.
func TestNext(t *testing.T) {
	base := State{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonQueueFull, AttemptsLeft: 1, AttemptsMade: 1, Remaining: time.Second, BudgetLeft: true}
	for _, c := range []struct {
		name   string
		change func(*State)
		want   Decision
	}{
		{"refused", func(*State) {}, Decision{Action: RetryElsewhere}},
		{"refused, caller key", func(s *State) { s.OwnerOnly = true }, Decision{Action: RetryOwner, Wait: askAgainWait}},
		{"third attempt, caller key", func(s *State) { s.OwnerOnly = true; s.AttemptsMade = 3 }, Decision{Action: RetryOwner, Wait: 4 * askAgainWait}},
		{"wait exceeds deadline", func(s *State) { s.OwnerOnly = true; s.Remaining = time.Millisecond }, Decision{Stop: StopDeadline}},
		{"unknown", func(s *State) { s.Outcome = outcome.Unknown }, Decision{Stop: StopFinal}},
		{"unknown idempotent", func(s *State) { s.Outcome = outcome.Unknown; s.Idempotent = true }, Decision{Action: RetryElsewhere}},
		{"answered idempotent", func(s *State) { s.Outcome = outcome.Answered; s.Idempotent = true }, Decision{Stop: StopFinal}},
		{"malformed", func(s *State) { s.Reason = outcome.ReasonMalformed }, Decision{Stop: StopFinal}},
		{"canceled", func(s *State) { s.Reason = outcome.ReasonCanceled }, Decision{Stop: StopFinal}},
		{"attempts used up", func(s *State) { s.AttemptsLeft = 0 }, Decision{Stop: StopAttempts}},
		{"deadline passed", func(s *State) { s.Remaining = 0 }, Decision{Stop: StopDeadline}},
		{"budget empty", func(s *State) { s.BudgetLeft = false }, Decision{Stop: StopBudget}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := base
			c.change(&s)
			assert.Equal(t, Decide(s), c.want)
		})
	}
}
