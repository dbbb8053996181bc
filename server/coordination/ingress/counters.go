package ingress

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"wagtailford.example/server/protocol/outcome"
)

// reasonsMax limits the counted pairs of outcome and reason; other nodes may send reasons of a newer build.
const reasonsMax = 128

// Counters count requests since the start.
type Counters struct {
	Answered, Refused, Unknown atomic.Int64
	// Retries are attempts after the first one, Redirects those that followed a not_owner answer.
	Retries, Redirects atomic.Int64
	// Resolves are inquiries about attempts whose reply was lost.
	Resolves atomic.Int64
	// Previous are inquiries at services that a route led to before.
	Previous atomic.Int64
	// BudgetExhausted counts retries that the budget did not allow.
	BudgetExhausted atomic.Int64
	// Canceled counts attempts whose caller disconnected.
	Canceled atomic.Int64
	// KeyMissed counts generated keys whose owner is not the target chosen by load.
	KeyMissed atomic.Int64

	latencies latencies

	mu       sync.Mutex
	byReason map[string]int64
}

// CounterValues is a copy of the counters.
type CounterValues struct {
	Answered, Refused, Unknown int64
	Retries, Redirects         int64
	Resolves, BudgetExhausted  int64
	Previous                   int64
	Canceled, KeyMissed        int64
	// Latency covers all answered requests, LatencyRecent those of the last one to two minutes.
	Latency, LatencyRecent Latency
	// ByReason counts requests by "outcome/reason".
	ByReason map[string]int64
}

func (c *Counters) count(o outcome.Outcome, reason outcome.Reason) {
	switch o {
	case outcome.Answered:
		c.Answered.Add(1)
		return
	case outcome.RefusedNotRun:
		c.Refused.Add(1)
	default:
		c.Unknown.Add(1)
	}
	name := o.String() + "/" + string(reason)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byReason == nil {
		c.byReason = make(map[string]int64)
	}
	if _, ok := c.byReason[name]; !ok && len(c.byReason) >= reasonsMax {
		name = o.String() + "/other"
	}
	c.byReason[name]++
}

// Values returns the current values.
func (c *Counters) Values() CounterValues {
	c.mu.Lock()
	byReason := maps.Clone(c.byReason)
	c.mu.Unlock()
	total, recent := c.latencies.values(time.Now())
	return CounterValues{
		Latency:         total,
		LatencyRecent:   recent,
		Answered:        c.Answered.Load(),
		Refused:         c.Refused.Load(),
		Unknown:         c.Unknown.Load(),
		Retries:         c.Retries.Load(),
		Redirects:       c.Redirects.Load(),
		Resolves:        c.Resolves.Load(),
		Previous:        c.Previous.Load(),
		BudgetExhausted: c.BudgetExhausted.Load(),
		Canceled:        c.Canceled.Load(),
		KeyMissed:       c.KeyMissed.Load(),
		ByReason:        byReason,
	}
}
