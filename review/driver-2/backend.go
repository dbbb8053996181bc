package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request as a backend saw it.
type arrival struct {
	at                       time.Time
	id, caller, method, path string
	body                     int
	// ran is false if the backend rejected the request.
	ran bool
}

// backend is one start of an application instance.
type backend struct {
	id, service, zone string
	node              *node
	listener          net.Listener
	born              int64
	// respond may replace the response to a request that the backend runs.
	respond func(a arrival) string
	// begins is called when the instance begins to run a request; if it returns false, the connection ends without an answer. It
	// may be nil.
	begins func(a arrival) bool
	// atWork is the number of requests that the instance runs.
	atWork atomic.Int64

	mu       sync.Mutex
	arrivals []arrival
	conns    map[net.Conn]bool
	sequence int
	leaving  bool
	stopped  chan struct{}
}

// newBackend starts an instance beside a node. It reports nothing yet.
func (b *bench) newBackend(id, zone string, n *node) *backend {
	s := &backend{
		id: id, service: n.service, zone: zone, node: n, born: time.Now().UnixMilli(),
		listener: b.listen(n.ip + ":" + portBackend), conns: make(map[net.Conn]bool), stopped: make(chan struct{}),
	}
	b.note("backend %s of service %s started at %s, born %d", id, s.service, s.listener.Addr(), s.born)
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return s
}

// crash ends the instance without a word.
func (s *backend) crash() {
	s.node.bench.note("backend %s, born %d, crashes", s.id, s.born)
	close(s.stopped)
	s.end()
}

// exit ends an instance that has left.
func (s *backend) exit() {
	s.node.bench.note("backend %s, born %d, exits with %d requests at work", s.id, s.born, s.atWork.Load())
	s.end()
}

func (s *backend) end() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

func (s *backend) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		response := s.answer(request, len(body))
		if response == "" {
			return
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

// backendWork is how long a request takes.
const backendWork = 50 * time.Millisecond

// answer returns the response to a request; empty if there is none.
func (s *backend) answer(r *http.Request, body int) string {
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/healthz" {
		status := "200 OK"
		if s.isLeaving() {
			status = "503 Service Unavailable"
		}
		return "HTTP/1.1 " + status + "\r\nInstance-Id: " + s.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	a := arrival{
		at: time.Now(), id: id, caller: strings.Join(r.Header["Caller-Service"], ","), method: r.Method, path: r.RequestURI, body: body,
		ran: r.Header.Get("Expect-Instance") == s.id,
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	if !a.ran {
		return "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id + "\r\nInstance-Id: " + s.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	if s.begins != nil && !s.begins(a) {
		return ""
	}
	s.atWork.Add(1)
	defer s.atWork.Add(-1)
	time.Sleep(backendWork)
	if s.respond != nil {
		return s.respond(a)
	}
	text := "done by " + s.id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, s.id, id, len(text), text)
}

func (s *backend) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// seen returns the requests that have reached the instance.
func (s *backend) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// nextReport returns the next liveness report.
func (s *backend) nextReport() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	report, _ := json.Marshal(map[string]any{
		"address": s.listener.Addr().String(), "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": 18},
		"status": map[string]any{"state": "ready", "sequence": s.sequence, "cold-left-s": 0},
	})
	return report
}

// heartbeat is the time between two reports.
const heartbeat = 1500 * time.Millisecond

// report sends reports until the instance ends. Each arrives late by what delay returns for its number, counted from 1; the
// instance itself waits a second for the confirmation, as the pages say.
func (s *backend) report(delay func(number int) time.Duration) {
	go func() {
		for number := 1; ; number++ {
			late, body := delay(number), s.nextReport()
			if late > 0 {
				time.AfterFunc(late, func() { s.deliver(body, late) })
			} else {
				s.deliver(body, 0)
			}
			select {
			case <-s.stopped:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
}

func inTime(int) time.Duration { return 0 }

// deliver brings a report to the node.
func (s *backend) deliver(body []byte, late time.Duration) {
	status := call(http.MethodPut, s.node.control(), s.id, body)
	s.node.bench.note("report of %s, late by %v: %s: answered %d", s.id, late, body, status)
}

// leave sends DELETE, as a backend does that never reports draining. It serves on and reports no more.
func (s *backend) leave() (acknowledged bool) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	close(s.stopped)
	body := fmt.Appendf(nil, `{"born":%d}`, s.born)
	status := call(http.MethodDelete, s.node.control(), s.id, body)
	s.node.bench.note("DELETE of %s: %s: answered %d", s.id, body, status)
	return status/100 == 2
}

// call makes a call of a backend to the node beside it; 0 means that there was no answer.
func call(method, address, id string, body []byte) int {
	request, err := http.NewRequest(method, "http://"+address+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(request)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
