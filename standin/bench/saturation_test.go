package bench

import (
	"fmt"
	"testing"
	"time"

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
