package execute

import (
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
)

// Headers sent to the target and propagated along a call chain.
const (
	// HeaderDeadline is the remaining time in milliseconds.
	HeaderDeadline = "Wagtail-Deadline-Ms"
	// HeaderAttempts is the number of attempts left for the whole call chain.
	HeaderAttempts = "Wagtail-Attempts"
	// HeaderDepth is the number of hops in the call chain so far.
	HeaderDepth = "Wagtail-Depth"
	// HeaderKey is the idempotency key.
	HeaderKey = "Idempotency-Key"
)

// reservedHeaders are the headers set by this node; values from the caller are dropped.
var reservedHeaders = wire.NameSet(HeaderDeadline, HeaderAttempts, HeaderDepth, HeaderKey)

// validate returns the reason to refuse a request that has expired or cannot be encoded as a single HTTP/1.1
// request.
func validate(r *wire.Request) outcome.Reason {
	if r.TimeoutMS <= 0 {
		return outcome.ReasonDeadline
	}
	if !isToken(r.Method) || !isPath(r.Path) || !isValue(r.Key) {
		return outcome.ReasonMalformed
	}
	for _, h := range r.Headers {
		if !isToken(h.Name) || !isValue(h.Value) {
			return outcome.ReasonMalformed
		}
	}
	return outcome.ReasonNone
}

// isToken reports whether s is a token of RFC 9110, section 5.6.2.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

func isPath(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return strings.HasPrefix(s, "/")
}

func isValue(s string) bool {
	return !strings.ContainsAny(s, "\r\n\x00")
}

// fillRequest builds the request to the target. The path is passed on unmodified.
func fillRequest(req *protocol.Request, r *wire.Request, target Target, remaining time.Duration) {
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(r.Method)
	req.Header.SetRequestURI(r.Path)
	req.Header.SetHost(target.Address)
	for _, h := range wire.Forwarded(r.Headers, reservedHeaders) {
		if h.Name == "Host" {
			req.Header.SetHost(h.Value)
			continue
		}
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(HeaderDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 0), 10))
	req.Header.Set(HeaderAttempts, strconv.Itoa(r.Attempts))
	req.Header.Set(HeaderDepth, strconv.Itoa(r.Depth))
	if r.Key != "" {
		req.Header.Set(HeaderKey, r.Key)
	}
	req.SetBodyRaw(r.Body)
}

// typicalHeaders is the initial capacity for header fields.
const typicalHeaders = 8

// answerHeaders copies the response headers without hop-by-hop headers.
func answerHeaders(resp *protocol.Response) []wire.Header {
	all := make([]wire.Header, 0, typicalHeaders)
	resp.Header.VisitAll(func(name, value []byte) {
		all = append(all, wire.Header{Name: string(name), Value: string(value)})
	})
	return wire.Forwarded(all, nil)
}
