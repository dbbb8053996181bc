// Package pause provides a sleep that can be cancelled by a context.
package pause

import (
	"context"
	"time"
)

// For sleeps for d and reports whether ctx is still active: it returns false as soon as ctx ends. If d is 0 or
// negative, For only checks ctx.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
