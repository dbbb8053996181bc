package ratelimit

import "time"

const (
	// RateMin is the lowest rate, in requests per second, at which requests are let through. A target that names less still
	// gets a request now and then: without one there would be no response that lifts the limit.
	RateMin = 0.5
	// burstTime is the time for which an unused part of the limit can be used later. It evens out the arrivals of requests.
	burstTime = 500 * time.Millisecond
	// chargedTime bounds what the requests that run when a limit is first named cost of it.
	chargedTime = time.Second
	// tokenRounding makes up for the rounding of times to nanoseconds.
	tokenRounding = 1e-6
)

// Limiter is a token bucket for requests to one target. The zero value limits nothing; it must not be used concurrently.
type Limiter struct {
	limited bool
	// rate is in requests per second; tokens is the number of requests that may start, negative after a limit was named
	// while more requests ran.
	rate, tokens float64
	updated      time.Time
}

// Limited reports whether a limit is in force.
func (l *Limiter) Limited() bool { return l.limited }

// Rate returns the rate at which requests are let through, in requests per second; 0 without a limit.
func (l *Limiter) Rate() float64 { return l.rate }

// Set takes over what is known of the limit. running is the number of requests at the target: when the limit is first
// named they count against it.
func (l *Limiter) Set(now time.Time, k Known, running int) {
	if !k.Limited {
		*l = Limiter{}
		return
	}
	rate := max(k.PerSecond, RateMin)
	if !l.limited {
		charged := min(float64(running), rate*chargedTime.Seconds())
		*l = Limiter{limited: true, rate: rate, tokens: -charged, updated: now}
		return
	}
	l.advance(now)
	l.rate = rate
	l.tokens = min(l.tokens, l.burst())
}

// Ready reports whether a request may start.
func (l *Limiter) Ready(now time.Time) bool { return l.Delay(now, 1) == 0 }

// Full reports whether the unused part of the limit would be lost unless a request starts now.
func (l *Limiter) Full(now time.Time) bool { return l.UntilFull(now) == 0 }

// UntilFull returns the time until Full.
func (l *Limiter) UntilFull(now time.Time) time.Duration { return l.Delay(now, l.burst()) }

// Take counts a request that starts.
func (l *Limiter) Take(now time.Time) {
	if !l.limited {
		return
	}
	l.advance(now)
	l.tokens--
}

// Delay returns the time until a number of requests may have started one after the other; 0 without a limit.
func (l *Limiter) Delay(now time.Time, requests float64) time.Duration {
	if !l.limited {
		return 0
	}
	l.advance(now)
	missing := requests - l.tokens
	if missing <= tokenRounding {
		return 0
	}
	return max(time.Duration(missing/l.rate*float64(time.Second)), 1)
}

// burst is the largest number of requests that may start at once.
func (l *Limiter) burst() float64 { return max(l.rate*burstTime.Seconds(), 1) }

func (l *Limiter) advance(now time.Time) {
	if passed := now.Sub(l.updated); passed > 0 {
		l.tokens = min(l.tokens+passed.Seconds()*l.rate, l.burst())
		l.updated = now
	}
}
