package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/server/daemon/logging"
	"wagtailford.example/server/daemon/settings"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/platformlog"
)

func TestMain(m *testing.M) {
	logging.Setup(discard.Default, log.InfoLevel)
	hlog.SetLevel(hlog.LevelFatal)
	os.Exit(m.Run())
}

// limit is how long a condition may take before a test gives up on it.
const limit = 60 * time.Second

// fakeLog is a log service in memory.
type fakeLog struct {
	*httptest.Server
	down atomic.Bool
	// gate holds changes back while it is locked; waiting counts those that are held.
	gate    sync.RWMutex
	waiting atomic.Int32
	mu      sync.Mutex
	streams map[string][]map[string]any
}

func startLog(t *testing.T) *fakeLog {
	l := &fakeLog{streams: make(map[string][]map[string]any)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{s}/records", l.append)
	mux.HandleFunc("GET /v1/streams/{s}/records", l.read)
	l.Server = httptest.NewServer(mux)
	t.Cleanup(func() {
		l.CloseClientConnections()
		l.Close()
	})
	return l
}

func (l *fakeLog) holdAppends() { l.gate.Lock() }

func (l *fakeLog) releaseAppends() { l.gate.Unlock() }

func (l *fakeLog) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if r.PathValue("s") == platformlog.StreamConfig {
		l.waiting.Add(1)
		l.gate.RLock()
		l.waiting.Add(-1)
		l.gate.RUnlock()
	}
	if l.down.Load() || err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := r.PathValue("s")
	offset := len(l.streams[stream]) + 1
	l.streams[stream] = append(l.streams[stream], map[string]any{"offset": offset, "time_ms": time.Now().UnixMilli(), "data": data})
	fmt.Fprintf(w, `{"offset":%d}`, offset)
}

func (l *fakeLog) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	for {
		l.mu.Lock()
		records := l.streams[r.PathValue("s")]
		l.mu.Unlock()
		if l.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(records) >= from || time.Now().After(end) || r.Context().Err() != nil {
			answer := map[string]any{"first": 1, "next": len(records) + 1, "records": records[min(max(from, 1)-1, len(records)):]}
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// fakeTarget answers with the path, and holds requests for /hold until it is released.
type fakeTarget struct {
	*httptest.Server
	held    atomic.Int32
	release chan struct{}
}

func (f *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/hold") {
		f.held.Add(1)
		<-f.release
	}
	fmt.Fprint(w, "served ", r.URL.Path)
}

// startTarget announces a target of service a at the node until the end of the test.
func startTarget(t *testing.T, n *testNode) *fakeTarget {
	f := &fakeTarget{release: make(chan struct{})}
	f.Server = httptest.NewServer(f)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		f.CloseClientConnections()
		f.Close()
	})
	body := fmt.Sprintf(`{"service":"a","address":%q,"start":"1"}`, f.Listener.Addr())
	go func() {
		for ctx.Err() == nil {
			r, _ := http.NewRequest(http.MethodPut, "http://"+n.settings.Listen.Announce+"/v1/target", strings.NewReader(body))
			if answer, err := http.DefaultClient.Do(r); err == nil {
				answer.Body.Close()
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return f
}

// addresses counts the loopback addresses in use; each node gets one of its own.
var addresses atomic.Uint32

// nodeSettings returns the text of a settings file for a node on a loopback address of its own.
func nodeSettings(l *fakeLog, name string, seeds ...string) string {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 200+os.Getpid()/250%50, addresses.Add(1))
	return fmt.Sprintf(`[node]
name = %s
cluster = c
region = r
failure_domain = d
seeds = %s
shutdown_timeout = 5m
[listen]
peer = %[3]s:6410
ingress = %[3]s:6411
announce = %[3]s:6412
admin = %[3]s:6413
operator = %[3]s:6414
[log]
url = %[4]s
poll_wait = 200ms
retry_max = 200ms
[fanout]
reconnect_jitter = 50ms
[limits]
idle_timeout = 1h
[security]
cluster_credential = 0123456789abcdef
`, name, strings.Join(seeds, ","), ip, l.URL)
}

// testNode is a running daemon.
type testNode struct {
	*Daemon
	stop  func()
	ended chan error
}

func startNode(t *testing.T, text string) *testNode {
	t.Helper()
	s, err := settings.Parse("test", []byte(text))
	assert.NilError(t, err)
	d, err := New(s)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n := &testNode{Daemon: d, stop: cancel, ended: make(chan error, 1)}
	go func() { n.ended <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		n.waitEnd(t)
	})
	return n
}

// waitEnd waits until the daemon has stopped and returns its error.
func (n *testNode) waitEnd(t *testing.T) error {
	t.Helper()
	select {
	case err := <-n.ended:
		n.ended <- err
		return err
	case <-time.After(limit):
		t.Fatalf("node %s did not stop", n.settings.Node.Name)
		return nil
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// answer is an HTTP answer that was read to its end.
type answer struct {
	status        int
	outcome, body string
	err           error
}

func get(client *http.Client, url string) answer {
	response, err := client.Get(url)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header.Get(outcome.HeaderOutcome), string(body), err}
}

func (n *testNode) ingressURL(path string) string {
	return "http://" + n.settings.Listen.Ingress + path
}

func (n *testNode) adminURL(path string) string { return "http://" + n.settings.Listen.Admin + path }

func (n *testNode) dial(t *testing.T, c credentials.TransportCredentials) *grpc.ClientConn {
	t.Helper()
	if c == nil {
		c = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient(n.settings.Listen.Operator, grpc.WithTransportCredentials(c))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// publish makes a route to service a for every path the accepted configuration.
func (n *testNode) publish(t *testing.T) {
	t.Helper()
	eventually(t, n.settings.Node.Name+" is ready", func() bool { return n.control.View().Ready })
	publishTo(t, n.dial(t, nil))
}

func publishTo(t *testing.T, conn *grpc.ClientConn) {
	t.Helper()
	_, err := pb.NewConfigServiceClient(conn).Publish(context.Background(), &pb.PublishRequest{Content: &pb.Content{
		Services: []*pb.Service{{Name: "a"}},
		Routes: []*pb.Route{{
			Name: "a", Caller: "*", PathPrefix: "/", TimeoutMs: 600_000,
			Destinations: []*pb.Destination{{Service: "a", Weight: 1}},
		}},
	}})
	assert.NilError(t, err)
}

// served waits until the node answers requests.
func (n *testNode) served(t *testing.T) {
	t.Helper()
	eventually(t, n.settings.Node.Name+" serves", func() bool { return get(http.DefaultClient, n.ingressURL("/x")).status == 200 })
}

func listening(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
