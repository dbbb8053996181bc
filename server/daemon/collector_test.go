package daemon

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a large heap that gets as much headroom again, and against a division by zero before the first
// collection.
func TestCollectPercent(t *testing.T) {
	for live, want := range map[uint64]int{0: 400, 1 << 20: 400, 4 << 20: 200, 8 << 20: 100, 40 << 20: 40} {
		assert.Equal(t, collectPercent(live), want, "live heap of %d bytes", live)
	}
}
