package bench

import (
	"encoding/json"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"wagtailford.example/standin/fleet"
)

// Phases of a measurement.
const (
	// settleTime lets the hand-over of key records at joining end before the steady phase.
	settleTime    = 15 * time.Second
	steadyTime    = 10 * time.Second
	publishPause  = 300 * time.Millisecond
	publishCount  = 12
	benchServices = 6
)

// fleetSizes returns the numbers of nodes to measure; the variable WAGTAILFORD_SIZES replaces them.
func fleetSizes(b *testing.B) []int {
	b.Helper()
	list := os.Getenv("WAGTAILFORD_SIZES")
	if list == "" {
		list = "10,40,160"
	}
	var sizes []int
	for _, text := range strings.Split(list, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			b.Fatal(err)
		}
		sizes = append(sizes, n)
	}
	return sizes
}

// bytesFirst spells the defaults of the profile bytes-first out, since the section [node] is written already.
const bytesFirst = `[fanout]

sync_hold = 3s
coalesce_window = 500ms
[membership]
suspect_after = 2s
dead_after = 9s
self_fence = 7s
`

func prepare(b *testing.B, f *fleet.Fleet) {
	b.Helper()
	if err := Configure(f, benchServices); err != nil {
		b.Fatal(err)
	}
	waitTargets(b, f, len(f.Plans))
	time.Sleep(settleTime)
}

func reportRates(b *testing.B, r fleet.Rates) {
	b.ReportMetric(r.CPUMean, "cpu-%-mean")
	b.ReportMetric(r.CPUMax, "cpu-%-max")
	b.ReportMetric(r.BytesMean, "B/s-mean")
	b.ReportMetric(r.BytesMax, "B/s-max")
	b.ReportMetric(float64(r.ResidentMax)/(1<<20), "rss-MiB-max")
	b.ReportMetric(float64(r.AnonymousMax)/(1<<20), "anon-MiB-max")
	b.ReportMetric(0, "ns/op")
}

func measureSteady(b *testing.B, f *fleet.Fleet) {
	logBefore, err := f.ReadLogStats()
	if err != nil {
		b.Fatal(err)
	}
	before := f.Sample()
	time.Sleep(steadyTime)
	after := f.Sample()
	logAfter, err := f.ReadLogStats()
	if err != nil {
		b.Fatal(err)
	}
	reportRates(b, fleet.Between(before, after))
	reportLog(b, logBefore, logAfter, after.Time.Sub(before.Time))
}

func reportLog(b *testing.B, before, after fleet.LogStats, elapsed time.Duration) {
	b.ReportMetric(float64(after.Requests-before.Requests)/elapsed.Seconds(), "log-requests/s")
	b.ReportMetric(float64(after.BytesRead-before.BytesRead)/elapsed.Seconds(), "log-read-B/s")
}

// measurePublish publishes versions one after the other and reports how long each took to be in force everywhere.
func measurePublish(b *testing.B, f *fleet.Fleet, disturb func(stop <-chan struct{})) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { disturb(stop) })
	newest := currentVersion(b, f)
	logBefore, err := f.ReadLogStats()
	if err != nil {
		b.Fatal(err)
	}
	before := f.Sample()
	for i := range publishCount {
		mustCtl(b, f, "route", "update", ServiceName(0), "--path-prefix", "/"+ServiceName(0),
			"--to", ServiceName(0), "--max-attempts", strconv.Itoa(1+i%9))
		time.Sleep(publishPause)
	}
	time.Sleep(2 * time.Second)
	after := f.Sample()
	close(stop)
	wg.Wait()
	logAfter, err := f.ReadLogStats()
	if err != nil {
		b.Fatal(err)
	}
	lags, missing := f.Lags(newest, publishCount)
	reportRates(b, fleet.Between(before, after))
	reportLog(b, logBefore, logAfter, after.Time.Sub(before.Time))
	reportLags(b, lags, missing)
}

func reportLags(b *testing.B, lags []int64, missing int) {
	b.ReportMetric(float64(fleet.Percentile(lags, 0.5)), "converge-p50-ms")
	b.ReportMetric(float64(fleet.Percentile(lags, 0.99)), "converge-p99-ms")
	b.ReportMetric(float64(fleet.Percentile(lags, 1)), "converge-max-ms")
	b.ReportMetric(float64(missing), "not-converged")
}

func currentVersion(b *testing.B, f *fleet.Fleet) uint64 {
	b.Helper()
	out, err := f.Ctl(f.Plans[0], "status", "-o", "json")
	if err != nil {
		b.Fatal(err)
	}
	var status struct {
		Version uint64 `json:"version,string"`
	}
	if err := json.Unmarshal([]byte(out), &status); err != nil {
		b.Fatal(err)
	}
	return status.Version
}

// churn lets a tenth of the targets leave and announce themselves again per minute.
func churn(f *fleet.Fleet, stop <-chan struct{}) {
	interval := time.Minute / time.Duration(max(1, len(f.Plans)/10))
	for i := 0; ; i++ {
		p := f.Plans[i%len(f.Plans)]
		_, _ = f.HTTP.Do("DELETE", p.URL(fleet.AnnouncePort)+"/v1/target", nil, nil)
		Announce(f, p)
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
	}
}

// measureDeath kills one node and waits until three others list it as dead.
func measureDeath(b *testing.B, f *fleet.Fleet) {
	victim := f.Plans[len(f.Plans)-1]
	f.Nodes[victim.Name].Kill()
	killed := time.Now()
	for _, observer := range []fleet.Plan{f.Plans[0], f.Plans[1], f.Plans[2]} {
		err := fleet.Eventually(time.Minute, victim.Name+" is dead", func() bool {
			out, err := f.Ctl(observer, "target", "list")
			return err == nil && lineHas(out, victim.Name, "dead")
		})
		if err != nil {
			b.Error(err)
		}
	}
	b.ReportMetric(float64(time.Since(killed).Milliseconds()), "death-to-removal-ms")
	b.ReportMetric(0, "ns/op")
	if err := f.Nodes[victim.Name].Start(); err != nil {
		b.Fatal(err)
	}
	if err := f.WaitReady(victim); err != nil {
		b.Error(err)
	}
	Announce(f, victim)
}

func lineHas(table, name, word string) bool {
	for _, line := range strings.Split(table, "\n") {
		if strings.HasPrefix(line, name+" ") && strings.Contains(line, word) {
			return true
		}
	}
	return false
}

// measureHerd kills half of the nodes at once, starts them again, and publishes a version meanwhile.
func measureHerd(b *testing.B, f *fleet.Fleet) {
	var herd []fleet.Plan
	for i, p := range f.Plans {
		if i%2 == 1 {
			herd = append(herd, p)
		}
	}
	for _, p := range herd {
		f.Nodes[p.Name].Kill()
	}
	restarted := time.Now()
	for _, p := range herd {
		if err := f.Nodes[p.Name].Start(); err != nil {
			b.Fatal(err)
		}
	}
	newest := currentVersion(b, f)
	mustCtl(b, f, "route", "update", ServiceName(1), "--path-prefix", "/"+ServiceName(1), "--to", ServiceName(1), "--max-attempts", "2")
	if err := f.WaitAllReady(); err != nil {
		b.Error(err)
	}
	b.ReportMetric(float64(time.Since(restarted).Milliseconds()), "herd-ready-ms")
	err := fleet.Eventually(time.Minute, "every node has the version of the restart", func() bool {
		status, err := f.Ctl(f.Plans[0], "status", "-o", "json")
		return err == nil && convergedAbove(status, newest, len(f.Plans))
	})
	if err != nil {
		b.Error(err)
	}
	b.ReportMetric(float64(time.Since(restarted).Milliseconds()), "herd-converged-ms")
	b.ReportMetric(0, "ns/op")
}

func convergedAbove(status string, version uint64, nodes int) bool {
	var s struct {
		Nodes []struct {
			Version uint64 `json:"version,string"`
		} `json:"nodes"`
	}
	if json.Unmarshal([]byte(status), &s) != nil || len(s.Nodes) < nodes {
		return false
	}
	for _, n := range s.Nodes {
		if n.Version <= version {
			return false
		}
	}
	return true
}
