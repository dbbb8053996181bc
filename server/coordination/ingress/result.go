package ingress

import (
	"wagtailford.example/server/coordination/ownership"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
)

// Result is the outcome of a request.
type Result struct {
	*wire.Response
	// Key is the key that the caller chose, or that was generated for a request that is not idempotent.
	Key string
}

func refuse(reason outcome.Reason) *wire.Response {
	return &wire.Response{Outcome: outcome.RefusedNotRun, Reason: reason}
}

func unknown(reason outcome.Reason) *wire.Response {
	return &wire.Response{Outcome: outcome.Unknown, Reason: reason}
}

// callerKey returns the key that the caller chose; "" if there is no valid one.
func callerKey(r *Request) string {
	if occurrences(r.Headers, ownership.HeaderKey) != 1 {
		return ""
	}
	key := r.get(ownership.HeaderKey)
	if !validKey(key) {
		return ""
	}
	return key
}

// settle makes a refusal unknown if the caller chose the key and the refusal says nothing about earlier requests with
// it. Such a request may be the repeat of one that ran.
func settle(r *Request, result *Result) *Result {
	key := callerKey(r)
	if key == "" {
		return result
	}
	response := result.Response
	if response.Outcome == outcome.RefusedNotRun && !restsOnRecords(response.Reason) && !restsOnRequest(response.Reason) {
		response = unknown(response.Reason)
	}
	return &Result{Response: response, Key: key}
}

// restsOnRecords reports whether a reason is given only by an owner that looked the key up in its records. The other
// refusals of an executing node come before that, or from a node that may have handed its records over.
func restsOnRecords(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonFenced, outcome.ReasonSelfFenced, outcome.ReasonRecordsFull, outcome.ReasonKeyReused:
		return true
	}
	return false
}

// restsOnRequest reports whether a reason follows from the request alone, so that every repeat of it was refused too.
func restsOnRequest(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonMalformed, outcome.ReasonTooLarge, outcome.ReasonHeaderTooLarge, outcome.ReasonDepthExceeded:
		return true
	}
	return false
}
