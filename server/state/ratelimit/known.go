// Package ratelimit holds the rate of requests that a target takes from all nodes together: what is known of it, and the
// limiter that enforces it.
//
// Everything here is pure: no clock, socket, random source or log line.
package ratelimit

import (
	"math"
	"time"
)

// Statement is what one response of a target says about its limit.
type Statement struct {
	// Limited is true if the response names a limit, PerSecond, in requests per second.
	Limited   bool
	PerSecond float64
	// Sent is when the request left, and Received when its response had arrived. The response was written in between.
	Sent, Received time.Time
}

// Known is what is known of the limit of one process of a target. The zero value means that no limit is known.
type Known struct {
	Limited   bool
	PerSecond float64
	// Confirmed is when the latest response arrived that supports this limit.
	Confirmed time.Time
}

// Observe returns what is known after a response. Responses overtake each other, so a response that lifts or raises the
// limit counts only if its request was sent after the latest response that confirmed the limit: it was certainly written
// later. A lower limit counts at once.
func (k Known) Observe(s Statement) Known {
	lower := s.Limited && (!k.Limited || s.PerSecond <= k.PerSecond)
	if !lower && !s.Sent.After(k.Confirmed) {
		return k
	}
	if !s.Limited {
		return Known{}
	}
	return Known{Limited: true, PerSecond: s.PerSecond, Confirmed: s.Received}
}

// IsRate reports whether a number can be a limit: a finite number of requests per second, 0 or more.
func IsRate(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 0) }

// Same reports whether both know the same limit.
func (k Known) Same(other Known) bool {
	return k.Limited == other.Limited && k.PerSecond == other.PerSecond
}
