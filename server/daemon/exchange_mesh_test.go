package daemon

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/admission"
	"wagtailford.example/server/coordination/execute"
	"wagtailford.example/server/coordination/ingress"
	"wagtailford.example/server/coordination/ownership"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/suspect"
	"wagtailford.example/server/state/view"
	"wagtailford.example/server/transport/httpclient"
	"wagtailford.example/server/transport/peer"
)

const exchangeService = "vitrine"

// exchange is a mesh of real ingress, execute, ownership and peer parts without a control loop.
type exchange struct {
	t     *testing.T
	nodes []*exchangeNode

	mu      sync.Mutex
	entries map[string]endpoint.Entry
	// runs counts the runs at all targets by path.
	runs map[string]int
	// hold keeps the runs of a path back at the target; started tells of each of them.
	hold    map[string]chan struct{}
	started chan string
}

type exchangeNode struct {
	mesh    *exchange
	name    string
	link    *link
	pool    *peer.Pool
	keys    *ownership.Manager
	exec    *execute.Executor
	handler *ingress.Handler
	// hidden is a node that the ingress of this node does not know yet.
	hidden atomic.Pointer[string]
	// stop ends the node and waits for every run that it started.
	stop func()
}

func newExchange(t *testing.T, names ...string) *exchange {
	m := &exchange{
		t: t, entries: make(map[string]endpoint.Entry), runs: make(map[string]int),
		hold: make(map[string]chan struct{}), started: make(chan string, 64),
	}
	for i, name := range names {
		n := m.startNode(name, uint64(i))
		// The handlers of the nodes before look at the view already.
		m.mu.Lock()
		m.nodes = append(m.nodes, n)
		m.mu.Unlock()
	}
	for _, n := range m.nodes {
		n.update(func(e *endpoint.Entry) { e.State = endpoint.Alive })
		assert.NilError(t, n.keys.Join(t.Context()))
	}
	return m
}

func (m *exchange) startNode(name string, seed uint64) *exchangeNode {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(m.t, err)
	target := httptest.NewServer(http.HandlerFunc(m.serveTarget))
	limits := peer.DefaultLimits()
	limits.PingInterval, limits.SilenceTimeout = 50*time.Millisecond, 250*time.Millisecond
	credential := peer.Credential{Cluster: "test", Secret: []byte("0123456789abcdef")}
	n := &exchangeNode{
		mesh: m, name: name,
		link: newLink(m.t, listener.Addr().String()),
		pool: peer.NewPool(credential, limits),
	}
	m.mu.Lock()
	m.entries[name] = endpoint.Entry{
		Node: name, Key: endpoint.Key{Incarnation: 1, Revision: 1}, Address: n.link.address,
		FailureDomain: "quimper", Region: "bretagne", Service: exchangeService, Slots: 18,
		TargetAddress: target.Listener.Addr().String(),
	}
	m.mu.Unlock()
	n.build(seed, target.Listener.Addr().String())
	r := rpc.NewServer()
	assert.NilError(m.t, r.RegisterName(wire.ServiceNode, n.exec.Receiver()))
	assert.NilError(m.t, r.RegisterName(wire.ServiceOwnership, n.keys.Receiver()))
	server := peer.NewServer(r, credential, limits)
	go server.Serve(listener)
	n.stop = sync.OnceFunc(func() {
		n.link.release()
		n.handler.Shutdown(context.Background())
		listener.Close()
		n.keys.Close()
		n.pool.Close()
		server.Close()
		n.exec.WaitIdle(context.Background())
		n.exec.Close()
		target.Close()
	})
	m.t.Cleanup(n.stop)
	return n
}

func (n *exchangeNode) build(seed uint64, target string) {
	settings := ownership.DefaultSettings(n.name)
	settings.RetryInterval = 10 * time.Millisecond
	n.keys = ownership.New(settings, ownership.Deps{
		View:         func() *view.View { return n.mesh.view(nil) },
		ContactAge:   func() time.Duration { return 0 },
		UpdateSelf:   n.update,
		Call:         n.pool.Call,
		Now:          time.Now,
		MergeEntries: func([]endpoint.Entry) {},
		SeenBefore:   func(context.Context) (bool, error) { return false, nil },
	})
	var err error
	n.exec, err = execute.New(execute.Settings{
		Node: n.name, Workers: 64,
		Admission: admission.Settings{Slots: 18, Queue: 36, ExclusiveQueue: 4, ExclusiveWait: time.Second},
		Suspects:  suspect.Limits{CrashLimit: 2, TTL: time.Minute, Max: 16, TrialAfter: time.Minute},
		Client: httpclient.Limits{
			DialTimeout: time.Second, ConnectionsPerHost: 32, IdleTimeout: time.Minute, BodyMaxBytes: 1 << 20,
		},
	}, execute.Dependencies{
		View: func() *view.View { return n.mesh.view(nil) }, Keys: keyAdapter{n.keys}, UpdateSelf: n.update,
		Log: &log.Logger{Handler: discard.New()},
	})
	assert.NilError(n.mesh.t, err)
	n.exec.SetTarget(execute.Target{
		Service: exchangeService, Address: target, Slots: 18, Start: "1",
	})
	n.buildIngress(seed)
}

func (n *exchangeNode) buildIngress(seed uint64) {
	in := ingress.DefaultSettings()
	in.Node = n.name
	in.Locality.FailureDomain, in.Locality.Region = "quimper", "bretagne"
	in.Budget.FloorPerSecond, in.Budget.TokensMax = 1000, 1000
	random := rand.New(rand.NewPCG(seed, 7))
	var mu sync.Mutex
	var err error
	n.handler, err = ingress.New(in, ingress.Dependencies{
		View: func() *view.View { return n.mesh.view(n.hidden.Load()) }, Call: n.pool.Call, Local: n.exec.Execute,
		Resolver: resolver{n.keys}, FirstAttemptID: 1000,
		Random: func() uint64 {
			mu.Lock()
			defer mu.Unlock()
			return random.Uint64()
		},
	})
	assert.NilError(n.mesh.t, err)
}

// update changes the entry of the node in the view of all nodes.
func (n *exchangeNode) update(change func(*endpoint.Entry)) {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	e := n.mesh.entries[n.name]
	change(&e)
	e.Revision++
	n.mesh.entries[n.name] = e
}

// view returns the view of the mesh without one node.
func (m *exchange) view(hidden *string) *view.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := &view.View{
		Ready: true,
		Content: &config.Content{
			Services: []config.Service{{Name: exchangeService}},
			Routes: []config.Route{{
				Name: "all", Caller: config.AnyCaller, PathPrefix: "/",
				Destinations: []config.Destination{{Service: exchangeService, Weight: 1}},
			}},
		},
		ByService: make(map[string][]*endpoint.Entry),
		Nodes:     make(map[string]*endpoint.Entry),
	}
	for _, n := range m.nodes {
		if e, known := m.entries[n.name]; known && (hidden == nil || n.name != *hidden) {
			v.ByService[exchangeService] = append(v.ByService[exchangeService], &e)
			v.Nodes[e.Node] = &e
		}
	}
	return v
}

// serveTarget counts a run and answers with what only this request can expect.
func (m *exchange) serveTarget(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	m.mu.Lock()
	m.runs[r.URL.Path]++
	hold := m.hold[r.URL.Path]
	m.mu.Unlock()
	if hold != nil {
		m.started <- r.URL.Path
		<-hold
	}
	fmt.Fprint(w, answerTo(r.Method, r.URL.Path, string(body)))
}

// answerTo returns an answer that is long enough to be cut.
func answerTo(method, path, body string) string {
	return strings.Repeat(method+" "+path+" "+body+"\n", 50)
}

func (m *exchange) ran(path string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[path]
}
