package httpserver

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/network"

	"wagtailford.example/server/transport/socket"
)

// conn is one connection of a caller. One goroutine reads its requests; each runs in a goroutine of its own, and the one
// that finishes the first request in order writes the responses that are ready.
type conn struct {
	net.Conn
	reader
	network.Writer
	listener *listener
	// raw gives access to the socket; nil if the connection has none.
	raw     syscall.RawConn
	opened  time.Time
	removed atomic.Bool
	// ctx ends when the caller has left or no more responses will be written.
	ctx      context.Context
	cancel   context.CancelFunc
	handlers sync.WaitGroup
	// changed receives after a response has been written, or when there will be no more.
	changed chan struct{}

	// requests and readErr belong to the goroutine that reads: the number of requests and the last error of the socket.
	requests int
	readErr  error

	mu sync.Mutex
	// queue holds the requests without a written response, in order.
	queue []*transaction
	// receiving is the request that is being read, from its first byte on.
	receiving *transaction
	// streaming is the request whose body its handler reads; nil if there is none.
	streaming *transaction
	// arrived is true if bytes of a request that is not in queue may be buffered.
	arrived bool
	// readAt is when bytes were read last; at first, when the connection was opened.
	readAt  time.Time
	writing bool
	// ended is true once no more responses are written, lingers if the goroutine that reads then closes the connection.
	ended, lingers bool
	// draining is true if the connection ends once the requests in queue have been answered.
	draining bool
	// deadline is the end of the time for the request that is being read.
	deadline time.Time
	// armed is the deadline that is set on the socket. It may be earlier than needed; it is then set anew when it passes.
	armed time.Time
	// waitingSince is the start of the current wait for a request.
	waitingSince time.Time
	// waitingBytes are those of the responses in queue that are ready.
	waitingBytes int64
}

func newConn(accepted net.Conn, l *listener) *conn {
	now := time.Now()
	c := &conn{
		Conn: accepted, Writer: network.NewWriter(accepted), listener: l, raw: socket.Raw(accepted), opened: now,
		waitingSince: now, readAt: now, changed: make(chan struct{}, 1), deadline: deadlineAfter(now, l.limits.ReadTimeout),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.reader = newReader(socketReader{c})
	return c
}

// socketReader reads from the socket of a connection and remembers the error.
type socketReader struct{ c *conn }

func (r socketReader) Read(b []byte) (int, error) {
	r.c.armEarlier()
	for {
		n, err := r.c.Conn.Read(b)
		if isTimeout(err) && r.c.rearm() {
			continue
		}
		r.c.readErr = err
		if n > 0 {
			r.c.mu.Lock()
			r.c.arrived, r.c.readAt = true, time.Now()
			r.c.mu.Unlock()
		}
		return n, err
	}
}

// socketWriter writes to the socket of a connection within the time limit for each write.
type socketWriter struct{ c *conn }

func (w socketWriter) Write(b []byte) (int, error) {
	if timeout := w.c.listener.limits.WriteTimeout; timeout > 0 {
		_ = w.c.SetWriteDeadline(time.Now().Add(timeout))
	}
	return w.c.Conn.Write(b)
}

// Read reads from the buffer of the connection.
func (c *conn) Read(b []byte) (int, error) { return c.buffer.Read(b) }

// SetReadTimeout sets the time limit of reads.
func (c *conn) SetReadTimeout(t time.Duration) error {
	return c.SetReadDeadline(deadlineAfter(time.Now(), t))
}

// SetWriteTimeout sets the time limit of writes.
func (c *conn) SetWriteTimeout(t time.Duration) error {
	return c.SetWriteDeadline(deadlineAfter(time.Now(), t))
}

// deadlineAfter returns the end of a time limit; 0 means none.
func deadlineAfter(from time.Time, limit time.Duration) time.Time {
	if limit <= 0 {
		return time.Time{}
	}
	return from.Add(limit)
}

// readDeadline returns the deadline of the next read: that of the request which is being read or is the first, none while
// the caller waits for a response, the end of the idle time otherwise. It is called with the lock held.
func (c *conn) readDeadline() time.Time {
	switch {
	case c.streaming != nil:
		// The handler bounds the time if the caller needs no minimum rate.
		return c.streaming.stream.readUntil
	case c.receiving != nil:
		return c.deadline
	case len(c.queue) > 0:
		return time.Time{}
	case c.waitingSince.Equal(c.opened):
		return c.deadline
	}
	return deadlineAfter(c.waitingSince, c.listener.limits.IdleTimeout)
}

// armEarlier sets the deadline of reads if the one on the socket is later. An earlier one stays, which saves two system
// calls for each request.
func (c *conn) armEarlier() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if want := c.readDeadline(); !want.IsZero() && (c.armed.IsZero() || c.armed.After(want)) {
		c.arm(want)
	}
}

// rearm sets the deadline of reads after it has passed, and reports false if the time is over.
func (c *conn) rearm() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.streaming != nil {
		c.streaming.stream.extend(now)
	}
	want := c.readDeadline()
	if c.interrupted() || !want.IsZero() && !want.After(now) || c.receiving != nil && c.listener.stopping.Load() {
		return false
	}
	c.arm(want)
	return true
}

// interrupted reports whether the request that is being read is given up.
func (c *conn) interrupted() bool {
	return c.ended || c.receiving != nil && c.receiving.shed || c.streaming != nil && c.streaming.shed
}

func (c *conn) arm(t time.Time) {
	if !c.interrupted() {
		c.armed = t
		_ = c.SetReadDeadline(t)
	}
}

// interrupt ends a read in progress. It is called with the lock held.
func (c *conn) interrupt() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// isGone reports whether this end or the caller has closed the connection. A busy process may notice that only after it
// has read the request.
func (c *conn) isGone() bool {
	return c.ctx.Err() != nil || c.raw != nil && socket.IsClosed(c.raw)
}

// isIdle is called with the lock held.
func (c *conn) isIdle() bool {
	return !c.ended && !c.arrived && c.receiving == nil && len(c.queue) == 0
}

// owesSince returns when bytes were read last, and whether the caller owes its first request or the rest of one.
func (c *conn) owesSince() (read time.Time, owes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owes = !c.ended && len(c.queue) == 0 && (c.receiving != nil || c.waitingSince.Equal(c.opened))
	return c.readAt, owes
}

// closeIdle closes the connection if it has waited for a request since a time or longer.
func (c *conn) closeIdle(since time.Time) bool {
	c.mu.Lock()
	idle := c.isIdle() && !c.waitingSince.After(since)
	if idle {
		c.ended = true
	}
	c.mu.Unlock()
	if idle {
		c.Close()
	}
	return idle
}

// Close closes the connection and counts it once.
func (c *conn) Close() error {
	if !c.removed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	c.cancel()
	// A caller that sees the end of the connection may open the next one at once.
	c.listener.remove(c)
	return c.Conn.Close()
}

const (
	// lingerTime and lingerBytesMax limit what is read and dropped after the last response. A connection that is closed
	// with unread bytes is reset, and the caller may lose the response.
	lingerTime     = time.Second
	lingerBytesMax = 1 << 20
)

// linger ends the output of the connection and reads what the caller still sends.
func (c *conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytesMax)
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// isTemporary reports whether more connections can be accepted after an error.
func isTemporary(err error) bool {
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}
