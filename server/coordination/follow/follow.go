// Package follow keeps a node's configuration up to date from the log or from another configuration source, and
// writes snapshots of the configuration to the log.
//
// A Follower runs while its node has the follower role. Several followers may run at the same time: they only read
// records, and two snapshots of the same offset are equal.
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

// Sink owns the configuration state. Each Follower calls it from one goroutine at a time.
type Sink interface {
	// Offset returns the offset of the last applied record.
	Offset() uint64
	// DeliverRecords applies records that follow Offset without a gap. It should return only after they were
	// applied; otherwise the follower reads them again, which is harmless.
	DeliverRecords(records []config.Record)
	// RestoreSnapshot installs a snapshot whose offset is above Offset.
	RestoreSnapshot(data []byte)
	// HighestSeen receives the highest offset that the log reports.
	HighestSeen(offset uint64)
	// EncodeSnapshot returns the encoded current state and its offset.
	EncodeSnapshot() (offset uint64, data []byte, err error)
}

// Log is the log service; *platformlog.Client implements it.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	Read(ctx context.Context, stream string, from uint64, limitBytes int, wait time.Duration) (platformlog.Batch, error)
}

// Settings control a Follower.
type Settings struct {
	// PollWait is how long a long poll waits at the log for a record.
	PollWait time.Duration
	// ReadBytes limits the size of one read of the stream config.
	ReadBytes int
	// RetryMin and RetryMax bound the backoff after failed reads. It grows exponentially with a jitter of one half.
	RetryMin, RetryMax time.Duration
	// Retention is how long the log retains records.
	Retention time.Duration
	// SnapshotRecords is the number of records after which a snapshot is written.
	SnapshotRecords uint64
	// Stagger is how much longer each rank waits than the rank before it before it writes a snapshot.
	Stagger time.Duration
}

// DefaultSettings returns the default settings of the daemon.
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

// retryJitter is the backoff randomization factor. It keeps followers from retrying the log at the same time.
const retryJitter = 0.5

// Stats are the totals of a Follower since its creation.
type Stats struct {
	Reads       int64
	FailedReads int64
	Records     int64
	// Stalled counts deliveries that did not advance the sink's offset, for example because of an unknown rule version.
	Stalled int64
	// Gaps counts reads of records that were removed from the log and that no snapshot replaces.
	Gaps int64
	// Behind counts reads that found that the log ends below the sink's offset.
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
	// logFirst is the first offset that the stream config retained at the last read.
	logFirst uint64
	// dueSince is when a snapshot became due; zero if none is due.
	dueSince time.Time
	// problem is the last logged problem. A problem is logged again only after it has changed or gone.
	problem string
}

// New returns a follower. rank returns the position of this node among the followers, 0 for the first.
func New(sink Sink, source Log, rank func() int, settings Settings, logger log.Interface) *Follower {
	return &Follower{sink: sink, log: source, rank: rank, settings: settings, logger: logger}
}

// LastContact returns the time of the last response from the log; the zero time before the first one.
func (f *Follower) LastContact() time.Time {
	if t := f.contact.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Stats returns the totals.
func (f *Follower) Stats() Stats { return f.stats.values() }

// Run follows the log until ctx is done. It may be called again after it has returned, but not concurrently.
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

// step reads once and delivers the records. It returns false if the next read should be delayed.
func (f *Follower) step(ctx context.Context) bool {
	from := f.sink.Offset() + 1
	batch, err := f.read(ctx, platformlog.StreamConfig, from, f.settings.ReadBytes, f.readWait())
	var trimmed *platformlog.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		f.logFirst = trimmed.First
		f.reportHighestOffset(trimmed.Next)
		return f.replaceTrimmed(ctx, from, trimmed)
	case err != nil:
		f.report(ctx, "log cannot be read", log.Fields{"error": err})
		return false
	}
	f.logFirst = batch.First
	f.reportHighestOffset(batch.Next)
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

// readWait returns how long a read may wait at the log: no longer than until a snapshot is to be written. The first
// read does not wait, so that a starting node learns the end of the log at once.
func (f *Follower) readWait() time.Duration {
	if f.LastContact().IsZero() {
		return 0
	}
	if f.dueSince.IsZero() {
		return f.settings.PollWait
	}
	remaining := time.Until(writeTime(f.dueSince, f.rank(), f.settings.Stagger))
	return max(0, min(remaining, f.settings.PollWait))
}

// deliver passes records to the sink. It returns false if the sink's offset did not advance.
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

// replaceTrimmed restores a snapshot in place of removed records. It never leaves a gap: if no snapshot connects to the
// records that the log retains, the sink's state does not change.
func (f *Follower) replaceTrimmed(ctx context.Context, from uint64, trimmed *platformlog.TrimmedError) bool {
	if f.restore(ctx, trimmed.First) {
		return true
	}
	if f.sink.Offset()+1 >= trimmed.First {
		return true // A peer delivered the missing records or a snapshot in the meantime.
	}
	if ctx.Err() == nil {
		f.stats.gaps.Add(1)
		f.report(ctx, "records were removed from the log and no snapshot replaces them",
			log.Fields{"need": from, "first": trimmed.First})
	}
	return false
}

// read reads from the log and records the time of the response.
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

// reportHighestOffset passes the highest offset of the log, the one before next, to the sink; 0 if the log is empty.
func (f *Follower) reportHighestOffset(next uint64) {
	if next > 0 {
		f.sink.HighestSeen(next - 1)
	}
}

// report logs a problem, unless it is the last one logged and has not gone since.
func (f *Follower) report(ctx context.Context, problem string, fields log.Fields) {
	if ctx.Err() != nil || f.problem == problem {
		return
	}
	f.problem = problem
	f.logger.WithFields(fields).Warn(problem)
}
