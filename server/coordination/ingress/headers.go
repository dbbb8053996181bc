package ingress

import (
	"net/textproto"
	"strings"

	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
)

// hopByHop are the fields that apply to one connection only. The length is set anew from the body.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// requestDropped are not passed on with a request: the chain travels in fields of wire.Request, and the body was
// received as a whole.
var requestDropped = nameSet(hopByHop, []string{
	"Expect", retry.HeaderDeadline, retry.HeaderAttempts, retry.HeaderDepth,
})

// responseDropped are not passed on with a response: a target that calls others through the mesh may copy the
// outcome of its own call.
var responseDropped = nameSet(hopByHop, []string{outcome.HeaderOutcome, outcome.HeaderReason})

// nameSet holds the names in canonical form, which costs no memory to get for a name that has it already.
func nameSet(lists ...[]string) map[string]bool {
	set := make(map[string]bool)
	for _, list := range lists {
		for _, name := range list {
			set[textproto.CanonicalMIMEHeaderKey(name)] = true
		}
	}
	return set
}

// forwarded returns the fields without those in dropped and those that a Connection field names.
func forwarded(headers []wire.Header, dropped map[string]bool) []wire.Header {
	var named map[string]bool
	for _, header := range headers {
		if !strings.EqualFold(header.Name, "Connection") {
			continue
		}
		for token := range strings.SplitSeq(header.Value, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	kept := make([]wire.Header, 0, len(headers))
	for _, header := range headers {
		name := textproto.CanonicalMIMEHeaderKey(header.Name)
		if dropped[name] || named[name] {
			continue
		}
		kept = append(kept, header)
	}
	return kept
}
