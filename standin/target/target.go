// Package target is a stand-in for a target application. It announces itself to the node beside it, answers
// requests, and keeps a record of every request that it ran.
package target

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// HeaderRequestID names the request in the target's record.
const HeaderRequestID = "X-Request-Id"

// CrashPath is the path whose requests end the process.
const CrashPath = "/crash"

// Options configure a target.
type Options struct {
	Name    string
	Service string
	// Announce is the base URL of the node's announce listener.
	Announce string
	Labels   map[string]string
	Slots    int
	// Latency is the time that a request takes.
	Latency time.Duration
	// RenewInterval is the interval between two announcements.
	RenewInterval time.Duration
}

// Answer is the body of every answer. Its padding depends on the request id, so a caller can tell a cut or foreign
// answer from its own.
type Answer struct {
	RequestID string `json:"request_id"`
	Target    string `json:"target"`
	BodyHash  string `json:"body_hash"`
	Padding   string `json:"padding"`
}

// Padding returns the padding of the answer to a request: 64 to 16384 characters.
func Padding(requestID string) string {
	sum := sha256.Sum256([]byte(requestID))
	repeat := 1 + int(sum[0])
	return fmt.Sprintf("%0*x", 64*repeat, sum[:])[:64*repeat]
}

// Hash returns the hash of a request body as it appears in the answer.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Target is a running target.
type Target struct {
	options Options
	address string
	hertz   *server.Hertz

	mu   sync.Mutex
	runs map[string]int
	busy atomic.Int64
}

// New returns a target that serves on the listener.
func New(l net.Listener, options Options) *Target {
	t := &Target{options: options, address: l.Addr().String(), runs: make(map[string]int)}
	t.hertz = server.New(
		server.WithListener(l),
		server.WithTransport(standard.NewTransporter),
		server.WithExitWaitTime(time.Second),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
	)
	t.hertz.GET("/_records", t.records)
	t.hertz.GET("/_health", func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(consts.StatusOK) })
	t.hertz.GET("/_load", t.load)
	t.hertz.NoRoute(t.run)
	return t
}

// Run serves until the listener is closed.
func (t *Target) Run() error { return t.hertz.Run() }

// run executes one request and records it before it answers.
func (t *Target) run(ctx context.Context, c *app.RequestContext) {
	id := string(c.GetHeader(HeaderRequestID))
	t.busy.Add(1)
	defer t.busy.Add(-1)
	t.mu.Lock()
	t.runs[id]++
	t.mu.Unlock()
	if string(c.Path()) == CrashPath {
		os.Exit(3)
	}
	select {
	case <-time.After(t.options.Latency):
	case <-ctx.Done():
		return
	}
	c.JSON(consts.StatusOK, Answer{
		RequestID: id,
		Target:    t.options.Name,
		BodyHash:  Hash(c.Request.Body()),
		Padding:   Padding(id),
	})
}

// records answers the number of runs by request id.
func (t *Target) records(_ context.Context, c *app.RequestContext) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.JSON(consts.StatusOK, t.runs)
}

func (t *Target) load(_ context.Context, c *app.RequestContext) {
	c.JSON(consts.StatusOK, map[string]int64{"busy": t.busy.Load()})
}

// announcement is the body of an announcement to the node.
type announcement struct {
	Service    string            `json:"service"`
	Address    string            `json:"address"`
	Slots      int               `json:"slots"`
	Labels     map[string]string `json:"labels,omitempty"`
	HealthPath string            `json:"health_path"`
	LoadPath   string            `json:"load_path"`
	Start      string            `json:"start"`
}

func (t *Target) announcement() ([]byte, error) {
	return json.Marshal(announcement{
		Service:    t.options.Service,
		Address:    t.address,
		Slots:      t.options.Slots,
		Labels:     t.options.Labels,
		HealthPath: "/_health",
		LoadPath:   "/_load",
		Start:      start,
	})
}

// start tells the node that a target which announces itself again is another process.
var start = time.Now().UTC().Format(time.RFC3339Nano)
