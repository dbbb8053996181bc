package httpclient

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"wagtailford.example/server/transport/socket"
)

const defaultPort = "80"

// conn is one connection. Only the request that holds it uses it.
type conn struct {
	net.Conn
	address string
	reader  *reader
	// raw gives access to the socket; nil if the connection has none.
	raw syscall.RawConn
	// written counts the bytes of the current request that were handed to the kernel.
	written int
	// idle closes the connection when it stays unused.
	idle *time.Timer
	// idleTimeout is how long the connection may stay unused.
	idleTimeout time.Duration
}

// Write counts the bytes written.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += n
	return n, err
}

// abort closes the connection while a request waits on it.
func (c *conn) abort() { c.Conn.Close() }

// pool keeps the open connections of each address.
type pool struct {
	limits Limits
	dialer net.Dialer

	mu   sync.Mutex
	open map[string]int
	idle map[string][]*conn
}

func newPool(limits Limits) *pool {
	return &pool{
		limits: limits,
		dialer: dialer(limits),
		open:   make(map[string]int),
		idle:   make(map[string][]*conn),
	}
}

func dialer(limits Limits) net.Dialer {
	d := net.Dialer{Timeout: limits.DialTimeout}
	if limits.KeepAlive > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: limits.KeepAlive, Interval: limits.KeepAlive, Count: 2}
		d.Control = func(_, _ string, raw syscall.RawConn) error { return socket.LimitUnacknowledged(raw, limits.KeepAlive) }
	}
	return d
}

// keepAliveShare is the part of the idle timeout that a server states for which a connection is kept. The rest covers
// the way of a request to the server and a process that is late.
const keepAliveShare = 0.7

// noteIdleTimeout takes the idle timeout that a server states in a field such as "Keep-Alive: timeout=5".
func (c *conn) noteIdleTimeout(resp *protocol.Response, limit time.Duration) {
	c.idleTimeout = limit
	for part := range strings.SplitSeq(string(resp.Header.Peek("Keep-Alive")), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleTimeout = min(limit, time.Duration(keepAliveShare*float64(seconds)*float64(time.Second)))
		}
	}
}

// get returns an idle connection that is still open, or a new one.
func (p *pool) get(ctx context.Context, address string) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	for {
		cn := p.take(address)
		if cn == nil {
			break
		}
		if cn.quiet() {
			return cn, nil
		}
		p.close(cn)
	}
	if !p.reserve(address) {
		return nil, ErrNoConnection
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		return nil, err
	}
	return newConn(raw, address), nil
}

func newConn(c net.Conn, address string) *conn {
	cn := &conn{Conn: c, address: address, reader: newReader(c)}
	if sc, ok := c.(syscall.Conn); ok {
		// A socket that gives no access is taken for quiet, and a request on it decides.
		cn.raw, _ = sc.SyscallConn()
	}
	return cn
}

// take removes the connection that was used last, which is the least likely to have been closed by the server.
func (p *pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	p.setIdle(address, list[:len(list)-1])
	cn.idle.Stop()
	return cn
}

func (p *pool) setIdle(address string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = list
}

func (p *pool) reserve(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address] >= p.limits.ConnectionsPerHost {
		return false
	}
	p.open[address]++
	return true
}

func (p *pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	if p.open[address] == 0 {
		delete(p.open, address)
	}
}

// put returns a connection after a request.
func (p *pool) put(cn *conn, reusable bool) {
	if !reusable || p.limits.IdleTimeout <= 0 {
		p.close(cn)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[cn.address] = append(p.idle[cn.address], cn)
	if cn.idle == nil {
		cn.idle = time.AfterFunc(cn.idleTimeout, func() { p.expire(cn) })
		return
	}
	cn.idle.Reset(cn.idleTimeout)
}

// expire closes a connection that is still idle.
func (p *pool) expire(cn *conn) {
	p.mu.Lock()
	list := p.idle[cn.address]
	for i, other := range list {
		if other == cn {
			p.setIdle(cn.address, append(list[:i:i], list[i+1:]...))
			p.mu.Unlock()
			p.close(cn)
			return
		}
	}
	p.mu.Unlock()
}

func (p *pool) close(cn *conn) {
	cn.Conn.Close()
	p.release(cn.address)
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, list := range idle {
		for _, cn := range list {
			cn.idle.Stop()
			p.close(cn)
		}
	}
}

// quiet reports whether an idle connection is open and has nothing to read. A server that closed it, or sent bytes
// that belong to no request, makes it unusable.
func (c *conn) quiet() bool {
	if c.raw == nil {
		return true
	}
	open := false
	err := c.raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = rerr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// withPort adds the default port to a host without one.
func withPort(host string) string {
	if _, _, err := net.SplitHostPort(host); err == nil {
		return host
	}
	return net.JoinHostPort(strings.Trim(host, "[]"), defaultPort)
}
