package fanout

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wagtailford.example/server/coordination/pause"
)

// Counters counts what a Syncer does beside its regular polls.
type Counters struct {
	// FailoverPolls counts the polls of nodes of other failure domains while no parent answered, FailoverFailures those
	// that got no reply.
	FailoverPolls, FailoverFailures atomic.Int64
}

// CounterValues is a copy of the values of Counters.
type CounterValues struct {
	FailoverPolls, FailoverFailures int64
}

// Values returns the current values.
func (c *Counters) Values() CounterValues {
	return CounterValues{FailoverPolls: c.FailoverPolls.Load(), FailoverFailures: c.FailoverFailures.Load()}
}

// failover decides when a node takes the configuration from another failure domain. Candidates for a parent are tried one
// after the other, and each one that does not respond takes the timeout of a poll. Meanwhile the node must not fall behind.
type failover struct {
	mu sync.Mutex
	// needed is true while the node has a parent.
	needed bool
	// answered is when a parent answered last, or when the node got its first parent.
	answered time.Time
}

// setNeeded sets whether the node has a parent.
func (f *failover) setNeeded(needed bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if needed && !f.needed {
		f.answered = now
	}
	f.needed = needed
}

// parentAnswered records a reply of a parent.
func (f *failover) parentAnswered(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered = now
}

// silence returns how long no parent has answered; 0 if the node has none.
func (f *failover) silence(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.needed {
		return 0
	}
	return now.Sub(f.answered)
}

// failoverLoop polls nodes of other failure domains, one at a time, while no parent has answered for longer than a poll
// may stay open.
func (s *Syncer) failoverLoop(ctx context.Context) {
	overdueAfter := s.settings.Hold + s.settings.CallTimeoutMargin/2
	for i := 0; ctx.Err() == nil; {
		if silence := s.failover.silence(time.Now()); silence < overdueAfter {
			pause.For(ctx, overdueAfter-silence)
			continue
		}
		peers := s.sink.FailoverPeers()
		if len(peers) == 0 {
			pause.For(ctx, overdueAfter)
			continue
		}
		if !s.pollFailoverPeer(ctx, peers[i%len(peers)]) {
			i++
		}
		// A node of an older build always has entries to send, and so answers every poll at once.
		pause.For(ctx, s.settings.Jitter(s.settings.ReconnectJitter))
	}
}

// pollFailoverPeer polls once and reports whether the peer responded.
func (s *Syncer) pollFailoverPeer(ctx context.Context, peer Peer) bool {
	s.Counters.FailoverPolls.Add(1)
	reply, err := s.sync(ctx, s.link(peer, ToFailover), peer, ToFailover, s.settings.Hold)
	if err != nil {
		s.Counters.FailoverFailures.Add(1)
		return false
	}
	if reply.RetryAfterMS > 0 {
		pause.For(ctx, time.Duration(reply.RetryAfterMS)*time.Millisecond)
	}
	return true
}
