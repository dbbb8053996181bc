package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["popular-page"] = popularPage }

const (
	// Three of 21 backends are 0.143 of the service, within the share of srv_crash (0.15).
	fleetSize = 21
	crashed   = 3
	// readers on each machine send about 48 requests a second together, as many as a machine of the site gets.
	readers = 5
	// crashTime is how long they are down.
	crashTime = 4500 * time.Millisecond
)

// popularPage: a few backends crash at once while many clients read the same page, whose route was added later.
func popularPage(w *world, trouble bool) (bool, error) {
	services := make([]string, fleetSize)
	for i := range services {
		services[i] = "vitrine"
	}
	backends, err := w.deploy(services...)
	if err != nil {
		return false, err
	}
	w.publish(8, laterRule)
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, b := range backends {
		for client := range readers {
			wg.Go(func() {
				time.Sleep(time.Duration(client) * 50 * time.Millisecond)
				for {
					select {
					case <-stop:
						return
					default:
					}
					b.node.send(http.MethodGet, "/page/list", "")
					b.node.send(http.MethodPost, "/write/a", w.nextID())
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for i, b := range backends[:crashed] {
			w.note("%s: backend %s crashes", b.node.name, b.instance)
			b.crash()
			time.AfterFunc(crashTime, func() {
				if _, err := b.node.startBackend(fmt.Sprintf("i-02d9e6b%d", i)); err != nil {
					w.note("backend does not start: %v", err)
				}
			})
		}
	}
	time.Sleep(crashTime + 2*stabilityBound)
	close(stop)
	wg.Wait()
	w.note("steady state: nothing was disturbed for %v", 2*stabilityBound)
	var first, later, firstServed, laterServed int
	for range 8 {
		for _, b := range backends[crashed:] {
			first++
			if b.node.send(http.MethodPost, "/write/a", w.nextID()).status == http.StatusOK {
				firstServed++
			}
			later++
			if b.node.send(http.MethodGet, "/page/list", "").status == http.StatusOK {
				laterServed++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.note("in steady state, %d of %d requests on a first route were served, %d of %d on the route that was added later",
		firstServed, first, laterServed, later)
	return later >= 20 && laterServed*first*4 < firstServed*later, nil
}
