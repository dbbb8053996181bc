package execute

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/transport/httpclient"
)

// run sends the request to the target.
func (e *Executor) run(ctx context.Context, r *wire.Request, digest uint64, alone bool) *wire.Response {
	target := e.Target()
	if target.Refuse == outcome.ReasonTargetDown || target.Refuse == outcome.ReasonNoTarget {
		return refused(target.Refuse)
	}
	req := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(req)
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(resp)
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	dialect := e.settings.Codec
	dialect.Write(req, r, target, remaining)
	f := e.crashes.start(digest, alone)
	foreign := func(resp *protocol.Response) bool { return dialect.Read(r, resp) == ResponseMismatched }
	err := e.client.DoSkip(ctx, target.Address, req, resp, remaining, foreign)
	if err != nil {
		return e.failed(err, f, target.Address)
	}
	switch dialect.Read(r, resp) {
	case ResponseShed:
		e.crashes.end(f)
		return arrived(refused(outcome.ReasonTargetFull))
	case ResponseWrongInstance:
		e.crashes.end(f)
		return arrived(refused(outcome.ReasonTargetReplaced))
	case ResponseCorrupt:
		e.crashes.complete(f, e.othersIndex().Latest(f.digest))
		return arrived(unknown(outcome.ReasonAnswerCut))
	}
	e.crashes.complete(f, e.othersIndex().Latest(f.digest))
	return arrived(answered(resp))
}

// arrived notes that the target may have seen the request.
func arrived(r *wire.Response) *wire.Response {
	r.Arrived = true
	return r
}

// failed says what became of a request without a whole response.
func (e *Executor) failed(err error, f *flight, address string) *wire.Response {
	var notSent *httpclient.NotSentError
	if errors.As(err, &notSent) {
		e.crashes.end(f)
		return refused(notSentReason(err))
	}
	if errors.Is(err, httpclient.ErrTooLarge) {
		e.crashes.complete(f, e.othersIndex().Latest(f.digest))
		return arrived(unknown(outcome.ReasonAnswerDropped))
	}
	if reason := contextReason(err); reason != outcome.ReasonNone {
		e.crashes.end(f)
		return arrived(unknown(reason))
	}
	verdict := e.crashes.broke(f, address)
	if verdict.first {
		e.crashed(address)
	}
	if verdict.crashed {
		return arrived(unknown(outcome.ReasonTargetCrashed))
	}
	return arrived(unknown(outcome.ReasonAnswerCut))
}

// crashed reports a crash that was found by a request.
func (e *Executor) crashed(address string) {
	e.Counters.Crashes.Add(1)
	e.deps.Log.WithField("address", address).Warn("target crashed with requests in flight")
	// Connections to the previous process are of no use.
	e.client.CloseIdle()
	if e.deps.OnCrash != nil {
		e.deps.OnCrash()
	}
}

// notSentReason says why a request was not sent.
func notSentReason(err error) outcome.Reason {
	switch {
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

// contextReason says why a request that was sent was given up by this node; none if it was not.
func contextReason(err error) outcome.Reason {
	switch {
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

// answered copies a whole response of the target.
func answered(resp *protocol.Response) *wire.Response {
	return &wire.Response{
		Outcome: outcome.Answered,
		Status:  resp.StatusCode(),
		Headers: answerHeaders(resp),
		Body:    append([]byte(nil), resp.Body()...),
	}
}
