package execute

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/admission"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/suspect"
	"wagtailford.example/server/state/view"
	"wagtailford.example/server/transport/httpclient"
)

const (
	okAnswer    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Answer: a\r\nKeep-Alive: 5\r\n\r\nok"
	testMinute  = 60_000
	testService = "vitrine"
)

// testTarget is an HTTP target on the loopback interface that can crash and restart.
type testTarget struct {
	t       *testing.T
	address string
	// handle returns the raw response; an empty response closes the connection.
	handle func(*http.Request, *bufio.Reader) string
	// keepsOpen is true if the connection stays open after any response that is not empty.
	keepsOpen bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	runs     map[string]int
}

func newTarget(t *testing.T, handle func(*http.Request, *bufio.Reader) string) *testTarget {
	target := &testTarget{t: t, address: "127.0.0.1:0", handle: handle, runs: make(map[string]int)}
	target.start()
	t.Cleanup(target.crash)
	return target
}

func (s *testTarget) start() {
	l, err := net.Listen("tcp", s.address)
	assert.NilError(s.t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	s.listener = l
	s.conns = make(map[net.Conn]struct{})
	go s.accept(l)
}

func (s *testTarget) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *testTarget) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.runs[req.URL.Path]++
		s.mu.Unlock()
		io.Copy(io.Discard, req.Body)
		answer := s.handle(req, r)
		if answer == "" {
			return
		}
		io.WriteString(conn, answer)
		if answer != okAnswer && !s.keepsOpen {
			return
		}
	}
}

// crash closes the listener and all connections.
func (s *testTarget) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for conn := range s.conns {
		conn.Close()
	}
}

func (s *testTarget) ran(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[path]
}

// testNode is an Executor together with the directory entry that it updates.
type testNode struct {
	*Executor
	mu    sync.Mutex
	entry endpoint.Entry
}

func newNode(t *testing.T, address string, change func(*Settings, *Dependencies)) *testNode {
	n := &testNode{}
	s := Settings{
		Node:      "self",
		Workers:   8,
		Admission: admission.Settings{Slots: 4, Queue: 4, ExclusiveQueue: 4, ExclusiveWait: time.Minute},
		Suspects:  suspect.Limits{CrashLimit: 2, TTL: time.Hour, Max: 16, TrialAfter: time.Minute},
		Client: httpclient.Limits{
			DialTimeout: time.Minute, ConnectionsPerHost: 8, IdleTimeout: time.Minute, BodyMaxBytes: 64,
		},
	}
	v := &view.View{Ready: true}
	d := Dependencies{
		View: func() *view.View { return v },
		UpdateSelf: func(f func(*endpoint.Entry)) {
			n.mu.Lock()
			defer n.mu.Unlock()
			f(&n.entry)
		},
		Log: &log.Logger{Handler: discard.New()},
	}
	if change != nil {
		change(&s, &d)
	}
	e, err := New(s, d)
	assert.NilError(t, err)
	t.Cleanup(e.Close)
	e.SetTarget(Target{Service: testService, Address: address})
	n.Executor = e
	return n
}

func (n *testNode) crashCounts() []endpoint.CrashCount {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entry.Crashes
}

func request(path string) *wire.Request {
	return &wire.Request{
		From: "sender", ID: 1, Service: testService, Method: "POST", Path: path, Body: []byte("b"),
		TimeoutMS: testMinute, Attempts: 2, Depth: 3,
	}
}
