package follow

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"wagtailford.example/server/coordination/pause"
	"wagtailford.example/server/state/config"
)

// Source publishes complete configurations. An implementation need not be safe for concurrent use.
type Source interface {
	// Next returns the newest configuration whose offset is above after. It waits up to the given time for one and
	// returns nil if there is none. It returns an *UnreadableError for a publication that cannot be decoded, and a
	// *StaleError if there must be one that the source does not show.
	Next(ctx context.Context, after uint64, wait time.Duration) (*config.Whole, error)
}

// UnreadableError reports a publication that was read but cannot be decoded.
type UnreadableError struct {
	Offset uint64
	Cause  error
}

func (e *UnreadableError) Error() string {
	return "cannot decode published configuration: " + e.Cause.Error()
}

func (e *UnreadableError) Unwrap() error { return e.Cause }

// StaleError reports that the source has publications above After but answered as of an earlier time.
type StaleError struct {
	After uint64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("source answered with nothing above version %d, although it removed a later one", e.After)
}

// SourceSink installs complete configurations. *control.Loop implements it.
type SourceSink interface {
	Offset() uint64
	InstallWhole(w *config.Whole) error
}

// SourceFollowerSettings configure a SourceFollower.
type SourceFollowerSettings struct {
	// PollWait is how long a long poll waits at the source for a publication.
	PollWait time.Duration
	// BackupPollInterval replaces PollWait at the second reader of a failure domain. The readers of higher rank do
	// not use long polls: they read once per interval, so that not all of them read every change. 0 disables it.
	BackupPollInterval time.Duration
	// RetryMin and RetryMax bound the delay after a failed read.
	RetryMin, RetryMax time.Duration
	// CoalesceDelay is the delay after a read that found a publication, so that publications in quick succession
	// are read at once.
	CoalesceDelay time.Duration
	// PatientTimeout limits the reads by the patient source of NewSourceFollower.
	PatientTimeout time.Duration
}

// SourceCounters counts the reads of a SourceFollower and their results.
type SourceCounters struct {
	Reads, FailedReads, Installed, Rejected atomic.Int64
	// UnknownWords counts the enumeration values in installed configurations that this build does not know.
	UnknownWords atomic.Int64
}

// SourceCounterValues is a copy of the values of SourceCounters.
type SourceCounterValues struct {
	Reads, FailedReads, Installed, Rejected, UnknownWords int64
}

// Values returns the current values.
func (c *SourceCounters) Values() SourceCounterValues {
	return SourceCounterValues{
		Reads: c.Reads.Load(), FailedReads: c.FailedReads.Load(), Installed: c.Installed.Load(),
		Rejected: c.Rejected.Load(), UnknownWords: c.UnknownWords.Load(),
	}
}

// SourceFollower reads complete configurations from a source and installs them in a sink.
type SourceFollower struct {
	Counters SourceCounters

	source   Source
	sink     SourceSink
	settings SourceFollowerSettings
	logger   log.Interface
	// processed is the highest offset that was read, whether its configuration was installed or rejected.
	processed uint64
	// rank is the position of this reader among those of its failure domain, 0 for the first.
	rank atomic.Int64
	// rankChanged receives a value when rank has changed.
	rankChanged chan struct{}
	// failing is true after a failed read until a read succeeds.
	failing bool
	patient patientReader
}

// NewSourceFollower returns a follower; Run starts it. patient reads the same publications as source, in another goroutine and
// only while source fails; its calls last until the end of their contexts, those of source until they are late. nil stands for
// no such reads.
func NewSourceFollower(
	source, patient Source, sink SourceSink, settings SourceFollowerSettings, logger log.Interface,
) *SourceFollower {
	return &SourceFollower{
		source: source, sink: sink, settings: settings, logger: logger, rankChanged: make(chan struct{}, 1),
		patient: patientReader{source: patient, timeout: settings.PatientTimeout},
	}
}

// Run reads configurations until ctx is done.
func (f *SourceFollower) Run(ctx context.Context) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = f.settings.RetryMin
	delays.MaxInterval = f.settings.RetryMax
	delays.RandomizationFactor = retryJitter
	defer f.patient.stop()
	for ctx.Err() == nil {
		delay := f.settings.CoalesceDelay
		found, err := f.read(ctx)
		switch {
		case err != nil:
			f.waitToRetry(ctx, delays.NextBackOff())
			continue
		case !found:
			delays.Reset()
			f.waitForNextRead(ctx)
			continue
		default:
			delays.Reset()
		}
		pause.For(ctx, delay)
	}
}

// read reads from the source once and reports whether there was a publication.
func (f *SourceFollower) read(ctx context.Context) (bool, error) {
	f.Counters.Reads.Add(1)
	reading := f.patient.limit(ctx)
	read := readFrom(reading, f.source, f.position(), f.readWait())
	if read.isFailure() {
		f.sourceUnreachable(reading, read.err)
		return false, read.err
	}
	f.sourceReachable()
	return f.take(read), nil
}

// position returns the offset above which publications are of use. A peer may have delivered a newer configuration than the last
// one read here.
func (f *SourceFollower) position() uint64 {
	f.processed = max(f.processed, f.sink.Offset())
	return f.processed
}

// waitToRetry waits after a failed read, at most until a patient read has ended, and takes what that has found.
func (f *SourceFollower) waitToRetry(ctx context.Context, delay time.Duration) {
	f.patient.start(ctx, f.position())
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case read := <-f.patient.result:
		f.patient.finish()
		f.Counters.Reads.Add(1)
		if !read.isFailure() {
			f.take(read)
		}
	case <-timer.C:
	case <-ctx.Done():
	}
}

// take installs or rejects what a read has found and reports whether there was a publication.
func (f *SourceFollower) take(read sourceRead) bool {
	if read.err != nil {
		var unreadable *UnreadableError
		errors.As(read.err, &unreadable)
		f.reject(unreadable.Offset, read.err)
		return true
	}
	w := read.whole
	if w == nil {
		return false
	}
	began := time.Now()
	if err := f.sink.InstallWhole(w); err != nil {
		f.reject(w.Offset, err)
		return true
	}
	f.processed = max(f.processed, w.Offset)
	if f.logSkipped(w) {
		return true
	}
	f.Counters.Installed.Add(1)
	f.logger.WithFields(log.Fields{
		"event": "configuration", "version": w.Offset, "sequence": w.Sequence, "routes": len(w.Content.Routes),
		"keys_required": w.Content.RequiresKeys(),
		"records":       w.Read.Records, "bytes": w.Read.Bytes, "newest": w.Read.Newest, "wait_ms": read.wait.Milliseconds(),
		"read_ms": read.took.Milliseconds(), "decode_ms": w.Read.Decoding.Milliseconds(),
		"install_ms": time.Since(began).Milliseconds(),
	}).Info("configuration in force")
	f.logUnknownWords(w)
	return true
}

// logSkipped reports whether the sink has another configuration in force than the one that was read: a newer one that a peer
// sent meanwhile, or one at a lower position because the publisher's number is lower now, which is logged.
func (f *SourceFollower) logSkipped(w *config.Whole) bool {
	inForce := f.sink.Offset()
	if inForce < w.Offset {
		f.Counters.Rejected.Add(1)
		f.logger.WithFields(log.Fields{
			"event": "configuration_rejected", "version": w.Offset, "sequence": w.Sequence, "in_force": inForce,
		}).Warn("published configuration skipped: its number is below that of the configuration in force")
	}
	return inForce != w.Offset
}

// maxUnknownLogged limits the unknown values that are logged for one configuration.
const maxUnknownLogged = 8

// logUnknownWords logs which values of a configuration are unknown and were replaced by the most restrictive one.
func (f *SourceFollower) logUnknownWords(w *config.Whole) {
	f.Counters.UnknownWords.Add(int64(len(w.Unknown)))
	for _, u := range w.Unknown[:min(len(w.Unknown), maxUnknownLogged)] {
		f.logger.WithFields(log.Fields{
			"event": "configuration_word_unknown", "version": w.Offset, "route": u.Route, "field": u.Field, "word": u.Word,
			"words": len(w.Unknown),
		}).Warn("unknown value in the configuration; applying the most restrictive interpretation")
	}
}

// readWait returns how long the next read may wait at the source. After a failed read it is 0: a waiting read cannot be
// distinguished from one on a dead connection, and might time out only long after the source has recovered.
func (f *SourceFollower) readWait() time.Duration {
	if f.failing {
		return 0
	}
	switch rank := f.rank.Load(); {
	case f.settings.BackupPollInterval <= 0 || rank <= 0 || f.sink.Offset() == 0:
		return f.settings.PollWait
	case rank == 1:
		return f.settings.BackupPollInterval
	default:
		return 0
	}
}

// waitForNextRead waits for BackupPollInterval or a change of rank after a read that found nothing and did not wait at
// the source.
func (f *SourceFollower) waitForNextRead(ctx context.Context) {
	select {
	case <-f.rankChanged:
	default:
	}
	if f.failing || f.readWait() > 0 {
		return
	}
	timer := time.NewTimer(f.settings.BackupPollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.rankChanged:
	case <-ctx.Done():
	}
}

// SetRank sets the position of this reader among those of its failure domain, 0 for the first. It is safe for
// concurrent use.
func (f *SourceFollower) SetRank(rank int) {
	if f.rank.Swap(int64(rank)) == int64(rank) {
		return
	}
	select {
	case f.rankChanged <- struct{}{}:
	default:
	}
}

// reject skips a publication; the configuration in force remains.
func (f *SourceFollower) reject(offset uint64, err error) {
	f.processed = max(f.processed, offset)
	f.Counters.Rejected.Add(1)
	f.logger.WithError(err).WithFields(log.Fields{"event": "configuration_rejected", "version": offset}).
		Warn("published configuration rejected")
}

func (f *SourceFollower) sourceUnreachable(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.Counters.FailedReads.Add(1)
	if f.failing {
		return
	}
	f.failing = true
	f.logger.WithError(err).WithField("event", "dependency_lost").Warn("configuration source is unreachable")
}

func (f *SourceFollower) sourceReachable() {
	if !f.failing {
		return
	}
	f.failing = false
	f.patient.stop()
	f.logger.WithField("event", "dependency_regained").Info("configuration source is reachable again")
}
