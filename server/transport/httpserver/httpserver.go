// Package httpserver sets up hertz servers with limits on size, connections, time and memory. It serves connections itself,
// with the parser and the router of hertz: requests that may be repeated run beside those before them, and responses are
// written in order.
package httpserver

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	"wagtailford.example/server/transport/account"
)

// Limits bound a server in size, number and time.
type Limits struct {
	BodyMaxBytes   int
	HeaderMaxBytes int
	// WholeBodyMaxBytes is the size above which a body is passed to the handler as its first part and a reader for the rest
	// (BodyOf); 0 means that all bodies are read whole.
	WholeBodyMaxBytes int
	ConnectionsMax    int
	// HeaderTimeout limits the time from the first byte of a request to the end of its header; 0 means that ReadTimeout does.
	HeaderTimeout time.Duration
	// ReadTimeout limits the time until a request has been read, for the first one from the start of its connection.
	ReadTimeout time.Duration
	// UploadRateMin is the rate, in bytes per second, that the rest of a body above WholeBodyMaxBytes has to arrive at while the
	// handler waits for it; 0 means none. A caller may be behind it by UploadWindow.
	UploadRateMin int
	UploadWindow  time.Duration
	// WriteTimeout limits each write to a connection.
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
	// ShutdownTimeout limits the wait for requests in flight when the server stops.
	ShutdownTimeout time.Duration
	// Requests returns limits that may change while the server runs; nil if there are none.
	Requests func() RequestLimits
	// Account limits the bytes of all requests; nil means that they are not limited. Servers of a process share it.
	Account *account.Shared
}

// RequestLimits are limits of one request. Those of 0 are taken from Limits.
type RequestLimits struct {
	HeaderMaxBytes, BodyMaxBytes int
	HeaderTimeout                time.Duration
}

// unlimitedBytes is the limit of a server without an account.
const unlimitedBytes = 1 << 40

// New returns a server on the listener. Routes are registered on it before Spin or Run. When the server is shut down,
// connections without a request in progress are closed at once.
func New(l net.Listener, limits Limits) *server.Hertz {
	own := newListener(l, limits)
	h := server.New(
		server.WithListener(own),
		server.WithTransport(func(*config.Options) network.Transporter { return &transporter{listener: own} }),
		server.WithMaxRequestBodySize(limits.BodyMaxBytes),
		server.WithMaxHeaderBytes(limits.HeaderMaxBytes),
		server.WithExitWaitTime(limits.ShutdownTimeout),
		server.WithDisablePrintRoute(true),
	)
	h.AddProtocol(suite.HTTP1, loop{hertz: h, listener: own})
	h.OnShutdown = append(h.OnShutdown, func(context.Context) { own.stop() })
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
