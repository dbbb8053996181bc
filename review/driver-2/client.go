package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// answer is what a client got.
type answer struct {
	status    int
	signature string
	body      []byte
	err       error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the head of a request; fields are further lines, each with its end.
func head(method, path, id, fields string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 2500\r\n" + fields + "\r\n"
}

// send writes a request on a new connection and reads the answers to it.
func send(address, request string, answers int) []answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return []answer{{err: err}}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		return []answer{{err: err}}
	}
	var list []answer
	for r := bufio.NewReader(conn); len(list) < answers; {
		a := readAnswer(r)
		list = append(list, a)
		if a.err != nil {
			break
		}
	}
	return list
}

func readAnswer(r *bufio.Reader) answer {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, signature: resp.Header.Get("Response-Signature"), body: body, err: err}
}

// load is ordinary traffic: clients that send a request after each answer and a pause.
type load struct {
	mu sync.Mutex
	// sent are the times at which requests were sent, by id.
	sent map[string]time.Time
	// outcomes counts the requests by status, or by what happened in place of an answer.
	outcomes map[string]int
	stop     chan struct{}
	clients  sync.WaitGroup
}

// outcomeOf names what a client got.
func outcomeOf(a answer) string {
	var timeout net.Error
	switch {
	case a.err == nil:
		return fmt.Sprint(a.status)
	case errors.As(a.err, &timeout) && timeout.Timeout():
		return "timeout"
	case errors.Is(a.err, syscall.ECONNREFUSED):
		return "connection refused"
	}
	return "connection closed"
}

// startLoad sends requests to a route through some nodes, each on a new connection. One that got no answer is tried once more,
// as a client of the site does.
func startLoad(method, prefix string, clients int, pause time.Duration, nodes ...*node) *load {
	l := &load{sent: make(map[string]time.Time), outcomes: make(map[string]int), stop: make(chan struct{})}
	fields := ""
	if method == http.MethodPost {
		fields = "Content-Length: 5\r\n"
	}
	for i := range clients {
		n := nodes[i%len(nodes)]
		l.clients.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				case <-time.After(pause):
				}
				a := l.try(n, method, prefix, fields)
				if a.err != nil {
					a = l.try(n, method, prefix, fields)
				}
				l.mu.Lock()
				l.outcomes[outcomeOf(a)]++
				l.mu.Unlock()
			}
		})
	}
	return l
}

// try makes one attempt, which has an id of its own.
func (l *load) try(n *node, method, prefix, fields string) answer {
	id := newID()
	request := head(method, prefix+id, id, fields)
	if fields != "" {
		request += "order"
	}
	l.mu.Lock()
	l.sent[id] = time.Now()
	l.mu.Unlock()
	return send(n.outbound(), request, 1)[0]
}

// end stops the traffic and returns the requests by outcome.
func (l *load) end() map[string]int {
	close(l.stop)
	l.clients.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcomes
}

// sentAt returns when a request was sent; false if the traffic has not sent it.
func (l *load) sentAt(id string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, sent := l.sent[id]
	return at, sent
}
