package firstread

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/pause"
)

var errAway = errors.New("away")

// Guards against state that counts as absent because the store that holds it was down, slow or silent when a process started.
func TestReadSucceedsOnceTheStoreAnswers(t *testing.T) {
	for _, c := range []struct {
		name string
		// away is how long the store fails, silent whether its calls hang meanwhile, takes how long it needs for an answer.
		away   time.Duration
		silent bool
		takes  time.Duration
		// latest is the longest time after the store is back until the result.
		latest time.Duration
	}{
		{name: "up"},
		{name: "down", away: time.Minute, latest: time.Second},
		{name: "silent", away: time.Minute, silent: true, latest: 2 * time.Second},
		{name: "slow", takes: 1100 * time.Millisecond, latest: 3 * time.Second},
		{name: "very slow", takes: 5 * time.Second, latest: 7 * time.Second},
		{name: "down, then slow", away: 3 * time.Second, takes: 1100 * time.Millisecond, latest: 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				var running, most, failures atomic.Int32
				read := func(ctx context.Context) (int, error) {
					most.Store(max(most.Load(), running.Add(1)))
					defer running.Add(-1)
					if time.Since(began) < c.away {
						if c.silent {
							<-ctx.Done()
							return 0, ctx.Err()
						}
						return 0, errAway
					}
					if !pause.For(ctx, c.takes) {
						return 0, ctx.Err()
					}
					return 7, nil
				}
				result, ok := Until(t.Context(), read, func(error) { failures.Add(1) })
				assert.Assert(t, ok)
				assert.Equal(t, result, 7)
				assert.Assert(t, time.Since(began) <= c.away+c.latest, "%v", time.Since(began))
				assert.Assert(t, most.Load() <= 2)
				assert.Equal(t, running.Load(), int32(0), "no call goes on")
				assert.Assert(t, failures.Load() <= 1)
			})
		})
	}
}

// Guards against a process that does not stop while its store is away.
func TestReadEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		began := time.Now()
		_, ok := Until(ctx, func(context.Context) (int, error) { return 0, errAway }, func(error) {})
		assert.Assert(t, !ok)
		assert.Equal(t, time.Since(began), 5*time.Second)
	})
}
