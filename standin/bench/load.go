package bench

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"wagtailford.example/standin/fleet"
	"wagtailford.example/standin/loadgen"
	"wagtailford.example/standin/target"
)

const (
	// callerTimeout is the time that a caller of the overload and fault benchmarks waits for its answer.
	callerTimeout = time.Second
	// callersMax limits the calls in progress; it is above what the highest rate reaches within callerTimeout.
	callersMax = 8000
	// noLimit is the largest number of slots that a target can announce.
	noLimit = 4096
	// manyContents is a number of different requests above what any benchmark sends.
	manyContents = 1 << 30
	// recoveryWindow is the time over which the share of answered calls is judged.
	recoveryWindow = 100 * time.Millisecond
	// recovered is the share of answered calls in recoveryWindow that counts as recovered.
	recovered = 0.99
)

// limitsOff takes every limit away that would refuse or delay a request before the target does.
const limitsOff = `[admission]

slots = 4096
queue = 100000
workers = 100000
[limits]
connections_max = 20000
[target]
connections_max = 10000
`

// limitsOn leaves admission at its defaults and lets the callers of the benchmark connect.
const limitsOn = `[limits]

connections_max = 20000
`

// openCaller sends calls on as many connections as they need.
type openCaller struct {
	client *http.Client
}

func newOpenCaller(b *testing.B) *openCaller {
	b.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: callersMax}
	b.Cleanup(transport.CloseIdleConnections)
	return &openCaller{client: &http.Client{Transport: transport}}
}

// send makes one call with the deadline of callerTimeout and returns its outcome, or "timeout" or "error".
func (c *openCaller) send(url string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "error"
	}
	req.Header.Set("Wagtail-Deadline-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	req.Header.Set(target.HeaderRequestID, uuid.NewString())
	reply, err := c.client.Do(req)
	if errors.Is(err, context.DeadlineExceeded) {
		return "timeout"
	}
	if err != nil {
		return "error"
	}
	reply.Body.Close()
	if outcome := reply.Header.Get("Wagtail-Outcome"); outcome != "" {
		return outcome
	}
	return "error"
}

// workerFleet describes nodes of one service with a worker beside each.
type workerFleet struct {
	nodes int
	// entryOnly is the number of nodes, from the first, without a worker.
	entryOnly int
	// announced is the number of slots that each worker announces.
	announced int
	settings  string
	service   time.Duration
}

// startWorkers starts nodes and workers and waits for the end of slow start.
func startWorkers(b *testing.B, o workerFleet) (*fleet.Fleet, []*worker) {
	b.Helper()
	network := fleet.Network()
	options := fleet.Options{Settings: o.settings}
	for i := range o.nodes {
		options.Plans = append(options.Plans, fleet.Plan{
			Name: fmt.Sprintf("n%d", i), Region: "r", FailureDomain: "d", Service: "work", IP: fmt.Sprintf("%s.2.%d", network, 1+i),
		})
	}
	f, err := Start(options)
	b.Cleanup(func() { Finish(f) })
	if err != nil {
		b.Fatal(err)
	}
	var workers []*worker
	for _, p := range f.Plans[o.entryOnly:] {
		workers = append(workers, startWorker(b, f, p, o.announced, o.service))
	}
	mustCtl(b, f, "service", "create", "work")
	mustCtl(b, f, "route", "create", "work", "--path-prefix", "/work", "--to", "work", "--wait")
	waitTargets(b, f, len(workers))
	const slowStart = 10 * time.Second
	time.Sleep(slowStart + time.Second)
	return f, workers
}

// runs is the number of requests that all workers started.
func runs(workers []*worker) int64 {
	var sum int64
	for _, w := range workers {
		sum += w.started.Load()
	}
	return sum
}

// measure offers a load at the first node and reports its outcomes and the runs at targets per call. It returns the
// calls with the time at which they were due. contents is the number of different requests, which a target that
// crashes makes suspects one by one.
func measure(b *testing.B, f *fleet.Fleet, workers []*worker, rate, contents int, duration time.Duration) []call {
	caller := newOpenCaller(b)
	url := f.Plans[0].URL(fleet.IngressPort) + "/work"
	var mu sync.Mutex
	var calls []call
	before, cpuBefore := runs(workers), f.Sample()
	start := time.Now()
	interval := time.Second / time.Duration(rate)
	r := loadgen.Run(loadgen.Options{
		Rate: rate, Duration: duration, OutstandingMax: callersMax,
		Do: func(i int) string {
			outcome := caller.send(fmt.Sprintf("%s?content=%d", url, i%contents))
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, call{due: time.Duration(i) * interval, end: time.Since(start), outcome: outcome})
			return outcome
		},
	})
	cpu := f.Sample()
	sent := float64(max(1, r.Sent))
	seconds := duration.Seconds()
	b.ReportMetric(float64(rate), "offered/s")
	b.ReportMetric(float64(r.Outcomes["answered"])/seconds, "goodput/s")
	b.ReportMetric(100*float64(r.Outcomes["refused-not-run"])/sent, "refused-%")
	b.ReportMetric(100*float64(r.Outcomes["unknown"])/sent, "unknown-%")
	b.ReportMetric(100*float64(r.Outcomes["timeout"]+r.Outcomes["error"])/sent, "no-answer-%")
	b.ReportMetric(float64(r.Skipped), "skipped")
	b.ReportMetric(float64(r.Quantile("answered", 50).Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(r.Quantile("answered", 99).Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(runs(workers)-before)/sent, "runs/call")
	b.ReportMetric(fleet.Between(cpuBefore, cpu).CPUMax, "cpu-%-max")
	b.ReportMetric(0, "ns/op")
	return calls
}

// call is one call of a measurement; due and end count from its start.
type call struct {
	due, end time.Duration
	outcome  string
}

// recovery is the end of the last window in which too few of the calls that were due were answered.
func recovery(calls []call) time.Duration {
	slices.SortFunc(calls, func(a, b call) int { return int(a.due - b.due) })
	var last time.Duration
	for from := 0; from < len(calls); {
		window := calls[from].due / recoveryWindow
		answered, to := 0, from
		for ; to < len(calls) && calls[to].due/recoveryWindow == window; to++ {
			if calls[to].outcome == "answered" {
				answered++
			}
		}
		if float64(answered) < recovered*float64(to-from) {
			last = (window + 1) * recoveryWindow
		}
		from = to
	}
	return last
}
