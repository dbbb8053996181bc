package dispatch

import (
	"context"
	"errors"
	"time"

	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/coordination/transfer"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
	"wagtailford.example/server/transport/peer"
)

const (
	methodExecute = wire.ServiceNode + ".Execute"
	methodCancel  = wire.ServiceNode + ".Cancel"
	// methodExecuteAnnounced takes a request whose body is fetched. A node of an older build does not know it, and refuses
	// where it would otherwise run the request without its body.
	methodExecuteAnnounced = wire.ServiceNode + ".ExecuteAnnounced"
	// answerGrace is how long after the deadline the executing node's own verdict is waited for. It covers the way
	// back inside a region; without it the verdict would always lose against the deadline of the call.
	answerGrace = 20 * time.Millisecond
	// cancelTimeout limits the call that tells a node that the caller has gone.
	cancelTimeout = time.Second
)

// job is one request on its way to its outcome. One goroutine uses it.
type job struct {
	h          *Handler
	view       *view.View
	trace      *Trace
	limits     limits
	service    string
	idempotent bool
	// request is the template of every attempt.
	request wire.Request
	// tried are the nodes that the request was offered to.
	tried map[string]bool
	// arrivals counts the attempts that may have reached a target.
	arrivals int
	// mayHaveRun is true after an attempt whose outcome is unknown.
	mayHaveRun bool
	// failure is an answer of a target with an error status that a later attempt may replace.
	failure *wire.Response
	// lastRefusal is why the last node refused; ReasonNoTarget before the first.
	lastRefusal outcome.Reason
	// room is the shortest wait for a slot that a refusing node stated; 0 if none did.
	room time.Duration
}

// run makes attempts until one of them ends the request.
func (j *job) run(ctx context.Context) *Result {
	j.h.budget.RecordRequest(j.service, j.request.Priority, time.Now().UnixMilli())
	j.tried = make(map[string]bool)
	j.lastRefusal = outcome.ReasonNoTarget
	for {
		target := j.choose()
		if target == nil {
			return j.final(refuse(j.lastRefusal))
		}
		if j.arrivals > 0 && !j.h.budget.Take(j.service, j.request.Priority, j.failure != nil, time.Now().UnixMilli()) {
			j.trace.BudgetExhausted = true
			return j.final(refuse(outcome.ReasonAttemptsExhausted))
		}
		response := j.attempt(ctx, target)
		if !j.again(ctx, response) {
			return j.final(response)
		}
	}
}

// choose returns the next target, or nil if there is none that the request was not offered to.
func (j *job) choose() *endpoint.Entry {
	now := time.Now().UnixMilli()
	list := j.h.candidates.of(j.view, j.service, &j.h.settings)
	var target *endpoint.Entry
	j.h.tracker.WithStats(j.request.Kind, now, func(statOf func(string) routing.NodeStats) {
		target = routing.ChooseLowestCost(&routing.Choice{
			Candidates: list.entries,
			NearCount:  list.near,
			Stat:       statOf,
			DomainFull: func(domain string) bool { return j.h.domains.IsFull(domain, j.request.Kind, now) },
			Exclude:    j.tried,
			Locality:   j.h.settings.Place,
			NowMS:      now,
			Settings:   j.h.settings.Routing,
			Random:     j.h.deps.Random,
		}, j.demand(), j.h.settings.Weights, j.h.settings.Node)
	})
	if target == nil && len(list.entries) > 0 && j.lastRefusal == outcome.ReasonNoTarget {
		// Every candidate counts as full.
		j.lastRefusal = outcome.ReasonQueueFull
	}
	return target
}

// demand returns what the request asks of its target.
func (j *job) demand() routing.Demand {
	d := routing.Demand{ExpectedBytes: j.h.sizes.expected(j.trace.Route), Objective: j.limits.objective.Sub(j.trace.Started)}
	if len(j.request.Body) > transfer.MaxInlineBytes {
		d.BodyBytes = len(j.request.Body)
	}
	return d
}

// attempt offers the request to a node and notes what became of it.
func (j *job) attempt(ctx context.Context, target *endpoint.Entry) *wire.Response {
	now := time.Now()
	repeat := j.arrivals > 0
	j.tried[target.Node] = true
	tracked := j.h.tracker.Begin(target.Node, now.UnixMilli())
	response, reported := j.send(ctx, target, now)
	ended := time.Now()
	var report *routing.Report
	if reported {
		report = &routing.Report{
			InUse: response.InUse, Queued: response.Queued, Kind: j.request.Kind,
			ServiceTime: time.Duration(response.ServiceMS) * time.Millisecond,
			Shed:        response.Reason == outcome.ReasonTargetFull,
			Full:        response.Reason == outcome.ReasonQueueFull,
			Wait:        time.Duration(response.WaitMS) * time.Millisecond, LinkWait: time.Duration(response.LinkWaitMS) * time.Millisecond,
		}
	}
	result := routing.ResultOf(response.Outcome, response.Reason, response.Status)
	j.h.tracker.EndWithReport(tracked, result, report, ended.UnixMilli())
	if report != nil && target.FailureDomain != j.h.settings.Place.FailureDomain {
		j.h.domains.Record(target.FailureDomain, j.request.Kind, report.Full, report.Wait, ended.UnixMilli())
	}
	if response.Outcome == outcome.Answered {
		j.h.sizes.observe(j.trace.Route, len(j.request.Body)+len(response.Body))
	}
	switch {
	case response.Arrived:
		j.arrivals++
	case repeat:
		j.h.budget.Refund(j.service, ended.UnixMilli())
	}
	if response.Outcome == outcome.RefusedNotRun {
		j.lastRefusal = response.Reason
	}
	if wait := time.Duration(response.WaitMS) * time.Millisecond; wait > 0 && (j.room == 0 || wait < j.room) {
		j.room = wait
	}
	j.trace.attempt(target, response, ended.Sub(now))
	return response
}

// send makes one attempt. reported is true if the response came from the target's node.
func (j *job) send(ctx context.Context, target *endpoint.Entry, now time.Time) (response *wire.Response, reported bool) {
	if !now.Before(j.limits.deadline) {
		return refuse(outcome.ReasonDeadline), false
	}
	h := j.h
	request := j.request
	request.ID = h.attempt.Add(1)
	request.Far = target.FailureDomain != h.settings.Place.FailureDomain
	request.TimeoutMS = j.limits.deadline.Sub(now).Milliseconds()
	request.ObjectiveMS = j.limits.objective.Sub(now).Milliseconds()
	if target.Node == h.settings.Node {
		return checked(h.deps.Local(ctx, &request)), true
	}
	method := methodExecute
	if len(request.Body) > transfer.MaxInlineBytes {
		request.BodyBytes, request.FromAddress = len(request.Body), h.settings.Address
		remove := h.bodies.Add(request.ID, request.Body)
		defer func() {
			if whole := remove(); !whole && !reported {
				// The executing node does not have the whole body, and will not get it.
				response = refuse(response.Reason)
			}
		}()
		request.Body = nil
		method = methodExecuteAnnounced
	}
	callCtx, cancel := context.WithDeadline(ctx, j.limits.deadline.Add(answerGrace))
	defer cancel()
	reply := new(wire.Response)
	err := h.deps.Call(callCtx, target.Address, method, &request, reply)
	if err == nil {
		return checked(reply), true
	}
	var notSent *peer.NotSentError
	if errors.As(err, &notSent) {
		return refuse(outcome.ReasonConnectFailed), false
	}
	// The reply must not be read from here on: a late response may still be decoded into it.
	if callCtx.Err() != nil {
		h.cancel(target.Address, &request)
	}
	return lost(ctx, err), false
}

// lost is the response to an attempt whose reply did not arrive. The target may have run the request.
func lost(ctx context.Context, err error) *wire.Response {
	reason := outcome.ReasonSilent
	switch {
	case errors.Is(context.Cause(ctx), errStopping):
		reason = outcome.ReasonShutdown
	case ctx.Err() != nil:
		reason = outcome.ReasonCanceled
	case errors.Is(err, context.DeadlineExceeded):
		reason = outcome.ReasonDeadline
	}
	return &wire.Response{Outcome: outcome.Unknown, Reason: reason, Arrived: true}
}

// checked returns a response that can be passed on whole; anything else is unknown.
func checked(response *wire.Response) *wire.Response {
	valid := response != nil
	if valid && response.Outcome == outcome.Answered {
		valid = response.Status >= 200 && response.Status <= 599
	}
	if !valid || response.Outcome > outcome.RefusedNotRun {
		return &wire.Response{Outcome: outcome.Unknown, Reason: outcome.ReasonAnswerCut, Arrived: true}
	}
	return response
}

// again decides whether another attempt follows.
func (j *job) again(ctx context.Context, response *wire.Response) bool {
	if response.Outcome == outcome.Unknown {
		j.mayHaveRun = true
	}
	if ctx.Err() != nil {
		return false
	}
	if response.Outcome == outcome.Answered {
		return j.replaceFailure(response)
	}
	decision := retry.Decide(retry.State{
		Outcome:      response.Outcome,
		Reason:       response.Reason,
		Idempotent:   j.idempotent,
		AttemptsLeft: min(j.limits.attempts-j.arrivals, j.h.settings.MaxTargetsTried-len(j.tried)),
		AttemptsMade: len(j.tried),
		Remaining:    time.Until(j.limits.deadline),
		BudgetLeft:   true,
	})
	return decision.Action == retry.RetryElsewhere
}

// replaceFailure reports whether an answer with an error of the target is worth another attempt. The answer is kept
// for the case that no other attempt brings a better one.
func (j *job) replaceFailure(response *wire.Response) bool {
	if response.Status < 500 || !j.idempotent || j.arrivals >= j.limits.attempts {
		return false
	}
	j.failure = response
	return time.Now().Before(j.limits.objective)
}

// final turns the response of the last attempt into the result.
func (j *job) final(response *wire.Response) *Result {
	if response.Outcome != outcome.Answered && j.failure != nil {
		response = j.failure
	}
	result := &Result{
		Outcome: response.Outcome,
		Reason:  response.Reason,
		Status:  response.Status,
		Headers: response.Headers,
		Body:    response.Body,
	}
	if result.Outcome != outcome.RefusedNotRun {
		return result
	}
	if j.mayHaveRun {
		result.Outcome = outcome.Unknown
		return result
	}
	result.RetryAfter = retryAfter(result.Reason, j.room, j.h.deps.Random())
	return result
}

// refusalRetryAfter is when a caller should return if no node stated a wait.
const refusalRetryAfter = 100 * time.Millisecond

// retryAfter returns when a refused caller should come back. It is spread over half of the wait, so that callers that
// were refused together do not return together.
func retryAfter(reason outcome.Reason, room time.Duration, random uint64) time.Duration {
	if !outcome.MayPass(outcome.RefusedNotRun, reason) {
		return 0
	}
	wait := max(room, refusalRetryAfter)
	return wait + time.Duration(random%uint64(wait/2))
}

// cancel tells the executing node that nobody waits for the answer. It returns at once.
func (h *Handler) cancel(address string, r *wire.Request) {
	h.counters.canceled.Add(1)
	args := &wire.CancelArgs{From: r.From, ID: r.ID}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		// The executing node also notices the deadline, so a lost cancellation only costs work.
		_ = h.deps.Call(ctx, address, methodCancel, args, new(wire.CancelReply))
	}()
}

func refuse(reason outcome.Reason) *wire.Response {
	return &wire.Response{Outcome: outcome.RefusedNotRun, Reason: reason}
}
