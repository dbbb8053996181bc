// Package httpserver sets up hertz servers with limits on size, connections and time.
package httpserver

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// Limits bound a server in size, number and time.
type Limits struct {
	BodyMaxBytes   int
	HeaderMaxBytes int
	ConnectionsMax int
	ReadTimeout    time.Duration
	WriteTimeout   time.Duration
	IdleTimeout    time.Duration
	// ShutdownTimeout limits the wait for requests in flight when the server stops.
	ShutdownTimeout time.Duration
}

// New returns a server on the listener. Routes are registered on it before Spin or Run.
func New(l net.Listener, limits Limits) *server.Hertz {
	return server.New(
		server.WithListener(&limitedListener{Listener: l, max: int64(limits.ConnectionsMax)}),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(limits.BodyMaxBytes),
		server.WithMaxHeaderBytes(limits.HeaderMaxBytes),
		server.WithReadTimeout(limits.ReadTimeout),
		server.WithWriteTimeout(limits.WriteTimeout),
		server.WithIdleTimeout(limits.IdleTimeout),
		server.WithExitWaitTime(limits.ShutdownTimeout),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
	)
}

// Shutdown stops a server gracefully: it accepts no new connection and waits for requests in flight.
func Shutdown(h *server.Hertz, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return h.Shutdown(ctx)
}

// limitedListener closes connections beyond a maximum at once.
type limitedListener struct {
	net.Listener
	max  int64
	open atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.max {
			l.open.Add(-1)
			conn.Close()
			continue
		}
		return &countedConn{Conn: conn, open: &l.open}, nil
	}
}

type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close closes the connection and counts it once.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}
