package httpclient

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a response whose headers are cut off anywhere and that is taken for a whole one with an empty or short
// body: before a field that frames the body, after an informational response, on a reused connection, with an orderly
// end of the connection or a reset.
func TestCutHeadersAreNoResponse(t *testing.T) {
	const id = "Request-Id: r1\r\nResponse-Signature: s1\r\n"
	heads := map[string]string{
		"length":             "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 5\r\n\r\n",
		"length before id":   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + id + "\r\n",
		"no body":            "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 0\r\n\r\n",
		"no content":         "HTTP/1.1 204 No Content\r\n" + id + "\r\n",
		"chunked":            "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n",
		"ends with the link": "HTTP/1.1 200 OK\r\n" + id + "Connection: close\r\n\r\n",
		"line feeds only":    "HTTP/1.1 200 OK\nRequest-Id: r1\nResponse-Signature: s1\nContent-Length: 0\n\n",
	}
	before := map[string]string{
		"":                     "",
		"after informational ": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
		"after continue ":      "HTTP/1.1 100 Continue\r\n\r\n",
	}
	for prefixName, prefix := range before {
		for headName, head := range heads {
			for _, reused := range []bool{false, true} {
				for _, reset := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s%s reused=%v reset=%v", prefixName, headName, reused, reset), func(t *testing.T) {
						for at := range len(head) {
							expectCut(t, prefix+head[:at], reused, reset)
						}
					})
				}
			}
		}
	}
}

// expectCut sends a request to which a server writes raw bytes before it closes or resets the connection.
func expectCut(t *testing.T, raw string, reused, reset bool) {
	t.Helper()
	address := serve(t, func(conn net.Conn, r *bufio.Reader) {
		if reused {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 2\r\n\r\nok")
		}
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(conn, raw)
		if reset {
			conn.(*net.TCPConn).SetLinger(0)
		}
	})
	client, err := New(Limits{
		DialTimeout: testTimeout, ConnectionsPerHost: 1, IdleTimeout: time.Minute, UnframedBodies: true,
	})
	assert.NilError(t, err)
	defer client.CloseIdle()
	if reused {
		_, err := get(t.Context(), client, address, "GET")
		assert.NilError(t, err)
	}
	resp, err := get(t.Context(), client, address, "GET")
	var lost *LostError
	assert.Assert(t, errors.As(err, &lost), "after %q: %v, status %d, body %q", raw, err, resp.StatusCode(), resp.Body())
}
