package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// Pool keeps one connection for each address and multiplexes calls on it.
type Pool struct {
	credential Credential
	limits     Limits
	counter    Counters
	// dial opens a connection; tests replace it.
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*clientConn
	// replaced holds the connections that only their pending calls still use.
	replaced map[*clientConn]struct{}
	closed   bool
}

// clientConn is one connection, or the attempt to open it.
type clientConn struct {
	address string
	opened  chan struct{}
	// sending is held by the call whose request is being written.
	sending chan struct{}
	err     error
	client  *rpc.Client
	stream  *messageStream
	pending atomic.Int64
	lastUse atomic.Int64
	// abandoned is the start of the latest call that ended before a response to it arrived.
	abandoned atomic.Int64
	dead      atomic.Bool
	done      chan struct{}
	once      sync.Once
}

// NewPool returns a pool without connections.
func NewPool(credential Credential, limits Limits) *Pool {
	dialer := &net.Dialer{Timeout: limits.DialTimeout, KeepAlive: 15 * time.Second}
	return &Pool{
		credential: credential,
		limits:     limits,
		conns:      make(map[string]*clientConn),
		replaced:   make(map[*clientConn]struct{}),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
}

// Counters returns the counters of the pool.
func (p *Pool) Counters() *Counters { return &p.counter }

// Call calls method at address and waits for the reply or the end of ctx. It returns nil, a *NotSentError, a
// *LostError, or an rpc.ServerError that the method returned. The end of ctx after the request was sent is a
// *LostError.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := p.get(ctx, address)
	if err != nil {
		return &NotSentError{Cause: err}
	}
	now := time.Now().UnixNano()
	if conn.pending.Add(1) == 1 && !conn.hasUnansweredCall() {
		// Silence counts from the start of the first call without a response, not from the last use of an idle connection.
		conn.stream.lastRead.Store(now)
	}
	conn.lastUse.Store(now)
	defer conn.pending.Add(-1)
	call, err := conn.start(ctx, method, args, reply)
	if err != nil {
		return &NotSentError{Cause: err}
	}
	select {
	case <-call.Done:
		return p.classify(conn, call.Error)
	case <-ctx.Done():
		conn.abandoned.Store(now)
		return &LostError{Cause: ctx.Err()}
	}
}

// start writes the request of a call. A call that ends while others are being written to a slow connection is not sent: the
// other end would run it for nobody.
func (c *clientConn) start(ctx context.Context, method string, args, reply any) (*rpc.Call, error) {
	select {
	case c.sending <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-c.sending }()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return c.client.Go(method, args, reply, make(chan *rpc.Call, 1)), nil
}

// hasUnansweredCall reports whether a call was abandoned and nothing has arrived since its start.
func (c *clientConn) hasUnansweredCall() bool { return c.abandoned.Load() >= c.stream.lastRead.Load() }

func (p *Pool) classify(conn *clientConn, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return remote
	}
	var notSent *NotSentError
	if errors.As(err, &notSent) && errors.Is(err, ErrMessageTooLarge) {
		// The connection is intact, and other calls wait on it.
		return notSent
	}
	p.drop(conn)
	if notSent != nil {
		return notSent
	}
	return &LostError{Cause: err}
}

// get returns an open connection and opens one if there is none.
func (p *Pool) get(ctx context.Context, address string) (*clientConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	conn, ok := p.conns[address]
	if !ok || conn.dead.Load() {
		conn = &clientConn{
			address: address, opened: make(chan struct{}), done: make(chan struct{}), sending: make(chan struct{}, 1),
		}
		p.conns[address] = conn
		go p.open(conn)
	}
	p.mu.Unlock()
	select {
	case <-conn.opened:
		return conn, conn.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open dials once for all callers that wait for the connection.
func (p *Pool) open(conn *clientConn) {
	defer close(conn.opened)
	ctx, cancel := context.WithTimeout(context.Background(), p.limits.DialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, conn.address)
	if err == nil {
		err = dialHandshake(raw, p.credential, p.limits.HandshakeTimeout)
		if err != nil {
			raw.Close()
		}
	}
	if err != nil {
		conn.err = err
		p.forget(conn)
		return
	}
	p.counter.opened.Add(1)
	p.counter.open.Add(1)
	conn.stream = newMessageStream(raw, p.limits, &p.counter)
	conn.lastUse.Store(time.Now().UnixNano())
	conn.client = rpc.NewClientWithCodec(&clientCodec{messageStream: conn.stream, ended: func() { p.ended(conn) }})
	go p.watch(conn)
}

// ended forgets a connection that the other end closed, at once: the failure of a call on it could not be told from
// that of one that was sent.
func (p *Pool) ended(conn *clientConn) {
	p.forget(conn)
	go func() {
		<-conn.opened
		p.drop(conn)
	}()
}

// watch pings a connection that is quiet while calls are pending or after one was abandoned, replaces it for new calls when a
// ping is not answered, gives it up when it stays silent, and closes it when it is idle.
func (p *Pool) watch(conn *clientConn) {
	ticker := time.NewTicker(p.limits.PingInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-conn.done:
			return
		case <-ticker.C:
		}
		now := time.Now().UnixNano()
		if conn.pending.Load() == 0 && !conn.hasUnansweredCall() {
			if conn.dead.Load() {
				// It was replaced, and its last call has ended.
				p.drop(conn)
				return
			}
			if now-conn.lastUse.Load() > int64(p.limits.IdleTimeout) {
				p.drop(conn)
				return
			}
			continue
		}
		quiet := time.Duration(now - conn.stream.lastRead.Load())
		switch {
		case quiet >= p.limits.SilenceTimeout:
			p.counter.silent.Add(1)
			p.drop(conn)
			return
		case quiet >= p.limits.PingInterval:
			if p.limits.PingTimeout > 0 && quiet >= p.limits.PingInterval+p.limits.PingTimeout {
				p.replace(conn)
			}
			if err := conn.stream.writer.control(framePing); err != nil {
				p.drop(conn)
				return
			}
		}
	}
}

// forget removes a connection from the pool, so that the next call opens a new one.
func (p *Pool) forget(conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(conn)
	delete(p.replaced, conn)
}

func (p *Pool) remove(conn *clientConn) {
	conn.dead.Store(true)
	if p.conns[conn.address] == conn {
		delete(p.conns, conn.address)
	}
}

// replace lets the next call open a new connection, while the pending calls keep theirs.
func (p *Pool) replace(conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.dead.Load() || p.closed {
		return
	}
	p.remove(conn)
	p.replaced[conn] = struct{}{}
	p.counter.replaced.Add(1)
}

// drop removes and closes a connection.
func (p *Pool) drop(conn *clientConn) {
	p.forget(conn)
	conn.once.Do(func() {
		close(conn.done)
		conn.client.Close()
		p.counter.open.Add(-1)
	})
}

// Drop closes the connection to an address, if there is one. Pending calls on it end with a *LostError.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	conn := p.conns[address]
	p.mu.Unlock()
	if conn == nil {
		return
	}
	<-conn.opened
	if conn.err == nil {
		p.drop(conn)
	}
}

// Close closes every connection and refuses further calls.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	conns := make([]*clientConn, 0, len(p.conns))
	for _, conn := range p.conns {
		conns = append(conns, conn)
	}
	for conn := range p.replaced {
		conns = append(conns, conn)
	}
	p.mu.Unlock()
	for _, conn := range conns {
		<-conn.opened
		if conn.err == nil {
			p.drop(conn)
		}
	}
}
