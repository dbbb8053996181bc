package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/coordination/transfer"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/view"
)

// notReadyRetryAfter is the retry delay returned while the node has no configuration. A starting node receives one
// within a few hundred milliseconds.
const notReadyRetryAfter = 300 * time.Millisecond

// shutdownRetryAfter is the retry delay returned during shutdown. The next connection of the caller reaches
// another process.
const shutdownRetryAfter = 100 * time.Millisecond

// behindRetryAfter is the retry delay returned while a newer configuration may have a route for the request. Most nodes have
// it within a few hundred milliseconds.
const behindRetryAfter = 300 * time.Millisecond

// Handler dispatches requests. It is safe for concurrent use.
type Handler struct {
	settings  Settings
	deps      Dependencies
	tracker   *routing.Tracker
	policy    routing.Policy
	splitter  *routing.Splitter
	domains   routing.FullDomains
	budget    *retry.FleetBudget
	sizes     routeSizes
	returning returningCallers
	nested    nestedCalls
	refused   retry.RefusedShares
	// candidates caches the candidates for the latest view used by a request.
	candidates candidateCache
	// bodies holds the large bodies of requests in progress.
	bodies   transfer.BodyStore
	attempt  atomic.Uint64
	counters Counters
	// refusing is true once the node accepts no more requests.
	refusing atomic.Bool
	// finishBy is when requests in flight are canceled, in Unix nanoseconds; 0 if the node does not stop.
	finishBy atomic.Int64
	// prunedView is the view for which the tracker was last pruned.
	prunedView atomic.Pointer[view.View]

	mu            sync.Mutex
	inFlight      map[uint64]context.CancelCauseFunc
	lastRequestID uint64
	// idle is closed when no request is in flight; nil if there is no waiter.
	idle chan struct{}
}

// New returns a Handler.
func New(s Settings, d Dependencies) *Handler {
	h := &Handler{
		settings: s,
		deps:     d,
		tracker:  routing.NewTracker(s.Routing),
		policy:   routing.PolicyOf(s.Balance),
		splitter: routing.NewSplitter(d.Random),
		budget:   retry.NewFleetBudget(s.RetryLimit, 0),
		inFlight: make(map[uint64]context.CancelCauseFunc),
	}
	h.domains.Backoff = s.Balance == routing.BalanceEvenLoad
	h.attempt.Store(d.FirstAttemptID)
	return h
}

// Do dispatches a request and returns its result. Cancellation of ctx means that the caller has disconnected.
func (h *Handler) Do(ctx context.Context, r *Request) *Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer h.enter(cancel)()
	trace := &Trace{Request: r, Started: time.Now()}
	result := h.do(ctx, r, trace)
	trace.Result = result
	trace.Duration = time.Since(trace.Started)
	h.counters.count(trace)
	if h.deps.Observe != nil {
		h.deps.Observe(trace)
	}
	return result
}

func (h *Handler) do(ctx context.Context, r *Request, trace *Trace) *Result {
	j, refused := h.prepare(r, trace, placing{h})
	if refused != nil {
		return refused
	}
	result := j.run(ctx)
	if j.pick != nil {
		j.pick.End()
	}
	if j.organisation != nil && result.Outcome == outcome.RefusedNotRun && h.deps.Quota != nil {
		h.deps.Quota.Refund(j.organisation, time.Now())
	}
	if j.elapsed == 0 {
		h.recordRefused(&j.request, result)
	}
	if result.Outcome == outcome.RefusedNotRun {
		h.nested.recordRefusal(j.request.Kind, time.Now())
	}
	if !result.isServed() {
		h.returning.recordUnserved(j.digest, trace.Started, r.Timeout, j.elapsed)
	} else if j.elapsed > 0 {
		h.returning.removeServed(j.digest)
	}
	return result
}

// prepare makes the decisions on a request that precede the choice of a target, or returns the refusal of the request. It
// changes state only through s.
func (h *Handler) prepare(r *Request, trace *Trace, s steps) (*job, *Result) {
	if h.refusing.Load() {
		return nil, &Result{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonShutdown, RetryAfter: shutdownRetryAfter}
	}
	v := s.currentView()
	if v == nil || !v.Ready || v.Version == 0 {
		return nil, &Result{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonNotReady, RetryAfter: notReadyRetryAfter}
	}
	trace.Version = v.Version
	trace.View = v
	route, ok := routing.MatchHost(v.Content, r.Host, r.MatchedPath())
	if !ok && h.isBehind(v) {
		return nil, &Result{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonBehind, RetryAfter: behindRetryAfter}
	}
	if !ok {
		return nil, &Result{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonNoRoute}
	}
	trace.Route = route.Name
	organisation, refused := s.organisation(v, route, r)
	if refused != nil {
		return nil, refused
	}
	destination := s.destination(route)
	if destination == nil {
		return nil, &Result{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonNoTarget}
	}
	digest := requestDigest(route.Name, r)
	elapsed := h.returning.elapsed(digest, trace.Started, r.Timeout)
	requestLimits := limitsOf(route, r, trace.Started, h.settings.DefaultTimeout, elapsed)
	if by := h.finishBy.Load(); by != 0 && requestLimits.deadline.UnixNano() > by {
		return nil, &Result{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonShutdown, RetryAfter: shutdownRetryAfter}
	}
	if organisation != nil {
		trace.Organisation = organisation.Name
	}
	if refused := s.admit(organisation, elapsed); refused != nil {
		return nil, refused
	}
	j := &job{
		handler:      h,
		steps:        s,
		view:         v,
		trace:        trace,
		organisation: organisation,
		digest:       digest,
		elapsed:      elapsed,
		limits:       requestLimits,
		service:      destination.Service,
		idempotent:   routing.Idempotent(route, r.Method),
		tried:        make(map[string]bool),
		lastRefusal:  outcome.ReasonNoTarget,
		request: wire.Request{
			From:          h.settings.Node,
			Service:       destination.Service,
			Method:        r.Method,
			Path:          r.Path,
			Headers:       r.Headers,
			Body:          r.Body,
			RequestID:     r.ID,
			CallerService: h.deps.CallerService(),
			Priority:      int(route.Priority),
			Kind:          requestKind(route),
		},
	}
	j.addStream(r)
	// A streamed body cannot be sent again, so such a request is not broken off early.
	j.request.Idempotent = j.idempotent && j.stream == nil
	if organisation != nil {
		j.request.Organisation, j.request.OrganisationPriority = organisation.Name, int(organisation.Priority)
	}
	j.request.Late = j.limits.late
	j.request.Nested = h.nested.isNested(j.request.Kind)
	trace.Service = j.service
	if h.deps.Rollouts != nil {
		j.pick = s.pick(v, j.service, j.request.Kind, trace.Started)
	}
	return j, nil
}

// isBehind reports whether the node knows of a newer configuration than that of the view. Callers do not repeat a request
// after no_route, so it is left to nodes that have the newest configuration they know of.
func (h *Handler) isBehind(v *view.View) bool {
	return h.deps.IsBehind != nil && h.deps.IsBehind(v.Offset)
}

// recordRefused counts a request that its caller made for the first time. A request that was refused because its organisation had
// used its share of a target says nothing of the requests of others.
func (h *Handler) recordRefused(r *wire.Request, result *Result) {
	refused := result.Outcome == outcome.RefusedNotRun
	shareExceeded := refused && result.Reason == outcome.ReasonShareExceeded
	if !shareExceeded {
		h.refused.Record(r.Kind, refused)
	}
	if r.Organisation != "" && (shareExceeded || !refused) {
		h.refused.Record(organisationKind(r), shareExceeded)
	}
}

// isOverloaded reports whether a refused caller that returns at once is unlikely to be served in time.
func (h *Handler) isOverloaded(r *wire.Request) bool {
	return h.refused.Overloaded(r.Kind) || r.Organisation != "" && h.refused.Overloaded(organisationKind(r))
}

// organisationKind tells the requests of an organisation apart within a kind.
func organisationKind(r *wire.Request) uint32 {
	return r.Kind ^ uint32(xxhash.Sum64String(r.Organisation))
}

// requestKind returns an identifier by which target nodes distinguish the requests of different routes.
func requestKind(route *config.Route) uint32 { return uint32(xxhash.Sum64String(route.Name)) }

// currentView returns the current view and, if it changed, updates the tracker and the retry budget for the new
// set of nodes.
func (h *Handler) currentView() *view.View {
	v := h.deps.View()
	if v == nil {
		return nil
	}
	last := h.prunedView.Load()
	if last != v && h.prunedView.CompareAndSwap(last, v) {
		h.tracker.Retain(v.Nodes)
		h.budget.SetNodes(sharingNodes(v))
	}
	return v
}

// sharingNodes returns the number of nodes that share the retry budget; 0 if no source has stated it.
func sharingNodes(v *view.View) int {
	if !v.FleetStated {
		return 0
	}
	live := 0
	for _, e := range v.Nodes {
		if e.Live() {
			live++
		}
	}
	return max(live, v.FleetFloor)
}

// TargetFailed records that the local target responded with an error.
func (h *Handler) TargetFailed() { h.nested.recordTargetError(time.Now()) }

// SetRetryLimit replaces the fleet-wide limit on retries.
func (h *Handler) SetRetryLimit(limit retry.FleetLimit) { h.budget.SetLimit(limit) }

// enter registers a request as in flight until the returned function is called.
func (h *Handler) enter(cancel context.CancelCauseFunc) (leave func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastRequestID++
	id := h.lastRequestID
	h.inFlight[id] = cancel
	return func() { h.leave(id) }
}

func (h *Handler) leave(id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inFlight, id)
	if len(h.inFlight) == 0 && h.idle != nil {
		close(h.idle)
		h.idle = nil
	}
}

// Bodies returns the store of large request bodies that other nodes fetch from this node.
func (h *Handler) Bodies() *transfer.BodyStore { return &h.bodies }

// FinishBy refuses further requests whose timeout ends after t as not run, because requests that are still in flight at t
// are canceled.
func (h *Handler) FinishBy(t time.Time) { h.finishBy.Store(t.UnixNano()) }

// StopAccepting refuses all further requests as not run because the node is shutting down.
func (h *Handler) StopAccepting() { h.refusing.Store(true) }

// errStopping is the cancellation cause of requests that are still in flight at the end of a shutdown.
var errStopping = errors.New("the node stops")

// CancelInFlight cancels the requests in flight, so that their callers receive a response before the process
// exits.
func (h *Handler) CancelInFlight() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, cancel := range h.inFlight {
		cancel(errStopping)
	}
}

// InFlight returns the number of requests that are in progress.
func (h *Handler) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.inFlight)
}

// WaitIdle waits until no request is in flight. It returns an error if ctx ends first.
func (h *Handler) WaitIdle(ctx context.Context) error {
	h.mu.Lock()
	if len(h.inFlight) == 0 {
		h.mu.Unlock()
		return nil
	}
	if h.idle == nil {
		h.idle = make(chan struct{})
	}
	idle := h.idle
	h.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for requests in flight: %w", ctx.Err())
	}
}

// State is the dumped state of a Handler.
type State struct {
	InFlight int
	Targets  routing.Summary
	// Balance is the policy that selects targets, Load how evenly the targets of each service are loaded.
	Balance                        string
	Load                           map[string]routing.ServiceLoad
	RepeatsGranted, RepeatsRefused int64
	// Streams are the streamed bodies that this node sends.
	Streams transfer.StreamCounts
	// NestedKinds is the number of request kinds that are known to be calls of running requests.
	NestedKinds int
	Counters    CounterValues
}

// Dump returns the state of the handler. Its size does not depend on the number of requests.
func (h *Handler) Dump() any {
	granted, refused := h.budget.Totals()
	now := time.Now().UnixMilli()
	return State{
		InFlight:       h.InFlight(),
		Targets:        h.tracker.Summary(now),
		Balance:        h.settings.Balance,
		Load:           h.loads(now),
		RepeatsGranted: granted,
		RepeatsRefused: refused,
		Streams:        h.bodies.StreamCounts(),
		NestedKinds:    h.nested.count(),
		Counters:       h.counters.Values(),
	}
}

// loads returns how evenly the targets of each service are loaded, by the reports that this node received.
func (h *Handler) loads(nowMS int64) map[string]routing.ServiceLoad {
	v := h.deps.View()
	if v == nil {
		return nil
	}
	loads := make(map[string]routing.ServiceLoad)
	for service, members := range v.ByService {
		if load := h.tracker.Load(members, nowMS); load.Reported > 0 {
			loads[service] = load
		}
	}
	return loads
}
