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
	// answerGrace is how long after the deadline the executing node's own verdict is waited for. It covers the way
	// back between regions; without it the verdict would always lose against the deadline of the call.
	answerGrace = 250 * time.Millisecond
	// cancelTimeout limits the call that tells a node that the caller has gone.
	cancelTimeout = time.Second
	// notReported as slots in use means that an attempt brought no report.
	notReported = -1
)

// follow sends the request to a target and, as long as the answer is a redirect, to the owner that it names.
func (j *job) follow(ctx context.Context, target *endpoint.Entry) *wire.Response {
	for redirects := 0; ; redirects++ {
		response := j.send(ctx, target)
		if response.Outcome != outcome.RefusedNotRun {
			return response
		}
		if response.Reason != outcome.ReasonNotOwner {
			j.failed[target.Node] = true
			return response
		}
		owner := response.Owner
		if owner != nil && j.h.deps.MergeEntries != nil {
			j.h.deps.MergeEntries([]endpoint.Entry{*owner})
		}
		if redirects >= j.h.settings.RedirectsMax || !j.mayFollow(owner) {
			j.failed[target.Node] = true
			return refuse(outcome.ReasonNotOwner)
		}
		if time.Until(j.deadline) < time.Millisecond {
			return refuse(outcome.ReasonDeadline)
		}
		j.h.counters.Redirects.Add(1)
		target = owner
	}
}

// mayFollow reports whether a redirect leads to a node that can run the request. A request with a generated key
// keeps to the labels of its route; it gets another key instead.
func (j *job) mayFollow(owner *endpoint.Entry) bool {
	if owner == nil || owner.Address == "" || owner.Service != j.request.Service || !reachable(owner) {
		return false
	}
	if j.idempotent || j.keyFixed {
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

// reachable reports whether an entry can hold keys and be reached.
func reachable(e *endpoint.Entry) bool {
	return e.State == endpoint.Alive || e.State == endpoint.Suspect || e.State == endpoint.Draining
}

// send makes one attempt at one node under a new attempt id.
func (j *job) send(ctx context.Context, target *endpoint.Entry) *wire.Response {
	h := j.h
	request := j.request
	request.ID = h.attempt.Add(1)
	request.TimeoutMS = time.Until(j.deadline).Milliseconds()
	request.Attempts = j.chain.DownstreamAttempts(j.attempts)
	tracked := h.tracker.Begin(target.Node, time.Now().UnixMilli())
	response, reported := j.execute(ctx, target, &request)
	inUse := notReported
	if reported {
		inUse = response.InUse
	}
	result := routing.ResultOf(response.Outcome, response.Reason, response.Status)
	h.tracker.End(tracked, result, inUse, response.Queued, time.Now().UnixMilli())
	if response.Outcome == outcome.Unknown {
		j.failed[target.Node] = true
	}
	return response
}

// execute runs the request at the target and settles a lost reply. reported is true if the response came from the
// target's node with its slot use.
func (j *job) execute(ctx context.Context, target *endpoint.Entry, r *wire.Request) (response *wire.Response, reported bool) {
	h := j.h
	callCtx, cancel := context.WithDeadline(ctx, j.deadline.Add(answerGrace))
	defer cancel()
	if target.Node == h.settings.Node && h.deps.Local != nil {
		return checked(h.deps.Local(callCtx, r)), true
	}
	reply := new(wire.Response)
	err := h.deps.Call(callCtx, target.Address, methodExecute, r, reply)
	if err == nil {
		return checked(reply), true
	}
	var notSent *peer.NotSentError
	if errors.As(err, &notSent) {
		return refuse(outcome.ReasonConnectFailed), false
	}
	// The reply must not be read from here on: a late response may still be decoded into it.
	if ctx.Err() != nil {
		h.cancel(target.Address, r)
		return unknown(outcome.ReasonCanceled), false
	}
	if j.idempotent {
		return unknown(lossReason(err)), false
	}
	return j.resolve(ctx, target.Address, r), false
}

// lossReason says why no reply arrived.
func lossReason(err error) outcome.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonSilent
}

// checked returns a response that can be passed on whole; anything else is unknown.
func checked(response *wire.Response) *wire.Response {
	if response == nil {
		return unknown(outcome.ReasonAnswerCut)
	}
	switch response.Outcome {
	case outcome.Answered:
		if response.Status < 200 || response.Status > 599 {
			return unknown(outcome.ReasonAnswerCut)
		}
	case outcome.RefusedNotRun, outcome.Unknown:
	default:
		return unknown(outcome.ReasonAnswerCut)
	}
	return response
}

// resolve asks the owner what became of an attempt whose reply was lost.
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
	return checked(response)
}

// cancel tells the executing node that the caller has gone.
func (h *Handler) cancel(address string, r *wire.Request) {
	h.counters.Canceled.Add(1)
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	args := &wire.CancelArgs{From: r.From, ID: r.ID}
	// The executing node also notices the deadline, so a lost cancellation only costs work.
	_ = h.deps.Call(ctx, address, methodCancel, args, new(wire.CancelReply))
}
