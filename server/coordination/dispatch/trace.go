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
)

// Trace is what decided a request, for logs and counters.
type Trace struct {
	Request  *Request
	Result   *Result
	Started  time.Time
	Duration time.Duration
	// Version is the configuration that the request was routed by; 0 if there was none.
	Version        config.Version
	Route, Service string
	Attempts       []Attempt
	// BudgetExhausted is true if the limit on repeats did not allow another attempt.
	BudgetExhausted bool
}

// Attempt is one offer of a request to a node.
type Attempt struct {
	Node    string
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Status  int
	// Arrived is true if the request may have reached the target.
	Arrived bool
	// InUse and Queued are the load that the node stated.
	InUse, Queued int
	Took          time.Duration
	// EntryRevision is the version of the entry that the node was chosen by.
	EntryRevision uint64
}

func (t *Trace) attempt(target *endpoint.Entry, r *wire.Response, took time.Duration) {
	t.Attempts = append(t.Attempts, Attempt{
		Node: target.Node, Outcome: r.Outcome, Reason: r.Reason, Status: r.Status, Arrived: r.Arrived,
		InUse: r.InUse, Queued: r.Queued, Took: took, EntryRevision: target.Revision,
	})
}

const (
	// latencyMaxUS is the highest latency that the histogram tells apart, a minute in microseconds.
	latencyMaxUS = 60_000_000
	// latencyDigits is the precision of the histogram in decimal digits.
	latencyDigits = 2
	// reasonsMax limits the counted pairs of outcome and reason.
	reasonsMax = 128
)

// Counters count requests since the start.
type Counters struct {
	canceled atomic.Int64

	mu       sync.Mutex
	byReason map[string]int64
	repeats  int64
	latency  *hdrhistogram.Histogram
}

// CounterValues is a copy of the counters.
type CounterValues struct {
	// ByOutcome counts requests by outcome, or by "outcome/reason".
	ByOutcome map[string]int64
	// Repeats are attempts after one that may have reached a target.
	Repeats  int64
	Canceled int64
	// LatencyMS are percentiles of the answered requests, in milliseconds.
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
	if _, known := c.byReason[name]; !known && len(c.byReason) >= reasonsMax {
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

// Values returns the current values.
func (c *Counters) Values() CounterValues {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := CounterValues{ByOutcome: make(map[string]int64), Repeats: c.repeats, Canceled: c.canceled.Load()}
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

// String is the attempt in one word for each part: node@revision, outcome, status or reason, load and time.
func (a *Attempt) String() string {
	result := string(a.Reason)
	if a.Outcome == outcome.Answered {
		result = strconv.Itoa(a.Status)
	}
	return fmt.Sprintf("%s@%d %s %s in_use=%d queued=%d arrived=%t %dms",
		a.Node, a.EntryRevision, a.Outcome, result, a.InUse, a.Queued, a.Arrived, a.Took.Milliseconds())
}
