package daemon

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// idleGrace is how long a connection without a request may stay open while the daemon stops. A request that begins
// within this time is still answered.
const idleGrace = 250 * time.Millisecond

// trackedListener knows its open connections, so that idle ones need not time out by themselves when the daemon stops.
// The HTTP library waits for them, which would delay every stop by its limit of 30 s.
type trackedListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

func track(l net.Listener) *trackedListener {
	return &trackedListener{Listener: l, open: make(map[*trackedConn]struct{})}
}

// Accept returns the next connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// endReads lets reads that are in progress fail after idleGrace. Responses that are being written are not affected.
func (l *trackedListener) endReads() {
	deadline := time.Now().Add(idleGrace)
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.SetReadDeadline(deadline)
	}
}

type trackedConn struct {
	net.Conn
	listener *trackedListener
}

// SyscallConn gives access to the socket.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}

// CloseWrite ends the output of the connection, so that the other end can still read it while it sends.
func (c *trackedConn) CloseWrite() error {
	inner, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return inner.CloseWrite()
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
