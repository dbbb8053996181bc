package wire

import (
	"net/textproto"
	"strings"
)

// hopByHop are the fields of RFC 9110, section 7.6.1, that apply to one connection only. The length is set anew from
// the body, and Expect is not passed on because a body is always sent with its header.
var hopByHop = NameSet(
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
)

// HeaderAuthorization is the field with the key of an organisation.
const HeaderAuthorization = "Authorization"

// schemeKey is the scheme of a key in HeaderAuthorization.
const schemeKey = "Bearer"

// IsKey reports whether a value of HeaderAuthorization has the form of a key, with any blanks behind the scheme.
func IsKey(value string) bool {
	scheme := strings.TrimSpace(value)
	if end := strings.IndexAny(scheme, " \t"); end >= 0 {
		scheme = scheme[:end]
	}
	return strings.EqualFold(scheme, schemeKey)
}

// NameSet holds names in canonical form.
func NameSet(names ...string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[textproto.CanonicalMIMEHeaderKey(name)] = true
	}
	return set
}

// Forwarded returns the fields that are passed on: all but those of the connection, those that a Connection field
// names, and those in dropped. Names come in canonical form.
func Forwarded(headers []Header, dropped map[string]bool) []Header {
	named := connectionNames(headers)
	kept := make([]Header, 0, len(headers))
	for _, h := range headers {
		name := textproto.CanonicalMIMEHeaderKey(h.Name)
		if !hopByHop[name] && !dropped[name] && !named[name] {
			kept = append(kept, Header{Name: name, Value: h.Value})
		}
	}
	return kept
}

// connectionNames returns the names that Connection fields declare as hop-by-hop.
func connectionNames(headers []Header) map[string]bool {
	var names map[string]bool
	for _, h := range headers {
		if !strings.EqualFold(h.Name, "Connection") {
			continue
		}
		for name := range strings.SplitSeq(h.Value, ",") {
			if names == nil {
				names = make(map[string]bool)
			}
			names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}
