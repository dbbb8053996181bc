package admission

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
)

// Guards against a target that turned five times as slow and is taken for a fast one until its first slow request has
// ended, and against an even one that is taken for slow.
func TestSlowTargetIsNoticedBeforeItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const kind, slots, usual = uint32(7), 12, 400 * time.Millisecond
		g := NewController(Settings{Slots: slots, Queue: 10})
		run := func(d time.Duration) {
			for i := range slots {
				slot, reason := g.Acquire(t.Context(), Arrival{Deadline: time.Now().Add(time.Minute), Kind: kind})
				assert.Equal(t, reason, outcome.ReasonNone)
				go func() {
					time.Sleep(d + time.Duration(i)*time.Millisecond)
					slot.Release(true)
				}()
			}
		}
		for range 3 {
			run(usual)
			time.Sleep(usual - time.Millisecond)
			assert.Assert(t, g.Load(kind).ServiceTime <= usual+slots*time.Millisecond, "%v", g.Load(kind).ServiceTime)
			time.Sleep(usual)
		}
		run(5 * usual)
		time.Sleep(4 * usual)
		assert.Assert(t, g.Load(kind).ServiceTime > 2*usual, "%v", g.Load(kind).ServiceTime)
		time.Sleep(2 * usual)
		synctest.Wait()
		g.mu.Lock()
		defer g.mu.Unlock()
		assert.Equal(t, len(g.ages.kinds), 0)
	})
}
