package routing

import (
	"time"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/ratelimit"
)

// TargetCondition is what a target has stated of itself in the responses that this node received.
type TargetCondition struct {
	// Limit is the limit of the process LimitedTarget of the target.
	Limit         ratelimit.Known
	LimitedTarget string
	// LimitWait is the time, as of the latest report, until a request passes the limit.
	LimitWait time.Duration
	// SentSinceReport is the number of requests that this node has sent there since that report.
	SentSinceReport int
	// LeavingTarget is the process of the target that said that it leaves; empty if none did.
	LeavingTarget string
}

// observeState takes over what a response says of the target.
func (s *NodeStats) observeState(r *Report, nowMS int64) {
	s.SentSinceReport = 0
	s.LimitWait = 0
	statement := ratelimit.Statement{Sent: time.UnixMilli(r.SentMS), Received: time.UnixMilli(nowMS)}
	switch state := r.State; {
	case state != nil && state.Leaving:
		s.LeavingTarget = state.Target
	case state != nil && state.Limited:
		if state.Target != s.LimitedTarget {
			s.LimitedTarget, s.Limit = state.Target, ratelimit.Known{}
		}
		statement.Limited, statement.PerSecond = true, state.PerSecond
		s.Limit = s.Limit.Observe(statement)
		s.LimitWait = time.Duration(state.LimitWaitMS) * time.Millisecond
	case r.Served:
		s.Limit = s.Limit.Observe(statement)
	}
}

// isLeaving reports whether the target of an entry said that it leaves. Another process at the same node did not.
func (s *NodeStats) isLeaving(e *endpoint.Entry) bool {
	return s.LeavingTarget != "" && s.LeavingTarget == e.TargetStart
}

// limitWait returns the expected time until the limit of the target lets a request through.
func (s *NodeStats) limitWait(nowMS int64) time.Duration {
	if !s.Limit.Limited {
		return 0
	}
	since := time.Duration(nowMS-s.ReportedMS) * time.Millisecond
	sent := float64(s.SentSinceReport) / max(s.Limit.PerSecond, ratelimit.RateMin)
	return max(s.LimitWait-since+time.Duration(sent*float64(time.Second)), 0)
}

// KnownLimit returns what this node knows of the limit of a node's target, to be stated with a request; nil if it knows of
// none.
func (t *Tracker) KnownLimit(node string, nowMS int64) *wire.KnownLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.nodes[node]
	if o == nil || !o.Limit.Limited {
		return nil
	}
	return &wire.KnownLimit{
		Target: o.LimitedTarget, PerSecond: o.Limit.PerSecond, AgeMS: max(nowMS-o.Limit.Confirmed.UnixMilli(), 0),
	}
}
