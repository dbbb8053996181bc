package follow

import (
	"context"
	"errors"
	"time"

	"wagtailford.example/server/state/config"
)

// patientPause is the least time between the starts of two patient reads, since a store that rejects calls ends them at once.
const patientPause = time.Second

// sourceRead is the result of one read of a source.
type sourceRead struct {
	whole *config.Whole
	err   error
	// wait is how long the read could wait at the source, took how long it lasted.
	wait, took time.Duration
}

// readFrom reads a source once.
func readFrom(ctx context.Context, source Source, after uint64, wait time.Duration) sourceRead {
	began := time.Now()
	w, err := source.Next(ctx, after, wait)
	return sourceRead{whole: w, err: err, wait: wait, took: time.Since(began)}
}

// isFailure reports whether the read says nothing about the publications.
func (r sourceRead) isFailure() bool {
	var unreadable *UnreadableError
	return r.err != nil && !errors.As(r.err, &unreadable)
}

// patientReader reads a source beside the quick reads of a follower whose last read failed. A source that needs longer for an
// answer than a quick read lasts is not read otherwise. It belongs to the goroutine of the follower.
type patientReader struct {
	// source is nil if there are no patient reads.
	source  Source
	timeout time.Duration
	// result receives one value for each read that was started; it is nil if there is none.
	result chan sourceRead
	cancel context.CancelFunc
	// inProgress ends once result has received.
	inProgress context.Context
	startAt    time.Time
}

// start begins a read, unless one runs or has run a moment ago.
func (p *patientReader) start(ctx context.Context, after uint64) {
	now := time.Now()
	if p.source == nil || p.result != nil || now.Before(p.startAt) {
		return
	}
	p.startAt = now.Add(patientPause)
	reading, cancel := context.WithTimeout(ctx, p.timeout)
	result := make(chan sourceRead, 1)
	p.result, p.cancel = result, cancel
	inProgress, arrived := context.WithCancel(ctx)
	p.inProgress = inProgress
	go func() {
		defer arrived()
		result <- readFrom(reading, p.source, after, 0)
	}()
}

// limit returns a context for a quick read, which is of no use any more once the result of a patient one has arrived.
func (p *patientReader) limit(ctx context.Context) context.Context {
	if p.result == nil {
		return ctx
	}
	return p.inProgress
}

// finish ends the use of a read whose result has been received.
func (p *patientReader) finish() {
	p.cancel()
	p.result = nil
}

// stop ends a read and drops its result. The source is not safe for concurrent use, so stop waits for the end.
func (p *patientReader) stop() {
	if p.result == nil {
		return
	}
	p.cancel()
	<-p.result
	p.result = nil
}
