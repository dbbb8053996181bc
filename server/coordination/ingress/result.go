package ingress

import (
	"wagtailford.example/server/coordination/ownership"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
)

// Result is the outcome of a request.
type Result struct {
	*wire.Response
	// Key is the idempotency key supplied by the caller, or generated for a request that is not idempotent. It is empty
	// if a generated key was withheld.
	Key string
}

func refuse(reason outcome.Reason) *wire.Response {
	return &wire.Response{Outcome: outcome.RefusedNotRun, Reason: reason}
}

func unknown(reason outcome.Reason) *wire.Response {
	return &wire.Response{Outcome: outcome.Unknown, Reason: reason}
}

// callerKey returns the idempotency key supplied by the caller, or "" if there is no valid one.
func callerKey(r *Request) string {
	if occurrences(r.Headers, ownership.HeaderKey) != 1 {
		return ""
	}
	key := r.header(ownership.HeaderKey)
	if !validKey(key) {
		return ""
	}
	return key
}

// applyCallerKey turns a refusal into an unknown outcome if the caller supplied the key and the refusal says nothing
// about earlier requests with it: the request may repeat one that ran.
func applyCallerKey(r *Request, result *Result) *Result {
	key := callerKey(r)
	if key == "" {
		return result
	}
	response := result.Response
	if response.Outcome == outcome.RefusedNotRun &&
		!decidedByRecords(response.Reason) && !decidedByRequest(response.Reason) {
		response = unknown(response.Reason)
	}
	return &Result{Response: response, Key: key}
}

// decidedByRecords reports whether a reason is given only by an owner that looked up the key in its records. All other
// refusals of an executing node are given before the lookup, or by a node that may have transferred its records.
func decidedByRecords(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonFenced, outcome.ReasonSelfFenced, outcome.ReasonRecordsFull, outcome.ReasonKeyReused:
		return true
	}
	return false
}

// decidedByRequest reports whether a reason depends only on the request, so that every earlier repeat was refused as
// well.
func decidedByRequest(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonMalformed, outcome.ReasonTooLarge, outcome.ReasonHeaderTooLarge, outcome.ReasonDepthExceeded:
		return true
	}
	return false
}
