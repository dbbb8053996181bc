package execute

import (
	"maps"
	"sync"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/admission"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/endpoint"
)

// ReasonCounts counts events by reason. Its size is bounded by the reasons defined in package outcome. The zero
// value is ready to use.
type ReasonCounts struct {
	mu     sync.Mutex
	counts map[outcome.Reason]int64
}

// Add counts one event.
func (c *ReasonCounts) Add(reason outcome.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[outcome.Reason]int64)
	}
	c.counts[reason]++
}

// Load returns a copy of the counts.
func (c *ReasonCounts) Load() map[outcome.Reason]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// Dump is the dumped state of an Executor. Its size is bounded by the number of reasons and crash counts.
type Dump struct {
	Target        Target
	Active        int
	InUse         int64
	Queued        int64
	ServiceTimeMS float64
	Workers       int
	Admitted      int64
	Answered      int64
	Unknown       int64
	Cancelled     int64
	Overtaken     int64
	Refused       map[outcome.Reason]int64
	Crashes       int64
	CrashCounts   []endpoint.CrashCount
	Cleared       []endpoint.Clearance
	Blocked       int64
	Malformed     int64
	Condition     ConditionDump
	Capacity      CapacityDump
}

// CapacityDump is the dumped state of what the target holds and of the shares of organisations.
type CapacityDump struct {
	admission.Totals
	// AfterBreakState is what the target does with requests whose connection closes.
	AfterBreakState string
}

// Dump returns the state of the executor.
func (e *Executor) Dump() any {
	e.mu.Lock()
	target := e.target
	active := e.active
	e.mu.Unlock()
	totals := e.Gate.Totals()
	return Dump{
		Target:        target,
		Active:        active,
		InUse:         e.Gate.InUse.Load(),
		Queued:        e.Gate.Queued.Load(),
		ServiceTimeMS: e.Gate.ServiceTime().Seconds() * 1000,
		Workers:       e.pool.Running(),
		Admitted:      e.Counters.Admitted.Load(),
		Answered:      e.Counters.Answered.Load(),
		Unknown:       e.Counters.Unknown.Load(),
		Cancelled:     e.Counters.Cancelled.Load(),
		Overtaken:     e.Counters.Overtaken.Load(),
		Refused:       e.Counters.Refused.Load(),
		Crashes:       e.Counters.Crashes.Load(),
		CrashCounts:   e.crashes.ownLedger().Crashes,
		Cleared:       e.crashes.ownLedger().Cleared,
		Blocked:       e.Counters.SuspectsBlocked.Load(),
		Malformed:     e.Counters.Malformed.Load(),
		Condition:     e.dumpCondition(),
		Capacity:      CapacityDump{Totals: totals, AfterBreakState: totals.AfterBreak.String()},
	}
}

// Results returns the number of requests that the target answered and of those with an unknown outcome.
func (e *Executor) Results() (answered, unknown int64) {
	return e.Counters.Answered.Load(), e.Counters.Unknown.Load()
}

// reportUnanswered logs that the target was judged not to have answered a request.
func (e *Executor) reportUnanswered(c admission.CapacityState) {
	target := e.Target()
	e.deps.Log.WithFields(log.Fields{
		"event": "target_unanswered", "instance": target.Instance, "start": target.Start, "stated": c.Stated, "offered": c.Offered,
		"held": c.Held, "after_break": c.AfterBreak.String(),
	}).Warn("target left a request unanswered, and is sent fewer at a time")
}
