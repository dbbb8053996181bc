package ownership

import (
	"time"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/idempotency"
)

// resultOf converts the response of a run to a stored result.
func resultOf(r *wire.Response) idempotency.Result {
	switch {
	case r == nil:
		return idempotency.Result{State: idempotency.Unknown}
	case r.Outcome == outcome.Answered:
		return idempotency.Result{State: idempotency.Done, Answer: answerOf(r)}
	case r.Outcome == outcome.RefusedNotRun:
		return idempotency.Result{State: idempotency.NotRun, Reason: string(r.Reason)}
	default:
		return idempotency.Result{State: idempotency.Unknown, Reason: string(r.Reason)}
	}
}

func answerOf(r *wire.Response) *idempotency.Answer {
	a := &idempotency.Answer{Status: r.Status, Body: r.Body}
	for _, h := range r.Headers {
		a.Headers = append(a.Headers, idempotency.Header(h))
	}
	return a
}

// recordedResponse returns the response to a repeated request whose run has ended.
func recordedResponse(rec idempotency.Record) *wire.Response {
	if rec.State != idempotency.Done {
		return &wire.Response{Outcome: outcome.Unknown, Reason: outcome.Reason(rec.Reason), Replayed: true}
	}
	if rec.Answer == nil {
		return &wire.Response{Outcome: outcome.Unknown, Reason: outcome.ReasonAnswerDropped, Replayed: true}
	}
	r := &wire.Response{
		Outcome:  outcome.Answered,
		Status:   rec.Answer.Status,
		Body:     rec.Answer.Body,
		Replayed: true,
	}
	for _, h := range rec.Answer.Headers {
		r.Headers = append(r.Headers, wire.Header(h))
	}
	return r
}

// toWire converts a record for a transfer. A key that was not run after all is sent as KeyDone with a refusal.
func toWire(rec idempotency.Record, now time.Time) wire.KeyRecord {
	out := wire.KeyRecord{Key: rec.Key, Digest: rec.Digest, Executor: rec.Executor}
	if !rec.Expires.IsZero() {
		out.ExpiresInMS = rec.Expires.Sub(now).Milliseconds()
	}
	switch rec.State {
	case idempotency.Running:
		out.State = wire.KeyRunning
	case idempotency.NotRun:
		out.State = wire.KeyDone
		out.Response = refuse(outcome.Reason(rec.Reason))
	case idempotency.Done:
		out.State = wire.KeyDone
		out.Response = recordedResponse(rec)
	default:
		out.State = wire.KeyUnknown
		out.Response = recordedResponse(rec)
	}
	return out
}

// fromWire converts a record that another node sent.
func fromWire(r *wire.KeyRecord, now time.Time) idempotency.Record {
	out := idempotency.Record{Key: r.Key, Digest: r.Digest, Executor: r.Executor}
	if r.State == wire.KeyRunning {
		out.State = idempotency.Running
		return out
	}
	out.Expires = now.Add(time.Duration(r.ExpiresInMS) * time.Millisecond)
	result := resultOf(r.Response)
	out.State, out.Reason, out.Answer = result.State, result.Reason, result.Answer
	if r.State == wire.KeyDone && out.State == idempotency.Unknown {
		// The answer was dropped before the transfer.
		out.State = idempotency.Done
	}
	return out
}
