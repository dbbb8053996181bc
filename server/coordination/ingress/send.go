package ingress

import (
	"context"
	"errors"
	"time"

	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/transport/peer"
)

const (
	methodExecute = wire.ServiceNode + ".Execute"
	methodCancel  = wire.ServiceNode + ".Cancel"
	// replyGracePeriod is how long after the deadline the call still waits for the response of the executing node. It
	// covers the return path between regions; without it the call would always time out before that response arrives.
	replyGracePeriod = 250 * time.Millisecond
	// cancelTimeout limits the call that cancels a request at the executing node.
	cancelTimeout = time.Second
	// inUseNotReported is the number of slots in use if the executing node did not report it.
	inUseNotReported = -1
)

// sendWithRedirects sends the request to a target and follows not_owner responses to the owner that they name.
func (j *job) sendWithRedirects(ctx context.Context, target *endpoint.Entry) *wire.Response {
	for redirects := 0; ; redirects++ {
		response := j.send(ctx, target)
		if response.Outcome != outcome.RefusedNotRun {
			return response
		}
		if response.Reason != outcome.ReasonNotOwner {
			j.failedNodes[target.Node] = true
			return response
		}
		owner := response.Owner
		if owner != nil && j.h.deps.MergeEntries != nil {
			j.h.deps.MergeEntries([]endpoint.Entry{*owner})
		}
		if redirects >= j.h.settings.RedirectsMax || !j.canRedirectTo(owner) {
			j.failedNodes[target.Node] = true
			return refuse(outcome.ReasonNotOwner)
		}
		if time.Until(j.deadline) < time.Millisecond {
			return refuse(outcome.ReasonDeadline)
		}
		j.h.counters.Redirects.Add(1)
		target = owner
	}
}

// canRedirectTo reports whether the owner named in a redirect can run the request. A request with a generated key must
// stay within the labels of its route; if it cannot follow the redirect, it is retried with another key.
func (j *job) canRedirectTo(owner *endpoint.Entry) bool {
	if owner == nil || owner.Address == "" || owner.Service != j.request.Service || !reachable(owner) {
		return false
	}
	if j.idempotent || j.keyFromCaller {
		return true
	}
	for i := range j.route.Destinations {
		d := &j.route.Destinations[i]
		if d.Weight > 0 && d.Service == owner.Service && routing.HasLabels(owner, d.Labels) {
			return true
		}
	}
	return false
}

// reachable reports whether a node is in a state in which it can own keys and accept calls.
func reachable(e *endpoint.Entry) bool {
	return e.State == endpoint.Alive || e.State == endpoint.Suspect || e.State == endpoint.Draining
}

// send sends the request to one node with a new attempt ID.
func (j *job) send(ctx context.Context, target *endpoint.Entry) *wire.Response {
	h := j.h
	request := j.request
	request.ID = h.lastAttemptID.Add(1)
	request.TimeoutMS = time.Until(j.deadline).Milliseconds()
	request.Attempts = j.chain.DownstreamAttempts(j.attempts)
	tracked := h.tracker.Begin(target.Node, time.Now().UnixMilli())
	response, reported := j.execute(ctx, target, &request)
	inUse := inUseNotReported
	if reported {
		inUse = response.InUse
	}
	result := routing.ResultOf(response.Outcome, response.Reason, response.Status)
	h.tracker.End(tracked, result, inUse, response.Queued, time.Now().UnixMilli())
	if response.Outcome == outcome.Unknown {
		j.failedNodes[target.Node] = true
	}
	return response
}

// execute runs the request at the target and resolves the outcome if the reply is lost. reported is true if the
// response came from the target's node and includes the number of slots in use.
func (j *job) execute(
	ctx context.Context, target *endpoint.Entry, r *wire.Request,
) (response *wire.Response, reported bool) {
	h := j.h
	callCtx, cancel := context.WithDeadline(ctx, j.deadline.Add(replyGracePeriod))
	defer cancel()
	if target.Node == h.settings.Node && h.deps.Local != nil {
		return validateResponse(h.deps.Local(callCtx, r)), true
	}
	reply := new(wire.Response)
	err := h.deps.Call(callCtx, target.Address, methodExecute, r, reply)
	if err == nil {
		return validateResponse(reply), true
	}
	var notSent *peer.NotSentError
	if errors.As(err, &notSent) {
		return refuse(outcome.ReasonConnectFailed), false
	}
	// reply must not be read after an error: a late response may still be decoded into it.
	if ctx.Err() != nil {
		h.cancelRemote(target.Address, r)
		return unknown(outcome.ReasonCanceled), false
	}
	if j.idempotent {
		return unknown(lostReplyReason(err)), false
	}
	return j.resolve(ctx, target.Address, r), false
}

// lostReplyReason returns the reason for a missing reply.
func lostReplyReason(err error) outcome.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonSilent
}

// validateResponse returns the response if it is valid and an unknown outcome otherwise.
func validateResponse(response *wire.Response) *wire.Response {
	if response == nil {
		return unknown(outcome.ReasonAnswerCut)
	}
	switch response.Outcome {
	case outcome.Answered:
		if !response.IsValidAnswer() {
			return unknown(outcome.ReasonAnswerCut)
		}
	case outcome.RefusedNotRun, outcome.Unknown:
	default:
		return unknown(outcome.ReasonAnswerCut)
	}
	return response
}

// resolve asks the owner for the outcome of an attempt whose reply was lost.
func (j *job) resolve(ctx context.Context, address string, r *wire.Request) *wire.Response {
	h := j.h
	h.counters.Resolves.Add(1)
	if h.deps.Resolver == nil {
		return unknown(outcome.ReasonOwnerUnreachable)
	}
	ctx, cancel := context.WithTimeout(ctx, max(time.Until(j.deadline), 0)+h.settings.ResolveTimeout)
	defer cancel()
	response, err := h.deps.Resolver.Resolve(ctx, address, r)
	if err != nil {
		return unknown(outcome.ReasonOwnerUnreachable)
	}
	return validateResponse(response)
}

// cancelRemote tells the executing node that the caller has disconnected.
func (h *Handler) cancelRemote(address string, r *wire.Request) {
	h.counters.Canceled.Add(1)
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	args := &wire.CancelArgs{From: r.From, ID: r.ID}
	// The executing node also enforces the deadline, so a lost cancellation only wastes work.
	_ = h.deps.Call(ctx, address, methodCancel, args, new(wire.CancelReply))
}
