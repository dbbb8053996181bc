package bench

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOverloadProcesses offers one target less and more than its capacity, with admission and without it. After
// each overload the load falls to 0.8 of the capacity at once, and recovery-ms is how long calls still fail.
func BenchmarkOverloadProcesses(b *testing.B) {
	needPrograms(b)
	const duration = 3 * time.Second
	capacity := float64(workerSlots) * float64(time.Second) / float64(workerService)
	for _, mode := range []struct {
		name, settings string
		announced      int
	}{{"limit", limitsOn, workerSlots}, {"no-limit", limitsOff, noLimit}} {
		b.Run(mode.name, func(b *testing.B) {
			f, workers := startWorkers(b, workerFleet{
				nodes: 1, announced: mode.announced, settings: mode.settings, service: workerService,
			})
			for _, load := range []float64{0.8, 1.5, 2, 5} {
				b.Run(fmt.Sprintf("load=%.1f", load), func(b *testing.B) {
					measure(b, f, workers, int(load*capacity), manyContents, duration)
				})
				if load < 1 {
					continue
				}
				b.Run(fmt.Sprintf("load=%.1f/after", load), func(b *testing.B) {
					calls := measure(b, f, workers, int(0.8*capacity), manyContents, duration)
					b.ReportMetric(float64(recovery(calls).Milliseconds()), "recovery-ms")
				})
			}
		})
	}
}

// BenchmarkTargetFaults offers three targets half of their capacity while one of them is slow, cold or killed.
func BenchmarkTargetFaults(b *testing.B) {
	needPrograms(b)
	const duration = 5 * time.Second
	const targets = 3
	capacity := targets * float64(workerSlots) * float64(time.Second) / float64(workerService)
	for _, fault := range []struct {
		name     string
		contents int
		begin    func(w *worker)
	}{
		{"none", manyContents, func(*worker) {}},
		{"slow", manyContents, func(w *worker) { w.service.Store(int64(coldFactor * workerService)) }},
		{"cold", manyContents, func(w *worker) { w.warmup.Store(100) }},
		{"killed", manyContents, func(w *worker) { time.AfterFunc(duration/5, w.kill) }},
		{"killed-same-content", 1, func(w *worker) { time.AfterFunc(duration/5, w.kill) }},
	} {
		b.Run(fault.name, func(b *testing.B) {
			f, workers := startWorkers(b, workerFleet{
				nodes: targets, announced: workerSlots, settings: limitsOn, service: workerService,
			})
			fault.begin(workers[1])
			calls := measure(b, f, workers, int(capacity/2), fault.contents, duration)
			b.ReportMetric(float64(recovery(calls).Milliseconds()), "last-fault-ms")
		})
	}
}
