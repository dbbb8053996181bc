// Package dispatch routes requests without an idempotency key and retries them until their outcome is known. Such
// a request enters the mesh at one node and is forwarded by that node only, so the in-memory state of that node is
// sufficient to decide on a retry; no agreement with other nodes is needed.
package dispatch

import (
	"context"
	"io"
	"strings"
	"time"

	"wagtailford.example/server/coordination/quota"
	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/coordination/rollout"
	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/view"
)

// Request is a request received from a caller.
type Request struct {
	// ID is the caller's identifier of this attempt.
	ID     string
	Method string
	// Host is the host named by the caller, without the port.
	Host string
	// Path is the unmodified request path including the query.
	Path    string
	Headers []wire.Header
	// Body is the body, or its first part if Rest is not nil.
	Body []byte
	// Rest is what follows Body; nil if Body is whole. It is read at most once, and fails once the caller has left.
	Rest io.Reader
	// RestBytes is the length of Rest, -1 if it is not known.
	RestBytes int64
	// Timeout is the timeout requested by the caller; 0 if none was given.
	Timeout time.Duration
	// Authorization holds the values of the header field of this name, which Headers does not contain.
	Authorization []string
	// FromTarget is true if the request comes from the host of the local target: it may be a call of a running request, which
	// carries no key.
	FromTarget bool
}

// MatchedPath returns the part of the path that routes are matched with: all before the query, as the caller sent it.
func (r *Request) MatchedPath() string {
	path, _, _ := strings.Cut(r.Path, "?")
	return path
}

// Result is the response returned to the caller.
type Result struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// Status, Headers and Body come from the target if Outcome is Answered.
	Status  int
	Headers []wire.Header
	Body    []byte
	// RetryAfter is the delay after which a refused caller should retry; 0 if it should not.
	RetryAfter time.Duration
}

// isServed reports whether the caller got a response other than a server error.
func (r *Result) isServed() bool { return r.Outcome == outcome.Answered && r.Status < 500 }

// Settings configures a Handler.
type Settings struct {
	// Node is the name of this node and Address the address at which other nodes call it.
	Node    string
	Address string
	Place   routing.Locality
	// MaxTargetsTried limits the number of nodes that are tried for one request. Most nodes that refuse do so
	// without forwarding the request to their target. Nodes that refuse it because of its maximum wait do not count once
	// they are candidates again (routing.WaitLimit).
	MaxTargetsTried int
	// DefaultTimeout applies if neither the caller nor the route sets a timeout.
	DefaultTimeout time.Duration
	Routing        routing.Settings
	Weights        routing.CostWeights
	// Balance is the name of the policy that selects targets.
	Balance    string
	RetryLimit retry.FleetLimit
}

// Dependencies are the functions of the node that a Handler calls. All of them are safe for concurrent use.
type Dependencies struct {
	// View returns the current view.
	View func() *view.View
	// IsBehind reports whether the node knows of a newer configuration than the one at an offset; nil if that is not known.
	IsBehind func(offset uint64) bool
	// Call invokes a net/rpc method of another node. It returns the error types of transport/peer.
	Call func(ctx context.Context, address, method string, args, reply any) error
	// Local executes a request at the local target.
	Local func(ctx context.Context, r *wire.Request) *wire.Response
	// MayTargetCall reports whether the local target may run a request, and so make calls for it; nil if that is not known.
	MayTargetCall func() bool
	// CallerService returns the service of the local target.
	CallerService func() string
	// Random returns uniformly distributed values.
	Random func() uint64
	// Quota limits the requests of organisations; nil if there are no limits.
	Quota Quota
	// Rollouts chooses the software version of the targets for requests of services with an order; nil if there are no orders.
	Rollouts *rollout.Manager
	// Observe is called for every completed request; it may be nil.
	Observe func(*Trace)
	// FirstAttemptID is derived from the clock, so that attempt IDs are not reused after a restart.
	FirstAttemptID uint64
}

// Quota limits the requests that organisations send through all nodes together. It is safe for concurrent use and does not
// block.
type Quota interface {
	// Admit counts a request of an organisation. If the quota is used up, it returns false and the delay after which a retry
	// may be admitted.
	Admit(o *config.Organisation, now time.Time) (admitted bool, retryAfter time.Duration)
	// Preview returns what Admit would decide, and counts nothing.
	Preview(o *config.Organisation, now time.Time) quota.Preview
	// Refund takes back a request that was admitted and certainly did not reach a target.
	Refund(o *config.Organisation, now time.Time)
}

// limits are the time and attempt limits of one request.
type limits struct {
	// deadline is when the timeout of the caller or of the route expires; objective is when the latency objective
	// expires.
	deadline, objective time.Time
	// callerDeadline is when the caller gives up. It may be later than the deadline, which is also limited by the
	// timeout of the route.
	callerDeadline time.Time
	attempts       int
	// late is true if the caller has already waited longer than the latency objective.
	late bool
}

// limitsOf returns the limits of a request received at now. elapsed is the time that the caller has already
// waited.
func limitsOf(route *config.Route, r *Request, now time.Time, defaultTimeout, elapsed time.Duration) limits {
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if r.Timeout > 0 && (r.Timeout < timeout || route.Timeout <= 0) {
		timeout = r.Timeout
	}
	l := limits{deadline: now.Add(timeout), attempts: max(1, int(route.MaxAttempts))}
	l.callerDeadline = l.deadline
	if r.Timeout > 0 {
		l.callerDeadline = now.Add(r.Timeout)
	}
	l.objective = l.deadline
	if route.LatencyObjective > 0 {
		l.objective = now.Add(min(remainingObjective(route.LatencyObjective, elapsed), timeout))
		l.late = elapsed >= route.LatencyObjective
	}
	return l
}

// remainingObjective returns the time left until the latency objective expires. A caller that retries after a
// refusal has used up part of the objective and is therefore served before new callers. A caller that has already
// missed the objective is treated like a new one.
func remainingObjective(objective, elapsed time.Duration) time.Duration {
	if elapsed >= objective {
		return objective
	}
	return objective - elapsed
}
