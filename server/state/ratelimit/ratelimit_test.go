package ratelimit

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_800_000_000_000)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a limit that is lifted or raised by a response which was written before the limit was named and arrives
// after it, and against one that stays once the target no longer names it.
func TestOvertakingResponses(t *testing.T) {
	named := func(perSecond float64, sent, received int) Statement {
		return Statement{Limited: true, PerSecond: perSecond, Sent: at(sent), Received: at(received)}
	}
	none := func(sent, received int) Statement { return Statement{Sent: at(sent), Received: at(received)} }
	cases := []struct {
		name       string
		statements []Statement
		limited    bool
		perSecond  float64
	}{
		{"named", []Statement{named(10, 0, 100)}, true, 10},
		{"older response without a limit", []Statement{named(10, 0, 100), none(50, 200)}, true, 10},
		{"newer response without a limit", []Statement{named(10, 0, 100), none(101, 200)}, false, 0},
		{"lower at once", []Statement{named(10, 0, 100), named(4, 50, 110)}, true, 4},
		{"higher and older", []Statement{named(10, 0, 100), named(40, 90, 200)}, true, 10},
		{"higher and newer", []Statement{named(10, 0, 100), named(40, 110, 200)}, true, 40},
		{"confirmed meanwhile", []Statement{named(10, 0, 100), named(10, 0, 150), none(110, 200)}, true, 10},
		{"none", []Statement{none(0, 100)}, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var k Known
			for _, s := range c.statements {
				k = k.Observe(s)
			}
			assert.Equal(t, k.Limited, c.limited)
			assert.Equal(t, k.PerSecond, c.perSecond)
		})
	}
}

// windowSeconds, and what a target tolerates in it beyond its limit.
const (
	windowSeconds = 4
	excess        = 1.5
	slack         = 5
)

// Guards against more requests in any window than a target with a constant limit tolerates, for any limit and any arrivals,
// also across a restart of the node that enforces it.
func TestLimiterKeepsAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.OneOf(rapid.Float64Range(0, 5), rapid.Float64Range(0, 500)).Draw(t, "limit")
		known := Known{Limited: true, PerSecond: perSecond}
		var l Limiter
		l.Set(at(0), known, rapid.IntRange(0, 40).Draw(t, "running"))
		restart := rapid.IntRange(0, 20_000).Draw(t, "restart")
		var taken []int
		for ms := 0; ms < 20_000; ms += rapid.IntRange(1, 400).Draw(t, "pause") {
			if ms >= restart {
				restart = math.MaxInt
				l = Limiter{}
				l.Set(at(ms), known, 0)
			}
			for range rapid.IntRange(0, 50).Draw(t, "arrivals") {
				if l.Ready(at(ms)) {
					l.Take(at(ms))
					taken = append(taken, ms)
				}
			}
		}
		allowed := int(excess*perSecond*windowSeconds) + slack
		first := 0
		for last := range taken {
			for taken[last]-taken[first] > windowSeconds*1000 {
				first++
			}
			assert.Assert(t, last-first+1 <= allowed, "%d requests in %d s at %v/s, allowed %d", last-first+1, windowSeconds, perSecond, allowed)
		}
	})
}

// Guards against a limit that is enforced and leaves a part of itself unused although requests wait.
func TestLimiterUsesTheLimit(t *testing.T) {
	for _, perSecond := range []float64{0.7, 1.6, 20, 61.3, 400} {
		var l Limiter
		l.Set(at(0), Known{Limited: true, PerSecond: perSecond}, 0)
		now, taken := at(0), 0
		for now.Before(at(60_000)) {
			now = now.Add(l.Delay(now, 1))
			l.Take(now)
			taken++
		}
		assert.Assert(t, float64(taken) >= 0.99*60*perSecond-1, "%d at %v/s", taken, perSecond)
	}
}

// Guards against a limit of 0 that locks a target for good: without a request no response lifts the limit.
func TestLimitOfZeroLetsARequestThrough(t *testing.T) {
	var l Limiter
	l.Set(at(0), Known{Limited: true}, 18)
	assert.Assert(t, !l.Ready(at(0)))
	assert.Assert(t, l.Delay(at(0), 1) <= 3*time.Second, "%v", l.Delay(at(0), 1))
	l.Set(at(100), Known{}, 18)
	assert.Assert(t, l.Ready(at(100)))
}
