package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["slow-drain"] = slowDrain }

const (
	// submitRule has the times of rate-submit at the site cpuro-rates.
	submitRule = `,
{"name":"r-submit","kind":"non_idempotent","target-latency-s":0.8,"priority":1,"match":{"path-prefix":"/submit/"},"action":{"service":"vitrine","timeout-s":3,"max-attempts":2}}`
	submitBudget = 3 * time.Second
	submitWork   = 220 * time.Millisecond
	// slowFactor is how many times as long the requests of a backend take that turns slow.
	slowFactor = 12
	clients    = 24
	// littleLonger is how much longer than the drain bound the backend serves.
	littleLonger = time.Second
)

// slowDrain: a backend turns slow and is drained, while requests wait for its slots.
func slowDrain(w *world, trouble bool) (bool, error) {
	w.publish(8, submitRule)
	w.budget = submitBudget
	backends, err := w.deploy("vitrine", "vitrine", "vitrine", "vitrine", "atelier")
	if err != nil {
		return false, err
	}
	for _, b := range backends {
		b.mu.Lock()
		b.work = submitWork
		b.mu.Unlock()
	}
	leaver := backends[0]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	// The clients of each machine with a backend of the service, a third more than it has slots. Each sends its next request when
	// the last one has ended.
	for _, b := range backends[:4] {
		for client := range clients {
			wg.Go(func() {
				time.Sleep(time.Duration(client) * 10 * time.Millisecond)
				for {
					select {
					case <-stop:
						return
					default:
					}
					b.node.send(http.MethodPost, "/submit/a", w.nextID())
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(6 * time.Second)
	if trouble {
		w.note("%s turns slow: requests that begin from now on take %d times as long", leaver.instance, slowFactor)
		leaver.mu.Lock()
		leaver.work = slowFactor * submitWork
		leaver.mu.Unlock()
	}
	time.Sleep(300 * time.Millisecond)
	leaver.mu.Lock()
	leaver.leaving = true
	leaver.mu.Unlock()
	status := leaver.report()
	confirmed := time.Now()
	w.note("%s reports that it is draining; status %d", leaver.instance, status)
	if status/100 != 2 {
		return false, fmt.Errorf("the report was not confirmed: status %d", status)
	}
	time.Sleep(drainBound + littleLonger)
	w.note("%s exits", leaver.instance)
	leaver.crash()
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	after := 0
	for _, r := range leaver.allRuns() {
		if late := r.at.Sub(confirmed); late > drainBound {
			after++
			w.note("request %s reached %s %v after the confirmation; its client got %v", r.id, leaver.instance, late.Round(time.Millisecond),
				w.answerOf(r.id))
		}
	}
	w.note("%d requests reached the backend later than %v after the confirmation", after, drainBound)
	return after > 0, nil
}
