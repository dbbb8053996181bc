package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["unnamed-service"] = unnamedService }

// unnamedService: another writer's report names a service that the configuration does not have.
func unnamedService(w *world, trouble bool) (bool, error) {
	backends, err := w.deploy("vitrine", "atelier", "vitrine")
	if err != nil {
		return false, err
	}
	n := backends[0].node
	time.Sleep(4 * time.Second)
	if trouble {
		body := fmt.Sprintf(`{"address":"%s:9","born":%d,"info":{"service":"nosuch","version":"v1","zone":%q,"slots":18},"status":{"state":"ready","sequence":1,"cold-left-s":0}}`,
			n.ip, time.Now().UnixMilli(), n.zone)
		w.note("%s: another writer's report arrives: %s; status %d", n.name, body, n.callControl(http.MethodPut, "i-02d9e6b4", body))
	}
	began := time.Now()
	for time.Since(began) < 12*time.Second {
		n.send(http.MethodGet, "/read/a", "")
		n.send(http.MethodPut, "/order/a", "two")
		time.Sleep(200 * time.Millisecond)
	}
	wrong, all, own := 0, 0, 0
	for i, b := range backends {
		for _, r := range b.allRuns() {
			if r.at.Before(began) {
				continue
			}
			all++
			if i == 0 {
				own++
			}
			if r.caller != n.service {
				wrong++
			}
		}
	}
	w.note("requests that began at %s, whose service is %s: %d runs, %d of them with another Caller-Service; %d at its own backend",
		n.name, n.service, all, wrong, own)
	return wrong > 0, nil
}
