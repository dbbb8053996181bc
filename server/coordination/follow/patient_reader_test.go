package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/config"
)

// lateSource answers after delay with what is published, or fails after limit, beyond the wait, if that is earlier.
type lateSource struct {
	delay     *atomic.Int64
	published *atomic.Uint64
	limit     time.Duration
	running   atomic.Bool
	calls     atomic.Int64
}

func (s *lateSource) Next(ctx context.Context, after uint64, wait time.Duration) (*config.Whole, error) {
	if !s.running.CompareAndSwap(false, true) {
		panic("two calls at the same time")
	}
	defer s.running.Store(false)
	s.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, wait+s.limit)
	defer cancel()
	answer := time.After(time.Duration(s.delay.Load()))
	if s.published.Load() <= after {
		answer = time.After(time.Duration(s.delay.Load()) + wait)
	}
	select {
	case <-answer:
	case <-ctx.Done():
		return nil, errors.New("no answer")
	}
	if offset := s.published.Load(); offset > after {
		return &config.Whole{Offset: offset, Sequence: offset}, nil
	}
	return nil, nil
}

// Guards against configurations that are not installed while the source is slower than a quick read, against patient reads that
// go on beside a source which answers again or that delay its return, and against two calls of a source at the same time.
func TestSlowSourceIsReadPatiently(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 1500 * time.Millisecond, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			late, published := new(atomic.Int64), new(atomic.Uint64)
			quick := &lateSource{delay: late, published: published, limit: 800 * time.Millisecond}
			patient := &lateSource{delay: late, published: published, limit: time.Hour}
			sink := &recordingSink{}
			f := NewSourceFollower(quick, patient, sink, SourceFollowerSettings{
				PollWait: 2 * time.Second, RetryMin: 50 * time.Millisecond, RetryMax: 500 * time.Millisecond,
				CoalesceDelay: 700 * time.Millisecond, PatientTimeout: 10 * time.Second,
			}, &log.Logger{Handler: discard.Default})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { f.Run(ctx); close(ended) }()
			late.Store(int64(delay))
			for offset := uint64(1); offset <= 3; offset++ {
				published.Store(offset)
				// A long poll that is given up, a patient read that misses the publication, the pause after it, and one more.
				time.Sleep(2800*time.Millisecond + 2*delay + patientPause)
				synctest.Wait()
				assert.Equal(t, f.Counters.Installed.Load(), int64(offset), "with answers after %v", delay)
			}
			// A silent source: the calls in progress get no answer even after it is back.
			late.Store(int64(time.Hour))
			time.Sleep(20 * time.Second)
			late.Store(0)
			time.Sleep(1300 * time.Millisecond)
			published.Store(4)
			time.Sleep(2 * time.Second)
			synctest.Wait()
			assert.Equal(t, f.Counters.Installed.Load(), int64(4))
			calls := patient.calls.Load()
			time.Sleep(time.Minute)
			assert.Equal(t, patient.calls.Load(), calls)
			cancel()
			<-ended
			assert.Assert(t, !patient.running.Load() && !quick.running.Load())
		})
	}
}
