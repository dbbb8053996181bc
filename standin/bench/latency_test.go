package bench

import (
	"fmt"
	"testing"
	"time"

	"wagtailford.example/standin/fleet"
	"wagtailford.example/standin/loadgen"
)

// BenchmarkLatencyAdded compares direct calls with calls over one and two hops at rising rates, in one run.
func BenchmarkLatencyAdded(b *testing.B) {
	needPrograms(b)
	f := twoNodes(b)
	const duration = 4 * time.Second
	paths := []struct {
		name, url, method string
	}{
		{"direct", f.Plans[0].URL(fleet.TargetPort) + "/near", "GET"},
		{"one-hop", f.Plans[0].URL(fleet.IngressPort) + "/near", "GET"},
		{"two-hops", f.Plans[0].URL(fleet.IngressPort) + "/far", "GET"},
		{"two-hops-keyed", f.Plans[0].URL(fleet.IngressPort) + "/far", "POST"},
	}
	for _, rate := range []int{100, 400, 1600, 3200} {
		for _, p := range paths {
			b.Run(fmt.Sprintf("rate=%d/%s", rate, p.name), func(b *testing.B) {
				before, heapBefore := f.Sample(), heapOf(b, f)
				profiled := writeProfiles(b, f, fmt.Sprintf("%d-%s", rate, p.name), duration)
				r := loadgen.Run(loadgen.Options{
					Rate: rate, Duration: duration, OutstandingMax: 512,
					Do: func(int) string { return send(f, p.method, p.url) },
				})
				profiled()
				after, heapAfter := f.Sample(), heapOf(b, f)
				const ok = "answered"
				b.ReportMetric(float64(r.Quantile(ok, 50).Microseconds()), "p50-us")
				b.ReportMetric(float64(r.Quantile(ok, 99).Microseconds()), "p99-us")
				b.ReportMetric(float64(r.Quantile(ok, 99.9).Microseconds()), "p999-us")
				b.ReportMetric(float64(r.Outcomes[ok])/r.Elapsed.Seconds(), "answered/s")
				b.ReportMetric(float64(r.Sent+r.Skipped-r.Outcomes[ok]), "not-answered")
				var cpu time.Duration
				for name := range after.Usage {
					cpu += after.Usage[name].CPU - before.Usage[name].CPU
				}
				calls := float64(max(1, r.Sent))
				b.ReportMetric(float64(cpu.Microseconds())/calls, "mesh-cpu-us/call")
				b.ReportMetric(float64(heapAfter.Mallocs-heapBefore.Mallocs)/calls, "mesh-allocs/call")
				b.ReportMetric(float64(heapAfter.TotalAlloc-heapBefore.TotalAlloc)/calls, "mesh-bytes/call")
				b.ReportMetric(float64(fleet.Between(before, after).AnonymousMax)/(1<<20), "anon-MiB-max")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
