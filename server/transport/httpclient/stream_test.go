package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"gotest.tools/v3/assert"
)

// pieces returns the pieces of a body, and then an error, or waits for the end of the context if that is nil.
func pieces(length int64, end error, list ...string) *Body {
	return &Body{Bytes: length, Next: func(ctx context.Context) ([]byte, error) {
		if len(list) > 0 {
			next := list[0]
			list = list[1:]
			return []byte(next), nil
		}
		if end == nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, end
	}}
}

// expiredContext is past its deadline, and has not told the contexts below it yet.
type expiredContext struct{ context.Context }

func (expiredContext) Err() error { return context.DeadlineExceeded }

// Guards against a deadline that is reported as a cancellation, if it closes the connection before it reaches the body.
func TestDeadlineBeforeTheBodyLearnsOfIt(t *testing.T) {
	client, server := net.Pipe()
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(server))
		server.Close()
	}()
	var req protocol.Request
	var resp protocol.Response
	req.SetMethod("POST")
	req.SetRequestURI("/")
	req.SetHost("target")
	err := newClient(t).exchangeStreamed(expiredContext{t.Context()}, newConn(client, ""), &req, pieces(6, nil, "abc"), &resp,
		func(*protocol.Response) Match { return Matched })
	assert.ErrorIs(t, err, ErrBody)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against streamed bodies that are framed wrongly, seem whole to the server although they were cut short, or keep a
// request waiting after the server has responded, and against a connection that is used again after one.
func TestStreamedBodies(t *testing.T) {
	cut := errors.New("caller left")
	for _, c := range []struct {
		name  string
		body  *Body
		early bool
		// got is the body that the server reads whole; empty if it must not.
		got string
		err error
	}{
		{"length", pieces(6, io.EOF, "abc", "def"), false, "abcdef", nil},
		{"chunks", pieces(-1, io.EOF, "abc", "def"), false, "abcdef", nil},
		{"cut, length", pieces(6, cut, "abc"), false, "", cut},
		{"cut, chunks", pieces(-1, cut, "abc"), false, "", cut},
		{"too short", pieces(6, io.EOF, "abc"), false, "", ErrBody},
		{"too long", pieces(2, io.EOF, "abc"), false, "", ErrBody},
		{"deadline while the body is awaited", pieces(6, nil, "abc"), false, "", context.DeadlineExceeded},
		{"response before the body", pieces(6, nil, "abc"), true, "", nil},
		{"response before a large body", pieces(64<<20, nil, strings.Repeat("x", 32<<20)), true, "", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var connections atomic.Int64
			received := make(chan string, 2)
			address := serve(t, func(conn net.Conn, r *bufio.Reader) {
				connections.Add(1)
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if !c.early {
					body, err := io.ReadAll(req.Body)
					if err != nil {
						body = nil
					}
					received <- string(body)
					if err != nil {
						return
					}
				}
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				_, _ = r.Peek(1 << 10)
			})
			client := newClient(t)
			do := func(body *Body) error {
				var req protocol.Request
				var resp protocol.Response
				req.SetMethod("POST")
				req.SetRequestURI("/")
				req.SetHost(address)
				timeout := 20 * time.Second
				if c.err == context.DeadlineExceeded {
					timeout = time.Second
				}
				return client.DoStreamed(t.Context(), address, &req, body, &resp, timeout, func() error { return nil },
					func(*protocol.Response) Match { return Matched })
			}
			err := do(c.body)
			if c.err == nil {
				assert.NilError(t, err)
			} else {
				assert.ErrorIs(t, err, c.err)
				assert.ErrorIs(t, err, ErrBody)
			}
			if !c.early && c.err != ErrBody {
				assert.Equal(t, <-received, c.got)
			}
			if c.err == nil {
				assert.NilError(t, do(pieces(1, io.EOF, "z")))
				assert.Equal(t, connections.Load(), int64(2))
			}
		})
	}
}
