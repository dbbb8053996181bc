package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["late-reports"] = lateReports }

// lateness is how late the reports of a backend arrive.
const lateness = 7 * time.Second

// exitTime is how long after the confirmation the backend exits.
const exitTime = 8 * time.Second

// lateReports: the reports of a backend arrive seconds late, also those that it sent before it left.
func lateReports(w *world, trouble bool) (bool, error) {
	backends, err := w.deploy("vitrine", "vitrine", "vitrine", "vitrine", "atelier")
	if err != nil {
		return false, err
	}
	leaver := backends[0]
	time.Sleep(4 * time.Second)
	if trouble {
		leaver.mu.Lock()
		leaver.late = lateness
		leaver.mu.Unlock()
		w.note("reports of %s are late from now on", leaver.instance)
	}
	// 8 s after its last report on time, and half a second before the first late one arrives.
	time.Sleep(time.Until(leaver.lastOnTime().Add(8 * time.Second)))
	leaver.mu.Lock()
	leaver.leaving = true
	leaver.mu.Unlock()
	leaver.stop()
	status := leaver.node.callControl(http.MethodDelete, leaver.instance, "")
	confirmed := time.Now()
	w.note("%s leaves; status %d", leaver.instance, status)
	if status/100 != 2 {
		return false, fmt.Errorf("the leave was not confirmed: status %d", status)
	}
	time.AfterFunc(exitTime, func() {
		w.note("%s exits", leaver.instance)
		leaver.crash()
	})
	sent := make(map[string]time.Time)
	for time.Since(confirmed) < exitTime+3*time.Second {
		for _, b := range backends {
			a := b.node.send(http.MethodPost, "/write/a", "row")
			sent[a.id] = a.sent
		}
		time.Sleep(50 * time.Millisecond)
	}
	after, lost := 0, 0
	for _, r := range leaver.allRuns() {
		if at, ours := sent[r.id]; ours && at.After(confirmed.Add(drainBound)) {
			after++
			if w.answerOf(r.id).status != http.StatusOK {
				lost++
			}
		}
	}
	w.note("%d requests that were sent later than %v after the confirmation reached the backend that left; %d of them had no success",
		after, drainBound, lost)
	return after > 0, nil
}
