package bench

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wagtailford.example/server/coordination/pause"
	"wagtailford.example/standin/fleet"
	"wagtailford.example/standin/target"
)

// Capacity of a worker: what runs at a time and how long each request takes.
const (
	workerSlots   = 18
	workerService = 20 * time.Millisecond
)

// worker is a target in the process of the benchmark that runs a limited number of requests at a time. More wait in
// order of arrival, as in an application with a fixed number of threads. It accepts cancellation.
type worker struct {
	plan    fleet.Plan
	service atomic.Int64
	// warmup is the number of runs for which a request takes coldFactor times as long.
	warmup  atomic.Int64
	slots   chan struct{}
	started atomic.Int64
	server  *http.Server
	stopped chan struct{}
	once    sync.Once
}

// coldFactor is how much longer a request takes at a target that is not warm.
const coldFactor = 10

// startWorker serves at the target address of a node and announces a number of slots to it until the benchmark ends.
func startWorker(b *testing.B, f *fleet.Fleet, p fleet.Plan, announced int, service time.Duration) *worker {
	b.Helper()
	l, err := net.Listen("tcp", p.Address(fleet.TargetPort))
	if err != nil {
		b.Fatal(err)
	}
	w := &worker{plan: p, slots: make(chan struct{}, workerSlots), stopped: make(chan struct{})}
	w.service.Store(int64(service))
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.announce(f, announced)
	b.Cleanup(w.kill)
	return w
}

// kill closes the listener and every connection, as the end of the process would.
func (w *worker) kill() {
	w.once.Do(func() {
		close(w.stopped)
		w.server.Close()
	})
}

// announce renews the announcement until the worker is killed.
func (w *worker) announce(f *fleet.Fleet, slots int) {
	const renew = 500 * time.Millisecond
	body := fmt.Sprintf(`{"service":%q,"address":%q,"slots":%d,"start":%q}`,
		w.plan.Service, w.plan.Address(fleet.TargetPort), slots, time.Now().UTC().Format(time.RFC3339Nano))
	headers := map[string]string{"Content-Type": "application/json"}
	for {
		_, _ = f.HTTP.Do("PUT", w.plan.URL(fleet.AnnouncePort)+"/v1/target", headers, []byte(body))
		select {
		case <-w.stopped:
			return
		case <-time.After(renew):
		}
	}
}

// ServeHTTP runs one request.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	ctx := r.Context()
	select {
	case w.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-w.slots }()
	if r.Header.Get(target.HeaderRequestID) != "" {
		w.started.Add(1)
	}
	if !pause.For(ctx, w.serviceTime()) {
		return
	}
	out.WriteHeader(http.StatusOK)
	_, _ = out.Write([]byte("done"))
}

func (w *worker) serviceTime() time.Duration {
	service := time.Duration(w.service.Load())
	if w.warmup.Add(-1) >= 0 {
		return coldFactor * service
	}
	return service
}
