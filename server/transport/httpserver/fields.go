package httpserver

import (
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// AddField adds a field with a canonical name to a response that passes on another one. Add of the header keeps the last of several
// Content-Type or Server fields, and no empty one.
func AddField(h *protocol.ResponseHeader, name, value string) {
	switch name {
	case consts.HeaderContentType, consts.HeaderServer:
		h.AddArgBytes([]byte(name), []byte(value), protocol.ArgsHasValue)
	default:
		h.Add(name, value)
	}
}
