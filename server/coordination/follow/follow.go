// Package follow keeps a node's configuration up to date from the log, and keeps a snapshot of it in the log.
//
// A Follower runs while its node has the follower role. Several followers may run at the same time: records are
// only read, and two snapshots of one offset are equal.
package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"wagtailford.example/server/coordination/pause"
	"wagtailford.example/server/protocol/platformlog"
	"wagtailford.example/server/state/config"
)

// Sink is the owner of the configuration state. Calls come from one goroutine at a time per Follower.
type Sink interface {
	// Offset returns the offset of the last record folded.
	Offset() uint64
	// DeliverRecords folds records that follow Offset without a gap. It should return after they were folded;
	// otherwise the follower reads them again, which is harmless.
	DeliverRecords(records []config.Record)
	// RestoreSnapshot installs a snapshot whose offset is above Offset.
	RestoreSnapshot(data []byte)
	// HighestSeen reports the highest offset that the log states.
	HighestSeen(offset uint64)
	// EncodeSnapshot returns the state folded so far and its offset.
	EncodeSnapshot() (offset uint64, data []byte, err error)
}

// Log is the log service; *platformlog.Client implements it.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	Read(ctx context.Context, stream string, from uint64, limitBytes int, wait time.Duration) (platformlog.Batch, error)
}

// Settings control a Follower.
type Settings struct {
	// PollWait is how long a read asks the log to wait for a record.
	PollWait time.Duration
	// ReadBytes limits one read of the stream config.
	ReadBytes int
	// RetryMin and RetryMax bound the delay after a failed read. Delays double and vary by half.
	RetryMin, RetryMax time.Duration
	// Retention is how long the log keeps records.
	Retention time.Duration
	// SnapshotRecords is the number of records after which a snapshot is written.
	SnapshotRecords uint64
	// Stagger is how long each rank waits longer than the rank before it until it writes a snapshot.
	Stagger time.Duration
}

// DefaultSettings returns the defaults of the daemon.
func DefaultSettings() Settings {
	return Settings{
		PollWait:        10 * time.Second,
		ReadBytes:       1 << 20,
		RetryMin:        100 * time.Millisecond,
		RetryMax:        5 * time.Second,
		Retention:       24 * time.Hour,
		SnapshotRecords: 500,
		Stagger:         20 * time.Second,
	}
}

// retryJitter is the fraction by which a delay varies, so that followers do not return to the log together.
const retryJitter = 0.5

// Stats are the totals of a Follower since its creation.
type Stats struct {
	Reads       int64
	FailedReads int64
	Records     int64
	// Stalled counts deliveries after which the sink's offset did not grow, for example at an unknown rule version.
	Stalled int64
	// Gaps counts reads that found records removed which no snapshot replaces.
	Gaps int64
	// Behind counts reads that found the log ending below the sink's offset.
	Behind            int64
	SnapshotsRestored int64
	SnapshotsWritten  int64
	SnapshotsFailed   int64
	// SnapshotsUnusable counts snapshots in the log that this build cannot decode.
	SnapshotsUnusable int64
}

// Follower reads the stream config into a sink and writes snapshots.
type Follower struct {
	sink     Sink
	log      Log
	rank     func() int
	settings Settings
	logger   log.Interface

	contact atomic.Pointer[time.Time]
	stats   counters
	newest  newestSnapshot
	// logFirst is the first offset that the stream config kept at the last read.
	logFirst uint64
	// dueSince is when a snapshot became due; zero if none is.
	dueSince time.Time
	// problem is the last problem logged, so that each is logged once until it changes.
	problem string
}

// New returns a follower. Rank returns the position of this node among the followers, 0 for the first.
func New(sink Sink, source Log, rank func() int, settings Settings, logger log.Interface) *Follower {
	return &Follower{sink: sink, log: source, rank: rank, settings: settings, logger: logger}
}

// LastContact returns when the log answered last; the zero time before the first answer.
func (f *Follower) LastContact() time.Time {
	if t := f.contact.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Stats returns the totals.
func (f *Follower) Stats() Stats { return f.stats.values() }

// Run follows the log until ctx ends. It may be called again afterwards, but not twice at the same time.
func (f *Follower) Run(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = f.settings.RetryMin
	delay.MaxInterval = f.settings.RetryMax
	delay.RandomizationFactor = retryJitter
	delay.Reset()
	f.newest = newestSnapshot{}
	f.dueSince = time.Time{}
	if f.sink.Offset() == 0 {
		f.restore(ctx, 0)
	}
	for ctx.Err() == nil {
		if f.step(ctx) {
			delay.Reset()
			f.maintainSnapshot(ctx)
			continue
		}
		pause.For(ctx, delay.NextBackOff())
	}
}

// step does one read and delivers what it returned. It returns false if the next one should wait.
func (f *Follower) step(ctx context.Context) bool {
	from := f.sink.Offset() + 1
	batch, err := f.read(ctx, platformlog.StreamConfig, from, f.settings.ReadBytes, f.wait())
	var trimmed *platformlog.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		f.logFirst = trimmed.First
		f.seen(trimmed.Next)
		return f.replaceTrimmed(ctx, from, trimmed)
	case err != nil:
		f.report(ctx, "log cannot be read", log.Fields{"error": err})
		return false
	}
	f.logFirst = batch.First
	f.seen(batch.Next)
	if batch.Next < from {
		f.stats.behind.Add(1)
		f.report(ctx, "log ends below the offset of this node", log.Fields{"offset": from - 1, "next": batch.Next})
		return false
	}
	if len(batch.Records) > 0 && !f.deliver(ctx, batch.Records) {
		return false
	}
	f.problem = ""
	return true
}

// wait returns how long a read may wait: until the snapshot is due at the latest. The first read does not wait, so
// that a node learns at its start how far the log reaches.
func (f *Follower) wait() time.Duration {
	if f.LastContact().IsZero() {
		return 0
	}
	if f.dueSince.IsZero() {
		return f.settings.PollWait
	}
	left := time.Until(writeTime(f.dueSince, f.rank(), f.settings.Stagger))
	return max(0, min(left, f.settings.PollWait))
}

// deliver passes records on. It returns false if the sink did not move.
func (f *Follower) deliver(ctx context.Context, records []config.Record) bool {
	before := f.sink.Offset()
	f.sink.DeliverRecords(records)
	f.stats.records.Add(int64(len(records)))
	if f.sink.Offset() > before {
		return true
	}
	f.stats.stalled.Add(1)
	f.report(ctx, "records were delivered but the offset did not grow", log.Fields{"offset": before})
	return false
}

// replaceTrimmed restores a snapshot in place of removed records. It never leaves a gap: without a snapshot that
// reaches back far enough the sink stays where it is.
func (f *Follower) replaceTrimmed(ctx context.Context, from uint64, trimmed *platformlog.TrimmedError) bool {
	if f.restore(ctx, trimmed.First) {
		return true
	}
	if f.sink.Offset()+1 >= trimmed.First {
		return true // A peer's records or snapshot arrived meanwhile.
	}
	if ctx.Err() == nil {
		f.stats.gaps.Add(1)
		f.report(ctx, "records were removed from the log and no snapshot replaces them",
			log.Fields{"need": from, "first": trimmed.First})
	}
	return false
}

// read reads from the log and notes the contact.
func (f *Follower) read(
	ctx context.Context, stream string, from uint64, limitBytes int, wait time.Duration,
) (platformlog.Batch, error) {
	f.stats.reads.Add(1)
	batch, err := f.log.Read(ctx, stream, from, limitBytes, wait)
	if err != nil && !errors.Is(err, platformlog.ErrTrimmed) {
		f.stats.failedReads.Add(1)
		return batch, err
	}
	now := time.Now()
	f.contact.Store(&now)
	return batch, err
}

// seen tells the sink the highest offset of the log; 0 if the log is empty.
func (f *Follower) seen(next uint64) {
	if next > 0 {
		f.sink.HighestSeen(next - 1)
	}
}

// report logs a problem once until another one, or none, is found.
func (f *Follower) report(ctx context.Context, problem string, fields log.Fields) {
	if ctx.Err() != nil || f.problem == problem {
		return
	}
	f.problem = problem
	f.logger.WithFields(fields).Warn(problem)
}
