package outcome

import "net/http"

// RetryAfterSeconds is the value of Retry-After on a refusal that may pass.
const RetryAfterSeconds = 1

// Reasons for which the ingress alone refuses a request.
const (
	// ReasonHeaderTooLarge means that the header fields of a request exceed the limit.
	ReasonHeaderTooLarge Reason = "header_too_large"
	// ReasonAttemptsExhausted means that the call chain has no attempt left.
	ReasonAttemptsExhausted Reason = "attempts_exhausted"
)

// HTTPStatus returns the status of a response to the caller. answered is the target's own status. A request that is
// itself at fault gets a status of class 4xx; every other refusal is 503, an unknown outcome 504.
func HTTPStatus(o Outcome, reason Reason, answered int) int {
	switch o {
	case Answered:
		return answered
	case RefusedNotRun:
		return refusalStatus(reason)
	default:
		return http.StatusGatewayTimeout
	}
}

func refusalStatus(reason Reason) int {
	switch reason {
	case ReasonMalformed, ReasonKeyReused:
		return http.StatusBadRequest
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

// MayPass reports whether the same request may succeed later, which is when Retry-After is sent.
func MayPass(o Outcome, reason Reason) bool {
	return o == RefusedNotRun && refusalStatus(reason) == http.StatusServiceUnavailable &&
		reason != ReasonDepthExceeded
}
