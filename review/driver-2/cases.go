package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Bounds of the site cpuro-rates.
const (
	drainTime     = 2 * time.Second
	stabilityTime = 3 * time.Second
)

// Services, zones and routes of the cases.
const (
	serviceA, serviceB = "huvo11a", "wuno96b"
	zone               = "couva"
	prefixGet          = "/lohu930/"
	prefixPost         = "/pufi791/"
)

var (
	services = []string{serviceA, serviceB}
	routes   = []route{
		{name: "r-3d3zji9", kind: "idempotent", prefix: prefixGet, service: serviceA},
		{name: "r-n73hh2b", kind: "non_idempotent", prefix: prefixPost, service: serviceA},
	}
)

// idleRoutes are the routes without traffic in the configurations of the site.
const idleRoutes = 300

// startNodes starts a store with a configuration, and machines of some services.
func startNodes(b *bench, servicesOf ...string) []*node {
	s := b.newStore()
	s.publish(7, idleRoutes, services, routes...)
	var nodes []*node
	for i, service := range servicesOf {
		nodes = append(nodes, b.newNode(fmt.Sprintf("sidecar-%s-%d", zone, i), service, zone, s.address))
	}
	for _, n := range nodes {
		n.waitReady()
	}
	return nodes
}

// leaveCase: a backend crashes and starts again under the id that it had. Its reports arrive late, and it leaves before the
// first one has arrived. The node acknowledges that.
func leaveCase(b *bench) bool {
	const late = 3 * time.Second
	// One of seven backends of the service crashes and leaves.
	nodes := startNodes(b, serviceA, serviceA, serviceA, serviceA, serviceA, serviceA, serviceA, serviceB)
	first := b.newBackend("i-7f3a91c2", zone, nodes[0])
	first.report(inTime)
	for i, n := range nodes[1:7] {
		b.newBackend(fmt.Sprintf("i-02d9e6b%d", i), zone, n).report(inTime)
	}
	time.Sleep(2 * time.Second)
	traffic := startLoad(http.MethodPost, prefixPost, 24, 20*time.Millisecond, nodes...)
	time.Sleep(2 * stabilityTime)

	first.crash()
	time.Sleep(time.Second)
	second := b.newBackend("i-7f3a91c2", zone, nodes[0])
	second.report(func(int) time.Duration {
		if b.trouble {
			return late
		}
		return 0
	})
	time.Sleep(late - 500*time.Millisecond)
	acknowledged := second.leave()
	left := time.Now()
	time.Sleep(8 * time.Second)
	second.exit()
	time.Sleep(2 * time.Second)
	b.note("what clients got: %v", traffic.end())
	return acknowledged && brokenDrain(b, second, traffic, left)
}

// lateCase: three reports of a backend arrive late. In between, the backend leaves, which the node acknowledges, and the node
// is killed and started again.
func lateCase(b *bench) bool {
	const late = 4500 * time.Millisecond
	nodes := startNodes(b, serviceA, serviceA, serviceB)
	other := b.newBackend("i-02d9e6b4", zone, nodes[1])
	other.report(inTime)
	leaving := b.newBackend("i-7f3a91c2", zone, nodes[0])
	leaving.report(func(number int) time.Duration {
		if number > 5 && b.trouble {
			return late
		}
		return 0
	})
	time.Sleep(2 * time.Second)
	traffic := startLoad(http.MethodPost, prefixPost, 8, 20*time.Millisecond, nodes...)
	// Reports 6, 7 and 8 are sent 7.5, 9 and 10.5 s after the first.
	time.Sleep(9100 * time.Millisecond)
	acknowledged := leaving.leave()
	left := time.Now()
	time.Sleep(100 * time.Millisecond)
	b.note("%s is killed and started again", nodes[0].name)
	nodes[0].kill()
	nodes[0].start()
	time.Sleep(10 * time.Second)
	leaving.exit()
	time.Sleep(2 * time.Second)
	b.note("what clients got: %v", traffic.end())
	return acknowledged && brokenDrain(b, leaving, traffic, left.Add(stabilityTime))
}

// brokenDrain reports whether requests that clients sent later than drain-s after a time have reached a backend.
func brokenDrain(b *bench, s *backend, traffic *load, from time.Time) bool {
	broken := 0
	for _, a := range s.seen() {
		sent, known := traffic.sentAt(a.id)
		if !known || !a.ran || !sent.After(from.Add(drainTime)) {
			continue
		}
		if broken++; broken <= 5 {
			b.note("request %s, sent %v after the acknowledgement counts, reached %s", a.id, sent.Sub(from).Round(time.Millisecond), s.id)
		}
	}
	b.note("%d requests reached %s that were sent later than %v", broken, s.id, drainTime)
	return broken > 0
}

// reportCase: a report of another writer, with a field missing, arrives at a node.
func reportCase(b *bench) bool {
	nodes := startNodes(b, serviceA, serviceA, serviceB)
	var backends []*backend
	for i, n := range nodes {
		s := b.newBackend(fmt.Sprintf("i-7f3a91c%d", i), zone, n)
		s.report(inTime)
		backends = append(backends, s)
	}
	time.Sleep(2 * time.Second)
	traffic := startLoad(http.MethodPost, prefixPost, 8, 20*time.Millisecond, nodes[0])
	time.Sleep(2 * stabilityTime)
	if b.trouble {
		// The field zone is missing.
		body := fmt.Appendf(nil, `{"address":"%s:9","born":%d,"info":{"service":%q,"version":"v1","slots":18},`+
			`"status":{"state":"ready","sequence":1,"cold-left-s":0}}`, b.newIP(), time.Now().UnixMilli(), serviceB)
		status := call(http.MethodPut, nodes[0].control(), "i-5e5e5e5e", body)
		b.note("report of another writer to %s: %s: answered %d", nodes[0].name, body, status)
	}
	time.Sleep(4 * time.Second)
	b.note("what clients got: %v", traffic.end())
	wrong := 0
	for _, s := range backends {
		for _, a := range s.seen() {
			if a.ran && a.caller != serviceA {
				if wrong++; wrong <= 5 {
					b.note("request %s, which began beside service %s, ran at %s with Caller-Service %s", a.id, serviceA, s.id, a.caller)
				}
			}
		}
	}
	b.note("%d requests ran with another Caller-Service than %s", wrong, serviceA)
	return wrong > 0
}

// lengthCase: the body of a request is a request itself, and the request states its length twice, differently.
func lengthCase(b *bench) bool {
	nodes := startNodes(b, serviceA, serviceB)
	s := b.newBackend("i-7f3a91c2", zone, nodes[0])
	s.report(inTime)
	time.Sleep(2 * time.Second)
	outer, inner := newID(), newID()
	body := head(http.MethodPost, prefixPost+"inner", inner, "Content-Length: 0\r\n")
	lengths := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if b.trouble {
		lengths += "Content-Length: 0\r\n"
	}
	request := head(http.MethodPost, prefixPost+"outer", outer, lengths) + body
	b.note("sent to %s: %q", nodes[1].name, request)
	answers := 1
	if b.trouble {
		answers = 2
	}
	for _, a := range send(nodes[1].outbound(), request, answers) {
		b.note("answered %d %q, error %v", a.status, a.body, a.err)
	}
	time.Sleep(500 * time.Millisecond)
	broken := false
	for _, a := range s.seen() {
		b.note("%s ran %v: %s %s with %d bytes, id %s", s.id, a.ran, a.method, a.path, a.body, a.id)
		broken = broken || a.ran && a.id == inner
	}
	return broken
}

// statusCase: a backend fails some of its requests with status 503, which it has signed and which does not say Not-Executed.
func statusCase(b *bench) bool {
	nodes := startNodes(b, serviceA, serviceB)
	s := b.newBackend("i-7f3a91c2", zone, nodes[0])
	s.respond = func(a arrival) string {
		status := "200 OK"
		if b.trouble {
			status = "503 Service Unavailable"
		}
		return "HTTP/1.1 " + status + "\r\nRequest-Id: " + a.id + "\r\nResponse-Signature: " + s.id + "." + a.id + "\r\nContent-Length: 4\r\n\r\ntext"
	}
	s.report(inTime)
	time.Sleep(2 * time.Second)
	broken := false
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		prefix := map[string]string{http.MethodPost: prefixPost, http.MethodGet: prefixGet}[method]
		id := newID()
		a := send(nodes[1].outbound(), head(method, prefix+"x", id, "Content-Length: 0\r\n"), 1)[0]
		b.note("%s %s: the client got %d, signature %q, body %q, error %v", method, id, a.status, a.signature, a.body, a.err)
		given := http.StatusOK
		if b.trouble {
			given = http.StatusServiceUnavailable
		}
		broken = broken || a.status >= 300 && a.status != given && strings.Contains(a.signature, id)
	}
	return broken
}
