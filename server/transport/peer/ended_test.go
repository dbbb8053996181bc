package peer

import (
	"net"
	"net/rpc"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a call on a connection whose other end has closed it, which may or may not have been sent, although a
// new connection would serve it: a node that was started again would lose the first request of every other node.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	address := l.Addr().String()
	serve := func(l net.Listener) *Server {
		r := rpc.NewServer()
		assert.NilError(t, r.RegisterName("Echo", &echo{release: make(chan struct{})}))
		s := NewServer(r, testCredential, testLimits())
		go s.Serve(l)
		return s
	}
	first := serve(l)
	p := newTestPool(t, testCredential)
	say := func() error {
		var reply string
		argument := "a"
		return p.Call(t.Context(), address, "Echo.Say", &argument, &reply)
	}
	assert.NilError(t, say())
	first.Close()
	for end := time.Now().Add(10 * time.Second); p.Counters().Values().Open > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the closed connection is still kept")
	}
	l.Close()
	again, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	defer again.Close()
	second := serve(again)
	defer second.Close()
	assert.NilError(t, say())
}
