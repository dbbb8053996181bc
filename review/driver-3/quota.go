package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// envOr returns a variable of the environment, or a value if it is not set.
func envOr(name, value string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return value
}

// The quota of the tenant, and the bounds of delad-arende-grown.
const (
	quotaRate, quotaBurst    = 40.0, 40.0
	quotaWindow              = 5 * time.Second
	quotaOverage, quotaSlack = 0.1, 20.0
)

const (
	// quotaNodes is the number of machines. quotaAdded is the number of those that are added, a quarter, and quotaAddGap the time
	// after each: two seconds in all.
	quotaNodes  = 8
	quotaAdded  = 2
	quotaAddGap = time.Second
	// quotaUsual and quotaHot are the requests a second that the tenant sends to each machine. Its usual demand is its rate / 1.6
	// (quota_x of the site file) at eight machines; hot is six times as much, for hotTime.
	quotaUsual = quotaRate / 1.6 / quotaNodes
	quotaHot   = 6 * quotaUsual
	hotTime    = 6500 * time.Millisecond
)

const (
	// outage is how long the store is down in part.
	outage = 4500 * time.Millisecond
	// restartDelay is how long the platform takes to restart a process.
	restartDelay = 300 * time.Millisecond
)

// directoryPartition is the partition in which the nodes find each other.
const directoryPartition = "keyed.wagtailford-nodes/0"

// playQuota adds machines while the partition of the store that holds the directory of the nodes is down, and counts what runs of a
// tenant that sends more than its quota. With MODE=kill all processes are killed in place of that, with MODE=alone neither happens.
func playQuota(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	d.bounds["quota-window-s"], d.bounds["quota-overage"], d.bounds["quota-slack"] = "5", "0.1", "20"
	for range quotaNodes {
		if _, err := d.addQuota(); err != nil {
			return err
		}
	}
	d.store.put("keyed.op", "config", configuration(1, []rule{{"r-history", "idempotent", "/history/", "desk", 1.2, 0.8, 2, 1}},
		[]string{"desk"}, []map[string]any{
			{"name": "partner-1", "api-keys": []string{"key-1"}, "rate-per-s": quotaRate, "burst": quotaBurst, "priority": 1},
		}))
	if err := d.startAll(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	r.say("all %d nodes are ready; the tenant sends %.1f requests/s to each", quotaNodes, quotaUsual)
	stop := make(chan struct{})
	var hot atomic.Bool
	var group sync.WaitGroup
	for _, m := range d.machines {
		group.Go(func() { quotaClients(r, m, &hot, stop) })
	}
	time.Sleep(8 * time.Second)
	end := time.Now().Add(outage)
	if trouble {
		r.say("the partition %s of the store answers 503", directoryPartition)
		d.store.setDown(directoryPartition, true)
	}
	time.Sleep(200 * time.Millisecond)
	r.say("the tenant sends %.1f requests/s to each machine for %v", quotaHot, hotTime)
	hot.Store(true)
	time.AfterFunc(hotTime, func() { hot.Store(false) })
	switch mode := envOr("MODE", "scale"); mode {
	case "scale":
		for range quotaAdded {
			m, err := d.addQuota()
			if err != nil {
				return err
			}
			r.say("%s is added", m.name)
			if err := m.start(); err != nil {
				return err
			}
			m.backend.start()
			group.Go(func() { quotaClients(r, m, &hot, stop) })
			time.Sleep(quotaAddGap)
		}
	case "kill":
		r.say("all processes are killed and start again")
		for _, m := range d.machines {
			m.signal(syscall.SIGKILL)
		}
		time.Sleep(restartDelay)
		for _, m := range d.machines {
			m.wait()
			if err := m.start(); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Until(end))
	d.store.setDown(directoryPartition, false)
	r.say("the store serves everything")
	time.Sleep(10 * time.Second)
	close(stop)
	group.Wait()
	var at []time.Time
	for _, m := range d.machines {
		for _, run := range m.backend.allRuns() {
			r.line("run id=%s at=%.3f backend=%s tenant=%s", run.id, run.at.Sub(r.began).Seconds(), m.backend.id, run.tenant)
			if run.tenant == "partner-1" {
				at = append(at, run.at)
			}
		}
	}
	most := mostIn(at, quotaWindow)
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	r.say("most runs of the tenant in %v: %d, the rule allows %.0f; all runs: %d", quotaWindow, most, bound, len(at))
	if float64(most) > bound {
		return errBroken
	}
	return nil
}

// addQuota adds a machine in the next zone.
func (d *deployment) addQuota() (*machine, error) {
	zones := []string{"se-mid-a", "se-mid-b", "se-mid-c"}
	return d.add(zones[len(d.machines)%len(zones)], "desk")
}

// quotaClients send requests of the tenant at one machine until stop is closed.
func quotaClients(r *record, m *machine, hot *atomic.Bool, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for k := 0; ; k++ {
		rate := quotaUsual
		if hot.Load() {
			rate = quotaHot
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(float64(time.Second) / rate)):
		}
		id := fmt.Sprintf("%s-%d", m.name, k)
		group.Go(func() {
			got := m.request("GET", host, "/history/"+id, id, 2*time.Second, "", "Authorization: Bearer key-1")
			r.line("request id=%s machine=%s status=%d whole=%v err=%v", id, m.name, got.status, got.whole(id), got.err)
		})
	}
}

// mostIn returns the largest number of times in a window.
func mostIn(at []time.Time, window time.Duration) int {
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
