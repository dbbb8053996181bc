package platformlog

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/transport/httpclient"
)

// Guards against a malformed response of the log service that counts as an acknowledgement, as "not appended" or as records.
func TestMalformedResponses(t *testing.T) {
	const body = `{"offset":7,"first":1,"next":1}`
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: x\r\nContent-Length: 31\r\n",
		"HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 31\r\n",
		"HTTP/1.1 200 OK\r\n: b\r\nContent-Length: 31\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\nX-A: b\r\n",
		"HTTP/1.1 200 OK\r\nX-A: b\nContent-Length: 31\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 31\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length:  1\r\n",
		"HTTP/1.1 400 Bad Request\r\nX\x01: b\r\nContent-Length: 31\r\n",
		"HTTP/1.1 410 Gone\r\ntrouble: a\r\n b\r\nContent-Length: 31\r\n",
	} {
		t.Run(head, func(t *testing.T) {
			c := serve(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, _ := w.(http.Hijacker).Hijack()
				defer conn.Close()
				_, _ = io.WriteString(conn, head+"\r\n"+body)
			})
			_, err := c.Append(t.Context(), StreamConfig, []byte("x"))
			var unknown *UnknownError
			assert.Assert(t, errors.As(err, &unknown), "%v", err)
			assert.ErrorIs(t, err, httpclient.ErrMalformed)
			_, err = c.Read(t.Context(), StreamConfig, 1, 1, 0)
			var unavailable *UnavailableError
			assert.Assert(t, errors.As(err, &unavailable), "%v", err)
			assert.ErrorIs(t, err, httpclient.ErrMalformed)
		})
	}
}
