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
	// limitHeadroom is the ratio of the memory limit to what is in use. Near the limit the runtime collects without
	// pause, which takes half of a core and frees nothing.
	limitHeadroom = 1.5
	// collectInterval is the interval at which the percentage follows the load.
	collectInterval = 2 * time.Second
)

// Metrics of the runtime, in bytes: what the last collection left, what was allocated since the start, all memory of the
// process, and three parts of it: objects, free memory, and memory that was returned to the system.
const (
	liveHeap     = "/gc/heap/live:bytes"
	allocated    = "/gc/heap/allocs:bytes"
	memoryTotal  = "/memory/classes/total:bytes"
	heapObjects  = "/memory/classes/heap/objects:bytes"
	heapFree     = "/memory/classes/heap/free:bytes"
	heapReleased = "/memory/classes/heap/released:bytes"
)

// collectPercent returns the percentage for a live heap in bytes and what was allocated in collectInterval.
func collectPercent(live, recent uint64) int {
	headroom := min(recent*uint64(collectAge/collectInterval), collectHeadroomMax)
	percent := 100 * headroom / max(live, 1)
	return int(min(max(percent, collectPercentMin), collectPercentMax))
}

// memoryLimit returns the soft memory limit for a configured one and the bytes that are in use: the configured limit, or
// a higher one if that would make the collector run without pause.
func memoryLimit(configured int64, inUse uint64) int64 {
	return max(configured, int64(limitHeadroom*float64(inUse)))
}

// collectorSamples returns the samples that paceCollector reads.
func collectorSamples() []metrics.Sample {
	return []metrics.Sample{
		{Name: liveHeap}, {Name: allocated}, {Name: memoryTotal}, {Name: heapObjects}, {Name: heapFree}, {Name: heapReleased},
	}
}

// memoryInUse returns the bytes that no collection frees, from the values of collectorSamples: the live heap and all memory
// outside the heap, such as stacks.
func memoryInUse(sample []metrics.Sample) uint64 {
	inUse := sample[0].Value.Uint64() + sample[2].Value.Uint64()
	for _, other := range sample[3:] {
		inUse -= other.Value.Uint64()
	}
	return inUse
}

// paceCollector adapts the garbage collector to the load until ctx ends. limit is the configured memory limit in bytes.
func paceCollector(ctx context.Context, limit int64) {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	sample := collectorSamples()
	metrics.Read(sample)
	before := sample[1].Value.Uint64()
	current, currentLimit := collectPercentMin, limit
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
		next := memoryLimit(limit, memoryInUse(sample))
		if next > currentLimit || next < currentLimit*4/5 {
			debug.SetMemoryLimit(next)
			currentLimit = next
		}
	}
}
