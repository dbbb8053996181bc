package main

import (
	"fmt"
	"time"
)

// configApply is the bound config-apply-s of delad-arende-grown, and stability that of stability-s.
const (
	configApply = 2500 * time.Millisecond
	stability   = 3 * time.Second
)

// tenantRequests is the number of requests for each key and configuration.
const tenantRequests = 20

// playTenants removes the last tenant from the configuration, and sends requests with the key that it had and with one that no
// configuration ever held. Without the disruption the tenant stays and loses its key.
func playTenants(r *record, trouble bool) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	defer d.close()
	for _, zone := range []string{"se-mid-a", "se-mid-b", "se-mid-c"} {
		if _, err := d.add(zone, "desk"); err != nil {
			return err
		}
	}
	rules := []rule{{"r-history", "idempotent", "/history/", "desk", 1.2, 0.8, 2, 1}}
	tenant := func(keys ...string) map[string]any {
		return map[string]any{"name": "partner-1", "api-keys": append([]string{}, keys...), "rate-per-s": 0, "burst": 0, "priority": 1}
	}
	d.store.put("keyed.op", "config", configuration(1, rules, []string{"desk"}, []map[string]any{tenant("key-1")}))
	if err := d.startAll(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(stability)
	send := func(version int, key string) {
		for i := range tenantRequests {
			id := fmt.Sprintf("%s-v%d-%d", key, version, i)
			m := d.machines[i%len(d.machines)]
			got := m.request("GET", host, "/history/"+id, id, 2*time.Second, "", "Authorization: Bearer "+key)
			r.line("request id=%s machine=%s status=%d err=%v", id, m.name, got.status, got.err)
		}
	}
	send(1, "key-1")
	send(1, "key-unknown")
	left := []map[string]any{tenant()}
	if trouble {
		left = []map[string]any{}
	}
	r.say("version 2 has %d tenants, none of them with a key", len(left))
	d.store.put("keyed.op", "config", configuration(2, rules, []string{"desk"}, left))
	time.Sleep(configApply + time.Second)
	send(2, "key-1")
	send(2, "key-unknown")
	wanted, dropped, unknown, passed := 0, 0, 0, 0
	for _, m := range d.machines {
		for _, run := range m.backend.allRuns() {
			r.line("run id=%s backend=%s tenant=%q authorization=%q", run.id, m.backend.id, run.tenant, run.authorization)
			var key string
			var version, n int
			if _, err := fmt.Sscanf(run.id, "key-1-v%d-%d", &version, &n); err == nil {
				key = "key-1"
			}
			switch {
			case key == "":
				unknown++
			case version == 1:
				wanted++
			default:
				dropped++
			}
			if run.authorization != "" {
				passed++
			}
		}
	}
	r.say("runs with the valid key: %d of %d; with the dropped key: %d; with a key that no configuration held: %d; to which a key was passed on: %d",
		wanted, tenantRequests, dropped, unknown, passed)
	if unknown > 0 || dropped > 0 || passed > 0 {
		return errBroken
	}
	return nil
}
