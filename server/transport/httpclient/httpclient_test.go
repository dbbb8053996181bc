package httpclient

import (
	"bufio"
	"context"
	"errors"
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

const testTimeout = 10 * time.Second

// serve answers every connection with serve until the test ends.
func serve(t *testing.T, handle func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return l.Addr().String()
}

func newClient(t *testing.T) *Client {
	t.Helper()
	c, err := New(Limits{
		DialTimeout: testTimeout, ConnectionsPerHost: 1, IdleTimeout: time.Minute,
		HeaderMaxBytes: 1 << 10, BodyMaxBytes: 64,
	})
	assert.NilError(t, err)
	t.Cleanup(c.CloseIdle)
	return c
}

func get(ctx context.Context, c *Client, address, method string) (*protocol.Response, error) {
	req := protocol.AcquireRequest()
	req.Header.SetMethod(method)
	req.Header.SetHost(address)
	req.Header.SetRequestURI("/a//b%2Fc?q=1")
	resp := protocol.AcquireResponse()
	return resp, c.DoAddress(ctx, address, req, resp, testTimeout)
}

// Guards against taking a response that was cut off, or that cannot prove that it is whole, for a whole one.
func TestWholeResponsesOnly(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name, method, raw, body string
		want                    error
	}{
		{"content length", "GET", ok + "Content-Length: 5\r\n\r\nhello", "hello", nil},
		{"chunked", "GET", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", nil},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", "", nil},
		{"head", "HEAD", ok + "Content-Length: 5\r\n\r\n", "", nil},
		{"informational first", "GET", "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok", "ok", nil},
		{"closed before the status line", "GET", "", "", ErrCut},
		{"cut in the status line", "GET", "HTTP/1.1 2", "", ErrCut},
		{"cut in the headers", "GET", ok + "Content-Le", "", ErrCut},
		{"short content length", "GET", ok + "Content-Length: 5\r\n\r\nhell", "", ErrCut},
		{"cut in a chunk", "GET", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel", "", ErrCut},
		{"no last chunk", "GET", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "", ErrCut},
		{"no end of trailer", "GET", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "", ErrCut},
		{"body until close", "GET", ok + "\r\nhello", "", ErrCut},
		{"body until close, HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\n\r\nhello", "", ErrCut},
		{"invalid content length", "GET", ok + "Content-Length: x\r\n\r\nhello", "", ErrCut},
		{"event stream until close", "GET", ok + "Content-Type: text/event-stream\r\n\r\ndata: x\n\n", "", ErrCut},
		{"switch of protocols", "GET", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", "", ErrCut},
		{"large content length", "GET", ok + "Content-Length: 65\r\n\r\n", "", ErrTooLarge},
		{"large chunk", "GET", ok + "Transfer-Encoding: chunked\r\n\r\nffff\r\n", "", ErrTooLarge},
		{"large headers", "GET", ok + "A: " + string(make([]byte, 2<<10)), "", ErrTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := serve(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					io.WriteString(conn, c.raw)
				}
			})
			resp, err := get(t.Context(), newClient(t), address, c.method)
			if c.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, string(resp.Body()), c.body)
				return
			}
			var lost *LostError
			assert.Assert(t, errors.As(err, &lost), "%v", err)
			assert.ErrorIs(t, err, c.want)
		})
	}
}

// Guards against requests that keep running at the server after their caller has gone.
func TestCancelClosesConnection(t *testing.T) {
	received := make(chan struct{})
	closed := make(chan error, 1)
	address := serve(t, func(_ net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		close(received)
		_, err := r.ReadByte()
		closed <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	_, err := get(ctx, newClient(t), address, "GET")
	assert.ErrorIs(t, err, context.Canceled)
	var lost *LostError
	assert.Assert(t, errors.As(err, &lost))
	assert.Assert(t, <-closed != nil)
}

// Guards against sending a request on a connection that the server has closed, which would make its outcome unknown,
// and against a changed request target.
func TestReuse(t *testing.T) {
	uris := make(chan string, 3)
	conns := make(chan net.Conn, 3)
	address := serve(t, func(conn net.Conn, r *bufio.Reader) {
		conns <- conn
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			uris <- req.RequestURI
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	c := newClient(t)
	for range 2 {
		_, err := get(t.Context(), c, address, "GET")
		assert.NilError(t, err)
		assert.Equal(t, <-uris, "/a//b%2Fc?q=1")
	}
	assert.Equal(t, len(conns), 1)
	(<-conns).Close()
	_, err := get(t.Context(), c, address, "GET")
	assert.NilError(t, err)
}

// Guards against a connection that is used again although the response of the request before may still come on it.
func TestUnidentifiedResponseEndsConnection(t *testing.T) {
	for _, c := range []struct {
		match       Match
		connections int32
	}{{Matched, 1}, {Unidentified, 2}} {
		var connections atomic.Int32
		address := serve(t, func(conn net.Conn, r *bufio.Reader) {
			connections.Add(1)
			for {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			}
		})
		client := newClient(t)
		for range 2 {
			req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
			req.Header.SetHost(address)
			err := client.DoMatched(t.Context(), address, req, resp, testTimeout, func(*protocol.Response) Match {
				return c.match
			})
			assert.NilError(t, err)
		}
		assert.Equal(t, connections.Load(), c.connections)
	}
}

// Guards against reporting a request that was not sent as one that may have run.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.Close()
	_, err = get(t.Context(), newClient(t), l.Addr().String(), "GET")
	var notSent *NotSentError
	assert.Assert(t, errors.As(err, &notSent), "%v", err)

	received := make(chan struct{})
	release := make(chan struct{})
	address := serve(t, func(net.Conn, *bufio.Reader) {
		close(received)
		<-release
	})
	c := newClient(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		get(t.Context(), c, address, "GET")
	}()
	<-received
	_, err = get(t.Context(), c, address, "GET")
	assert.ErrorIs(t, err, ErrNoConnection)
	close(release)
	<-done
}

// Guards against a large response on a narrow link that is given up although it arrives, again and again, and against
// waiting for one that has stopped.
func TestSlowResponseIsReadWhole(t *testing.T) {
	// The response takes longer than the stall, and a pause of the test's own threads on a busy machine does not.
	const pieces, pause, stall = 24, 100 * time.Millisecond, 2 * time.Second
	send := func(pieces int) string {
		return serve(t, func(conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 48\r\n\r\n")
			for range pieces {
				time.Sleep(pause)
				io.WriteString(conn, "ab")
			}
			io.Copy(io.Discard, conn)
		})
	}
	c, err := New(Limits{DialTimeout: testTimeout, IdleTimeout: time.Minute, BodyMaxBytes: 64, Stall: stall})
	assert.NilError(t, err)
	t.Cleanup(c.CloseIdle)
	call := func(address string) (string, error) {
		req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
		req.Header.SetHost(address)
		req.Header.SetRequestURI("/")
		err := c.DoAddress(t.Context(), address, req, resp, stall)
		return string(resp.Body()), err
	}
	body, err := call(send(pieces))
	assert.NilError(t, err)
	assert.Equal(t, body, strings.Repeat("ab", pieces))
	_, err = call(send(pieces / 2))
	assert.ErrorIs(t, err, ErrStalled)
	var lost *LostError
	assert.Assert(t, errors.As(err, &lost))
}

// Guards against bytes that are no answer and have no end: they must not be read until the deadline of the request, fill
// memory, or count as an answer, and other connections must go on.
func TestEndlessBytes(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, start, forever string
		want                 error
	}{
		{"status line", "", "x", ErrTooLarge},
		{"line ends before a status line", "", "\r\n", ErrTooLarge},
		{"header value", ok + "A: ", "x", ErrTooLarge},
		{"header fields", ok, "A: b\r\n", ErrTooLarge},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", ErrCut},
		{"body without length", ok + "\r\n", "x", ErrTooLarge},
		{"chunks", chunked, "1\r\nx\r\n", ErrTooLarge},
		{"chunk size", chunked, "0", ErrCut},
		{"chunk extension", chunked + "1;", "x", ErrCut},
		{"trailer value", chunked + "0\r\nA: ", "x", ErrTooLarge},
		{"trailer fields", chunked + "0\r\n", "A: b\r\n", ErrTooLarge},
		{"bytes after an answer", ok + "Content-Length: 2\r\n\r\nok", "x", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan struct{})
			address := serve(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				defer close(closed)
				io.WriteString(conn, c.start)
				unit := strings.Repeat(c.forever, 100)
				for {
					if _, err := io.WriteString(conn, unit); err != nil {
						return
					}
				}
			})
			client, err := New(Limits{
				DialTimeout: testTimeout, ConnectionsPerHost: 1, IdleTimeout: 50 * time.Millisecond, HeaderMaxBytes: 1 << 10,
				BodyMaxBytes: 64 << 10, UnframedBodies: true,
			})
			assert.NilError(t, err)
			resp, err := get(t.Context(), client, address, "GET")
			if c.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, string(resp.Body()), "ok")
			} else {
				var lost *LostError
				assert.Assert(t, errors.As(err, &lost), "%v", err)
				assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "read until the deadline: %v", err)
				assert.ErrorIs(t, err, c.want)
			}
			<-closed
		})
	}
}

// Guards against bytes of a request that leave although the last check before them says that they must not.
func TestNothingIsSentAfterTheLastCheck(t *testing.T) {
	got := make(chan int, 1)
	address := serve(t, func(conn net.Conn, r *bufio.Reader) {
		data, _ := io.ReadAll(r)
		got <- len(data)
	})
	c := newClient(t)
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	req.Header.SetHost(address)
	drained := errors.New("drained")
	err := c.DoPrepared(t.Context(), address, req, resp, testTimeout, func() error { return drained },
		func(*protocol.Response) Match { return Matched })
	var notSent *NotSentError
	assert.Assert(t, errors.As(err, &notSent) && errors.Is(err, drained), "%v", err)
	assert.Equal(t, <-got, 0)
}
