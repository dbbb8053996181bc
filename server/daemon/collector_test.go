package daemon

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against headroom that a node without load does not need, that grows with a large heap, or that is computed
// from the empty heap before the first collection.
func TestCollectPercent(t *testing.T) {
	const mib = 1 << 20
	tests := []struct {
		live, recent uint64
		want         int
	}{
		{0, 0, 40},
		{0, mib, 400},
		{4 * mib, mib / 4, 40},
		{4 * mib, 4 * mib, 100},
		{4 * mib, 100 * mib, 200},
		{mib, 100 * mib, 400},
		{40 * mib, 100 * mib, 40},
	}
	for _, test := range tests {
		assert.Equal(t, collectPercent(test.live, test.recent), test.want, "live %d, recent %d", test.live, test.recent)
	}
}
