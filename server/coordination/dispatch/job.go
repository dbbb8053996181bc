package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/coordination/rollout"
	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/coordination/transfer"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
	"wagtailford.example/server/transport/peer"
)

const (
	methodExecute = wire.ServiceNode + ".Execute"
	methodCancel  = wire.ServiceNode + ".Cancel"
	// methodExecuteAnnounced takes a request whose body is fetched separately. Nodes of older builds do not have
	// this method and refuse the call, where they would otherwise execute the request without its body.
	methodExecuteAnnounced = wire.ServiceNode + ".ExecuteAnnounced"
	// methodExecuteStreamed takes a request whose body is streamed. Nodes of older builds refuse the call.
	methodExecuteStreamed = wire.ServiceNode + ".ExecuteStreamed"
	// responseGrace is how long after the deadline the call still waits for the response of the executing node. It
	// covers the network delay within a region; without it the call would always time out before that response
	// arrives.
	responseGrace = 20 * time.Millisecond
	// cancelTimeout limits the call that notifies a node of a cancelled request.
	cancelTimeout = time.Second
)

// refusedDomainsMax limits the failure domains that one request remembers as full; it is below the attempts of a request.
const refusedDomainsMax = 2

// statusServerError is the lowest HTTP status of a server error.
const statusServerError = 500

// job is the dispatch of one request. It is not safe for concurrent use.
type job struct {
	handler *Handler
	steps   steps
	// explaining takes the ratings of the choices for an explanation; nil for a request.
	explaining *explaining
	view       *view.View
	trace      *Trace
	// organisation is the organisation of the request; nil if it has none.
	organisation *config.Organisation
	// digest identifies the request, elapsed is how long its caller has waited since its first attempt.
	digest     uint64
	elapsed    time.Duration
	limits     limits
	service    string
	idempotent bool
	// request is the template for all attempts.
	request wire.Request
	// pick is the software version chosen for the request; nil if the service has no order.
	pick *rollout.Pick
	// stream is the body if it is streamed; nil otherwise.
	stream *transfer.Stream
	// tried contains the nodes to which the request was sent.
	tried map[string]bool
	// refusedBy are the other failure domains of which a node was full. The next one there is most likely full too, and each
	// offer costs the bytes of the whole request.
	refusedBy [refusedDomainsMax]string
	// arrivals counts the attempts that may have reached a target.
	arrivals int
	// mayHaveRun is true after an attempt with an unknown outcome.
	mayHaveRun bool
	// waits limits the wait at the selected node.
	waits routing.WaitLimit
	// errorResponse is a response of a target with an error status. It is returned unless a later attempt replaces
	// it.
	errorResponse *wire.Response
	// lastRefusal is the reason of the latest refusal; ReasonNoTarget before the first one.
	lastRefusal outcome.Reason
	// shortestWait is the shortest wait for a slot that a refusing node reported; 0 if none did.
	shortestWait time.Duration
	// shortestService is the shortest service time that a refusing node reported.
	shortestService time.Duration
}

// addStream makes the attempts of a request stream its body if the caller has not sent all of it.
func (j *job) addStream(r *Request) {
	if r.Rest == nil {
		return
	}
	j.stream = transfer.NewStream(r.Body, r.Rest, r.RestBytes)
	j.request.Body = nil
	j.request.Stream = &wire.StreamedBody{Bytes: j.stream.Bytes(), Digest: xxhash.Sum64(r.Body)}
}

// run makes attempts until the request is complete.
func (j *job) run(ctx context.Context) *Result {
	j.handler.budget.RecordRequest(j.service, j.request.Priority, time.Now().UnixMilli())
	for {
		target := j.selectTarget()
		if target == nil {
			return j.resultOf(refusal(j.lastRefusal))
		}
		if j.arrivals > 0 &&
			!j.handler.budget.Take(j.service, j.request.Priority, j.errorResponse != nil, time.Now().UnixMilli()) {
			j.trace.BudgetExhausted = true
			return j.resultOf(refusal(outcome.ReasonAttemptsExhausted))
		}
		response := j.attempt(ctx, target)
		if !j.shouldRetry(ctx, response) {
			return j.resultOf(response)
		}
	}
}

// selectTarget returns the next target, or nil if all available targets have been tried.
func (j *job) selectTarget() *endpoint.Entry {
	now := time.Now().UnixMilli()
	list := j.candidates()
	var target *endpoint.Entry
	var fullFor time.Duration
	limited := false
	j.withStats(list.entries, now, func(statOf func(string) routing.NodeStats) {
		selection := j.choose(&routing.Choice{
			Candidates: list.entries,
			NearCount:  list.localCount,
			Stat:       statOf,
			DomainFull: func(domain string) bool {
				return domain == j.refusedBy[0] || domain == j.refusedBy[1] || j.handler.domains.IsFull(domain, j.request.Kind, now)
			},
			Exclude:  j.tried,
			Locality: j.handler.settings.Place,
			NowMS:    now,
			Settings: j.handler.settings.Routing,
			Random:   j.handler.deps.Random,
		}, j.demand())
		target, j.waits.Max = selection.Target, selection.MaxWait
		fullFor, limited = selection.FullFor, selection.Limited
	})
	if target == nil && j.waits.Reconsider(j.tried) {
		// All others are full, so a longer wait is better than a refusal.
		return j.selectTarget()
	}
	if target == nil && j.useOtherVersion() {
		return j.selectTarget()
	}
	if target == nil && len(list.entries) > 0 && j.lastRefusal == outcome.ReasonNoTarget {
		// Every candidate is considered full.
		j.lastRefusal = outcome.ReasonQueueFull
		if limited {
			j.lastRefusal, j.shortestWait = outcome.ReasonRateLimited, fullFor
		}
	}
	return target
}

// withStats calls read with a function that returns the statistics of the candidates. Requests read them under the lock of the
// tracker, without a copy. An explanation rates all candidates, which takes too long for that.
func (j *job) withStats(list []*endpoint.Entry, nowMS int64, read func(statOf func(string) routing.NodeStats)) {
	if j.explaining != nil {
		read(j.explaining.statsOf(j.request.Kind, nowMS, list))
		return
	}
	j.handler.tracker.WithStats(j.request.Kind, nowMS, read)
}

// choose selects a target. It is no method of steps, because the choice would then be allocated for each attempt.
func (j *job) choose(c *routing.Choice, d routing.Demand) routing.Selection {
	h := j.handler
	if j.explaining != nil {
		return j.explaining.choose(c, d)
	}
	return h.policy.Choose(c, d, h.settings.Weights, h.settings.Node)
}

// demand returns the resources that the request needs from its target.
func (j *job) demand() routing.Demand {
	d := routing.Demand{
		ExpectedBytes: j.handler.sizes.expected(j.trace.Route), Objective: j.limits.objective.Sub(j.trace.Started),
	}
	if len(j.request.Body) > transfer.MaxInlineBytes {
		d.BodyBytes = len(j.request.Body)
	}
	if j.stream != nil {
		d.BodyBytes = int(max(j.stream.Bytes(), transfer.MaxWholeBytes))
	}
	return d
}

// attempt sends the request to a node and records the result.
func (j *job) attempt(ctx context.Context, target *endpoint.Entry) *wire.Response {
	now := time.Now()
	isRetry := j.arrivals > 0
	j.tried[target.Node] = true
	tracked := j.handler.tracker.Begin(target.Node, now.UnixMilli())
	far := target.FailureDomain != j.handler.settings.Place.FailureDomain
	var offered int64
	if far {
		offered = j.handler.domains.Offer(target.FailureDomain, j.request.Kind, now.UnixMilli())
	}
	if j.pick != nil {
		j.pick.Sent()
	}
	response, reported := j.send(ctx, target, now)
	ended := time.Now()
	if j.pick != nil {
		j.recordVersion(ctx, target.Node, response, reported, ended.Sub(now))
	}
	var report *routing.Report
	if reported {
		report = &routing.Report{
			InUse: response.InUse, Queued: response.Queued, Kind: j.request.Kind,
			ServiceTime: time.Duration(response.ServiceMS) * time.Millisecond,
			Shed:        response.Reason == outcome.ReasonTargetFull,
			Full:        response.Reason == outcome.ReasonQueueFull,
			RateLimited: response.Reason == outcome.ReasonRateLimited,
			State:       response.TargetState,
			Served:      response.Outcome == outcome.Answered && response.Status < statusServerError,
			SentMS:      now.UnixMilli(),
			Wait:        time.Duration(response.WaitMS) * time.Millisecond,
			LinkWait:    time.Duration(response.LinkWaitMS) * time.Millisecond,
		}
	}
	result := routing.ResultOf(response.Outcome, response.Reason, response.Status)
	j.handler.tracker.EndWithReport(tracked, result, report, ended.UnixMilli())
	if far {
		if !j.recordDomain(target, response, report, ended.UnixMilli()) {
			j.handler.domains.Withdraw(target.FailureDomain, j.request.Kind, offered)
		}
		j.handler.counters.recordFar(&j.request, response)
	}
	if response.Outcome == outcome.Answered {
		j.handler.sizes.observe(j.trace.Route, len(j.request.Body)+len(response.Body))
	}
	switch {
	case response.Arrived:
		j.arrivals++
	case isRetry:
		j.handler.budget.Refund(j.service, ended.UnixMilli())
	}
	if response.Outcome == outcome.RefusedNotRun {
		j.lastRefusal = response.Reason
		if response.Reason == outcome.ReasonWaitExceeded {
			j.waits.Record(target.Node, j.tried)
		}
	}
	if wait := time.Duration(response.WaitMS) * time.Millisecond; wait > 0 &&
		(j.shortestWait == 0 || wait < j.shortestWait) {
		j.shortestWait = wait
	}
	if service := time.Duration(response.ServiceMS) * time.Millisecond; service > 0 &&
		(j.shortestService == 0 || service < j.shortestService) {
		j.shortestService = service
	}
	j.trace.addAttempt(target, response, ended.Sub(now))
	return response
}

// recordDomain records what the response of a node says of its failure domain, which is not that of this node. It returns false
// if it says nothing. report is nil if there was no response of the node.
func (j *job) recordDomain(target *endpoint.Entry, response *wire.Response, report *routing.Report, nowMS int64) bool {
	if report == nil || report.RateLimited {
		return false
	}
	full := report.Full
	if j.handler.settings.Balance == routing.BalanceEvenLoad {
		switch response.Reason {
		case outcome.ReasonShareExceeded:
			// It says nothing about other organisations.
			j.refusedBy[1], j.refusedBy[0] = j.refusedBy[0], target.FailureDomain
			return false
		case outcome.ReasonWaitExceeded, outcome.ReasonDeadline:
			full = true
		}
		if full {
			j.refusedBy[1], j.refusedBy[0] = j.refusedBy[0], target.FailureDomain
		}
	}
	j.handler.domains.Record(target.FailureDomain, j.request.Kind, full, report.Wait, nowMS)
	return true
}

// send makes one attempt. reported is true if the response came from the node of the target.
func (j *job) send(
	ctx context.Context, target *endpoint.Entry, now time.Time,
) (response *wire.Response, reported bool) {
	if !now.Before(j.limits.deadline) {
		return refusal(outcome.ReasonDeadline), false
	}
	h := j.handler
	request := j.request
	request.ID = h.attempt.Add(1)
	if !j.limits.late {
		request.MaxWaitMS = j.waits.Limit().Milliseconds()
	}
	request.KnownLimit = h.tracker.KnownLimit(target.Node, now.UnixMilli())
	request.Far = target.FailureDomain != h.settings.Place.FailureDomain
	request.TimeoutMS = j.limits.deadline.Sub(now).Milliseconds()
	request.ObjectiveMS = j.limits.objective.Sub(now).Milliseconds()
	if j.stream != nil {
		remove := h.bodies.AddStream(request.ID, j.stream)
		defer func() {
			if asked := remove(); !asked && !reported {
				response = refusal(response.Reason)
			}
		}()
	}
	if target.Node == h.settings.Node {
		return validatedResponse(h.deps.Local(ctx, &request)), true
	}
	method := methodExecute
	if j.stream != nil {
		request.FromAddress, method = h.settings.Address, methodExecuteStreamed
	}
	if len(request.Body) > transfer.MaxInlineBytes {
		request.BodyBytes, request.FromAddress = len(request.Body), h.settings.Address
		remove := h.bodies.Add(request.ID, request.Body)
		defer func() {
			if complete := remove(); !complete && !reported {
				// The executing node has not received the complete body, and cannot receive it any more.
				response = refusal(response.Reason)
			}
		}()
		request.Body = nil
		method = methodExecuteAnnounced
	}
	callCtx, cancel := context.WithDeadline(ctx, j.limits.deadline.Add(responseGrace))
	defer cancel()
	reply := new(wire.Response)
	err := h.deps.Call(callCtx, target.Address, method, &request, reply)
	if err == nil {
		return validatedResponse(reply), true
	}
	var notSent *peer.NotSentError
	if errors.As(err, &notSent) {
		return refusal(notSentReason(ctx)), false
	}
	// reply must not be read from here on, since a late response may still be decoded into it.
	if callCtx.Err() != nil {
		h.cancel(target.Address, &request)
	}
	return lostResponse(ctx, err), false
}

// notSentReason returns the reason for an attempt that was not sent. It says nothing about the target if the caller left.
func notSentReason(ctx context.Context) outcome.Reason {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStopping) {
		return outcome.ReasonCanceled
	}
	return outcome.ReasonConnectFailed
}

// lostResponse returns the response for an attempt whose reply was not received. The target may have run the
// request.
func lostResponse(ctx context.Context, err error) *wire.Response {
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

// validatedResponse returns the response if it is valid, otherwise a response with an unknown outcome.
func validatedResponse(response *wire.Response) *wire.Response {
	valid := response != nil
	if valid && response.Outcome == outcome.Answered {
		valid = response.IsValidAnswer()
	}
	if !valid || response.Outcome > outcome.RefusedNotRun {
		return &wire.Response{Outcome: outcome.Unknown, Reason: outcome.ReasonAnswerCut, Arrived: true}
	}
	return response
}

// shouldRetry reports whether another attempt follows.
func (j *job) shouldRetry(ctx context.Context, response *wire.Response) bool {
	if response.Outcome == outcome.Unknown {
		j.mayHaveRun = true
	}
	if ctx.Err() != nil || j.stream != nil && j.stream.Started() {
		return false
	}
	if response.Outcome == outcome.Answered {
		return j.retryErrorResponse(response)
	}
	if response.Reason == outcome.ReasonUnanswered && !time.Now().Before(j.limits.objective) {
		// The next attempt can only be late, so it must not take the slot of a request that can be in time.
		j.request.Late = true
	}
	decision := retry.Decide(retry.State{
		Outcome:      response.Outcome,
		Reason:       response.Reason,
		Idempotent:   j.idempotent,
		AttemptsLeft: min(j.limits.attempts-j.arrivals, j.handler.settings.MaxTargetsTried-len(j.tried)),
		AttemptsMade: len(j.tried),
		Remaining:    time.Until(j.limits.deadline),
		BudgetLeft:   true,
	})
	return decision.Action == retry.RetryElsewhere
}

// retryErrorResponse reports whether a response should be replaced by that of another attempt because it has an
// error status. The response is kept and returned if no later attempt yields a better one.
func (j *job) retryErrorResponse(response *wire.Response) bool {
	if response.Status < 500 || !j.idempotent || j.arrivals >= j.limits.attempts {
		return false
	}
	j.errorResponse = response
	return time.Now().Before(j.limits.objective)
}

// resultOf converts the response of the last attempt to the result.
func (j *job) resultOf(response *wire.Response) *Result {
	if response.Outcome != outcome.Answered && j.errorResponse != nil {
		response = j.errorResponse
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
	result.RetryAfter = j.retryAfter(result.Reason, time.Now())
	return result
}

// retryAfter returns the delay after which a refused caller should retry; 0 if it should not.
func (j *job) retryAfter(reason outcome.Reason, now time.Time) time.Duration {
	if !outcome.MayPass(outcome.RefusedNotRun, reason) {
		return 0
	}
	return retry.ReturnDelay(retry.Refusal{
		Now: now, Objective: j.limits.objective, CallerDeadline: j.limits.callerDeadline,
		Wait: j.shortestWait, Service: j.shortestService,
		Late:       j.limits.late,
		Overloaded: j.handler.isOverloaded(&j.request),
		Random:     float64(j.steps.random()>>11) / (1 << 53),
	})
}

// cancel notifies the executing node that the caller no longer waits for the response. It does not block.
func (h *Handler) cancel(address string, r *wire.Request) {
	h.counters.canceled.Add(1)
	args := &wire.CancelArgs{From: r.From, ID: r.ID}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		// Errors are ignored: the executing node also enforces the deadline, so a lost cancellation only wastes
		// work.
		_ = h.deps.Call(ctx, address, methodCancel, args, new(wire.CancelReply))
	}()
}

func refusal(reason outcome.Reason) *wire.Response {
	return &wire.Response{Outcome: outcome.RefusedNotRun, Reason: reason}
}
