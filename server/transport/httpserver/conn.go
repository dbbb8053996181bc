package httpserver

import (
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"

	"wagtailford.example/server/transport/socket"
)

// listener closes connections beyond a maximum at once and knows the open ones.
type listener struct {
	net.Listener
	limits Limits
	open   atomic.Int64
	answer atomic.Pointer[func(Fault) Answer]

	mu       sync.Mutex
	conns    map[*conn]struct{}
	stopping bool
}

func newListener(l net.Listener, limits Limits) *listener {
	own := &listener{Listener: l, limits: limits, conns: make(map[*conn]struct{})}
	answer := plainAnswer
	own.answer.Store(&answer)
	return own
}

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > int64(l.limits.ConnectionsMax) {
			l.open.Add(-1)
			accepted.Close()
			continue
		}
		c := &conn{Conn: accepted, listener: l, waitingSince: time.Now(), raw: socket.Raw(accepted)}
		// The library sets a time limit only when it reads the second request of a connection.
		if l.limits.ReadTimeout > 0 {
			_ = accepted.SetReadDeadline(time.Now().Add(l.limits.ReadTimeout))
		}
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

// stop closes the connections that wait for a request, and every other one as soon as it does.
func (l *listener) stop() {
	l.mu.Lock()
	l.stopping = true
	waiting := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		waiting = append(waiting, c)
	}
	l.mu.Unlock()
	for _, c := range waiting {
		c.closeWaiting()
	}
}

// CloseIdle closes the connections of a server of this package that have waited for a request for at least idle.
func CloseIdle(h *server.Hertz, idle time.Duration) {
	l, ok := h.GetOptions().Listener.(*listener)
	if !ok {
		return
	}
	since := time.Now().Add(-idle)
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range conns {
		c.closeIdle(since)
	}
}

func (l *listener) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopping
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	l.open.Add(-1)
}

// phase is what a connection does.
type phase uint8

const (
	// waiting means that no byte of the next request has been read.
	waiting phase = iota
	receiving
	// handling lasts from the first handler until the response has been written.
	handling
	// refusing means that the server itself answered the request; nothing follows.
	refusing
	closed
)

// conn is one connection of a caller.
type conn struct {
	net.Conn
	listener *listener
	// raw gives access to the socket; nil if the connection has none.
	raw     syscall.RawConn
	removed atomic.Bool

	mu    sync.Mutex
	phase phase
	// requests counts the requests, including the one that is being read.
	requests int
	// timedOut is true after a request was not read in time.
	timedOut bool
	// waitingSince is the start of the current wait for a request.
	waitingSince time.Time
}

// next starts a request. Bytes of it may have been read together with the previous one.
func (c *conn) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests > 0 && c.phase == waiting {
		c.phase = receiving
	}
	c.requests++
}

// begin reports false if the connection has been closed, by this end or by the caller. The library notices a caller that
// has left in a goroutine of its own, which a busy process may run after the handler.
func (c *conn) begin() bool {
	if c.raw != nil && socket.IsClosed(c.raw) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == closed {
		return false
	}
	c.phase = handling
	return true
}

// end ends a request whose response has been written.
func (c *conn) end() {
	c.mu.Lock()
	if c.phase == handling {
		c.phase = waiting
		c.waitingSince = time.Now()
	}
	c.mu.Unlock()
	if c.listener.isStopping() {
		c.closeWaiting()
	}
}

func (c *conn) closeWaiting() { c.closeIdle(time.Now()) }

// closeIdle closes the connection if it has waited for a request since a time or longer.
func (c *conn) closeIdle(since time.Time) {
	c.mu.Lock()
	idle := c.phase == waiting && !c.waitingSince.After(since)
	if idle {
		c.phase = closed
	}
	c.mu.Unlock()
	if idle {
		c.Close()
	}
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.phase == waiting {
		c.phase = receiving
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && (c.phase == waiting || c.phase == receiving) {
		c.timedOut = true
	}
	return n, err
}

// Write writes to the connection. In place of an answer of the library it writes one with the outcome.
func (c *conn) Write(b []byte) (int, error) {
	answer, replaced := c.replace(b)
	if c.listener.limits.WriteTimeout > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(c.listener.limits.WriteTimeout))
	}
	if !replaced {
		return c.Conn.Write(b)
	}
	if _, err := c.Conn.Write(answer); err != nil {
		return 0, err
	}
	return len(b), nil
}

// replace returns what is written in place of b, if anything is. A caller that sent nothing in time gets nothing.
func (c *conn) replace(b []byte) (answer []byte, replaced bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == refusing {
		return nil, true
	}
	fault, ok := faultOf(b)
	if !ok || c.phase == handling {
		return nil, false
	}
	silent := c.phase == waiting
	c.phase = refusing
	if silent {
		return nil, true
	}
	if c.timedOut {
		fault = ReadTimeout
	}
	return (*c.listener.answer.Load())(fault).text(), true
}

const (
	// lingerTime and lingerBytesMax limit what is read and dropped after a refusal. A connection that is closed with
	// unread bytes is reset, and the caller may lose the answer.
	lingerTime     = time.Second
	lingerBytesMax = 1 << 20
)

// Close closes the connection and counts it once.
func (c *conn) Close() error {
	if !c.removed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	c.linger()
	// A caller that sees the end of the connection may open the next one at once.
	c.listener.remove(c)
	return c.Conn.Close()
}

func (c *conn) linger() {
	c.mu.Lock()
	refused := c.phase == refusing
	c.phase = closed
	c.mu.Unlock()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !refused || !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytesMax)
}
