package daemon

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// Pace of the garbage collector. With a percentage alone, a node with a small heap collects several times a second
// under load, and a node with a large one keeps resident memory above 32 MB.
const (
	// collectHeadroom is how many bytes are allocated between two collections, within the bounds below.
	collectHeadroom = 8 << 20
	// collectPercentMin and collectPercentMax bound the headroom in percent of the live heap.
	collectPercentMin = 40
	collectPercentMax = 400
	// collectInterval is the interval at which the percentage follows the live heap.
	collectInterval = 5 * time.Second
)

// liveHeap is the metric of the heap that the last collection left, in bytes.
const liveHeap = "/gc/heap/live:bytes"

// collectPercent returns the percentage that leaves collectHeadroom above a live heap.
func collectPercent(live uint64) int {
	percent := 100 * collectHeadroom / max(live, 1)
	return int(min(max(percent, collectPercentMin), collectPercentMax))
}

// paceCollector adapts the garbage collector to the live heap until ctx ends.
func paceCollector(ctx context.Context) {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	sample := []metrics.Sample{{Name: liveHeap}}
	current := collectPercentMin
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		metrics.Read(sample)
		percent := collectPercent(sample[0].Value.Uint64())
		// Setting the percentage stops the process for a moment, so small changes are left out.
		if percent > current*5/4 || percent < current*4/5 {
			debug.SetGCPercent(percent)
			current = percent
		}
	}
}
