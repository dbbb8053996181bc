package bench

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"wagtailford.example/standin/fleet"
	"wagtailford.example/standin/loadgen"
	"wagtailford.example/standin/target"
)

func needPrograms(b *testing.B) {
	b.Helper()
	if os.Getenv(BinVariable) == "" {
		b.Skip(BinVariable + " is not set")
	}
}

// twoNodes starts two nodes with the services "near" beside the first and "far" beside the second.
func twoNodes(b *testing.B) *fleet.Fleet {
	b.Helper()
	network := fleet.Network()
	f, err := Start(fleet.Options{WithTargets: true, Settings: profileSettings(), Plans: []fleet.Plan{
		{Name: "n1", Region: "r", FailureDomain: "d1", Service: "near", IP: network + ".1.1"},
		{Name: "n2", Region: "r", FailureDomain: "d2", Service: "far", IP: network + ".1.2"},
	}})
	b.Cleanup(func() { Finish(f) })
	if err != nil {
		b.Fatal(err)
	}
	for _, service := range []string{"near", "far"} {
		mustCtl(b, f, "service", "create", service)
		mustCtl(b, f, "route", "create", service, "--path-prefix", "/"+service, "--to", service, "--wait")
	}
	waitTargets(b, f, 2)
	return f
}

func mustCtl(b *testing.B, f *fleet.Fleet, args ...string) {
	b.Helper()
	if _, err := f.Ctl(f.Plans[0], args...); err != nil {
		b.Fatal(err)
	}
}

// waitTargets waits until the first node lists n targets as alive.
func waitTargets(b *testing.B, f *fleet.Fleet, n int) {
	b.Helper()
	err := fleet.Eventually(fleet.ReadyTimeout, fmt.Sprint(n, " targets are alive"), func() bool {
		out, err := f.Ctl(f.Plans[0], "target", "list")
		return err == nil && strings.Count(out, "alive") == n
	})
	if err != nil {
		b.Fatal(err)
	}
}

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

// send makes one request and returns its outcome; a direct answer has no outcome header and counts as answered.
func send(f *fleet.Fleet, method, url string) string {
	id := uuid.NewString()
	reply, err := f.HTTP.Do(method, url, map[string]string{target.HeaderRequestID: id}, nil)
	switch {
	case err != nil:
		return "error"
	case reply.Outcome == "" && reply.Status == 200:
		return "answered"
	default:
		return reply.Outcome
	}
}
