package operator

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

// Faults of an append.
var (
	errDown       = errors.New("log is down")
	errAnswerLost = errors.New("answer was lost")
)

// fakeLog stores records in memory. After its fault is set, appends fail with it; the record of a lost answer is
// stored.
type fakeLog struct {
	mu      sync.Mutex
	records []config.Record
	fault   error
	// appended is called after each record; nil for no call.
	appended func()
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault == errDown {
		return 0, l.fault
	}
	if l.appended != nil {
		defer l.appended()
	}
	offset := uint64(len(l.records) + 1)
	l.records = append(l.records, config.Record{Offset: offset, TimeMS: 1000, Data: data})
	return offset, l.fault
}

func (l *fakeLog) setFault(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = err
}

func (l *fakeLog) read(from uint64) []config.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[from:]
}

// fakeControl folds the records of the log whenever it is asked, unless it is held back.
type fakeControl struct {
	log   *fakeLog
	mu    sync.Mutex
	state *config.State
	held  bool
	nodes map[string]*endpoint.Entry
}

func (c *fakeControl) State() *config.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.held {
		for _, r := range c.log.read(c.state.Offset()) {
			c.state, _ = c.state.Apply(r)
		}
	}
	return c.state
}

func (c *fakeControl) View() *view.View {
	s := c.State()
	return &view.View{Version: s.Version(), Offset: s.Offset(), Content: s.Content(), Nodes: c.nodes}
}

func (c *fakeControl) WaitOffset(ctx context.Context, offset uint64) error {
	for c.State().Offset() < offset {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}

func (c *fakeControl) hold(held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = held
}

// fakeCaller answers calls to other nodes; an address without an answer is unreachable.
type fakeCaller map[string]any

func (c fakeCaller) Call(_ context.Context, address, method string, _, reply any) error {
	switch answer := c[address+" "+method].(type) {
	case wire.StatusReply:
		*reply.(*wire.StatusReply) = answer
	case wire.DrainReply:
		*reply.(*wire.DrainReply) = answer
	case wire.DumpReply:
		*reply.(*wire.DumpReply) = answer
	default:
		return errors.New("connection refused")
	}
	return nil
}

// node is a server on loopback with its clients.
type node struct {
	pb.ConfigServiceClient
	pb.MeshServiceClient
	control *fakeControl
}

// startNode serves one node that folds the log, on a real connection.
func startNode(t *testing.T, l *fakeLog, change ...func(*Settings, *Deps)) *node {
	t.Helper()
	control := &fakeControl{log: l, state: config.New()}
	settings := Settings{
		Node: "n1", AppendTimeout: time.Minute, VerdictTimeout: time.Minute, CallTimeout: time.Minute, ParallelCalls: 4,
	}
	deps := Deps{
		Control: control, Log: l, Caller: fakeCaller{},
		NotAppended: func(err error) bool { return errors.Is(err, errDown) },
		Drain:       func(bool) (string, error) { return "draining", nil },
		Dump:        func() ([]byte, error) { return []byte(`{"own":1}`), nil },
	}
	for _, f := range change {
		f(&settings, &deps)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g := grpc.NewServer()
	New(settings, deps).Register(g)
	go func() { _ = g.Serve(listener) }()
	t.Cleanup(g.Stop)
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &node{pb.NewConfigServiceClient(conn), pb.NewMeshServiceClient(conn), control}
}

// detail returns the typed detail of an error.
func detail[T any](t *testing.T, err error) T {
	t.Helper()
	for _, d := range status.Convert(err).Details() {
		if typed, ok := d.(T); ok {
			return typed
		}
	}
	var none T
	t.Fatalf("no %T in error %v", none, err)
	return none
}

func options(id string, base uint64) *pb.ChangeOptions {
	return &pb.ChangeOptions{ChangeId: id, BaseVersion: base, Operator: "op-" + id}
}

func (n *node) putService(id string, base uint64, name string) (*pb.ChangeResponse, error) {
	return n.PutService(context.Background(), &pb.PutServiceRequest{
		Service: &pb.Service{Name: name}, Options: options(id, base),
	})
}

func (n *node) putRoute(id, name, service string) (*pb.ChangeResponse, error) {
	return n.PutRoute(context.Background(), &pb.PutRouteRequest{Options: options(id, 0), Route: &pb.Route{
		Name: name, Caller: "*", PathPrefix: "/" + name, Destinations: []*pb.Destination{{Service: service, Weight: 1}},
	}})
}

func (n *node) publish(id string, base uint64, names ...string) (*pb.ChangeResponse, error) {
	content := &pb.Content{}
	for _, name := range names {
		content.Services = append(content.Services, &pb.Service{Name: name})
	}
	return n.Publish(context.Background(), &pb.PublishRequest{Content: content, Options: options(id, base)})
}
