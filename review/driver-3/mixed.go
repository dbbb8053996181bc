package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The dose of srv_grey on cpuro-rates: 0.14 of the backends fail 0.45 of their requests for 6.5 s.
const (
	mixedMachines = 7
	greyRequests  = 0.45
	greyTime      = 6500 * time.Millisecond
)

// playMixed lets one backend fail part of its requests with status 503, without stating that they have not run.
func playMixed(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	for i := range mixedMachines {
		if _, err := d.add([]string{"couva", "chaguanas", "san-fernando"}[i%3], "benchmark"); err != nil {
			return err
		}
	}
	d.store.put("keyed.op", "config", configuration(1, ratesRules(), []string{"benchmark", "ledger"}, nil))
	if err := d.startAll(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		r.say("backend %s fails %v of its requests", d.machines[0].backend.id, greyRequests)
		d.machines[0].backend.setFate(func() int {
			if rand.Float64() < greyRequests {
				return http.StatusServiceUnavailable
			}
			return http.StatusOK
		})
	}
	var mu sync.Mutex
	replies := make(map[string]reply)
	var group sync.WaitGroup
	for i, m := range d.machines {
		group.Go(func() {
			for k, end := 0, time.Now().Add(greyTime); time.Now().Before(end); k++ {
				id := fmt.Sprintf("m%d-%d", i, k)
				got := m.request("POST", host, "/submit/"+id, id, 3*time.Second, "rate card")
				mu.Lock()
				replies[id] = got
				mu.Unlock()
			}
		})
	}
	group.Wait()
	gave := make(map[string]int)
	for _, m := range d.machines {
		for _, run := range m.backend.allRuns() {
			gave[run.id] = run.status
			r.line("run id=%s backend=%s status=%d", run.id, m.backend.id, run.status)
		}
	}
	failed, broken := 0, 0
	for id, got := range replies {
		r.line("request id=%s status=%d signature=%q err=%v backend_gave=%d", id, got.status, got.signature, got.err, gave[id])
		if got.err != nil || got.status < 300 {
			continue
		}
		failed++
		if got.signature != "" && got.status != gave[id] {
			broken++
		}
	}
	r.say("requests %d, failures %d, of these with the signature of a backend that gave another status: %d", len(replies), failed, broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}
