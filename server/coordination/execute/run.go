package execute

import (
	"context"
	"errors"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/protocol"

	"wagtailford.example/server/coordination/admission"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/suspect"
	"wagtailford.example/server/transport/httpclient"
)

// statusServerError is the lowest HTTP status of a server error.
const statusServerError = 500

// refusal is the reason why a request must not be sent to the target.
type refusal struct{ reason outcome.Reason }

// Error returns the reason.
func (r refusal) Error() string { return string(r.reason) }

// errUnanswered is the cause of the end of a request that the target was judged not to answer.
var errUnanswered = errors.New("the target does not answer the request")

// run sends the request to the target and returns its result. A request that may run more than once is given up if the target
// leaves it unanswered.
func (e *Executor) run(ctx context.Context, r *wire.Request, digest uint64, exclusive bool, slot *admission.Slot) *wire.Response {
	target := e.Target()
	if reason := e.checkSend(r, target, digest); reason != outcome.ReasonNone {
		return refused(reason)
	}
	body, reason := e.openBody(ctx, r)
	if reason != outcome.ReasonNone {
		return refused(reason)
	}
	req := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(req)
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(resp)
	deadline, _ := ctx.Deadline()
	codec := e.settings.Codec
	f := e.crashes.register(digest, exclusive)
	kind := ResponseValid
	var sent time.Time
	var abandon func()
	if r.Idempotent {
		watched, stop := context.WithCancelCause(ctx)
		defer stop(nil)
		ctx, abandon = watched, func() { stop(errUnanswered) }
	}
	ctx = httpclient.WithFirstByte(ctx, slot.Began)
	prepare := func() error {
		if reason := e.checkSend(r, target, digest); reason != outcome.ReasonNone {
			return refusal{reason}
		}
		sent = time.Now()
		if r.Stream == nil {
			// The answer to a streamed body waits for the caller, which says nothing about the target.
			slot.Sent(abandon)
		}
		codec.Write(req, e.withoutKey(r), target, time.Until(deadline))
		return nil
	}
	matcher := func(resp *protocol.Response) httpclient.Match {
		kind = codec.Read(r, resp)
		return matchOf(kind)
	}
	e.running.begin()
	err := e.client.DoStreamed(ctx, target.Address, req, body, resp, time.Until(deadline), prepare, matcher)
	e.running.end(isOver(err, kind), deadline)
	if err != nil {
		return e.responseForError(err, f, r, target)
	}
	if kind == ResponseValid || kind == ResponseShed {
		served := kind == ResponseValid && resp.StatusCode() < statusServerError
		e.observeNotice(target, r.RequestID, codec.ReadNotice(resp), sent, served)
	}
	switch kind {
	case ResponseShed:
		e.crashes.noteResponse(f)
		return markArrived(refused(outcome.ReasonTargetFull))
	case ResponseWrongInstance:
		e.crashes.unregister(f)
		return markArrived(refused(outcome.ReasonTargetReplaced))
	case ResponseCorrupt:
		e.crashes.unregister(f)
		return markArrived(unknown(outcome.ReasonAnswerCut))
	}
	e.crashes.complete(f)
	if resp.StatusCode() >= statusServerError && e.deps.OnTargetError != nil {
		e.deps.OnTargetError()
	}
	return markArrived(answered(resp))
}

// isOver reports whether the target does not run a request any more: it has responded to it, or was not sent it.
func isOver(err error, kind ResponseKind) bool {
	var notSent *httpclient.NotSentError
	return err == nil && kind != ResponseCorrupt || errors.As(err, &notSent)
}

// withoutKey returns the request without what must not reach the target of the field of keys. The node that took the request
// removes it too, unless it had an earlier configuration, by which the field is like any other.
func (e *Executor) withoutKey(r *wire.Request) *wire.Request {
	v := e.deps.View()
	if v.Content == nil {
		return r
	}
	rule := v.KeyRule()
	isKey := func(h wire.Header) bool {
		return strings.EqualFold(h.Name, wire.HeaderAuthorization) &&
			(rule == config.KeysDecide || rule == config.KeysWithdrawn && wire.IsKey(h.Value))
	}
	if !slices.ContainsFunc(r.Headers, isKey) {
		return r
	}
	stripped := *r
	stripped.Headers = slices.DeleteFunc(slices.Clone(r.Headers), isKey)
	return &stripped
}

// checkSend returns the reason why a request must not be sent to a target that was chosen earlier. It is decided right before
// the bytes are written: since its arrival, the request has waited for its body, a slot, its key or a connection. A target
// that drains still gets requests that arrived before, until the drain window has passed.
func (e *Executor) checkSend(r *wire.Request, chosen Target, digest uint64) outcome.Reason {
	e.mu.Lock()
	current, drainEnd := e.target, e.drainEnd
	e.mu.Unlock()
	switch {
	case current.Refuse == outcome.ReasonTargetDown || current.Refuse == outcome.ReasonNoTarget:
		return current.Refuse
	case current.Start != chosen.Start || current.Address != chosen.Address:
		return outcome.ReasonTargetReplaced
	case current.Service != r.Service:
		return outcome.ReasonNoTarget
	case current.Refuse == outcome.ReasonDraining && !time.Now().Before(drainEnd):
		return outcome.ReasonDraining
	case e.crashes.standing(digest) == suspect.Blocked:
		e.Counters.SuspectsBlocked.Add(1)
		return outcome.ReasonSuspect
	default:
		return outcome.ReasonNone
	}
}

func matchOf(kind ResponseKind) httpclient.Match {
	switch kind {
	case ResponseMismatched:
		return httpclient.Mismatched
	case ResponseCorrupt:
		return httpclient.Unidentified
	default:
		return httpclient.Matched
	}
}

// markArrived marks the request as possibly seen by the target.
func markArrived(r *wire.Response) *wire.Response {
	r.Arrived = true
	return r
}

// responseForError returns the response for a request that received no complete response.
func (e *Executor) responseForError(err error, f *inFlightRequest, r *wire.Request, target Target) *wire.Response {
	var notSent *httpclient.NotSentError
	if errors.As(err, &notSent) {
		e.crashes.unregister(f)
		return refused(notSentReason(err))
	}
	if errors.Is(err, httpclient.ErrTooLarge) {
		e.crashes.unregister(f)
		return markArrived(unknown(outcome.ReasonAnswerDropped))
	}
	if errors.Is(err, httpclient.ErrBody) {
		e.crashes.unregister(f)
		return markArrived(unknown(bodyErrorReason(err)))
	}
	if reason := contextReason(err); reason != outcome.ReasonNone {
		e.crashes.unregister(f)
		return markArrived(unknown(reason))
	}
	reason := outcome.ReasonAnswerCut
	if errors.Is(err, httpclient.ErrMalformed) {
		reason = outcome.ReasonAnswerMalformed
		e.reportMalformed(err, r.RequestID, target)
	}
	result := e.crashes.connectionBroken(f, target.Address, e.isLeaving(target.Start))
	if result.first {
		e.reportCrash(target.Address)
	}
	if result.crashed {
		return markArrived(unknown(outcome.ReasonTargetCrashed))
	}
	return markArrived(unknown(reason))
}

// reportMalformed counts and logs a malformed response of the target. request is the identifier of the request, empty for a
// health check.
func (e *Executor) reportMalformed(err error, request string, target Target) {
	e.Counters.Malformed.Add(1)
	e.deps.Log.WithError(err).WithFields(log.Fields{
		"event": "answer_malformed", "request": request, "instance": target.Instance, "address": target.Address,
	}).Warn("malformed response of the target dropped")
}

// reportCrash handles a crash of the target detected by a request.
func (e *Executor) reportCrash(address string) {
	e.Counters.Crashes.Add(1)
	e.deps.Log.WithField("address", address).Warn("target crashed with requests in flight")
	// Connections to the previous process are unusable.
	e.client.CloseIdle()
	if e.deps.OnCrash != nil {
		e.deps.OnCrash()
	}
}

// notSentReason returns the reason why a request was not sent.
func notSentReason(err error) outcome.Reason {
	var refused refusal
	switch {
	case errors.As(err, &refused):
		return refused.reason
	case errors.Is(err, context.Canceled):
		return outcome.ReasonCanceled
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.ReasonDeadline
	case errors.Is(err, httpclient.ErrNoConnection):
		return outcome.ReasonOverloaded
	case errors.Is(err, syscall.ECONNREFUSED):
		return outcome.ReasonTargetDown
	default:
		return outcome.ReasonConnectFailed
	}
}

// contextReason returns the reason why this node abandoned a request that had been sent; ReasonNone if it did not.
func contextReason(err error) outcome.Reason {
	switch {
	case errors.Is(err, errUnanswered):
		return outcome.ReasonUnanswered
	case errors.Is(err, context.Canceled):
		return outcome.ReasonCanceled
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.ReasonTargetTimeout
	default:
		return outcome.ReasonNone
	}
}

func refused(reason outcome.Reason) *wire.Response {
	return &wire.Response{Outcome: outcome.RefusedNotRun, Reason: reason}
}

func unknown(reason outcome.Reason) *wire.Response {
	return &wire.Response{Outcome: outcome.Unknown, Reason: reason}
}

// answered converts a complete response of the target.
func answered(resp *protocol.Response) *wire.Response {
	return &wire.Response{
		Outcome: outcome.Answered,
		Status:  resp.StatusCode(),
		Headers: answerHeaders(resp),
		Body:    append([]byte(nil), resp.Body()...),
	}
}
