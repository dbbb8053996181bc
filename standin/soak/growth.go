package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"wagtailford.example/standin/platform"
)

const (
	// configBound is the time after the store's acknowledgement of a configuration within which nodes in touch have it in
	// force. Source: config-apply-s of the deployments whose configurations grow.
	configBound = 2500 * time.Millisecond
	// growthMin and growthMax bound the routes that a configuration gains or loses at once, routesMax all that were gained.
	growthMin, growthMax = 300, 4000
	routesMax            = 10_000
	// growthGapMax is the longest pause between two of these changes.
	growthGapMax = 3 * time.Second
	// shrinkOdds is the number of changes of which one shrinks the configuration, on average.
	shrinkOdds = 5
	// probeInterval is the time between two probes of a node.
	probeInterval = 100 * time.Millisecond
)

// routeRange is the gained routes from first to before end, by number. Numbers are never used again.
type routeRange struct{ first, end int }

func (r routeRange) has(route int) bool { return r.first <= route && route < r.end }

// publication is a published configuration. acknowledged is zero as long as the store has not answered.
type publication struct {
	version            int
	gained             routeRange
	list               listForm
	sent, acknowledged time.Time
	// followsList is true if an earlier configuration had a list of organisations, and keysWithdrawn if nodes in touch must have had
	// one in force before this one was sent.
	followsList, keysWithdrawn bool
}

// publications are all published configurations, in their order. They are safe for concurrent use.
type publications struct {
	mu   sync.Mutex
	list []publication
}

func (p *publications) begin(c publication) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.sent = time.Now()
	for _, earlier := range p.list {
		hasList := earlier.list != listAbsent
		c.followsList = c.followsList || hasList
		c.keysWithdrawn = c.keysWithdrawn || hasList && earlier.boundPassed(c.sent)
	}
	p.list = append(p.list, c)
}

// acknowledge notes that the store has answered the last publication.
func (p *publications) acknowledge() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list[len(p.list)-1].acknowledged = time.Now()
}

// mayBeInForce returns the publications that a node in touch may have in force at some time between two times.
func (p *publications) mayBeInForce(from, to time.Time) []publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []publication
	for i := len(p.list) - 1; i >= 0; i-- {
		if c := p.list[i]; c.sent.Before(to) {
			list = append(list, c)
			if c.boundPassed(from) {
				break
			}
		}
	}
	return list
}

// boundPassed reports whether nodes in touch must have the configuration, or a later one, in force.
func (c publication) boundPassed(at time.Time) bool {
	return !c.acknowledged.IsZero() && c.acknowledged.Add(configBound).Before(at)
}

func (p *publications) last() publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list[len(p.list)-1]
}

// drawShape draws whether all nodes read the store or some get configurations from others only. It draws from a sequence of
// its own, as playGrowth does.
func (r *run) drawShape() {
	random := rand.New(rand.NewPCG(r.settings.Seed, 37))
	r.domains = 1 + random.IntN(2)
	r.followers = []int{2, 8}[random.IntN(2)]
	fmt.Fprintf(r.settings.Out, "seed=%d domains=%d followers=%d\n", r.settings.Seed, r.domains, r.followers)
}

// playGrowth changes the number of routes by the seed until the length of the run has passed. It draws from a sequence of its
// own, so that the other faults of a seed stay what they were.
func (r *run) playGrowth(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.settings.Seed, 31))
	for end := time.Now().Add(r.settings.Length); ; {
		gap := time.Duration(random.Int64N(int64(growthGapMax)))
		routes := growthMin + random.IntN(growthMax-growthMin)
		shrinks := random.IntN(shrinkOdds) == 0
		if time.Now().Add(gap).After(end) || ctx.Err() != nil {
			return
		}
		time.Sleep(gap)
		r.publishChange(func(gained *routeRange) {
			if shrinks || gained.end+routes-gained.first > routesMax {
				gained.first = min(gained.first+routes, gained.end)
			} else {
				gained.end += routes
			}
			fmt.Fprintf(r.settings.Out, "seed=%d configuration grows or shrinks routes=%d version=%d\n", r.settings.Seed, gained.end-gained.first, r.version)
		})
	}
}

// rules returns the gained routes as the operator writes them, each after a comma. members are further members of each.
func (g routeRange) rules(members string) string {
	var b strings.Builder
	for i := g.first; i < g.end; i++ {
		fmt.Fprintf(&b, `,{"name":"gained%d",%s"kind":"idempotent","target-latency-s":0.5,"priority":1,"match":{"path-prefix":"%s"},"action":{"service":%q,"timeout-s":1.5,"max-attempts":2}}`, i, members, gainedPrefix(i), service)
	}
	return b.String()
}

func gainedPrefix(route int) string { return fmt.Sprintf("/gained/%d/", route) }

const (
	// noRoute is a route that no configuration ever has.
	noRoute     = -1
	noRoutePath = "/never/1"
)

// probeRoutes asks a node in turn for routes that all configurations have, that were gained or dropped last, and that never
// existed, until ctx ends.
func (r *run) probeRoutes(ctx context.Context, n *node) {
	for i := 0; ctx.Err() == nil; i++ {
		now := time.Now()
		// The oldest of these is the newest that has to be in force.
		list := r.published.mayBeInForce(now, now)
		gained := list[len(list)-1].gained
		switch i % 4 {
		case 0:
			r.send(context.WithoutCancel(ctx), n, r.check.next("/read/1"))
		case 1:
			r.probeRoute(n, noRoutePath, noRoute)
		case 2:
			if gained.end > gained.first {
				r.probeRoute(n, gainedPrefix(gained.end-1)+"1", gained.end-1)
			}
		case 3:
			if gained.first > 0 {
				r.probeRoute(n, gainedPrefix(gained.first-1)+"1", gained.first-1)
			}
		}
		time.Sleep(probeInterval)
	}
}

// probeRoute asks a node for a route and compares the answer with the configurations that may be in force there.
func (r *run) probeRoute(n *node, path string, route int) {
	call := r.check.next(path)
	caller := platform.NewCaller(n.ip + ":7204")
	defer caller.Close()
	sent := time.Now()
	reply := caller.Do(context.Background(), call)
	answered := time.Now()
	r.check.keep(n.id, call, reply)
	if reply.Err != nil || !r.check.inTouch(n.id, sent, answered) && route != noRoute {
		return
	}
	if fault, detail := judgeRoute(route, reply.Status, r.published.mayBeInForce(sent, answered)); fault != "" {
		r.check.faultOnce(fault, fmt.Sprintf("node %d, %s: %s", n.id, path, detail), call.ID)
	}
}

// judgeRoute compares the status of an answer with the configurations that may be in force. A refusal that promises that
// the request has not run is never a fault here.
func judgeRoute(route, status int, list []publication) (fault, detail string) {
	allowing := 0
	for _, c := range list {
		if c.gained.has(route) {
			allowing++
		}
	}
	newest, oldest := list[0].version, list[len(list)-1].version
	reply := platform.Reply{Status: status}
	switch {
	case status >= 400 && status < 500 && status != http.StatusNotFound && !reply.NotRun():
		return "DENIED", fmt.Sprintf("got %d", status)
	case status == http.StatusNotFound && allowing == len(list):
		return "DENIED", fmt.Sprintf("got 404 though versions %d to %d have the route", oldest, newest)
	case status == http.StatusOK && route == noRoute:
		return "ROUTE", "got 200 for a route that never existed"
	case status == http.StatusOK && allowing == 0:
		return "CONFIG", fmt.Sprintf("got 200 though versions %d to %d do not have the route", oldest, newest)
	}
	return "", ""
}

// faultOnce notes a fault unless it was noted before, perhaps with another id of a call.
func (c *check) faultOnce(rule, detail, id string) {
	c.mu.Lock()
	known := slices.ContainsFunc(c.faults, func(f string) bool { return strings.HasPrefix(f, rule+": "+detail) })
	c.mu.Unlock()
	if !known {
		c.fault(rule, detail+", first "+id)
	}
}

// inTouch reports whether no disturbance of a node or of the store in the last stability excuses it.
func (c *check) inTouch(node int, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.wasDisturbed(node, from.Add(-stability), to) && !c.wasDisturbed(storeID, from.Add(-stability), to)
}

// awaitNewest checks that every node has the last configuration in force once it is in touch and the bound has passed. No
// fault is in progress any more.
func (r *run) awaitNewest(ctx context.Context) {
	last := r.published.last()
	var all sync.WaitGroup
	for _, n := range r.nodes {
		all.Go(func() { r.awaitVersion(ctx, n, last) })
	}
	all.Wait()
}

func (r *run) awaitVersion(ctx context.Context, n *node, last publication) {
	for now := time.Now(); !last.boundPassed(now) || !r.check.inTouch(n.id, now, now); now = time.Now() {
		time.Sleep(10 * time.Millisecond)
	}
	for end := time.Now().Add(healBound); ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		call := r.check.next(fmt.Sprintf("/idle%d/1", last.version))
		caller := platform.NewCaller(n.ip + ":7204")
		reply := caller.Do(ctx, call)
		caller.Close()
		r.check.keep(n.id, call, reply)
		switch {
		case reply.Whole(call):
			return
		case reply.Err == nil && reply.Status == http.StatusNotFound:
			r.check.fault("CONFIG", fmt.Sprintf("%s: node %d does not have version %d with %d routes in force, %v after its acknowledgement",
				call.ID, n.id, last.version, last.gained.end-last.gained.first, time.Since(last.acknowledged).Round(time.Millisecond)))
			return
		case time.Now().After(end):
			r.check.fault("CONFIG", fmt.Sprintf("%s: node %d serves no route of version %d after %v: %d %v", call.ID, n.id, last.version, healBound, reply.Status, reply.Err))
			return
		}
	}
}
