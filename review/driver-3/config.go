package main

import "encoding/json"

// rule is a route of a configuration.
type rule struct {
	name, kind, prefix, service string
	timeout, aim                float64
	attempts, priority          int
}

const host = "rates.example"

// configuration returns op/config.
func configuration(version int, rules []rule, services []string, tenants []map[string]any) []byte {
	list := []map[string]any{}
	for _, r := range rules {
		list = append(list, map[string]any{
			"name": r.name, "kind": r.kind, "target-latency-s": r.aim, "priority": r.priority,
			"match":  map[string]any{"path-prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout-s": r.timeout, "max-attempts": r.attempts},
		})
	}
	clusters := []map[string]any{}
	for _, s := range services {
		clusters = append(clusters, map[string]any{
			"name": s, "health-path": "/healthz", "max-connections": 130, "protocol": "h1", "tls": false,
		})
	}
	body := map[string]any{
		"version": version,
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15,
		},
		"listeners": []map[string]any{{"host": host, "rules": list}},
		"clusters":  clusters,
	}
	if tenants != nil {
		body["tenants"] = tenants
	}
	data, _ := json.Marshal(body)
	return data
}

// ratesRules are the routes of cpuro-rates.
func ratesRules() []rule {
	return []rule{
		{"r-lookup", "idempotent", "/lookup/", "benchmark", 1.2, 0.6, 2, 2},
		{"r-submit", "non_idempotent", "/submit/", "benchmark", 1.5, 0.8, 2, 1},
		{"r-adjust", "non_idempotent", "/adjust/", "ledger", 1.0, 0.5, 2, 0},
	}
}
