package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"gotest.tools/v3/assert"
)

// waitMax ends a test that waits for something that never happens.
const waitMax = 20 * time.Second

func limits() Limits {
	return Limits{
		BodyMaxBytes: 1024, HeaderMaxBytes: 1024, ConnectionsMax: 3, ReadTimeout: time.Hour, WriteTimeout: time.Hour,
		IdleTimeout: time.Hour, ShutdownTimeout: waitMax,
	}
}

// start runs a server that echoes the body and returns its address. The test stops it.
func start(t *testing.T, l Limits, handle app.HandlerFunc) (string, *server.Hertz) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(listener, l)
	s.Use(handle)
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	t.Cleanup(func() {
		_ = Shutdown(s, time.Millisecond)
		<-ended
	})
	for !s.IsRunning() {
		time.Sleep(time.Millisecond)
	}
	return listener.Addr().String(), s
}

func echo(_ context.Context, c *app.RequestContext) {
	c.SetStatusCode(http.StatusOK)
	c.Response.SetBody(c.Request.Body())
	c.Abort()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(waitMax)))
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

func exchange(t *testing.T, conn net.Conn, r *bufio.Reader, text string) (*http.Response, string) {
	// A server that refuses may close before it has read everything.
	_, _ = io.WriteString(conn, text)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(body)
}

const post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"

func assertClosed(t *testing.T, r *bufio.Reader) {
	t.Helper()
	_, err := r.ReadByte()
	assert.Assert(t, err != nil)
	timeout, ok := err.(net.Error)
	assert.Assert(t, !ok || !timeout.Timeout(), "the connection is open")
}

// TestShutdownClosesIdleConnections guards against a server that waits for callers that keep a connection open: those
// without a request, after one, and between two.
func TestShutdownClosesIdleConnections(t *testing.T) {
	address, s := start(t, limits(), echo)
	_, fresh := dial(t, address)
	used, usedReader := dial(t, address)
	exchange(t, used, usedReader, post)
	exchange(t, used, usedReader, post)
	assert.NilError(t, Shutdown(s, waitMax/4))
	assertClosed(t, fresh)
	assertClosed(t, usedReader)
}

// TestShutdownFinishesRequests guards I8: the response of a request in flight is written before its connection closes.
func TestShutdownFinishesRequests(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	address, s := start(t, limits(), func(ctx context.Context, c *app.RequestContext) {
		close(started)
		<-release
		echo(ctx, c)
	})
	conn, r := dial(t, address)
	_, err := io.WriteString(conn, post)
	assert.NilError(t, err)
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- Shutdown(s, waitMax) }()
	for s.IsRunning() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	_, body := exchange(t, conn, r, "")
	assert.Equal(t, body, "ok")
	assert.NilError(t, <-stopped)
	assertClosed(t, r)
}

// TestLimits guards each limit on size and the answer to a request that cannot be parsed.
func TestLimits(t *testing.T) {
	for name, text := range map[string]string{
		"400": "NONSENSE\r\n\r\n",
		"413": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000),
		"431": "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 5000) + "\r\n\r\n",
	} {
		address, s := start(t, limits(), echo)
		AnswerFaults(s, func(f Fault) Answer {
			return Answer{Status: f.Status(), Headers: http.Header{"Wagtail-Outcome": {"refused-not-run"}}}
		})
		conn, r := dial(t, address)
		resp, _ := exchange(t, conn, r, post)
		assert.Equal(t, resp.StatusCode, 200)
		resp, _ = exchange(t, conn, r, text)
		assert.Equal(t, resp.Status[:3], name)
		assert.Equal(t, resp.Header.Get("Wagtail-Outcome"), "refused-not-run")
		assertClosed(t, r)
	}
}

// TestConnectionsMax guards the limit on connections, and that a closed one makes room.
func TestConnectionsMax(t *testing.T) {
	l := limits()
	l.ConnectionsMax = 1
	address, _ := start(t, l, echo)
	first, r := dial(t, address)
	exchange(t, first, r, post)
	_, refused := dial(t, address)
	assertClosed(t, refused)
	exchange(t, first, r, strings.Replace(post, "Host", "Connection: close\r\nHost", 1))
	assertClosed(t, r)
	next, r := dial(t, address)
	exchange(t, next, r, post)
}

// TestReadTimeout guards against callers that send a request slowly or not at all, as the first of their connection or
// a later one.
func TestReadTimeout(t *testing.T) {
	l := limits()
	l.ReadTimeout = 50 * time.Millisecond
	for _, text := range []string{"", "GET / HTTP/1.1\r\nHos", post[:len(post)-1]} {
		for _, before := range []int{0, 1} {
			if text == "" && before > 0 {
				continue
			}
			address, _ := start(t, l, echo)
			conn, r := dial(t, address)
			for range before {
				exchange(t, conn, r, post)
			}
			if text != "" {
				resp, _ := exchange(t, conn, r, text)
				assert.Equal(t, resp.StatusCode, 408)
			}
			assertClosed(t, r)
		}
	}
}

// lateListener accepts connections only after release, as a process that was held up does.
type lateListener struct {
	net.Listener
	release chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.release
	return l.Listener.Accept()
}

// Guards against a request that is taken from a caller which had left before a busy process read it, and against one of a
// caller that is still there, or has sent the next request already, which is dropped.
func TestCallerHasLeft(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	late := &lateListener{Listener: listener, release: make(chan struct{})}
	handled := make(chan string, 8)
	s := New(late, limits())
	s.Use(func(ctx context.Context, c *app.RequestContext) {
		handled <- string(c.Request.Body())
		echo(ctx, c)
	})
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	t.Cleanup(func() {
		_ = Shutdown(s, time.Millisecond)
		<-ended
	})
	post := func(body string) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for range 2 {
		gone, _ := dial(t, listener.Addr().String())
		_, err = io.WriteString(gone, post("gone"))
		assert.NilError(t, err)
		assert.NilError(t, gone.Close())
	}
	stays, r := dial(t, listener.Addr().String())
	_, err = io.WriteString(stays, post("first")+post("second"))
	assert.NilError(t, err)
	close(late.release)
	for range 2 {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
	}
	assert.Equal(t, <-handled, "first")
	assert.Equal(t, <-handled, "second")
	assert.Equal(t, len(handled), 0)
}
