// Package execute runs requests at the local target and determines their outcomes.
package execute

import (
	"context"
	"fmt"
	"maps"
	"slices"
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

// Settings configures an Executor.
type Settings struct {
	// Node is the name of this node.
	Node string
	// Workers is the capacity of the worker pool that runs requests.
	Workers   int
	Admission admission.Settings
	Suspects  suspect.Limits
	// DrainWindow is how long a target that has begun to drain still gets the requests that wait for it.
	DrainWindow time.Duration
	// Client limits the connections to the target. Its IdleTimeout must be lower than the idle timeout of the
	// target.
	Client httpclient.Limits
	// Codec encodes requests and decodes responses of the target; nil selects the native protocol.
	Codec Codec
}

// KeyManager deduplicates requests with an idempotency key. Begin is called once the request holds a slot. If run
// is true, the request is run and finish is called once with its result; otherwise answer is the result. The
// manager must not modify a response after receiving or returning it.
type KeyManager interface {
	Begin(ctx context.Context, r *wire.Request) (run bool, finish func(*wire.Response), answer *wire.Response)
}

// Dependencies are the functions and components of the node that an Executor uses.
type Dependencies struct {
	// View returns the current view, or nil before the first one.
	View func() *view.View
	Keys KeyManager
	// UpdateSelf updates the directory entry of this node.
	UpdateSelf func(func(*endpoint.Entry))
	// Bodies fetches announced request bodies; nil if no sender announces any.
	Bodies *transfer.Fetcher
	// OnCrash is called after a crash of the target was detected; it may be nil.
	OnCrash func()
	// OnCrashCounts is called after the crash counts or clearances of this node have changed; it may be nil.
	OnCrashCounts func()
	// OnTargetError is called after the target responded with an error; it may be nil.
	OnTargetError func()
	// OnLeaving is called when a process of the target, named by Target.Start, first says in a response that it leaves. It
	// must refuse further requests before it returns. It may be nil.
	OnLeaving func(start, request string)
	Log       log.Interface
}

// Target describes the local target.
type Target struct {
	Service string
	// Address is host:port; empty if no target is registered.
	Address string
	// Instance is the identifier by which the target itself names its current process; empty if it has none.
	Instance string
	// Slots is the number of requests that the target runs concurrently; 0 selects the default.
	Slots int
	// Started is the beginning of slow start.
	Started time.Time
	// Start identifies the current process of the target; a different value means that the target was restarted.
	Start string
	// Refuse is the reason for which new requests are refused; empty if the target accepts requests.
	Refuse outcome.Reason
}

// Counters counts requests by outcome.
type Counters struct {
	// Admitted counts the requests that obtained a slot.
	Admitted  atomic.Int64
	Answered  atomic.Int64
	Unknown   atomic.Int64
	Refused   ReasonCounts
	Cancelled atomic.Int64
	// Overtaken counts the attempts that arrived after their cancellation.
	Overtaken       atomic.Int64
	Crashes         atomic.Int64
	SuspectsBlocked atomic.Int64
	// Malformed counts the malformed responses of the target, also to health checks.
	Malformed atomic.Int64
}

// Executor runs requests at the local target.
type Executor struct {
	Counters   Counters
	Conditions ConditionCounters
	// Gate manages the slots of the target; its InUse and Queued are gauges.
	Gate *admission.Controller

	settings    Settings
	deps        Dependencies
	client      *httpclient.Client
	pool        *ants.Pool
	crashes     *crashTracker
	remoteIndex atomic.Pointer[remoteCrashIndex]
	attempts    attempts
	condition   condition
	running     runningRequests

	mu     sync.Mutex
	target Target
	// drainEnd is the end of the drain window; zero while the target does not drain.
	drainEnd time.Time
	active   int
	// idle is closed when no request is in progress; nil if there is no waiter.
	idle chan struct{}
}

// remoteCrashIndex indexes the crash counts of all other processes in one view.
type remoteCrashIndex struct {
	view  *view.View
	index *suspect.Index
}

// New returns an Executor without a target.
func New(s Settings, d Dependencies) (*Executor, error) {
	client, err := httpclient.New(s.Client)
	if err != nil {
		return nil, fmt.Errorf("set up executor: %w", err)
	}
	if s.Codec == nil {
		s.Codec = defaultCodec{}
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
	e.Gate.OnCapacity(e.reportUnanswered)
	e.crashes = newCrashTracker(s.Suspects, e.currentRemoteIndex, e.publishCrashes)
	return e, nil
}

// Close releases the workers and closes idle connections. No request may be in progress.
func (e *Executor) Close() {
	e.pool.Release()
	e.client.CloseIdle()
}

// SetTarget replaces the target. Requests in progress are not affected, except that a restart of the target makes
// the requests that it interrupted suspects.
func (e *Executor) SetTarget(t Target) {
	e.mu.Lock()
	previous := e.target
	e.target = t
	drainEnd, drainChanged := e.updateDrainEnd(previous)
	e.mu.Unlock()
	if drainChanged {
		e.Gate.SetDrainEnd(drainEnd)
	}
	e.resetCondition(t.Start)
	if previous.Slots != t.Slots || !previous.Started.Equal(t.Started) {
		e.Gate.SetTarget(t.Slots, t.Started)
	}
	if previous.Start == t.Start {
		return
	}
	e.Gate.ResetProcess()
	if previous.Address == "" {
		return
	}
	if e.crashes.targetRestarted(previous.Refuse == outcome.ReasonDraining) {
		e.Counters.Crashes.Add(1)
	}
}

// updateDrainEnd starts the drain window when a process of the target begins to drain, and ends it with the drain.
func (e *Executor) updateDrainEnd(previous Target) (end time.Time, changed bool) {
	draining := e.target.Refuse == outcome.ReasonDraining
	if draining && previous.Refuse == outcome.ReasonDraining && previous.Start == e.target.Start {
		return e.drainEnd, false
	}
	before := e.drainEnd
	e.drainEnd = time.Time{}
	if draining {
		e.drainEnd = time.Now().Add(e.settings.DrainWindow)
	}
	return e.drainEnd, !e.drainEnd.Equal(before)
}

// isLeaving reports whether a process of the target has announced that it leaves.
func (e *Executor) isLeaving(start string) bool {
	t := e.Target()
	return t.Start == start && t.Refuse == outcome.ReasonDraining
}

// Target returns the current target.
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

// enter registers a request as in progress, or returns the reason for refusing it. Both happen under one lock, so
// no request starts after SetTarget refused new requests and WaitIdle returned.
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

// Execute runs a request and returns its result. It blocks no longer than the timeout of the request.
func (e *Executor) Execute(ctx context.Context, r *wire.Request) *wire.Response {
	reason := validate(r)
	if reason == outcome.ReasonNone {
		reason = e.enter(r)
	}
	if reason != outcome.ReasonNone {
		return e.logUnanswered(r, e.recordOutcome(refused(reason), r))
	}
	defer e.leave()
	e.adoptLimit(r)
	deadline := time.Now().Add(time.Duration(r.TimeoutMS) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	canceled, remove := e.attempts.add(r.From, r.ID, cancel)
	defer remove()
	if canceled {
		e.Counters.Overtaken.Add(1)
		return e.logUnanswered(r, e.recordOutcome(refused(outcome.ReasonCanceled), r))
	}
	if reason := e.fetchBody(ctx, r, deadline); reason != outcome.ReasonNone {
		return e.logUnanswered(r, e.recordOutcome(refused(reason), r))
	}
	return e.logUnanswered(r, e.recordOutcome(e.admit(ctx, r, deadline), r))
}

// fetchBody fetches an announced request body. The body must arrive early enough for the target to respond in
// time; if the target is expected to be full for longer, nothing is fetched.
func (e *Executor) fetchBody(ctx context.Context, r *wire.Request, deadline time.Time) outcome.Reason {
	if r.BodyBytes == 0 {
		return e.checkStream(r, deadline)
	}
	if e.deps.Bodies == nil {
		return outcome.ReasonTooLarge
	}
	now := time.Now()
	load := e.Gate.LoadOf(rankedArrival(r))
	due := admissionArrival(r, deadline).Due.Add(-load.Reserve)
	if r.Late || due.Before(now) {
		due = now.Add(lateBodyTimeout)
	}
	if now.Add(load.Wait).After(due) {
		if load.LimitWait >= load.Wait {
			return outcome.ReasonRateLimited
		}
		return outcome.ReasonQueueFull
	}
	if r.MaxWaitMS > 0 && load.Wait.Milliseconds() > r.MaxWaitMS {
		return outcome.ReasonWaitExceeded
	}
	body, reason, err := e.deps.Bodies.Fetch(ctx, r, due)
	if err != nil {
		e.deps.Log.WithError(err).WithFields(log.Fields{
			"event": "body_not_received", "request": r.RequestID, "from": r.From, "bytes": r.BodyBytes,
		}).Warn("failed to fetch request body")
	}
	r.Body = body
	if refuse := e.Target().Refuse; reason == outcome.ReasonNone && refuse != outcome.ReasonNone {
		// The target started to drain while the body was being fetched.
		return refuse
	}
	return reason
}

// lateBodyTimeout limits the fetch of the body of a request that has already missed its objective. When bodies
// exceed the capacity of the link, requests that can still be on time take precedence.
const lateBodyTimeout = 200 * time.Millisecond

// recordOutcome counts a response by outcome and returns a copy that carries the load of the node.
func (e *Executor) recordOutcome(r *wire.Response, request *wire.Request) *wire.Response {
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
	load := e.Gate.LoadOf(rankedArrival(request))
	loaded.InUse = load.InUse
	loaded.Queued = load.Queued
	loaded.Slots = load.Slots
	loaded.WaitMS = load.Wait.Milliseconds()
	loaded.ServiceMS = load.ServiceTime.Milliseconds()
	loaded.TargetState = e.targetState(load.LimitWait)
	if e.deps.Bodies != nil {
		loaded.LinkWaitMS = e.deps.Bodies.EstimateDelay(0).Milliseconds()
	}
	return &loaded
}

// logUnanswered logs the reason if a request with a caller identifier was not answered. Refusals because of the maximum
// wait are frequent, and the sender logs them with its attempts.
func (e *Executor) logUnanswered(r *wire.Request, response *wire.Response) *wire.Response {
	if response.Outcome == outcome.Answered || response.Reason == outcome.ReasonWaitExceeded || r.RequestID == "" {
		return response
	}
	target := e.Target()
	fields := log.Fields{
		"event": "execute", "request": r.RequestID, "from": r.From, "service": r.Service, "instance": target.Instance,
		"outcome": response.Outcome.String(), "reason": string(response.Reason), "arrived": response.Arrived,
		"priority": r.Priority, "far": r.Far, "late": r.Late, "nested": r.Nested,
		"in_use": response.InUse, "queued": response.Queued, "slots": response.Slots, "wait_ms": response.WaitMS,
		"service_ms": response.ServiceMS, "objective_left_ms": r.ObjectiveMS, "time_left_ms": r.TimeoutMS,
	}
	if state := response.TargetState; state != nil && state.Limited {
		fields["limit_per_s"], fields["limit_wait_ms"] = state.PerSecond, state.LimitWaitMS
	}
	e.deps.Log.WithFields(fields).Info("request not answered here")
	return response
}

// admit waits for a slot and runs the request on a worker.
func (e *Executor) admit(ctx context.Context, r *wire.Request, deadline time.Time) *wire.Response {
	digest := requestDigest(r)
	slot, exclusive, reason := e.acquireSlot(ctx, digest, admissionArrival(r, deadline))
	if reason != outcome.ReasonNone {
		return refused(reason)
	}
	e.Counters.Admitted.Add(1)
	began := time.Now()
	done := make(chan *wire.Response, 1)
	err := e.pool.Submit(func() { done <- e.runKeyed(ctx, r, digest, exclusive, slot) })
	if err != nil {
		slot.Release(false)
		return refused(outcome.ReasonOverloaded)
	}
	response := <-done
	slot.End(endOf(r, response))
	if r.Stream != nil {
		// A streamed body takes as long as its caller.
		return response
	}
	timed := *response
	timed.RunUS = time.Since(began).Microseconds()
	return &timed
}

// currentRemoteIndex returns the index for the current view.
func (e *Executor) currentRemoteIndex() *suspect.Index {
	v := e.deps.View()
	cached := e.remoteIndex.Load()
	if cached == nil || cached.view != v {
		index := suspect.NewIndex(maps.Values(v.Nodes), e.settings.Node, e.crashes.ownLedger().Process)
		cached = &remoteCrashIndex{view: v, index: index}
		e.remoteIndex.Store(cached)
	}
	return cached.index
}

// runKeyed checks the idempotency key, if there is one, and runs the request unless a response is already
// recorded.
func (e *Executor) runKeyed(ctx context.Context, r *wire.Request, digest uint64, exclusive bool, slot *admission.Slot) *wire.Response {
	if r.Key == "" {
		return e.run(ctx, r, digest, exclusive, slot)
	}
	if reason := e.Target().Refuse; reason != outcome.ReasonNone {
		// The drain started while the request was queued, so its key may have been handed over.
		return refused(reason)
	}
	run, finish, answer := e.deps.Keys.Begin(ctx, r)
	if !run {
		return answer
	}
	response := e.run(ctx, r, digest, exclusive, slot)
	finish(response)
	return response
}

// RestoreCrashes takes over crash counts that were stored before this process started: those of earlier processes of this
// node, and those of other nodes, which other nodes may have forgotten. The endpoint entry of this node passes them on to nodes
// that cannot read the store. Counts that were made or learned meanwhile are kept.
func (e *Executor) RestoreCrashes(own, others []endpoint.CrashCount) {
	// A count without a process is from an older build. Stated by several nodes, it would count several times.
	others = slices.DeleteFunc(slices.Clone(others), func(c endpoint.CrashCount) bool { return c.Process == 0 })
	e.deps.UpdateSelf(func(entry *endpoint.Entry) {
		entry.InheritCrashes(&endpoint.Entry{Crashes: own, Recovered: others}, time.Now())
	})
}

// CrashCounts returns the crash counts of this node, of all its processes, that apply, sorted.
func (e *Executor) CrashCounts() []endpoint.CrashCount {
	return suspect.Uncleared(e.crashes.ownLedger(), e.currentRemoteIndex(), time.Now().UnixMilli())
}

// publishCrashes stores the crash counts and clearances in the endpoint entry of the node.
func (e *Executor) publishCrashes() {
	e.deps.UpdateSelf(func(entry *endpoint.Entry) {
		ledger := e.crashes.ownLedger()
		entry.InheritCrashes(&endpoint.Entry{Crashes: ledger.Crashes, Cleared: ledger.Cleared}, time.Now())
	})
	if e.deps.OnCrashCounts != nil {
		e.deps.OnCrashCounts()
	}
}
