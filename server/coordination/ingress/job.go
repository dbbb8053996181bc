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

// job is one request on its way to its outcome. One goroutine uses it.
type job struct {
	h          *Handler
	view       *view.View
	route      *config.Route
	chain      retry.Chain
	deadline   time.Time
	idempotent bool
	// keyFixed is true if the caller chose the key.
	keyFixed bool
	// caller and path are what the route was matched by.
	caller, path string
	// keyWithheld is true if a repeat of the generated key could be sent to another service than this request.
	keyWithheld bool
	// request is the template of every attempt.
	request wire.Request
	// attempts counts the attempts made.
	attempts int
	// failed are the nodes at which an attempt of this request failed.
	failed map[string]bool
	// mayHaveRun is true after an attempt whose outcome is unknown.
	mayHaveRun bool
}

// Do takes a request to its outcome. The end of ctx means that the caller has gone.
func (h *Handler) Do(ctx context.Context, r *Request) *Result {
	start := time.Now()
	result := settle(r, h.do(ctx, r))
	h.counters.count(result.Outcome, result.Reason)
	if result.Outcome == outcome.Answered {
		now := time.Now()
		h.counters.latencies.record(now.Sub(start), now)
	}
	return result
}

func (h *Handler) do(ctx context.Context, r *Request) *Result {
	if !h.enter() {
		return &Result{Response: refuse(outcome.ReasonShutdown)}
	}
	defer h.leave()
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

// run makes attempts until one of them ends the request.
func (j *job) run(ctx context.Context) *wire.Response {
	j.h.budget.RecordRequest(time.Now().UnixMilli())
	for {
		j.attempts++
		response := j.try(ctx)
		if response.Outcome == outcome.Unknown {
			j.mayHaveRun = true
		}
		decision := j.next(response)
		if decision.Action == retry.GiveUp || !pause.For(ctx, decision.Wait) {
			return j.final(response)
		}
		j.h.counters.Retries.Add(1)
	}
}

// try makes one attempt.
func (j *job) try(ctx context.Context) *wire.Response {
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
	case j.keyFixed:
		target, refusal = j.ownerOfKey(ctx)
	default:
		target, refusal = j.generateKey()
	}
	if refusal != nil {
		return refusal
	}
	return j.follow(ctx, target)
}

func (j *job) next(response *wire.Response) retry.Decision {
	state := retry.State{
		Outcome:      response.Outcome,
		Reason:       response.Reason,
		Idempotent:   j.idempotent,
		OwnerOnly:    j.keyFixed,
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

// final turns the response of the last attempt into the outcome of the request.
func (j *job) final(response *wire.Response) *wire.Response {
	if response.Outcome != outcome.RefusedNotRun {
		return response
	}
	if j.mayHaveRun {
		return unknown(response.Reason)
	}
	return response
}
