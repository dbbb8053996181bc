package dispatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
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

// notReadyRetryAfter is when a caller should return to a node that has no configuration yet. A node that starts has
// one within some tenths of a second.
const notReadyRetryAfter = 300 * time.Millisecond

// shutdownRetryAfter is when a caller should return to a node that ends. Its next connection leads to another process.
const shutdownRetryAfter = 100 * time.Millisecond

// Handler takes requests to their outcomes. It is safe for concurrent use.
type Handler struct {
	settings Settings
	deps     Dependencies
	tracker  *routing.Tracker
	splitter *routing.Splitter
	domains  routing.FullDomains
	budget   *retry.FleetBudget
	sizes    sizes
	patience patience
	// candidates are those of the newest view that a request used.
	candidates candidateCache
	// bodies are the large bodies of requests in progress.
	bodies   transfer.BodyStore
	attempt  atomic.Uint64
	counters Counters
	// refusing is true when the node takes no more requests.
	refusing atomic.Bool
	// retained is the view for which the observations were last pruned.
	retained atomic.Pointer[view.View]

	mu       sync.Mutex
	inFlight map[uint64]context.CancelCauseFunc
	entered  uint64
	// idle is closed when no request is in flight; nil if nobody waits for that.
	idle chan struct{}
}

// New returns a handler.
func New(s Settings, d Dependencies) *Handler {
	h := &Handler{
		settings: s,
		deps:     d,
		tracker:  routing.NewTracker(s.Routing),
		splitter: routing.NewSplitter(d.Random),
		budget:   retry.NewFleetBudget(s.RetryLimit, 1),
		inFlight: make(map[uint64]context.CancelCauseFunc),
	}
	h.attempt.Store(d.FirstAttemptID)
	return h
}

// Do takes a request to its outcome. The end of ctx means that the caller has gone.
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
	if h.refusing.Load() {
		return &Result{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonShutdown, RetryAfter: shutdownRetryAfter}
	}
	v := h.viewNow()
	if v == nil || !v.Ready || v.Version == 0 {
		return &Result{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonNotReady, RetryAfter: notReadyRetryAfter}
	}
	trace.Version = v.Version
	path, _, _ := strings.Cut(r.Path, "?")
	route, ok := routing.MatchHost(v.Content, r.Host, path)
	if !ok {
		return &Result{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonNoRoute}
	}
	trace.Route = route.Name
	destination := h.splitter.Next(route)
	if destination == nil {
		return &Result{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonNoTarget}
	}
	j := &job{
		h:          h,
		view:       v,
		trace:      trace,
		limits:     limitsOf(route, r, trace.Started, h.settings.DefaultTimeout, h.patience.elapsed(route.Name, r.Timeout)),
		service:    destination.Service,
		idempotent: routing.Idempotent(route, r.Method),
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
			Kind:          kindOf(route),
		},
	}
	j.request.Late = j.limits.late
	trace.Service = j.service
	return j.run(ctx)
}

// kindOf tells requests of different routes apart at their targets.
func kindOf(route *config.Route) uint32 { return uint32(xxhash.Sum64String(route.Name)) }

// viewNow returns the view in force and adapts what depends on the members.
func (h *Handler) viewNow() *view.View {
	v := h.deps.View()
	if v == nil {
		return nil
	}
	last := h.retained.Load()
	if last != v && h.retained.CompareAndSwap(last, v) {
		h.tracker.Retain(v.Nodes)
		live := 0
		for _, e := range v.Nodes {
			if e.Live() {
				live++
			}
		}
		h.budget.SetNodes(live)
	}
	return v
}

// SetRetryLimit replaces the limit on repeats.
func (h *Handler) SetRetryLimit(limit retry.FleetLimit) { h.budget.SetLimit(limit) }

// enter counts a request as in flight until the returned function is called.
func (h *Handler) enter(cancel context.CancelCauseFunc) (leave func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entered++
	id := h.entered
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

// Bodies returns the large bodies that other nodes fetch from this one.
func (h *Handler) Bodies() *transfer.BodyStore { return &h.bodies }

// StopAccepting refuses all later requests as not run, because the node ends.
func (h *Handler) StopAccepting() { h.refusing.Store(true) }

// errStopping ends the requests that are still in flight at the end of a shutdown.
var errStopping = errors.New("the node stops")

// CancelInFlight ends the requests in flight, so that their callers get an answer before the process ends.
func (h *Handler) CancelInFlight() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, cancel := range h.inFlight {
		cancel(errStopping)
	}
}

// InFlight returns the number of requests without an outcome.
func (h *Handler) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.inFlight)
}

// WaitIdle waits until no request is in flight, or until the end of ctx, which it returns as an error.
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

// State is the state of a handler for a dump.
type State struct {
	InFlight                       int
	Targets                        routing.Summary
	RepeatsGranted, RepeatsRefused int64
	Counters                       CounterValues
}

// Dump returns the state of the handler; its size does not depend on the number of requests.
func (h *Handler) Dump() any {
	granted, refused := h.budget.Totals()
	return State{
		InFlight:       h.InFlight(),
		Targets:        h.tracker.Summary(time.Now().UnixMilli()),
		RepeatsGranted: granted,
		RepeatsRefused: refused,
		Counters:       h.counters.Values(),
	}
}
