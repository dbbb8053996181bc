package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// lateMachines is the number of machines of the service, one of which has the backend that leaves.
	lateMachines = 8
	// lateReports is how late the reports of that backend arrive, as in the case review/3.
	lateReports = 7 * time.Second
	// lateRestart is how long the platform takes to start the process again.
	lateRestart = 100 * time.Millisecond
	// lateServes is how long it serves after its leave was acknowledged.
	lateServes = 14 * time.Second
	// drain is the bound drain-s of cpuro-rates.
	drain = 2 * time.Second
)

// playLate lets the reports of a backend arrive late. The backend leaves, which is acknowledged, and the process beside it is
// killed and starts again. MODE=reports leaves out the kill, MODE=kill the late reports.
func playLate(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	for i := range lateMachines {
		if _, err := d.add([]string{"couva", "chaguanas", "san-fernando"}[i%3], "benchmark"); err != nil {
			return err
		}
	}
	d.store.put("keyed.op", "config", configuration(1, ratesRules(), []string{"benchmark", "ledger"}, nil))
	if err := d.startAll(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	m, mode := d.machines[0], envOr("MODE", "both")
	if trouble && mode != "kill" {
		r.say("reports of %s arrive %v late from now on", m.backend.id, lateReports)
		m.backend.mu.Lock()
		m.backend.delay = lateReports
		m.backend.mu.Unlock()
	}
	time.Sleep(12 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	for _, other := range d.machines[1:] {
		group.Go(func() {
			ticker := time.NewTicker(50 * time.Millisecond)
			defer ticker.Stop()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				id := fmt.Sprintf("%s-%d", other.name, k)
				group.Go(func() {
					mu.Lock()
					sent[id] = time.Now()
					mu.Unlock()
					got := other.request("POST", host, "/submit/"+id, id, 3*time.Second, "rate card")
					r.line("request id=%s status=%d whole=%v err=%v", id, got.status, got.whole(id), got.err)
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	// It leaves just after it has sent a report.
	for before := m.backend.lastReport(); m.backend.lastReport().Equal(before); {
		time.Sleep(10 * time.Millisecond)
	}
	if !m.backend.leave() {
		return fmt.Errorf("the leave of %s was not acknowledged", m.backend.id)
	}
	left := time.Now()
	r.say("the leave of %s is acknowledged", m.backend.id)
	if trouble && mode != "reports" {
		r.say("%s is killed and starts again", m.name)
		m.signal(syscall.SIGKILL)
		m.wait()
		time.Sleep(lateRestart)
		if err := m.start(); err != nil {
			return err
		}
	}
	time.Sleep(lateServes)
	m.backend.close()
	r.say("%s has ended", m.backend.id)
	close(stop)
	group.Wait()
	late, first := 0, time.Duration(0)
	for _, run := range m.backend.allRuns() {
		after := sent[run.id].Sub(left)
		r.line("run id=%s backend=%s sent_after_leave=%.3f", run.id, m.backend.id, after.Seconds())
		if after > drain {
			if late++; first == 0 {
				first = after
			}
		}
	}
	r.say("requests sent later than %v after the acknowledgement that reached %s: %d, the first after %v", drain, m.backend.id, late, first.Round(time.Millisecond))
	if late > 0 {
		return errBroken
	}
	return nil
}
