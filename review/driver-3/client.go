package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// record is record.txt of a case.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	out, err := os.Create(path)
	return &record{out: out, began: time.Now()}, err
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// say writes a line to the record and to the output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// reply is what a client got.
type reply struct {
	status    int
	err       error
	id        string
	signature string
	body      string
	took      time.Duration
}

// whole reports whether a reply is the backend's whole answer.
func (r *reply) whole(id string) bool {
	return r.err == nil && r.status == http.StatusOK && r.id == id && r.signature == "sig-"+id && r.body == "answer to "+id+"\n"
}

// request sends one request on a new connection and waits for the answer.
func (m *machine) request(method, host, path, id string, deadline time.Duration, body string, headers ...string) (out reply) {
	began := time.Now()
	defer func() { out.took = time.Since(began) }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	conn, err := m.dialFrom(ctx)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	conn.SetDeadline(began.Add(deadline))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	for _, h := range headers {
		head.WriteString(h + "\r\n")
	}
	if body != "" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n" + body)
	if _, err := io.WriteString(conn, head.String()); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode, err: err, id: resp.Header.Get("Request-Id"), signature: resp.Header.Get("Response-Signature"), body: string(data),
	}
}
