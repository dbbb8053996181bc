package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a sleep that continues after its context has ended, that returns early, or that reports success
// after its context has ended.
func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		assert.Assert(t, For(t.Context(), time.Minute))
		assert.Equal(t, time.Since(started), time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, !For(ctx, time.Hour))
		assert.Equal(t, time.Since(started), time.Minute+time.Second)
		assert.Assert(t, !For(ctx, 0))
		assert.Assert(t, For(t.Context(), -time.Second))
	})
}
