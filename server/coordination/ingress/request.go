package ingress

import (
	"strconv"
	"strings"
	"time"

	"wagtailford.example/server/coordination/ownership"
	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/view"
)

// HeaderCaller is the header that carries the identity of the caller.
const HeaderCaller = "Wagtail-Caller"

// keyMaxBytes limits the length of a caller's idempotency key, because the owner stores it for the key retention time.
const keyMaxBytes = 256

// Request is a request received from a caller.
type Request struct {
	Method string
	// RoutePath is the decoded, normalized path without the query, used to match routes. Path is sent to the target as
	// received, with the query.
	RoutePath, Path string
	// Headers holds all header fields as received.
	Headers []wire.Header
	Body    []byte
}

// header returns the value of a header field, or "" if it is absent.
func (r *Request) header(name string) string {
	for _, header := range r.Headers {
		if strings.EqualFold(header.Name, name) {
			return header.Value
		}
	}
	return ""
}

// prepare validates a request and matches its route. It returns a refusal if the request cannot be processed.
func (h *Handler) prepare(r *Request, now time.Time) (*job, *wire.Response) {
	if reason := h.checkForm(r); reason != outcome.ReasonNone {
		return nil, refuse(reason)
	}
	v := h.currentView()
	if v == nil || !v.Ready {
		return nil, refuse(outcome.ReasonNotReady)
	}
	route, ok := routing.Match(v.Content, r.header(HeaderCaller), r.RoutePath)
	if !ok && h.deps.IsBehind != nil && h.deps.IsBehind(v.Offset) {
		return nil, refuse(outcome.ReasonBehind)
	}
	if !ok {
		return nil, refuse(outcome.ReasonNoRoute)
	}
	chain, err := retry.ParseChain(r.header, h.limits(route))
	if err != nil {
		return nil, refuse(outcome.ReasonMalformed)
	}
	if reason := h.checkChain(chain); reason != outcome.ReasonNone {
		return nil, refuse(reason)
	}
	j := h.newJob(r, v, route, chain, now)
	if !j.idempotent && !j.readCallerKey(r) {
		return nil, refuse(outcome.ReasonMalformed)
	}
	return j, nil
}

func (h *Handler) limits(route *config.Route) retry.Limits {
	limits := retry.Limits{
		Timeout: route.Timeout, Attempts: int(route.MaxAttempts), ChainAttempts: h.settings.ChainAttempts,
	}
	if limits.Timeout <= 0 {
		limits.Timeout = h.settings.DefaultTimeout
	}
	if limits.Attempts <= 0 {
		limits.Attempts = h.settings.MaxAttempts
	}
	return limits
}

func (h *Handler) checkChain(chain retry.Chain) outcome.Reason {
	switch {
	case chain.Depth >= h.settings.MaxDepth:
		return outcome.ReasonDepthExceeded
	case chain.Timeout <= 0:
		return outcome.ReasonDeadline
	case chain.Attempts <= 0:
		return outcome.ReasonAttemptsExhausted
	}
	return outcome.ReasonNone
}

// singleHeaders lists the headers that may occur only once. With several values, the mesh and the target could each
// read a different one.
var singleHeaders = []string{
	HeaderCaller, ownership.HeaderKey, ownership.HeaderIssued,
	retry.HeaderDeadline, retry.HeaderAttempts, retry.HeaderDepth,
}

func (h *Handler) checkForm(r *Request) outcome.Reason {
	size := len(r.Path)
	for _, header := range r.Headers {
		size += len(header.Name) + len(header.Value)
	}
	if size > h.settings.HeaderMaxBytes {
		return outcome.ReasonHeaderTooLarge
	}
	if len(r.Body) > h.settings.BodyMaxBytes {
		return outcome.ReasonTooLarge
	}
	if !strings.HasPrefix(r.RoutePath, "/") || !strings.HasPrefix(r.Path, "/") || !methodAllowed(r.Method) {
		return outcome.ReasonMalformed
	}
	for _, name := range singleHeaders {
		if occurrences(r.Headers, name) > 1 {
			return outcome.ReasonMalformed
		}
	}
	return outcome.ReasonNone
}

// methodAllowed rejects CONNECT and TRACE, which are not requests to a target.
func methodAllowed(method string) bool {
	return method != "" && method != "CONNECT" && method != "TRACE"
}

func occurrences(headers []wire.Header, name string) int {
	n := 0
	for _, header := range headers {
		if strings.EqualFold(header.Name, name) {
			n++
		}
	}
	return n
}

func (h *Handler) newJob(r *Request, v *view.View, route *config.Route, chain retry.Chain, now time.Time) *job {
	return &job{
		h:           h,
		view:        v,
		route:       route,
		chain:       chain,
		caller:      r.header(HeaderCaller),
		path:        r.RoutePath,
		deadline:    now.Add(chain.Timeout),
		idempotent:  routing.Idempotent(route, r.Method),
		failedNodes: make(map[string]bool),
		request: wire.Request{
			From:       h.settings.Node,
			Method:     r.Method,
			Path:       r.Path,
			Headers:    wire.Forwarded(r.Headers, strippedRequestHeaders),
			Body:       r.Body,
			Depth:      chain.Depth + 1,
			Idempotent: routing.Idempotent(route, r.Method),
		},
	}
}

// readCallerKey reads the caller's idempotency key, if there is one. It returns false if the key or its issue time is
// malformed.
func (j *job) readCallerKey(r *Request) bool {
	issued := r.header(ownership.HeaderIssued)
	if issued != "" {
		if ms, err := strconv.ParseInt(issued, 10, 64); err != nil || ms <= 0 {
			return false
		}
	}
	if occurrences(r.Headers, ownership.HeaderKey) == 0 {
		return true
	}
	key := r.header(ownership.HeaderKey)
	if !validKey(key) {
		return false
	}
	j.keyFromCaller = true
	j.request.Key = key
	j.request.KeyIssuedMS = ownership.IssueTime(key, issued)
	return true
}

// validKey accepts only visible ASCII, so that a key has the same representation in logs and headers.
func validKey(key string) bool {
	if key == "" || len(key) > keyMaxBytes {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}
