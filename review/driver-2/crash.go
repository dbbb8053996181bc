package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// crashPath is the path of the request that crashes each backend which begins to run it.
	crashPath = prefixPost + "crash"
	// backAfter is how long a crashed backend is away.
	backAfter = 2 * time.Second
	// crashPause is the time between two attempts of the client of that request.
	crashPause = 500 * time.Millisecond
	// crashRetriesMax is the number of further runs that the rule allows.
	crashRetriesMax = 3
	// storeDown is how long the store is down, from the moment at which all processes end.
	storeDown = 3 * time.Second
)

// crashes are the runs of the request that crashes backends.
type crashes struct {
	bench *bench
	mu    sync.Mutex
	runs  []time.Time
	// instances counts the starts of backends.
	instances int
}

// startBackend starts a backend beside a node, and again after each crash.
func (c *crashes) startBackend(n *node) {
	c.mu.Lock()
	c.instances++
	id := fmt.Sprintf("i-7f3a%04d", c.instances)
	c.mu.Unlock()
	s := c.bench.newBackend(id, zone, n)
	var once sync.Once
	s.begins = func(a arrival) bool {
		if a.path != crashPath {
			return true
		}
		once.Do(func() {
			c.mu.Lock()
			c.runs = append(c.runs, a.at)
			number := len(c.runs)
			c.mu.Unlock()
			c.bench.note("run %d of the request that crashes backends, id %s, at %s", number, a.id, s.id)
			go func() {
				s.crash()
				time.Sleep(backAfter)
				c.startBackend(n)
			}()
		})
		return false
	}
	s.report(inTime)
}

// send sends the request through the machines in turn for some time.
func (c *crashes) send(nodes []*node, d time.Duration) {
	outcomes := make(map[string]int)
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		id := newID()
		outcomes[outcomeOf(send(nodes[i%len(nodes)].outbound(), head(http.MethodPost, crashPath, id, "Content-Length: 0\r\n"), 1)[0])]++
		time.Sleep(crashPause)
	}
	c.bench.note("the client of the request got: %v", outcomes)
}

// crashCase: a request has crashed three backends and is known for it. All processes of the system are killed at the same
// moment, and the store is down for a few seconds. Later the request comes again.
func crashCase(b *bench) bool {
	s := b.newStore()
	s.publish(7, idleRoutes, services, routes...)
	var nodes []*node
	for i := range 5 {
		nodes = append(nodes, b.newNode(fmt.Sprintf("sidecar-%s-%d", zone, i), serviceA, zone, s.address))
	}
	c := &crashes{bench: b}
	for _, n := range nodes {
		n.waitReady()
		c.startBackend(n)
	}
	time.Sleep(2 * time.Second)
	c.send(nodes, 10*time.Second)

	b.note("all processes are killed at the same moment; the store is down: %v", b.trouble)
	if b.trouble {
		s.setDown(true)
	}
	for _, n := range nodes {
		n.kill()
	}
	for _, n := range nodes {
		n.start()
	}
	time.Sleep(storeDown)
	s.setDown(false)
	b.note("the store serves")
	for _, n := range nodes {
		n.waitReady()
	}
	time.Sleep(2 * stabilityTime)
	inTouch := time.Now()
	b.note("all machines have been in touch since %v before", stabilityTime)
	c.send(nodes, 20*time.Second)

	c.mu.Lock()
	defer c.mu.Unlock()
	retries := 0
	for i, run := range c.runs {
		if i < 3 || run.Before(c.runs[2].Add(stabilityTime)) {
			continue
		}
		retries++
		b.note("run %d is later than %v after the third; all machines in touch since the restart: %v", i+1, stabilityTime, run.After(inTouch))
	}
	b.note("%d further runs, at most %d are allowed", retries, crashRetriesMax)
	return retries > crashRetriesMax
}
