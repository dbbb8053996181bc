package httpserver

import (
	"context"
	"errors"
	"maps"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network"

	"wagtailford.example/server/transport/account"
)

// stalledGrace is how long a caller may send nothing of its first request, or of one that it has begun, before its connection
// is closed in favour of a new one.
const stalledGrace = time.Second

// listener closes connections beyond a maximum at once and knows the open ones.
type listener struct {
	net.Listener
	limits  Limits
	account *account.Shared
	open    atomic.Int64
	answer  atomic.Pointer[func(Fault) Answer]

	stopping atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

func newListener(l net.Listener, limits Limits) *listener {
	own := &listener{Listener: l, limits: limits, account: limits.Account, conns: make(map[*conn]struct{})}
	if own.account == nil {
		own.account = account.New(unlimitedBytes)
	}
	answer := plainAnswer
	own.answer.Store(&answer)
	return own
}

// wholeBodyMaxBytes returns the size above which bodies are streamed.
func (l *listener) wholeBodyMaxBytes() int {
	if l.limits.WholeBodyMaxBytes > 0 {
		return l.limits.WholeBodyMaxBytes
	}
	return math.MaxInt - 1
}

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > int64(l.limits.ConnectionsMax) && !l.closeStalled() {
			l.open.Add(-1)
			accepted.Close()
			continue
		}
		c := newConn(accepted, l)
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

// closeStalled closes the connection from which nothing has come for longest, beyond stalledGrace, of those that owe a request
// or the rest of one, and reports whether there is one. Callers that only open connections would keep out others otherwise.
func (l *listener) closeStalled() bool {
	since := time.Now().Add(-stalledGrace)
	var stalled *conn
	l.mu.Lock()
	for c := range l.conns {
		if read, owes := c.owesSince(); owes && read.Before(since) {
			stalled, since = c, read
		}
	}
	l.mu.Unlock()
	return stalled != nil && stalled.Close() == nil
}

// stop closes the connections that wait for a request, and every other one as soon as it does.
func (l *listener) stop() {
	l.stopping.Store(true)
	l.closeIdle(time.Now())
}

func (l *listener) closeIdle(since time.Time) {
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range conns {
		c.closeIdle(since)
	}
}

// CloseIdle closes the connections of a server of this package that have waited for a request for at least idle.
func CloseIdle(h *server.Hertz, idle time.Duration) {
	if l, ok := h.GetOptions().Listener.(*listener); ok {
		l.closeIdle(time.Now().Add(-idle))
	}
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	l.open.Add(-1)
}

const (
	// acceptPause is the wait after a connection could not be accepted, for example because no descriptor is free.
	acceptPause = 10 * time.Millisecond
	// endInterval is the interval at which a shutdown looks for open connections.
	endInterval = 10 * time.Millisecond
)

// transporter accepts connections. That of the library allocates buffers for each connection, which this package does not
// use, and ends the server when the process has no descriptor left.
type transporter struct {
	listener *listener
	stopping atomic.Bool
	active   atomic.Int64
}

// ListenAndServe serves connections until Shutdown.
func (t *transporter) ListenAndServe(serve network.OnData) error {
	for {
		accepted, err := t.listener.Accept()
		if err != nil {
			if t.stopping.Load() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			if !isTemporary(err) {
				return err
			}
			time.Sleep(acceptPause)
			continue
		}
		t.active.Add(1)
		go func() {
			defer t.active.Add(-1)
			// The library logs the error.
			_ = serve(context.Background(), accepted)
		}()
	}
}

// Shutdown accepts no more connections and waits until the others have ended or ctx has.
func (t *transporter) Shutdown(ctx context.Context) error {
	t.stopping.Store(true)
	_ = t.listener.Close()
	ticker := time.NewTicker(endInterval)
	defer ticker.Stop()
	for t.active.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close accepts no more connections.
func (t *transporter) Close() error {
	t.stopping.Store(true)
	return t.listener.Close()
}
