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
// itself at fault gets a status of class 4xx; every other refusal is 503. An unknown outcome is 504, or 404 if the
// request has no route.
func HTTPStatus(o Outcome, reason Reason, answered int) int {
	switch o {
	case Answered:
		return answered
	case RefusedNotRun:
		return refusalStatus(reason)
	default:
		return unknownStatus(reason)
	}
}

func unknownStatus(reason Reason) int {
	if reason == ReasonNoRoute {
		return http.StatusNotFound
	}
	return http.StatusGatewayTimeout
}

func refusalStatus(reason Reason) int {
	switch reason {
	case ReasonMalformed, ReasonKeyReused:
		return http.StatusBadRequest
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonUnauthorized:
		return http.StatusUnauthorized
	case ReasonQuotaExceeded:
		return http.StatusTooManyRequests
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

// MayPass reports whether the same request may succeed later, which is when Retry-After is sent. An unknown outcome
// may pass if its reason is that of a refusal: the last attempt did not run, an earlier request with its key may have.
func MayPass(o Outcome, reason Reason) bool {
	switch o {
	case RefusedNotRun:
		return refusalStatus(reason) == http.StatusServiceUnavailable && reason != ReasonDepthExceeded
	case Unknown:
		return passingRefusal(reason)
	default:
		return false
	}
}

func passingRefusal(reason Reason) bool {
	switch reason {
	case ReasonNotReady, ReasonNoRoute, ReasonNoTarget, ReasonDraining, ReasonTargetDown, ReasonQueueFull, ReasonWaitExceeded,
		ReasonDeadline, ReasonOverloaded, ReasonNotOwner, ReasonNotEligible, ReasonSelfFenced, ReasonSuspect,
		ReasonConnectFailed, ReasonShutdown, ReasonAttemptsExhausted, ReasonRouteChanged, ReasonTargetFull,
		ReasonTargetReplaced, ReasonRateLimited, ReasonShareExceeded, ReasonBehind, ReasonKeysUnknown:
		return true
	}
	return false
}
