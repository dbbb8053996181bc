package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["crash-counts"] = crashCounts }

// backTime is how long a backend that crashed is away.
const backTime = 3 * time.Second

// rolls is how often the machines are restarted in turn.
const rolls = 2

// crashCounts: a request that crashes backends comes again and again while the machines are restarted in turn.
func crashCounts(w *world, trouble bool) (bool, error) {
	backends, err := w.deploy("vitrine", "vitrine", "vitrine", "vitrine", "vitrine", "vitrine")
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var crashes []time.Time
	starts := len(backends)
	var crash func(b *backend)
	crash = func(b *backend) {
		mu.Lock()
		crashes = append(crashes, time.Now())
		starts++
		next := fmt.Sprintf("i-7f3a91c%d", starts)
		mu.Unlock()
		w.note("%s: backend %s crashes", b.node.name, b.instance)
		b.crash()
		time.AfterFunc(backTime, func() {
			again, err := b.node.startBackend(next)
			if err != nil {
				w.note("backend does not start: %v", err)
				return
			}
			again.mu.Lock()
			again.crashes = crash
			again.mu.Unlock()
		})
	}
	for _, b := range backends {
		b.mu.Lock()
		b.crashes = crash
		b.mu.Unlock()
	}
	count := func() int { mu.Lock(); defer mu.Unlock(); return len(crashes) }
	time.Sleep(4 * time.Second)
	turn := 0
	send := func() {
		// Any machine that is in touch, each in turn.
		for range w.nodes {
			n := w.nodes[turn%len(w.nodes)]
			turn++
			if n.inTouch() {
				n.send(http.MethodPost, "/write/crash", "poison")
				return
			}
		}
	}
	for end := time.Now().Add(15 * time.Second); count() < 3; time.Sleep(time.Second) {
		if time.Now().After(end) {
			return false, fmt.Errorf("only %d crashes", count())
		}
		send()
	}
	third := time.Now()
	w.note("the third crash")
	time.Sleep(stabilityBound + 500*time.Millisecond)
	before := count()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if !trouble {
			time.Sleep(40 * time.Second)
			return
		}
		for range rolls {
			for _, n := range w.nodes {
				if err := n.restart(syscall.SIGTERM); err != nil {
					w.note("%v", err)
				}
				time.Sleep(1300 * time.Millisecond)
			}
		}
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(500 * time.Millisecond):
		}
		send()
	}
	for range 10 {
		time.Sleep(500 * time.Millisecond)
		send()
	}
	reached := count() - before
	w.note("later than %v after the third crash (%v ago), the request reached backends in %d retries", stabilityBound, time.Since(third).Round(time.Second), reached)
	return reached > 3, nil
}
