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
	// BackupPolls counts the polls of nodes of other failure domains while no parent answered, BackupFailures those
	// that got no reply.
	BackupPolls, BackupFailures atomic.Int64
}

// CounterValues is a copy of the values of Counters.
type CounterValues struct {
	BackupPolls, BackupFailures int64
}

// Values returns the current values.
func (c *Counters) Values() CounterValues {
	return CounterValues{BackupPolls: c.BackupPolls.Load(), BackupFailures: c.BackupFailures.Load()}
}

// backup decides when a node takes the configuration from another failure domain. Candidates for a parent are tried one
// after the other, and each one that has gone dark takes the timeout of a poll. Meanwhile the node must not fall behind.
type backup struct {
	mu sync.Mutex
	// needed is true while the node has a parent.
	needed bool
	// answered is when a parent answered last, or when the node got its first parent.
	answered time.Time
}

// setNeeded sets whether the node has a parent.
func (b *backup) setNeeded(needed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if needed && !b.needed {
		b.answered = now
	}
	b.needed = needed
}

// parentAnswered records a reply of a parent.
func (b *backup) parentAnswered(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answered = now
}

// silence returns how long no parent has answered; 0 if the node has none.
func (b *backup) silence(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.needed {
		return 0
	}
	return now.Sub(b.answered)
}

// backupLoop polls nodes of other failure domains, one at a time, while no parent has answered for longer than a poll
// may stay open.
func (s *Syncer) backupLoop(ctx context.Context) {
	overdueAfter := s.settings.Hold + s.settings.CallTimeoutMargin/2
	for i := 0; ctx.Err() == nil; {
		if silence := s.backup.silence(time.Now()); silence < overdueAfter {
			pause.For(ctx, overdueAfter-silence)
			continue
		}
		peers := s.sink.BackupPeers()
		if len(peers) == 0 {
			pause.For(ctx, overdueAfter)
			continue
		}
		if !s.pollBackup(ctx, peers[i%len(peers)]) {
			i++
		}
		// A node of an older build always has entries to send, and so answers every poll at once.
		pause.For(ctx, s.settings.Jitter(s.settings.ReconnectJitter))
	}
}

// pollBackup polls once and reports whether the peer responded.
func (s *Syncer) pollBackup(ctx context.Context, peer Peer) bool {
	s.Counters.BackupPolls.Add(1)
	reply, err := s.sync(ctx, s.link(peer, ToBackup), peer, ToBackup, s.settings.Hold)
	if err != nil {
		s.Counters.BackupFailures.Add(1)
		return false
	}
	if reply.RetryAfterMS > 0 {
		pause.For(ctx, time.Duration(reply.RetryAfterMS)*time.Millisecond)
	}
	return true
}
