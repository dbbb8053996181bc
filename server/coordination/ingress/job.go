package ingress

import (
	"context"
	"time"

	"wagtailford.example/server/coordination/pause"
	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

// job is the state of one request being processed. It is used by a single goroutine.
type job struct {
	h          *Handler
	view       *view.View
	route      *config.Route
	chain      retry.Chain
	deadline   time.Time
	idempotent bool
	// keyFromCaller is true if the caller supplied the idempotency key.
	keyFromCaller bool
	// caller and path are the values by which the route was matched.
	caller, path string
	// keyWithheld is true if the generated key is not returned to the caller, because a repeat with it could be sent to
	// a different service.
	keyWithheld bool
	// request is the template from which each attempt is copied.
	request wire.Request
	// attempts is the number of attempts made, including the current one.
	attempts int
	// failedNodes are the nodes at which an attempt of this request failed.
	failedNodes map[string]bool
	// mayHaveRun is true once an attempt has had an unknown outcome.
	mayHaveRun bool
}

// Do processes a request and returns its outcome. The end of ctx means that the caller has disconnected.
func (h *Handler) Do(ctx context.Context, r *Request) *Result {
	start := time.Now()
	result := applyCallerKey(r, h.do(ctx, r))
	h.counters.count(result.Outcome, result.Reason)
	if result.Outcome == outcome.Answered {
		now := time.Now()
		h.counters.latencies.record(now.Sub(start), now)
	}
	return result
}

func (h *Handler) do(ctx context.Context, r *Request) *Result {
	if !h.beginRequest() {
		return &Result{Response: refuse(outcome.ReasonShutdown)}
	}
	defer h.endRequest()
	done := make(chan *Result, 1)
	err := h.pool.Submit(func() { done <- h.handle(ctx, r) })
	if err != nil {
		return &Result{Response: refuse(outcome.ReasonOverloaded)}
	}
	return <-done
}

func (h *Handler) handle(ctx context.Context, r *Request) *Result {
	j, refusal := h.prepare(r, time.Now())
	if refusal != nil {
		return &Result{Response: refusal}
	}
	response := j.run(ctx)
	if j.keyWithheld {
		return &Result{Response: response}
	}
	return &Result{Response: response, Key: j.request.Key}
}

// run makes attempts until one is final or no retry is allowed.
func (j *job) run(ctx context.Context) *wire.Response {
	j.h.budget.RecordRequest(time.Now().UnixMilli())
	for {
		j.attempts++
		response := j.attempt(ctx)
		if response.Outcome == outcome.Unknown {
			j.mayHaveRun = true
		}
		decision := j.decideRetry(response)
		if decision.Action == retry.GiveUp || !pause.For(ctx, decision.Wait) {
			return j.finalResponse(response)
		}
		j.h.counters.Retries.Add(1)
	}
}

// attempt selects a target and makes one attempt.
func (j *job) attempt(ctx context.Context) *wire.Response {
	if ctx.Err() != nil {
		return refuse(outcome.ReasonCanceled)
	}
	if time.Until(j.deadline) < time.Millisecond {
		return refuse(outcome.ReasonDeadline)
	}
	var target *endpoint.Entry
	var refusal *wire.Response
	switch {
	case j.idempotent:
		target, refusal = j.chooseTarget()
	case j.keyFromCaller:
		target, refusal = j.ownerOfKey(ctx)
	default:
		target, refusal = j.generateKey()
	}
	if refusal != nil {
		return refusal
	}
	return j.sendWithRedirects(ctx, target)
}

func (j *job) decideRetry(response *wire.Response) retry.Decision {
	state := retry.State{
		Outcome:      response.Outcome,
		Reason:       response.Reason,
		Idempotent:   j.idempotent,
		OwnerOnly:    j.keyFromCaller,
		AttemptsLeft: j.chain.RemainingAttempts(j.attempts),
		AttemptsMade: j.attempts,
		Remaining:    time.Until(j.deadline),
		BudgetLeft:   true,
	}
	decision := retry.Decide(state)
	if decision.Action == retry.GiveUp || j.h.budget.Take(response.Outcome, time.Now().UnixMilli()) {
		return decision
	}
	j.h.counters.BudgetExhausted.Add(1)
	state.BudgetLeft = false
	return retry.Decide(state)
}

// finalResponse derives the outcome of the request from the response to its last attempt. A refusal becomes unknown if
// an earlier attempt may have run.
func (j *job) finalResponse(response *wire.Response) *wire.Response {
	if response.Outcome != outcome.RefusedNotRun {
		return response
	}
	if j.mayHaveRun {
		return unknown(response.Reason)
	}
	return response
}
