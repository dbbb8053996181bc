package daemon

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// Pace of the garbage collector. With the smallest percentage a node with a small heap collects many times a second
// under load; with a large one, nodes without load keep more memory resident than the 32 MB of the design.
const (
	// collectAge is the time whose allocations fit between two collections, within the bounds below.
	collectAge = 2 * time.Second
	// collectHeadroomMax limits the bytes that are allocated between two collections of a small heap.
	collectHeadroomMax = 8 << 20
	// collectPercentMin and collectPercentMax bound the bytes between two collections in percent of the live heap.
	collectPercentMin = 40
	collectPercentMax = 400
	// collectInterval is the interval at which the percentage follows the load.
	collectInterval = 2 * time.Second
)

// Metrics of the runtime, in bytes: what the last collection left, and what was allocated since the start.
const (
	liveHeap  = "/gc/heap/live:bytes"
	allocated = "/gc/heap/allocs:bytes"
)

// collectPercent returns the percentage for a live heap in bytes and what was allocated in collectInterval.
func collectPercent(live, recent uint64) int {
	headroom := min(recent*uint64(collectAge/collectInterval), collectHeadroomMax)
	percent := 100 * headroom / max(live, 1)
	return int(min(max(percent, collectPercentMin), collectPercentMax))
}

// paceCollector adapts the garbage collector to the load until ctx ends.
func paceCollector(ctx context.Context) {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	sample := []metrics.Sample{{Name: liveHeap}, {Name: allocated}}
	metrics.Read(sample)
	before := sample[1].Value.Uint64()
	current := collectPercentMin
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		metrics.Read(sample)
		now := sample[1].Value.Uint64()
		percent := collectPercent(sample[0].Value.Uint64(), now-before)
		before = now
		// Setting the percentage stops the process for a moment, so small changes are left out.
		if percent > current*5/4 || percent < current*4/5 {
			debug.SetGCPercent(percent)
			current = percent
		}
	}
}
