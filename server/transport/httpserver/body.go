package httpserver

import (
	"bytes"

	"github.com/cloudwego/hertz/pkg/app"
)

// SetBody sets the body of a response as it is. headLength is the length to state in a response to HEAD. An empty body
// is set as a stream, because the library puts its own text in place of an empty body with status 404 otherwise.
func SetBody(c *app.RequestContext, body []byte, headLength int) {
	if len(body) > 0 {
		c.Response.SetBodyRaw(body)
		return
	}
	length := 0
	if string(c.Request.Method()) == "HEAD" {
		length = headLength
	}
	c.Response.SetBodyStream(bytes.NewReader(nil), length)
}
