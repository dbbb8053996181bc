package wire

import "golang.org/x/net/http/httpguts"

// IsValidAnswer reports whether an answer can be passed on: its status is final and has three digits, and its fields follow the
// grammar of RFC 9110, section 5. A node of an older build may have taken others from its target.
func (r *Response) IsValidAnswer() bool {
	if r.Status < 200 || r.Status > 599 {
		return false
	}
	for _, h := range r.Headers {
		if !httpguts.ValidHeaderFieldName(h.Name) || !httpguts.ValidHeaderFieldValue(h.Value) {
			return false
		}
	}
	return true
}
