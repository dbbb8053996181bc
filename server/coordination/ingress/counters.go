package ingress

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"wagtailford.example/server/protocol/outcome"
)

// reasonsMax limits the number of counted outcome and reason pairs, because nodes of a newer build may send reasons
// that this one does not know.
const reasonsMax = 128

// Counters counts requests since the process started.
type Counters struct {
	Answered, Refused, Unknown atomic.Int64
	// Retries counts attempts after the first one, Redirects requests sent again to the owner named in a not_owner
	// response.
	Retries, Redirects atomic.Int64
	// Resolves counts inquiries about attempts whose reply was lost.
	Resolves atomic.Int64
	// Previous counts inquiries at services that were destinations of a route before it changed.
	Previous atomic.Int64
	// BudgetExhausted counts retries that the retry budget did not allow.
	BudgetExhausted atomic.Int64
	// Canceled counts attempts cancelled because the caller disconnected.
	Canceled atomic.Int64
	// KeyMissed counts generated keys whose owner is not the target selected by load balancing.
	KeyMissed atomic.Int64

	latencies latencies

	mu       sync.Mutex
	byReason map[string]int64
}

// CounterValues is a snapshot of Counters.
type CounterValues struct {
	Answered, Refused, Unknown int64
	Retries, Redirects         int64
	Resolves, BudgetExhausted  int64
	Previous                   int64
	Canceled, KeyMissed        int64
	// Latency covers all answered requests since the start, LatencyRecent those of the last one to two minutes.
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

// Values returns a snapshot of the counters.
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
