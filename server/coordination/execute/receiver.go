package execute

import (
	"context"
	"sync"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
)

// Receiver serves the net/rpc service wire.ServiceNode.
type Receiver struct {
	executor *Executor
}

// Receiver returns the net/rpc receiver, to be registered as wire.ServiceNode.
func (e *Executor) Receiver() *Receiver { return &Receiver{executor: e} }

// Execute runs a request. The error is always nil; the outcome is in the reply.
func (r *Receiver) Execute(args *wire.Request, reply *wire.Response) error {
	*reply = *r.executor.Execute(context.Background(), args)
	return nil
}

// Cancel ends the attempt if it is in progress. A queued request is then refused as not run; the connection of a
// running one is closed.
func (r *Receiver) Cancel(args *wire.CancelArgs, _ *wire.CancelReply) error {
	r.executor.attempts.cancel(args.From, args.ID)
	return nil
}

// attempt identifies a request of another node.
type attempt struct {
	from string
	id   uint64
}

// attempts finds the requests in progress by attempt. The zero value is ready to use.
type attempts struct {
	mu      sync.Mutex
	running map[attempt]*context.CancelFunc
}

// add registers an attempt until the returned function is called. Attempts without an id can't be cancelled.
func (a *attempts) add(from string, id uint64, cancel context.CancelFunc) func() {
	if id == 0 {
		return func() {}
	}
	key := attempt{from: from, id: id}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running == nil {
		a.running = make(map[attempt]*context.CancelFunc)
	}
	a.running[key] = &cancel
	return func() { a.remove(key, &cancel) }
}

func (a *attempts) remove(key attempt, cancel *context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[key] == cancel {
		delete(a.running, key)
	}
}

func (a *attempts) cancel(from string, id uint64) {
	a.mu.Lock()
	cancel := a.running[attempt{from: from, id: id}]
	a.mu.Unlock()
	if cancel != nil {
		(*cancel)()
	}
}

// ReasonCounts counts by reason. The number of reasons is fixed by package outcome. The zero value is ready to use.
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
	counts := make(map[outcome.Reason]int64, len(c.counts))
	for reason, n := range c.counts {
		counts[reason] = n
	}
	return counts
}

// Dump is the state of an Executor. Its size is bounded by the number of reasons and of crash counts.
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
	Refused       map[outcome.Reason]int64
	Crashes       int64
	CrashCounts   []endpoint.CrashCount
	Blocked       int64
}

// Dump returns the state of the executor.
func (e *Executor) Dump() any {
	e.mu.Lock()
	target := e.target
	active := e.active
	e.mu.Unlock()
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
		Refused:       e.Counters.Refused.Load(),
		Crashes:       e.Counters.Crashes.Load(),
		CrashCounts:   e.crashes.own(),
		Blocked:       e.Counters.SuspectsBlocked.Load(),
	}
}

// Results returns how many requests the target answered and how many ended with an unknown outcome.
func (e *Executor) Results() (answered, lost int64) {
	return e.Counters.Answered.Load(), e.Counters.Unknown.Load()
}
