// Package execute runs requests at the target beside the node and says what became of them.
package execute

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/panjf2000/ants/v2"

	"wagtailford.example/server/coordination/admission"
	"wagtailford.example/server/coordination/transfer"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/suspect"
	"wagtailford.example/server/state/view"
	"wagtailford.example/server/transport/httpclient"
)

// Settings are the settings of an Executor.
type Settings struct {
	// Node is the name of this node.
	Node string
	// Workers is the capacity of the pool that runs requests.
	Workers   int
	Admission admission.Settings
	Suspects  suspect.Limits
	// Client limits the connections to the target. Its IdleTimeout has to be below the idle timeout of the target.
	Client httpclient.Limits
	// Codec is how requests and answers look to the target; nil means the product's own.
	Codec Codec
}

// Keys decides on requests that have an idempotency key. Begin is called when the request holds a slot. If run is
// true, the request is run and finish is called once with its result; otherwise answer is the result. The manager
// must not change a response that it was given or has returned.
type Keys interface {
	Begin(ctx context.Context, r *wire.Request) (run bool, finish func(*wire.Response), answer *wire.Response)
}

// Dependencies are what an Executor uses of the other packages.
type Dependencies struct {
	// View returns the view in force, or nil before the first.
	View func() *view.View
	Keys Keys
	// UpdateSelf changes the entry of this node.
	UpdateSelf func(func(*endpoint.Entry))
	// Bodies fetches the bodies that requests only announce; nil if no sender does that.
	Bodies *transfer.Fetcher
	// OnCrash is called when the target was found to have crashed; it may be nil.
	OnCrash func()
	Log     log.Interface
}

// Target is the target beside the node.
type Target struct {
	Service string
	// Address is host:port; empty if no target has announced itself.
	Address string
	// Instance identifies one start of the target towards the target itself; empty if it has no such name.
	Instance string
	// Slots is the number of requests that the target takes at a time; 0 means the default.
	Slots int
	// Started is the time from which slow start counts.
	Started time.Time
	// Start identifies one start of the target's process; another value means that it started again.
	Start string
	// Refuse is the reason for which new requests are refused; empty if the target takes work.
	Refuse outcome.Reason
}

// Counters count what became of the requests.
type Counters struct {
	// Admitted are requests that got a slot.
	Admitted        atomic.Int64
	Answered        atomic.Int64
	Unknown         atomic.Int64
	Refused         ReasonCounts
	Cancelled       atomic.Int64
	Crashes         atomic.Int64
	SuspectsBlocked atomic.Int64
}

// Executor runs requests at the target.
type Executor struct {
	Counters Counters
	// Gate holds the slots; its InUse and Queued are gauges.
	Gate *admission.Controller

	settings Settings
	deps     Dependencies
	client   *httpclient.Client
	pool     *ants.Pool
	crashes  *crashes
	others   atomic.Pointer[othersIndex]
	attempts attempts

	mu     sync.Mutex
	target Target
	active int
	// idle is closed when no request is in progress; nil if nobody waits for that.
	idle chan struct{}
}

// othersIndex is the index of the crash counts in one view.
type othersIndex struct {
	view  *view.View
	index *suspect.Index
}

// New returns an executor without a target.
func New(s Settings, d Dependencies) (*Executor, error) {
	client, err := httpclient.New(s.Client)
	if err != nil {
		return nil, fmt.Errorf("set up executor: %w", err)
	}
	if s.Codec == nil {
		s.Codec = plainDialect{}
	}
	pool, err := ants.NewPool(s.Workers, ants.WithNonblocking(true), ants.WithPanicHandler(func(p any) { panic(p) }))
	if err != nil {
		return nil, fmt.Errorf("set up executor with %d workers: %w", s.Workers, err)
	}
	e := &Executor{
		Gate:     admission.NewController(s.Admission),
		settings: s,
		deps:     d,
		client:   client,
		pool:     pool,
		target:   Target{Refuse: outcome.ReasonNoTarget},
	}
	e.crashes = newCrashes(s.Suspects, e.publishCrashes)
	return e, nil
}

// Close releases the workers and the idle connections. No request may be in progress.
func (e *Executor) Close() {
	e.pool.Release()
	e.client.CloseIdle()
}

// SetTarget replaces the target. Requests in progress are not affected, except that another start of the target
// makes those that it interrupted suspects.
func (e *Executor) SetTarget(t Target) {
	e.mu.Lock()
	previous := e.target
	e.target = t
	e.mu.Unlock()
	if previous.Slots != t.Slots || !previous.Started.Equal(t.Started) {
		e.Gate.SetTarget(t.Slots, t.Started)
	}
	if previous.Start == t.Start || previous.Address == "" {
		return
	}
	if e.crashes.restarted() {
		e.Counters.Crashes.Add(1)
	}
}

// Target returns the target.
func (e *Executor) Target() Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.target
}

// WaitIdle waits until no request is in progress.
func (e *Executor) WaitIdle(ctx context.Context) error {
	for {
		idle := e.idleSignal()
		if idle == nil {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *Executor) idleSignal() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active == 0 {
		return nil
	}
	if e.idle == nil {
		e.idle = make(chan struct{})
	}
	return e.idle
}

// enter counts a request as in progress, or returns the reason of a refusal. Both happen under one lock, so no
// request starts after SetTarget refused new ones and WaitIdle returned.
func (e *Executor) enter(r *wire.Request) outcome.Reason {
	v := e.deps.View()
	if v == nil || !v.Ready {
		return outcome.ReasonNotReady
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.target.Refuse != outcome.ReasonNone {
		return e.target.Refuse
	}
	if e.target.Service != r.Service {
		return outcome.ReasonNoTarget
	}
	e.active++
	return outcome.ReasonNone
}

func (e *Executor) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if e.active == 0 && e.idle != nil {
		close(e.idle)
		e.idle = nil
	}
}

// Execute runs a request and returns its result. It waits at most for the time that remains for the request.
func (e *Executor) Execute(ctx context.Context, r *wire.Request) *wire.Response {
	reason := check(r)
	if reason == outcome.ReasonNone {
		reason = e.enter(r)
	}
	if reason != outcome.ReasonNone {
		return e.observe(r, e.count(refused(reason), r.Kind))
	}
	defer e.leave()
	deadline := time.Now().Add(time.Duration(r.TimeoutMS) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	defer e.attempts.add(r.From, r.ID, cancel)()
	if reason := e.fetchBody(ctx, r, deadline); reason != outcome.ReasonNone {
		return e.observe(r, e.count(refused(reason), r.Kind))
	}
	return e.observe(r, e.count(e.admit(ctx, r, deadline), r.Kind))
}

// fetchBody fetches the body of a request that only announces it. The body has to arrive so early that the target can
// answer in time; where the target is full for longer, nothing is fetched.
func (e *Executor) fetchBody(ctx context.Context, r *wire.Request, deadline time.Time) outcome.Reason {
	if r.BodyBytes == 0 {
		return outcome.ReasonNone
	}
	if e.deps.Bodies == nil {
		return outcome.ReasonTooLarge
	}
	now := time.Now()
	load := e.Gate.Load(r.Kind)
	due := arrival(r, deadline).Due.Add(-load.Reserve)
	if r.Late || due.Before(now) {
		due = now.Add(lateBodyWait)
	}
	if now.Add(load.Wait).After(due) {
		return outcome.ReasonQueueFull
	}
	body, reason, err := e.deps.Bodies.Fetch(ctx, r, due)
	if err != nil {
		e.deps.Log.WithError(err).WithFields(log.Fields{
			"event": "body_not_received", "request": r.RequestID, "from": r.From, "bytes": r.BodyBytes,
		}).Warn("body of a request not received")
	}
	r.Body = body
	if refuse := e.Target().Refuse; reason == outcome.ReasonNone && refuse != outcome.ReasonNone {
		// The target began to leave while the body was on its way.
		return refuse
	}
	return reason
}

// lateBodyWait is how long the body of a request that is late already may take. Where more bodies come than the link
// carries, those that can still be in time go first.
const lateBodyWait = 200 * time.Millisecond

// count counts a response and adds the load of the node to a copy of it.
func (e *Executor) count(r *wire.Response, kind uint32) *wire.Response {
	switch r.Outcome {
	case outcome.Answered:
		e.Counters.Answered.Add(1)
	case outcome.RefusedNotRun:
		e.Counters.Refused.Add(r.Reason)
	default:
		e.Counters.Unknown.Add(1)
	}
	if r.Reason == outcome.ReasonCanceled {
		e.Counters.Cancelled.Add(1)
	}
	loaded := *r
	load := e.Gate.Load(kind)
	loaded.InUse = load.InUse
	loaded.Queued = load.Queued
	loaded.Slots = load.Slots
	loaded.WaitMS = load.Wait.Milliseconds()
	loaded.ServiceMS = load.ServiceTime.Milliseconds()
	if e.deps.Bodies != nil {
		loaded.LinkWaitMS = e.deps.Bodies.EstimateDelay(0).Milliseconds()
	}
	return &loaded
}

// observe logs why a request with an id of its caller was not answered.
func (e *Executor) observe(r *wire.Request, response *wire.Response) *wire.Response {
	if response.Outcome == outcome.Answered || r.RequestID == "" {
		return response
	}
	target := e.Target()
	e.deps.Log.WithFields(log.Fields{
		"event": "execute", "request": r.RequestID, "from": r.From, "service": r.Service, "instance": target.Instance,
		"outcome": response.Outcome.String(), "reason": string(response.Reason), "arrived": response.Arrived,
		"priority": r.Priority, "far": r.Far,
		"in_use": response.InUse, "queued": response.Queued, "slots": response.Slots, "wait_ms": response.WaitMS,
		"service_ms": response.ServiceMS, "objective_left_ms": r.ObjectiveMS, "time_left_ms": r.TimeoutMS,
	}).Info("request not answered here")
	return response
}

// admit waits for a slot and runs the request on a worker.
func (e *Executor) admit(ctx context.Context, r *wire.Request, deadline time.Time) *wire.Response {
	digest := suspect.Digest(r.Service, r.Method, r.Path, r.Body)
	slot, alone, reason := e.slot(ctx, digest, arrival(r, deadline))
	if reason != outcome.ReasonNone {
		return refused(reason)
	}
	e.Counters.Admitted.Add(1)
	done := make(chan *wire.Response, 1)
	err := e.pool.Submit(func() { done <- e.begin(ctx, r, digest, alone) })
	if err != nil {
		slot.Release(false)
		return refused(outcome.ReasonOverloaded)
	}
	response := <-done
	slot.Release(response.Outcome != outcome.RefusedNotRun)
	return response
}

// arrival describes a request to the gate.
func arrival(r *wire.Request, deadline time.Time) admission.Arrival {
	a := admission.Arrival{Deadline: deadline, Kind: r.Kind, Priority: r.Priority, CrossDomain: r.Far, BodyFetched: r.BodyBytes > 0}
	if r.ObjectiveMS > 0 {
		a.Due = deadline.Add(time.Duration(r.ObjectiveMS-r.TimeoutMS) * time.Millisecond)
	}
	return a
}

// slot enters the gate, alone if the request is a suspect. The standing is judged again when the slot is granted,
// since the request may have crashed the target while this one waited.
func (e *Executor) slot(ctx context.Context, digest uint64, a admission.Arrival) (*admission.Slot, bool, outcome.Reason) {
	standing := e.judge(digest)
	for {
		if standing == suspect.Blocked {
			e.Counters.SuspectsBlocked.Add(1)
			return nil, false, outcome.ReasonSuspect
		}
		alone := standing == suspect.Suspected
		a.Exclusive = alone
		slot, reason := e.Gate.Acquire(ctx, a)
		if reason != outcome.ReasonNone {
			return nil, false, reason
		}
		standing = e.judge(digest)
		if standing == suspect.Clear || (standing == suspect.Suspected && alone) {
			return slot, alone, outcome.ReasonNone
		}
		slot.Release(false)
	}
}

func (e *Executor) judge(digest uint64) suspect.Standing {
	now := time.Now().UnixMilli()
	return suspect.Judge(digest, e.crashes.own(), e.othersIndex(), now, e.crashes.clearance(digest), e.settings.Suspects)
}

// othersIndex returns the index of the view in force.
func (e *Executor) othersIndex() *suspect.Index {
	v := e.deps.View()
	cached := e.others.Load()
	if cached == nil || cached.view != v {
		cached = &othersIndex{view: v, index: suspect.NewIndex(maps.Values(v.Nodes), e.settings.Node)}
		e.others.Store(cached)
	}
	return cached.index
}

// begin asks the key manager and runs the request unless it is answered already.
func (e *Executor) begin(ctx context.Context, r *wire.Request, digest uint64, alone bool) *wire.Response {
	if r.Key == "" {
		return e.run(ctx, r, digest, alone)
	}
	if reason := e.Target().Refuse; reason != outcome.ReasonNone {
		// The drain began while the request was queued, and its key may have been handed over.
		return refused(reason)
	}
	run, finish, answer := e.deps.Keys.Begin(ctx, r)
	if !run {
		return answer
	}
	response := e.run(ctx, r, digest, alone)
	finish(response)
	return response
}

// publishCrashes writes the crash counts into the entry of the node.
func (e *Executor) publishCrashes() {
	e.deps.UpdateSelf(func(entry *endpoint.Entry) { entry.Crashes = e.crashes.own() })
}
