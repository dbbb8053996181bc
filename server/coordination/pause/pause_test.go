package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a wait that outlives its context, that ends early, or that goes on after the context has ended.
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
