package httpclient

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"gotest.tools/v3/assert"
)

// Guards against a request that waits in a connection behind a body which the server rejected before it had read it: it reaches
// the server late, even after its caller has left.
func TestNextRequestDoesNotWaitForUnreadBody(t *testing.T) {
	for _, c := range []struct {
		name        string
		status      int
		body        int
		connections int64
	}{
		{"rejected before its body is read", 503, 16 << 10, 2},
		{"rejected with a short body", 503, 100, 1},
		{"not found before its body is read", 404, 16 << 10, 2},
		{"success", 200, 16 << 10, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var connections atomic.Int64
			unread := make(chan struct{})
			address := serve(t, func(conn net.Conn, r *bufio.Reader) {
				if connections.Add(1) > 1 {
					respondAfterBodies(conn, r, 200)
					return
				}
				if c.connections == 1 {
					respondAfterBodies(conn, r, c.status)
					return
				}
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", c.status)
				<-unread
			})
			defer close(unread)
			client := newClient(t)
			status, err := post(t, client, address, c.body)
			assert.NilError(t, err)
			assert.Equal(t, status, c.status)
			_, err = post(t, client, address, 10)
			assert.NilError(t, err)
			assert.Equal(t, connections.Load(), c.connections)
		})
	}
}

// respondAfterBodies responds to all requests on a connection once it has read their bodies.
func respondAfterBodies(conn net.Conn, r *bufio.Reader, status int) {
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := r.Discard(int(req.ContentLength)); err != nil {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
	}
}

func post(t *testing.T, c *Client, address string, body int) (int, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetHost(address)
	req.Header.SetRequestURI("/")
	req.SetBody(make([]byte, body))
	err := c.DoAddress(t.Context(), address, req, resp, testTimeout)
	return resp.StatusCode(), err
}
