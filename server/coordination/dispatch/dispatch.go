// Package dispatch takes a request that has no idempotency key from the caller to its outcome. Such a request enters
// the mesh at one node, and only that node sends it on, so its memory alone decides whether another attempt may
// follow. No other node has to agree.
package dispatch

import (
	"context"
	"time"

	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/view"
)

// Request is a caller's request.
type Request struct {
	// ID is the caller's id of this attempt.
	ID     string
	Method string
	// Host is the host that the caller named, without port.
	Host string
	// Path is the path with the query, as the caller wrote it.
	Path    string
	Headers []wire.Header
	Body    []byte
	// Timeout is how long the caller waits; 0 if it did not say.
	Timeout time.Duration
}

// Result is what the caller is told.
type Result struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// Status, Headers and Body are those of the target if the outcome is Answered.
	Status  int
	Headers []wire.Header
	Body    []byte
	// RetryAfter is when a refused caller should come back; 0 if it should not.
	RetryAfter time.Duration
}

// Settings are the settings of a Handler.
type Settings struct {
	// Node is the name of this node, Address where other nodes call it.
	Node    string
	Address string
	Place   routing.Locality
	// MaxTargetsTried limits the nodes that one request is offered to. Most refuse without sending it to their target.
	MaxTargetsTried int
	// DefaultTimeout applies if neither the caller nor the route sets a limit.
	DefaultTimeout time.Duration
	Routing        routing.Settings
	Weights        routing.CostWeights
	RetryLimit     retry.FleetLimit
}

// Dependencies connect a Handler with the rest of the node. All of them are safe for concurrent use.
type Dependencies struct {
	// View returns the view in force.
	View func() *view.View
	// Call calls a net/rpc method of another node, with the errors of transport/peer.
	Call func(ctx context.Context, address, method string, args, reply any) error
	// Local runs a request at the target beside this node.
	Local func(ctx context.Context, r *wire.Request) *wire.Response
	// CallerService returns the service of the target beside this node.
	CallerService func() string
	// Random returns uniform values.
	Random func() uint64
	// Observe is told of every request that ended.
	Observe func(*Trace)
	// FirstAttemptID is taken from the clock, so that a restarted process does not repeat attempt ids.
	FirstAttemptID uint64
}

// limits are the bounds of one request.
type limits struct {
	// deadline is when the caller or the operator gives the request up, objective when an answer is late.
	deadline, objective time.Time
	attempts            int
	// late is true if the caller has waited beyond the objective before.
	late bool
}

// limitsOf returns the bounds of a request that arrived at now.
func limitsOf(route *config.Route, r *Request, now time.Time, fallback, elapsed time.Duration) limits {
	timeout := fallback
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if r.Timeout > 0 && (r.Timeout < timeout || route.Timeout <= 0) {
		timeout = r.Timeout
	}
	l := limits{deadline: now.Add(timeout), attempts: max(1, int(route.MaxAttempts))}
	l.objective = l.deadline
	if route.LatencyObjective > 0 {
		l.objective = now.Add(min(objectiveLeft(route.LatencyObjective, elapsed), timeout))
		l.late = elapsed >= route.LatencyObjective
	}
	return l
}

// objectiveLeft returns the time until an answer is late. A caller that returns after a refusal has used some of it,
// and so goes before those that have just come. One that is late already is treated like those.
func objectiveLeft(objective, elapsed time.Duration) time.Duration {
	if elapsed >= objective {
		return objective
	}
	return objective - elapsed
}
