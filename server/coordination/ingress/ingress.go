// Package ingress accepts callers' requests over HTTP, routes and retries them, and reports an outcome for each one.
package ingress

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"

	"wagtailford.example/server/coordination/ownership"
	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

// Settings are the settings of a Handler.
type Settings struct {
	// Node is the name of this node.
	Node     string
	Locality routing.Locality
	// Workers is the maximum number of requests handled concurrently.
	Workers        int
	BodyMaxBytes   int
	HeaderMaxBytes int
	// DefaultTimeout and MaxAttempts apply to routes that do not set their own.
	DefaultTimeout time.Duration
	MaxAttempts    int
	// ChainAttempts limits the total number of attempts of a call chain.
	ChainAttempts int
	// MaxDepth is the maximum number of hops of a call chain.
	MaxDepth int
	// RedirectsMax is the maximum number of redirects followed in one attempt.
	RedirectsMax int
	// KeyCandidatesMax is the maximum number of candidate keys generated for one attempt.
	KeyCandidatesMax int
	// ResolveTimeout is added to the remaining time of the request to limit an inquiry about an attempt whose reply was
	// lost.
	ResolveTimeout time.Duration
	// ChangePropagationMax is the longest time between two nodes putting the same configuration change in force.
	ChangePropagationMax time.Duration
	Routing              routing.Settings
	Budget               retry.BudgetSettings
	Ownership            ownership.Rules
}

// DefaultSettings returns the defaults of the settings file; Node and Locality are left unset.
func DefaultSettings() Settings {
	return Settings{
		Workers:        512,
		BodyMaxBytes:   1 << 20,
		HeaderMaxBytes: 16 << 10,
		DefaultTimeout: 10 * time.Second,
		MaxAttempts:    retry.DefaultHopAttempts,
		ChainAttempts:  retry.DefaultChainAttempts,
		MaxDepth:       16,
		RedirectsMax:   3,
		// With 19 members of a service, 128 random keys all miss the preferred owner in one of a thousand requests.
		KeyCandidatesMax: 128,
		ResolveTimeout:   3 * time.Second,
		// A change is in force on every node within 6 s; the remaining 1 s covers the interval at which the view is
		// polled.
		ChangePropagationMax: 7 * time.Second,
		Routing:              routing.DefaultSettings(),
		Budget:               retry.DefaultBudget(),
		Ownership: ownership.Rules{
			KeyRetention: 10 * time.Minute,
			ClockSkewMax: 2 * time.Second,
			SelfFence:    4 * time.Second,
		},
	}
}

// Resolver determines the outcome of an attempt whose reply was lost (rule R7 of the design).
type Resolver interface {
	// Resolve asks the owner at address about the attempt r. With a nil error the response is final; it is
	// refused_not_run if the owner fenced the attempt so that it cannot run later, and unknown if the owner does not
	// know its outcome.
	Resolve(ctx context.Context, address string, r *wire.Request) (*wire.Response, error)
}

// Dependencies are the parts of the node that a Handler uses. All of them must be safe for concurrent use.
type Dependencies struct {
	// View returns the current view, or nil if there is none yet.
	View func() *view.View
	// NewestOffset returns the highest offset of a configuration that the node knows to exist; nil if that is not known.
	NewestOffset func() uint64
	// Call calls a net/rpc method of another node and returns the errors of transport/peer.
	Call func(ctx context.Context, address, method string, args, reply any) error
	// Local runs a request at the target attached to this node. If it is nil, those requests go through Call too.
	Local        func(ctx context.Context, r *wire.Request) *wire.Response
	MergeEntries func(entries []endpoint.Entry)
	Resolver     Resolver
	// Random returns uniformly distributed values.
	Random func() uint64
	// FirstAttemptID is the value from which attempt IDs count up. It is random or taken from the clock, so that a
	// restarted process does not reuse attempt IDs.
	FirstAttemptID uint64
}

// Handler handles callers' requests. It is safe for concurrent use.
type Handler struct {
	settings      Settings
	deps          Dependencies
	tracker       *routing.Tracker
	budget        *retry.Budget
	pool          *ants.Pool
	lastAttemptID atomic.Uint64
	counters      Counters
	history       history
	// prunedView is the view to whose nodes the tracker was last pruned.
	prunedView atomic.Pointer[view.View]

	mu       sync.Mutex
	closed   bool
	inFlight int
	drained  chan struct{}
}

// New returns a handler with its own worker pool and starts polling the view. Shutdown releases the pool.
func New(settings Settings, deps Dependencies) (*Handler, error) {
	h := &Handler{
		settings: settings,
		deps:     deps,
		tracker:  routing.NewTracker(settings.Routing),
		budget:   retry.NewBudget(settings.Budget, time.Now().UnixMilli()),
		drained:  make(chan struct{}),
	}
	h.lastAttemptID.Store(deps.FirstAttemptID)
	h.history.propagationMax = settings.ChangePropagationMax
	h.history.retention = settings.Ownership.KeyRetention
	h.history.skew = settings.Ownership.ClockSkewMax
	h.history.timeout = func(r *config.Route) time.Duration { return h.limits(r).Timeout }
	pool, err := ants.NewPool(settings.Workers,
		ants.WithNonblocking(true),
		// By default the pool recovers a panic; the request waiting for the worker would then never return.
		ants.WithPanicHandler(func(v any) { panic(v) }),
	)
	if err != nil {
		return nil, fmt.Errorf("create ingress worker pool: %w", err)
	}
	h.pool = pool
	go h.observeViews()
	return h, nil
}

// beginRequest counts a request as in flight. It returns false once Shutdown has been called.
func (h *Handler) beginRequest() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.inFlight++
	return true
}

func (h *Handler) endRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	if h.closed && h.inFlight == 0 {
		close(h.drained)
	}
}

// Shutdown refuses new requests as not run and waits until those in flight have ended. If ctx ends first, it returns
// the error of ctx.
func (h *Handler) Shutdown(ctx context.Context) error {
	h.mu.Lock()
	if !h.closed {
		h.closed = true
		if h.inFlight == 0 {
			close(h.drained)
		}
	}
	h.mu.Unlock()
	select {
	case <-h.drained:
		h.pool.Release()
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for requests in flight: %w", ctx.Err())
	}
}

// Tracker returns the statistics collected about other nodes.
func (h *Handler) Tracker() *routing.Tracker { return h.tracker }

func (h *Handler) Counters() *Counters { return &h.counters }

// State is the state of a Handler as it is written to a dump.
type State struct {
	Closed      bool
	InFlight    int
	WorkersBusy int
	// BudgetTokens is the number of retries that the retry budget currently allows.
	BudgetTokens float64
	// PastRoutes is the number of replaced route sets kept for repeated keys, PastRoutesDropped the number dropped
	// before they expired.
	PastRoutes        int
	PastRoutesDropped int64
	Targets           routing.Summary
	Counters          CounterValues
}

// Dump returns the State of the handler; its size does not depend on the number of requests.
func (h *Handler) Dump() any {
	h.mu.Lock()
	closed, inFlight := h.closed, h.inFlight
	h.mu.Unlock()
	past, drops := h.history.size()
	return State{
		PastRoutes:        past,
		PastRoutesDropped: drops,
		Closed:            closed,
		InFlight:          inFlight,
		WorkersBusy:       h.pool.Running(),
		BudgetTokens:      h.budget.Tokens(),
		Targets:           h.tracker.Summary(time.Now().UnixMilli()),
		Counters:          h.counters.Values(),
	}
}

// currentView returns the current view, records its routes, and removes the statistics of nodes that are no longer in
// it.
func (h *Handler) currentView() *view.View {
	v := h.deps.View()
	if v == nil {
		return nil
	}
	h.history.observe(v, time.Now())
	last := h.prunedView.Load()
	if last != v && h.prunedView.CompareAndSwap(last, v) {
		h.tracker.Retain(v.Nodes)
	}
	return v
}
