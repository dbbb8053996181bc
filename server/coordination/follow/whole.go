package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"wagtailford.example/server/coordination/pause"
	"wagtailford.example/server/state/config"
)

// Source publishes whole configurations. Its implementation is safe for use by one goroutine at a time.
type Source interface {
	// Next returns the newest configuration whose offset is above after. It waits for one at most for wait, and
	// returns nil if there is none by then. A publication that cannot be decoded is an *UnreadableError.
	Next(ctx context.Context, after uint64, wait time.Duration) (*config.Whole, error)
}

// UnreadableError means that a publication was read and cannot be used.
type UnreadableError struct {
	Offset uint64
	Cause  error
}

func (e *UnreadableError) Error() string { return "unreadable configuration: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// WholeSink installs configurations. *control.Loop implements it.
type WholeSink interface {
	Offset() uint64
	InstallWhole(w *config.Whole) error
}

// SourceFollowerSettings control a WholeFollower.
type SourceFollowerSettings struct {
	// PollWait is how long the source is asked to wait for a publication.
	PollWait time.Duration
	// BackupPollInterval takes its place at the second reader of a failure domain. The readers behind that one do not wait at the source:
	// they ask once in this time, so that a change is not read by all of them.
	BackupPollInterval time.Duration
	// RetryMin and RetryMax bound the delay after a failed read.
	RetryMin, RetryMax time.Duration
	// CoalesceDelay is the time between two reads that found something, so that publications in quick succession are
	// read together.
	CoalesceDelay time.Duration
}

// SourceCounters count the reads of a WholeFollower.
type SourceCounters struct {
	Reads, FailedReads, Installed, Rejected atomic.Int64
	// UnknownWords are the words in installed configurations that this build does not know.
	UnknownWords atomic.Int64
}

// SourceCounterValues is a copy of WholeCounters.
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

// SourceFollower reads whole configurations from a source into a sink.
type SourceFollower struct {
	Counters SourceCounters

	source   Source
	sink     WholeSink
	settings SourceFollowerSettings
	logger   log.Interface
	// passed is the highest offset that was read, installed or not.
	passed uint64
	// rank is the place of this reader among those of its failure domain, 0 first.
	rank atomic.Int64
	// ranked is sent to when the rank changed.
	ranked chan struct{}
	// failing is true from a failed read to the next one that succeeds.
	failing bool
}

// NewSourceFollower returns a follower that does not run yet.
func NewSourceFollower(source Source, sink WholeSink, settings SourceFollowerSettings, logger log.Interface) *SourceFollower {
	return &SourceFollower{source: source, sink: sink, settings: settings, logger: logger, ranked: make(chan struct{}, 1)}
}

// Run reads until ctx ends.
func (f *SourceFollower) Run(ctx context.Context) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = f.settings.RetryMin
	delays.MaxInterval = f.settings.RetryMax
	delays.RandomizationFactor = retryJitter
	for ctx.Err() == nil {
		delay := f.settings.CoalesceDelay
		found, err := f.read(ctx)
		switch {
		case err != nil:
			delay = delays.NextBackOff()
		case !found:
			delays.Reset()
			f.idle(ctx)
			continue
		default:
			delays.Reset()
		}
		pause.For(ctx, delay)
	}
}

// read reads once and reports whether there was a publication.
func (f *SourceFollower) read(ctx context.Context) (bool, error) {
	// A peer may have delivered a newer configuration than the last one read here.
	f.passed = max(f.passed, f.sink.Offset())
	f.Counters.Reads.Add(1)
	w, err := f.source.Next(ctx, f.passed, f.wait())
	var unreadable *UnreadableError
	if errors.As(err, &unreadable) {
		f.reachable()
		f.reject(unreadable.Offset, err)
		return true, nil
	}
	if err != nil {
		f.lost(ctx, err)
		return false, err
	}
	f.reachable()
	if w == nil {
		return false, nil
	}
	if err := f.sink.InstallWhole(w); err != nil {
		f.reject(w.Offset, err)
		return true, nil
	}
	f.passed = max(f.passed, w.Offset)
	f.Counters.Installed.Add(1)
	f.logger.WithFields(log.Fields{
		"event": "configuration", "version": w.Offset, "sequence": w.Sequence, "routes": len(w.Content.Routes),
	}).Info("configuration in force")
	f.noteUnknown(w)
	return true, nil
}

// unknownLogged limits the words of one configuration that are logged.
const unknownLogged = 8

// noteUnknown tells operators which words of a configuration were replaced by the strictest meaning.
func (f *SourceFollower) noteUnknown(w *config.Whole) {
	f.Counters.UnknownWords.Add(int64(len(w.Unknown)))
	for _, u := range w.Unknown[:min(len(w.Unknown), unknownLogged)] {
		f.logger.WithFields(log.Fields{
			"event": "configuration_word_unknown", "version": w.Offset, "route": u.Route, "field": u.Field, "word": u.Word,
			"words": len(w.Unknown),
		}).Warn("word of the configuration is not known; its strictest meaning applies")
	}
}

// wait returns how long the source is asked to wait. A source that failed is not asked to: a read that waits cannot be
// told from one on a connection that fell silent, and would be given up only after the source is long back.
func (f *SourceFollower) wait() time.Duration {
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

// idle waits after a read that found nothing and did not wait at the source.
func (f *SourceFollower) idle(ctx context.Context) {
	select {
	case <-f.ranked:
	default:
	}
	if f.failing || f.wait() > 0 {
		return
	}
	timer := time.NewTimer(f.settings.BackupPollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ranked:
	case <-ctx.Done():
	}
}

// SetRank says which reader of its failure domain this one is, 0 first. It may be called at any time.
func (f *SourceFollower) SetRank(rank int) {
	if f.rank.Swap(int64(rank)) == int64(rank) {
		return
	}
	select {
	case f.ranked <- struct{}{}:
	default:
	}
}

// reject passes a publication over; the configuration in force stays.
func (f *SourceFollower) reject(offset uint64, err error) {
	f.passed = max(f.passed, offset)
	f.Counters.Rejected.Add(1)
	f.logger.WithError(err).WithFields(log.Fields{"event": "configuration_rejected", "version": offset}).
		Warn("published configuration rejected")
}

func (f *SourceFollower) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.Counters.FailedReads.Add(1)
	if f.failing {
		return
	}
	f.failing = true
	f.logger.WithError(err).WithField("event", "dependency_lost").Warn("configuration source not reachable")
}

func (f *SourceFollower) reachable() {
	if !f.failing {
		return
	}
	f.failing = false
	f.logger.WithField("event", "dependency_regained").Info("configuration source reachable again")
}
