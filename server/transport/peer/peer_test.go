package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/rpc"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type echo struct {
	release chan struct{}
	said    atomic.Int64
}

func (e *echo) Say(args *string, reply *string) error {
	e.said.Add(1)
	*reply = *args
	return nil
}

func (e *echo) Wait(_ *string, _ *string) error {
	<-e.release
	return nil
}

func (e *echo) Fail(_ *string, _ *string) error {
	return errors.New("refused by the method")
}

func testLimits() Limits {
	l := DefaultLimits()
	l.MaxMessageBytes = 64 << 10
	l.PingInterval = 20 * time.Millisecond
	l.SilenceTimeout = 100 * time.Millisecond
	return l
}

func startServer(t *testing.T, c Credential) (address string, e *echo) {
	t.Helper()
	return startServerWith(t, c, testLimits())
}

func startServerWith(t *testing.T, c Credential, limits Limits) (address string, e *echo) {
	t.Helper()
	e = &echo{release: make(chan struct{})}
	r := rpc.NewServer()
	assert.NilError(t, r.RegisterName("Echo", e))
	s := NewServer(r, c, limits)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go s.Serve(l)
	t.Cleanup(func() {
		l.Close()
		close(e.release)
		s.Close()
	})
	return l.Addr().String(), e
}

var testCredential = Credential{Cluster: "test", Secret: []byte("secret")}

func newTestPool(t *testing.T, c Credential) *Pool {
	t.Helper()
	return newTestPoolWith(t, c, testLimits())
}

func newTestPoolWith(t *testing.T, c Credential, limits Limits) *Pool {
	t.Helper()
	p := NewPool(c, limits)
	t.Cleanup(p.Close)
	return p
}

// Guards against a call that reports the wrong certainty about whether its request was sent.
func TestCallOutcomes(t *testing.T) {
	address, _ := startServer(t, testCredential)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed.Close()
	tests := []struct {
		name       string
		credential Credential
		address    string
		method     string
		argument   string
		check      func(error) bool
	}{
		{"reply", testCredential, address, "Echo.Say", "a", func(err error) bool { return err == nil }},
		{"method error", testCredential, address, "Echo.Fail", "a", func(err error) bool {
			var remote rpc.ServerError
			return errors.As(err, &remote)
		}},
		{"wrong cluster", Credential{Cluster: "other", Secret: testCredential.Secret}, address, "Echo.Say", "a", isNotSent},
		{"wrong secret", Credential{Cluster: "test", Secret: []byte("x")}, address, "Echo.Say", "a", isNotSent},
		{"connection refused", testCredential, closed.Addr().String(), "Echo.Say", "a", isNotSent},
		{"message too large", testCredential, address, "Echo.Say", strings.Repeat("x", 65<<10), isNotSent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool := newTestPool(t, test.credential)
			var reply string
			err := pool.Call(context.Background(), test.address, test.method, &test.argument, &reply)
			assert.Assert(t, test.check(err), "got %v", err)
		})
	}
}

func isNotSent(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent)
}

func isLost(err error) bool {
	var lost *LostError
	return errors.As(err, &lost)
}

// Guards against a slow method being mistaken for a silent connection: pings are answered while it runs.
func TestSlowMethodIsNotSilence(t *testing.T) {
	address, e := startServer(t, testCredential)
	pool := newTestPool(t, testCredential)
	done := make(chan error, 1)
	go func() {
		var args, reply string
		done <- pool.Call(context.Background(), address, "Echo.Wait", &args, &reply)
	}()
	time.Sleep(4 * testLimits().SilenceTimeout)
	e.release <- struct{}{}
	assert.NilError(t, <-done)
	assert.Equal(t, pool.Counters().Values().Silent, int64(0))
}

// Guards against a call that waits for ever on a connection that something in between has forgotten.
func TestSilentConnectionIsReplaced(t *testing.T) {
	address, _ := startServer(t, testCredential)
	pool := newTestPool(t, testCredential)
	silent := make(chan net.Conn, 1)
	direct := pool.dial
	pool.dial = func(ctx context.Context, a string) (net.Conn, error) {
		conn, err := direct(ctx, a)
		if err != nil {
			return nil, err
		}
		wrapped := &mutedConn{Conn: conn, muted: make(chan struct{})}
		silent <- wrapped
		return wrapped, nil
	}
	args, reply := "a", ""
	assert.NilError(t, pool.Call(context.Background(), address, "Echo.Say", &args, &reply))
	close((<-silent).(*mutedConn).muted)
	err := pool.Call(context.Background(), address, "Echo.Say", &args, &reply)
	assert.Assert(t, isLost(err), "got %v", err)
	assert.Equal(t, pool.Counters().Values().Silent, int64(1))
	assert.NilError(t, pool.Call(context.Background(), address, "Echo.Say", &args, &reply))
}

// mutedConn drops everything in both directions once muted is closed, without closing the connection.
type mutedConn struct {
	net.Conn
	muted chan struct{}
}

func (c *mutedConn) Write(p []byte) (int, error) {
	select {
	case <-c.muted:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// muteOnClose silences the connections that a pool has open when the returned channel is closed. Later ones work.
func muteOnClose(pool *Pool) chan struct{} {
	muted := make(chan struct{})
	direct := pool.dial
	pool.dial = func(ctx context.Context, a string) (net.Conn, error) {
		conn, err := direct(ctx, a)
		if err != nil {
			return nil, err
		}
		select {
		case <-muted:
			return conn, nil
		default:
			return &mutedConn{Conn: conn, muted: muted}, nil
		}
	}
	return muted
}

// Guards against garbage from an unauthenticated or faulty peer that harms the server.
func TestGarbageIsRefused(t *testing.T) {
	address, _ := startServer(t, testCredential)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write(bytes.Repeat([]byte{0xff}, 4096))
	assert.NilError(t, err)
	authenticated, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer authenticated.Close()
	assert.NilError(t, dialHandshake(authenticated, testCredential, time.Second))
	_, err = authenticated.Write([]byte{frameData, 0, 0, 0, 3, 1, 2, 3})
	assert.NilError(t, err)
	pool := newTestPool(t, testCredential)
	args, reply := "a", ""
	assert.NilError(t, pool.Call(context.Background(), address, "Echo.Say", &args, &reply))
}

// Guards against a frame header that makes the reader allocate or accept more than the limit.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{frameData, 0, 0, 0, 1, 7})
	f.Add([]byte{framePing, 0, 0, 0, 0})
	f.Add([]byte{frameData, 0xff, 0xff, 0xff, 0xff})
	const limit = 1 << 10
	f.Fuzz(func(t *testing.T, data []byte) {
		kind, payload, err := readFrame(bufio.NewReader(bytes.NewReader(data)), nil, limit)
		if err != nil {
			return
		}
		assert.Assert(t, len(payload) <= limit)
		assert.Assert(t, kind == frameData || len(payload) == 0)
	})
}

// payload is an argument whose body travels behind the gob value.
type payload struct {
	Name string
	body []byte
}

func (p *payload) WithoutBody() (any, []byte) { return &payload{Name: p.Name}, p.body }

func (p *payload) SetBody(body []byte) { p.body = body }

// Guards against a request that is too large and takes the connection away from the calls that wait on it.
func TestTooLargeKeepsConnection(t *testing.T) {
	address, e := startServer(t, testCredential)
	pool := newTestPool(t, testCredential)
	waiting := make(chan error, 1)
	go func() {
		var args, reply string
		waiting <- pool.Call(context.Background(), address, "Echo.Wait", &args, &reply)
	}()
	large := &payload{Name: "a", body: make([]byte, testLimits().MaxMessageBytes+1)}
	var reply string
	err := pool.Call(context.Background(), address, "Echo.Say", large, &reply)
	assert.Assert(t, isNotSent(err) && errors.Is(err, ErrMessageTooLarge), "got %v", err)
	select {
	case err := <-waiting:
		t.Fatalf("the waiting call lost its connection: %v", err)
	case e.release <- struct{}{}:
	}
	assert.NilError(t, <-waiting)
}

// Guards against callers that wait for ever, or a pool that stays unusable, when all of its connections go silent.
func TestPoolOfSilentConnections(t *testing.T) {
	const connections, callsEach = 20, 15
	pool := newTestPool(t, testCredential)
	muted := muteOnClose(pool)
	args, reply := "a", ""
	var addresses []string
	for range connections {
		address, _ := startServer(t, testCredential)
		addresses = append(addresses, address)
		assert.NilError(t, pool.Call(context.Background(), address, "Echo.Say", &args, &reply))
	}
	close(muted)
	results := make(chan error, connections*callsEach)
	for _, address := range addresses {
		for range callsEach {
			go func() {
				args, reply := "a", ""
				results <- pool.Call(context.Background(), address, "Echo.Say", &args, &reply)
			}()
		}
	}
	for range connections * callsEach {
		err := <-results
		// A call that comes after its connection was given up uses the replacement.
		assert.Assert(t, err == nil || isLost(err), "got %v", err)
	}
	assert.Equal(t, pool.Counters().Values().Silent, int64(connections))
	for _, address := range addresses {
		assert.NilError(t, pool.Call(context.Background(), address, "Echo.Say", &args, &reply))
	}
}

// blockedConn takes no bytes from the time at which blocked is set until open is closed. The first write in that time sends a
// value on entered.
type blockedConn struct {
	net.Conn
	blocked *atomic.Bool
	entered chan struct{}
	open    chan struct{}
}

func (c *blockedConn) Write(p []byte) (int, error) {
	if c.blocked.Load() {
		select {
		case c.entered <- struct{}{}:
		default:
		}
		<-c.open
	}
	return c.Conn.Write(p)
}

// Guards against a request that is sent when its caller has long left, because it waited for a connection that took no bytes,
// and against a caller that is held there.
func TestEndedCallIsNotSent(t *testing.T) {
	address, e := startServer(t, testCredential)
	limits := testLimits()
	limits.PingInterval, limits.SilenceTimeout = time.Minute, time.Minute
	pool := newTestPoolWith(t, testCredential, limits)
	var blocked atomic.Bool
	entered, open := make(chan struct{}, 1), make(chan struct{})
	dial := pool.dial
	pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		return &blockedConn{Conn: conn, blocked: &blocked, entered: entered, open: open}, err
	}
	say := func(ctx context.Context) error {
		args, reply := "a", ""
		return pool.Call(ctx, address, "Echo.Say", &args, &reply)
	}
	assert.NilError(t, say(t.Context()))
	first := make(chan error, 1)
	blocked.Store(true)
	go func() { first <- say(t.Context()) }()
	<-entered
	ctx, leave := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer leave()
	err := say(ctx)
	assert.Assert(t, isNotSent(err) && errors.Is(err, context.DeadlineExceeded), "got %v", err)
	close(open)
	assert.NilError(t, <-first)
	assert.NilError(t, say(t.Context()))
	assert.Equal(t, e.said.Load(), int64(3))
}

// slowConn lets bytes arrive slowly, as a narrow link does.
type slowConn struct {
	net.Conn
}

func (c *slowConn) Read(p []byte) (int, error) {
	const pieceBytes, pause = 1 << 10, 50 * time.Millisecond
	time.Sleep(pause)
	return c.Conn.Read(p[:min(len(p), pieceBytes)])
}

// Guards against a connection that is given up as silent while a large reply is on its way, whose caller would not hear of
// work that ran.
func TestSlowFrameIsNotSilence(t *testing.T) {
	// The reply takes longer than the timeout, and a pause of the test's own threads on a busy machine does not.
	limits := testLimits()
	limits.SilenceTimeout = 2 * time.Second
	address, _ := startServerWith(t, testCredential, limits)
	pool := newTestPoolWith(t, testCredential, limits)
	dial := pool.dial
	pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		return &slowConn{conn}, err
	}
	large, reply := strings.Repeat("x", 48<<10), ""
	assert.NilError(t, pool.Call(t.Context(), address, "Echo.Say", &large, &reply))
	assert.Equal(t, reply, large)
	assert.Equal(t, pool.Counters().Values().Silent, int64(0))
}

// Guards against a connection that has gone silent and is used for ever, because each call on it is given up before the
// silence timeout and the next one starts the timeout anew.
func TestSilenceIsMeasuredAcrossShortCalls(t *testing.T) {
	address, _ := startServer(t, testCredential)
	pool := newTestPool(t, testCredential)
	muted := muteOnClose(pool)
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), testLimits().SilenceTimeout/2)
		defer cancel()
		var reply string
		args := "a"
		return pool.Call(ctx, address, "Echo.Say", &args, &reply)
	}
	assert.NilError(t, call())
	close(muted)
	const callsMax = 40
	for range callsMax {
		if call() == nil {
			return
		}
	}
	t.Fatalf("%d calls were lost on a silent connection", callsMax)
}

// newPingTimeoutPool returns a pool that leaves a connection after an unanswered ping, and never gives one up as silent.
func newPingTimeoutPool(t *testing.T) *Pool {
	t.Helper()
	limits := testLimits()
	limits.PingTimeout = 20 * time.Millisecond
	limits.SilenceTimeout = time.Hour
	p := NewPool(testCredential, limits)
	t.Cleanup(p.Close)
	return p
}

// Guards against new calls that are sent on a connection whose pings are not answered, until it counts as silent: they would
// all be lost, although a new connection works.
func TestNewCallsLeaveAConnectionWithAnUnansweredPing(t *testing.T) {
	address, _ := startServer(t, testCredential)
	pool := newPingTimeoutPool(t)
	muted := muteOnClose(pool)
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		args, reply := "a", ""
		return pool.Call(ctx, address, "Echo.Say", &args, &reply)
	}
	assert.NilError(t, call())
	close(muted)
	const callsMax = 40
	for range callsMax {
		if call() == nil {
			assert.Equal(t, pool.Counters().Values().Replaced, int64(1))
			return
		}
	}
	t.Fatalf("%d calls were lost on a connection whose pings are not answered", callsMax)
}

// stalledConn delivers nothing until released is closed.
type stalledConn struct {
	net.Conn
	stalled atomic.Bool
	release chan struct{}
}

func (c *stalledConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.stalled.Load() {
		<-c.release
	}
	return n, err
}

// Guards against a pending call that is lost because new calls have left its connection, which was only slow.
func TestPendingCallKeepsAReplacedConnection(t *testing.T) {
	address, _ := startServer(t, testCredential)
	pool := newPingTimeoutPool(t)
	var first *stalledConn
	direct := pool.dial
	pool.dial = func(ctx context.Context, a string) (net.Conn, error) {
		conn, err := direct(ctx, a)
		if err != nil || first != nil {
			return conn, err
		}
		first = &stalledConn{Conn: conn, release: make(chan struct{})}
		return first, nil
	}
	args, reply := "a", ""
	assert.NilError(t, pool.Call(context.Background(), address, "Echo.Say", &args, &reply))
	first.stalled.Store(true)
	pending := make(chan error, 1)
	go func() {
		args, reply := "slow", ""
		pending <- pool.Call(context.Background(), address, "Echo.Say", &args, &reply)
	}()
	for pool.Counters().Values().Replaced == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, pool.Call(context.Background(), address, "Echo.Say", &args, &reply))
	assert.Equal(t, pool.Counters().Values().Open, int64(2))
	close(first.release)
	assert.NilError(t, <-pending)
	for pool.Counters().Values().Open != 1 {
		time.Sleep(time.Millisecond)
	}
}
