package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that reached a backend.
type run struct {
	id, path, caller string
	at               time.Time
}

// backend is an application instance as the pages describe it. It reports to the node beside it.
type backend struct {
	node     *node
	instance string
	born     int64
	server   *http.Server
	stop     context.CancelFunc
	slots    chan struct{}

	mu       sync.Mutex
	sequence int
	leaving  bool
	// late is how late reports arrive, onTime the time of the last one that was not late.
	late   time.Duration
	onTime time.Time
	// work is how long a request takes, if it is not the usual time.
	work time.Duration
	// refuses makes it answer requests with a failure of its own.
	refuses int
	// crashes is called when a request comes that crashes it.
	crashes func(b *backend)
	runs    []run
}

const (
	backendSlots = 18
	// usualWork is how long other requests take.
	usualWork = 20 * time.Millisecond
	// pageWork is how long a request for a page takes.
	pageWork = 150 * time.Millisecond
)

// startBackend starts the backend of a machine.
func (n *node) startBackend(instance string) (*backend, error) {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", n.appAddr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &backend{node: n, instance: instance, born: time.Now().UnixMilli(), stop: cancel, slots: make(chan struct{}, backendSlots)}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	go b.beat(ctx)
	n.world.mu.Lock()
	n.world.backend = append(n.world.backend, b)
	n.world.mu.Unlock()
	n.world.note("%s: backend %s of %s starts at %s", n.name, instance, n.service, n.appAddr)
	return b, nil
}

// crash ends the backend at once, like the end of its process.
func (b *backend) crash() {
	b.stop()
	b.server.Close()
}

func (b *backend) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		b.report()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// report sends one liveness report and returns the status of its answer; if reports are late, it arrives that much later.
func (b *backend) report() (status int) {
	b.mu.Lock()
	b.sequence++
	sequence, late := b.sequence, b.late
	state := "ready"
	if b.leaving {
		state = "draining"
	}
	if late == 0 {
		b.onTime = time.Now()
	}
	b.mu.Unlock()
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"cold-left-s":0}}`,
		b.node.appAddr, b.born, b.node.service, b.node.zone, backendSlots, state, sequence)
	if late == 0 {
		return b.put(sequence, body)
	}
	b.node.world.note("%s: backend %s sends report %d, which is held for %v", b.node.name, b.instance, sequence, late)
	time.AfterFunc(late, func() { b.put(sequence, body) })
	return 0
}

func (b *backend) put(sequence int, body string) int {
	status := b.node.callControl(http.MethodPut, b.instance, body)
	b.node.world.note("%s: report %d of %s arrives; status %d", b.node.name, sequence, b.instance, status)
	return status
}

// lastOnTime returns the time of the last report that was not late.
func (b *backend) lastOnTime() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.onTime
}

// callControl makes one call to the control address of a machine; 0 if there is no answer within a second.
func (n *node) callControl(method, instance, body string) int {
	req, err := http.NewRequest(method, "http://"+n.control+"/instances/"+instance, strings.NewReader(body))
	if err != nil {
		panic(err) // The URL is well formed.
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// ServeHTTP answers a health probe or runs a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	b.mu.Lock()
	leaving, refuses, crashes, work := b.leaving, b.refuses, b.crashes, b.work
	b.mu.Unlock()
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", b.instance)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.instance {
		w.Header().Set("Instance-Id", b.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.mu.Lock()
	b.runs = append(b.runs, run{id: id, path: r.RequestURI, caller: r.Header.Get("Caller-Service"), at: time.Now()})
	b.mu.Unlock()
	b.node.world.note("%s: backend %s runs %s %s %s, Caller-Service %q, Deadline-Ms %s", b.node.name, b.instance, id, r.Method,
		r.RequestURI, r.Header.Get("Caller-Service"), r.Header.Get("Deadline-Ms"))
	if crashes != nil && strings.Contains(r.URL.Path, "/crash") {
		time.Sleep(50 * time.Millisecond)
		crashes(b)
		return
	}
	if work == 0 {
		work = usualWork
	}
	if strings.HasPrefix(r.URL.Path, "/page/") {
		work = pageWork
	}
	time.Sleep(work)
	text := "answer to " + id + " " + strconv.Itoa(len(body)) + "\n"
	w.Header().Set("Response-Signature", "sig-"+id)
	if refuses != 0 {
		w.WriteHeader(refuses)
	}
	_, _ = io.WriteString(w, text)
}

// allRuns returns what the backend ran so far.
func (b *backend) allRuns() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}
