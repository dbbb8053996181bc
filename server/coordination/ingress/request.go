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

// HeaderCaller names the caller's identity.
const HeaderCaller = "Wagtail-Caller"

// keyMaxBytes limits a caller's idempotency key, since the owner keeps it for the key retention.
const keyMaxBytes = 256

// Request is a caller's request.
type Request struct {
	Method string
	// RoutePath is the decoded, normalized path without query; Path is what the target receives, with the query.
	RoutePath, Path string
	// Headers are all fields as received.
	Headers []wire.Header
	Body    []byte
}

// get returns the value of a field, or "" if it is absent.
func (r *Request) get(name string) string {
	for _, header := range r.Headers {
		if strings.EqualFold(header.Name, name) {
			return header.Value
		}
	}
	return ""
}

// prepare checks a request and finds its route. It returns a refusal if the request does not go any further.
func (h *Handler) prepare(r *Request, now time.Time) (*job, *wire.Response) {
	if reason := h.checkForm(r); reason != outcome.ReasonNone {
		return nil, refuse(reason)
	}
	v := h.viewNow()
	if v == nil || !v.Ready {
		return nil, refuse(outcome.ReasonNotReady)
	}
	route, ok := routing.Match(v.Content, r.get(HeaderCaller), r.RoutePath)
	if !ok {
		return nil, refuse(outcome.ReasonNoRoute)
	}
	chain, err := retry.ParseChain(r.get, h.limits(route))
	if err != nil {
		return nil, refuse(outcome.ReasonMalformed)
	}
	if reason := h.checkChain(chain); reason != outcome.ReasonNone {
		return nil, refuse(reason)
	}
	j := h.newJob(r, v, route, chain, now)
	if !j.idempotent && !j.takeKey(r) {
		return nil, refuse(outcome.ReasonMalformed)
	}
	return j, nil
}

func (h *Handler) limits(route *config.Route) retry.Limits {
	limits := retry.Limits{Timeout: route.Timeout, Attempts: int(route.MaxAttempts), ChainAttempts: h.settings.ChainAttempts}
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

// singleHeaders may occur once. A second value would be read by the target and not by the mesh, or the reverse.
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

// methodAllowed excludes methods that are not requests to a target.
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
		h:          h,
		view:       v,
		route:      route,
		chain:      chain,
		caller:     r.get(HeaderCaller),
		path:       r.RoutePath,
		deadline:   now.Add(chain.Timeout),
		idempotent: routing.Idempotent(route, r.Method),
		failed:     make(map[string]bool),
		request: wire.Request{
			From:    h.settings.Node,
			Method:  r.Method,
			Path:    r.Path,
			Headers: wire.Forwarded(r.Headers, requestDropped),
			Body:    r.Body,
			Depth:   chain.Depth + 1,
		},
	}
}

// takeKey takes over the caller's idempotency key, if there is one. It reports false if the key or its issue time
// is malformed.
func (j *job) takeKey(r *Request) bool {
	issued := r.get(ownership.HeaderIssued)
	if issued != "" {
		if ms, err := strconv.ParseInt(issued, 10, 64); err != nil || ms <= 0 {
			return false
		}
	}
	if occurrences(r.Headers, ownership.HeaderKey) == 0 {
		return true
	}
	key := r.get(ownership.HeaderKey)
	if !validKey(key) {
		return false
	}
	j.keyFixed = true
	j.request.Key = key
	j.request.KeyIssuedMS = ownership.IssueTime(key, issued)
	return true
}

// validKey accepts visible ASCII, so that a key has one form in every log and header.
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
