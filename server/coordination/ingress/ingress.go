// Package ingress takes a caller's request over HTTP and stays responsible for it until its outcome is definite.
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
	// Workers is the number of requests that are handled at the same time.
	Workers        int
	BodyMaxBytes   int
	HeaderMaxBytes int
	// DefaultTimeout and MaxAttempts apply to routes that set none.
	DefaultTimeout time.Duration
	MaxAttempts    int
	// ChainAttempts limits the attempts of a whole call chain.
	ChainAttempts int
	// MaxDepth is the number of hops that a call chain may take.
	MaxDepth int
	// RedirectsMax limits the redirects that one attempt follows.
	RedirectsMax int
	// KeyTries limits the keys that are generated for one attempt.
	KeyTries int
	// ResolveTimeout limits the inquiry about an attempt whose reply was lost.
	ResolveTimeout time.Duration
	// ChangeSettle is the longest time between two nodes that put the same change in force.
	ChangeSettle time.Duration
	Routing      routing.Settings
	Budget       retry.BudgetSettings
	Ownership    ownership.Rules
}

// DefaultSettings returns the defaults of the settings file; Node and Place are left unset.
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
		// With 19 members of a service, 128 random keys miss the wanted owner once in a thousand requests.
		KeyTries:       128,
		ResolveTimeout: 3 * time.Second,
		// A change is in force on every node within 6 s; the rest covers the interval at which the view is observed.
		ChangeSettle: 7 * time.Second,
		Routing:      routing.DefaultSettings(),
		Budget:       retry.DefaultBudget(),
		Ownership: ownership.Rules{
			KeyRetention: 10 * time.Minute,
			ClockSkewMax: 2 * time.Second,
			SelfFence:    4 * time.Second,
		},
	}
}

// Resolver finds out what became of an attempt whose reply was lost (rule R7 of the design).
type Resolver interface {
	// Resolve asks the owner at address about the attempt r. With a nil error the response is final; it is
	// refused_not_run if the attempt was fenced, and unknown if the owner does not know either.
	Resolve(ctx context.Context, address string, r *wire.Request) (*wire.Response, error)
}

// Dependencies connect a Handler with the rest of the node. All of them must be safe for concurrent use.
type Dependencies struct {
	// View returns the view in force; nil before the first one.
	View func() *view.View
	// Call calls a net/rpc method of another node, with the errors of transport/peer.
	Call func(ctx context.Context, address, method string, args, reply any) error
	// Local runs a request at the target beside this node; nil if requests to it go through Call too.
	Local        func(ctx context.Context, r *wire.Request) *wire.Response
	MergeEntries func(entries []endpoint.Entry)
	Resolver     Resolver
	// Random returns uniform values.
	Random func() uint64
	// FirstAttemptID is random or taken from the clock, so that a restarted process does not repeat attempt ids.
	FirstAttemptID uint64
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	settings Settings
	deps     Dependencies
	tracker  *routing.Tracker
	budget   *retry.Budget
	pool     *ants.Pool
	attempt  atomic.Uint64
	counters Counters
	history  history
	// retained is the view for which the tracker was last pruned.
	retained atomic.Pointer[view.View]

	mu       sync.Mutex
	closed   bool
	inFlight int
	drained  chan struct{}
}

// New returns a handler with its own worker pool. Shutdown releases the pool.
func New(settings Settings, deps Dependencies) (*Handler, error) {
	h := &Handler{
		settings: settings,
		deps:     deps,
		tracker:  routing.NewTracker(settings.Routing),
		budget:   retry.NewBudget(settings.Budget, time.Now().UnixMilli()),
		drained:  make(chan struct{}),
	}
	h.attempt.Store(deps.FirstAttemptID)
	h.history.settle = settings.ChangeSettle
	h.history.retention = settings.Ownership.KeyRetention
	h.history.skew = settings.Ownership.ClockSkewMax
	h.history.timeout = func(r *config.Route) time.Duration { return h.limits(r).Timeout }
	pool, err := ants.NewPool(settings.Workers,
		ants.WithNonblocking(true),
		// The pool would swallow a panic, and the request that waits for the worker would never end.
		ants.WithPanicHandler(func(v any) { panic(v) }),
	)
	if err != nil {
		return nil, fmt.Errorf("create ingress worker pool: %w", err)
	}
	h.pool = pool
	go h.observeViews()
	return h, nil
}

// enter counts a request as in flight and reports false after Shutdown began.
func (h *Handler) enter() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.inFlight++
	return true
}

func (h *Handler) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	if h.closed && h.inFlight == 0 {
		close(h.drained)
	}
}

// Shutdown refuses new requests as not run and waits until those in flight have ended, or until the end of ctx,
// which it returns as an error.
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

// Tracker returns the observations of other nodes.
func (h *Handler) Tracker() *routing.Tracker { return h.tracker }

// Counters returns the counters.
func (h *Handler) Counters() *Counters { return &h.counters }

// State is the state of a handler for a dump.
type State struct {
	Closed      bool
	InFlight    int
	WorkersBusy int
	// BudgetTokens is the number of retries that the budget allows now.
	BudgetTokens float64
	// PastRoutes are the sets of routes that are remembered for repeated keys, PastRoutesDropped those given up early.
	PastRoutes        int
	PastRoutesDropped int64
	Targets           routing.Summary
	Counters          CounterValues
}

// Dump returns the state of the handler; its size does not depend on the number of requests.
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

// viewNow returns the view in force, notes its routes, and removes observations of nodes that left it.
func (h *Handler) viewNow() *view.View {
	v := h.deps.View()
	if v == nil {
		return nil
	}
	h.history.observe(v, time.Now())
	last := h.retained.Load()
	if last != v && h.retained.CompareAndSwap(last, v) {
		h.tracker.Retain(v.Nodes)
	}
	return v
}
