package dispatch

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/ratelimit"
	"wagtailford.example/server/state/view"
)

// Trace records how a request was dispatched, for logs and counters.
type Trace struct {
	Request  *Request
	Result   *Result
	Started  time.Time
	Duration time.Duration
	// Version is the configuration version used to route the request; 0 if there was none.
	Version config.Version
	// View is what the route was looked up in; nil if the request was refused before.
	View           *view.View
	Route, Service string
	// Organisation is the organisation that sent the request; empty if there is none.
	Organisation string
	Attempts     []Attempt
	// BudgetExhausted is true if the retry limit did not permit another attempt.
	BudgetExhausted bool
}

// Attempt records one attempt to execute a request at a node.
type Attempt struct {
	Node    string
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Status  int
	// Arrived is true if the request may have reached the target.
	Arrived bool
	// InUse and Queued are the load reported by the node.
	InUse, Queued int
	Took          time.Duration
	// LimitPerSecond is the limit of the target, in requests per second, as its node stated it; 0 if there is none.
	LimitPerSecond float64
	// EntryRevision is the revision of the directory entry by which the node was selected.
	EntryRevision uint64
}

func (t *Trace) addAttempt(target *endpoint.Entry, r *wire.Response, took time.Duration) {
	limit := 0.0
	if r.TargetState != nil && r.TargetState.Limited {
		limit = max(r.TargetState.PerSecond, ratelimit.RateMin)
	}
	t.Attempts = append(t.Attempts, Attempt{
		LimitPerSecond: limit,
		Node:           target.Node, Outcome: r.Outcome, Reason: r.Reason, Status: r.Status, Arrived: r.Arrived,
		InUse: r.InUse, Queued: r.Queued, Took: took, EntryRevision: target.Revision,
	})
}

const (
	// latencyMaxUS is the highest latency tracked by the histogram, one minute in microseconds.
	latencyMaxUS = 60_000_000
	// latencyDigits is the number of significant decimal digits of the histogram.
	latencyDigits = 2
	// maxReasons limits the number of distinct outcome and reason pairs that are counted.
	maxReasons = 128
)

// Counters counts requests since the process started.
type Counters struct {
	canceled atomic.Int64
	returned atomic.Int64

	mu       sync.Mutex
	far      CrossDomain
	byReason map[string]int64
	repeats  int64
	latency  *hdrhistogram.Histogram
}

// CrossDomain counts the attempts at nodes of other failure domains by what became of them. Bytes are those of requests and
// responses without the encoding between nodes.
type CrossDomain struct {
	Served, Refused, Failed                int64
	ServedBytes, RefusedBytes, FailedBytes int64
	// NestedBytes is the part of ServedBytes for requests that are known to be calls of running ones.
	NestedBytes int64
}

// recordFar counts an attempt at a node of another failure domain.
func (c *Counters) recordFar(request *wire.Request, response *wire.Response) {
	size := messageBytes(request.Path, request.Headers, request.Body) + messageBytes("", response.Headers, response.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch response.Outcome {
	case outcome.Answered:
		c.far.Served++
		c.far.ServedBytes += size
		if request.Nested {
			c.far.NestedBytes += size
		}
	case outcome.RefusedNotRun:
		c.far.Refused++
		c.far.RefusedBytes += size
	default:
		c.far.Failed++
		c.far.FailedBytes += size
	}
}

// messageBytes is the size of a message in bytes.
func messageBytes(path string, headers []wire.Header, body []byte) int64 {
	size := len(path) + len(body)
	for i := range headers {
		size += len(headers[i].Name) + len(headers[i].Value)
	}
	return int64(size)
}

// CounterValues is a snapshot of Counters.
type CounterValues struct {
	CrossDomain CrossDomain
	// ByOutcome counts requests by "outcome/reason", or by "outcome" for requests without a reason.
	ByOutcome map[string]int64
	// Repeats counts the attempts that followed one that may have reached a target.
	Repeats  int64
	Canceled int64
	// Returned counts the requests that callers repeated here after they had not been served.
	Returned int64
	// LatencyMS holds latency percentiles of answered requests in milliseconds.
	LatencyMS map[string]float64
}

func (c *Counters) count(t *Trace) {
	name := t.Result.Outcome.String()
	if t.Result.Reason != outcome.ReasonNone {
		name += "/" + string(t.Result.Reason)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byReason == nil {
		c.byReason = make(map[string]int64)
		c.latency = hdrhistogram.New(1, latencyMaxUS, latencyDigits)
	}
	if _, known := c.byReason[name]; !known && len(c.byReason) >= maxReasons {
		name = t.Result.Outcome.String() + "/other"
	}
	c.byReason[name]++
	arrived := int64(0)
	for _, a := range t.Attempts {
		if a.Arrived {
			arrived++
		}
	}
	c.repeats += max(arrived-1, 0)
	if t.Result.Outcome == outcome.Answered {
		_ = c.latency.RecordValue(min(t.Duration.Microseconds(), latencyMaxUS))
	}
}

// Values returns a snapshot of the counters.
func (c *Counters) Values() CounterValues {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := CounterValues{CrossDomain: c.far, ByOutcome: make(map[string]int64), Repeats: c.repeats, Canceled: c.canceled.Load(), Returned: c.returned.Load()}
	for name, n := range c.byReason {
		v.ByOutcome[name] = n
	}
	if c.latency != nil {
		v.LatencyMS = map[string]float64{
			"p50": float64(c.latency.ValueAtQuantile(50)) / 1000,
			"p99": float64(c.latency.ValueAtQuantile(99)) / 1000,
			"max": float64(c.latency.Max()) / 1000,
		}
	}
	return v
}

// String formats the attempt as space-separated fields: node@revision, outcome, status or reason, load and
// duration.
func (a *Attempt) String() string {
	result := string(a.Reason)
	if a.Outcome == outcome.Answered {
		result = strconv.Itoa(a.Status)
	}
	limit := ""
	if a.LimitPerSecond > 0 {
		limit = fmt.Sprintf("limit=%.3g ", a.LimitPerSecond)
	}
	return fmt.Sprintf("%s@%d %s %s in_use=%d queued=%d %sarrived=%t %dms",
		a.Node, a.EntryRevision, a.Outcome, result, a.InUse, a.Queued, limit, a.Arrived, a.Took.Milliseconds())
}
