package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two reports: about the platform's heartbeat-s, which is 1.5.
const heartbeat = 1600 * time.Millisecond

// run is a request that a backend began to work on.
type run struct {
	id, tenant, authorization string
	at                        time.Time
}

// backend is the application beside a node.
type backend struct {
	id, address string
	m           *machine
	slots       int
	queue       int
	work        time.Duration
	born        int64
	server      *http.Server
	listener    net.Listener
	ctx         context.Context
	stop        context.CancelFunc
	waiting     atomic.Int64
	slot        chan struct{}

	mu       sync.Mutex
	sequence int
	// delay is how late reports arrive; leaving is true once the backend has said that it leaves.
	delay   time.Duration
	leaving bool
	// reported is when the last report was sent.
	reported time.Time
	runs     []run
}

func newBackend(m *machine, id string) (*backend, error) {
	l, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: id, address: l.Addr().String(), m: m, slots: 18, queue: 72, work: 50 * time.Millisecond, listener: l,
	}
	b.ctx, b.stop = context.WithCancel(context.Background())
	return b, nil
}

// start serves requests and reports to the node.
func (b *backend) start() {
	b.born = time.Now().UnixMilli()
	b.slot = make(chan struct{}, b.slots)
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go b.server.Serve(b.listener)
	go b.beat()
}

func (b *backend) close() {
	b.stop()
	if b.server != nil {
		b.server.Close()
	}
}

func (b *backend) beat() {
	for b.ctx.Err() == nil {
		// An acknowledged report is followed by the next after the usual time, one without after a second.
		pause := time.Second
		if b.report() {
			pause = heartbeat
		}
		select {
		case <-time.After(pause):
		case <-b.ctx.Done():
		}
		b.mu.Lock()
		leaving := b.leaving
		b.mu.Unlock()
		if leaving {
			return
		}
	}
}

// report sends one liveness report and returns whether it was acknowledged. A late one counts as acknowledged.
func (b *backend) report() bool {
	b.mu.Lock()
	b.sequence++
	b.reported = time.Now()
	body, _ := json.Marshal(map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.m.service, "version": "v1", "zone": b.m.zone, "slots": b.slots},
		"status": map[string]any{"state": "ready", "sequence": b.sequence, "cold-left-s": 0},
	})
	delay := b.delay
	b.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { b.tell(http.MethodPut, body) })
		return true
	}
	return b.tell(http.MethodPut, body)
}

// leave sends the notice that the backend leaves, and returns whether it was acknowledged. The backend serves on.
func (b *backend) leave() bool {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	return b.tell(http.MethodDelete, fmt.Appendf(nil, `{"born":%d}`, b.born))
}

// tell calls the node beside the backend.
func (b *backend) tell(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(b.ctx, time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+b.m.control+"/instances/"+b.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// ServeHTTP runs a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", b.id)
		b.mu.Lock()
		leaving := b.leaving
		b.mu.Unlock()
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		w.Header().Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if b.waiting.Add(1) > int64(b.slots+b.queue) {
		b.waiting.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.waiting.Add(-1)
	left, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		left = 10000
	}
	over := time.After(time.Duration(left) * time.Millisecond)
	select {
	case b.slot <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-over:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slot }()
	b.mu.Lock()
	b.runs = append(b.runs, run{id: id, tenant: r.Header.Get("Tenant"), authorization: r.Header.Get("Authorization"), at: time.Now()})
	b.mu.Unlock()
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	case <-over:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Response-Signature", "sig-"+id)
	fmt.Fprintf(w, "answer to %s\n", id)
}

func (b *backend) allRuns() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}

// lastReport returns when the last report was sent.
func (b *backend) lastReport() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reported
}
