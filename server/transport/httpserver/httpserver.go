// Package httpserver sets up hertz servers with limits on size, connections and time.
package httpserver

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/tracer/stats"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// Limits bound a server in size, number and time.
type Limits struct {
	BodyMaxBytes   int
	HeaderMaxBytes int
	ConnectionsMax int
	// ReadTimeout limits the time until a request has been read, for the first one from the start of its connection.
	ReadTimeout time.Duration
	// WriteTimeout limits each write to a connection.
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
	// ShutdownTimeout limits the wait for requests in flight when the server stops.
	ShutdownTimeout time.Duration
}

// New returns a server on the listener. Routes are registered on it before Spin or Run. When the server is shut down,
// connections without a request in progress are closed at once.
func New(l net.Listener, limits Limits) *server.Hertz {
	own := newListener(l, limits)
	h := server.New(
		server.WithListener(own),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(limits.BodyMaxBytes),
		server.WithMaxHeaderBytes(limits.HeaderMaxBytes),
		server.WithReadTimeout(limits.ReadTimeout),
		server.WithWriteTimeout(limits.WriteTimeout),
		server.WithIdleTimeout(limits.IdleTimeout),
		server.WithExitWaitTime(limits.ShutdownTimeout),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
		server.WithOnAccept(withConn),
		server.WithTracer(cycle{}),
		server.WithTraceLevel(stats.LevelDisabled),
	)
	h.OnShutdown = append(h.OnShutdown, func(context.Context) { own.stop() })
	h.Use(begin)
	return h
}

// Shutdown stops a server gracefully: it accepts no new connection and waits for requests in flight. The error says how
// many connections were still open at the end of the timeout.
func Shutdown(h *server.Hertz, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := h.Shutdown(ctx); err != nil {
		return err
	}
	// The library reports no error when its own wait ends before the connections do.
	l, ok := h.GetOptions().Listener.(*listener)
	if !ok {
		return nil
	}
	if open := l.open.Load(); open > 0 {
		return fmt.Errorf("%d connections open at the end of the shutdown", open)
	}
	return nil
}

// connKey is the context key of the connection of a request.
type connKey struct{}

func withConn(c net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, c)
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// begin runs before every handler. A request that was read from a connection that has been closed meanwhile is dropped,
// because its response would be lost.
func begin(ctx context.Context, c *app.RequestContext) {
	if connection := connOf(ctx); connection != nil && !connection.begin() {
		c.Abort()
	}
}

// cycle tells a connection where one request ends and the next one starts.
type cycle struct{}

// Start is called before a request is read, for all but the first of a connection when its first bytes have come.
func (cycle) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	if c := connOf(ctx); c != nil {
		c.next()
	}
	return ctx
}

// Finish is called when a response has been written.
func (cycle) Finish(ctx context.Context, _ *app.RequestContext) {
	if c := connOf(ctx); c != nil {
		c.end()
	}
}
