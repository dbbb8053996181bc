package bench

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wagtailford.example/standin/fleet"
)

// BenchmarkSaturation lets a rising number of callers call one after the other, through an entry node to a worker that
// answers at once beside the second node.
func BenchmarkSaturation(b *testing.B) {
	needPrograms(b)
	const duration = 3 * time.Second
	f, _ := startWorkers(b, workerFleet{nodes: 2, entryOnly: 1, announced: noLimit, settings: limitsOff})
	url := f.Plans[0].URL(fleet.IngressPort) + "/work"
	for _, callers := range []int{1, 8, 32, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			before := f.Sample()
			latency, failed := closedLoop(newOpenCaller(b), url, callers, duration)
			after := f.Sample()
			var cpu time.Duration
			for name := range after.Usage {
				cpu += after.Usage[name].CPU - before.Usage[name].CPU
			}
			b.ReportMetric(float64(latency.TotalCount())/duration.Seconds(), "answered/s")
			b.ReportMetric(float64(failed), "not-answered")
			b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-us")
			b.ReportMetric(float64(cpu.Microseconds())/float64(max(1, latency.TotalCount())), "mesh-cpu-us/call")
			b.ReportMetric(float64(fleet.Between(before, after).AnonymousMax)/(1<<20), "anon-MiB-max")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// closedLoop returns the latency of answered calls in microseconds and the number of the others.
func closedLoop(caller *openCaller, url string, callers int, duration time.Duration) (*hdrhistogram.Histogram, int64) {
	latency := hdrhistogram.New(1, callerTimeout.Microseconds(), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed atomic.Int64
	end := time.Now().Add(duration)
	for range callers {
		wg.Go(func() {
			for time.Now().Before(end) {
				start := time.Now()
				if caller.send(url) != "answered" {
					failed.Add(1)
					continue
				}
				micros := time.Since(start).Microseconds()
				mu.Lock()
				_ = latency.RecordValue(max(1, micros))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return latency, failed.Load()
}
