package ingress

import (
	"reflect"
	"slices"
	"sync"
	"time"

	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/view"
)

const (
	// pastMax limits the remembered sets of routes. What exceeds it is answered as unknown.
	pastMax = 32
	// observeInterval is how often the view is looked at when no request does it. A change that is noticed late would
	// be taken for a late change.
	observeInterval = 100 * time.Millisecond
)

// history remembers the routes that were in force, because a caller's key may have run at a service that a route no
// longer leads to. It is safe for concurrent use.
type history struct {
	// settle is the longest time between two nodes that put the same change in force, retention how long a key may be
	// repeated, skew the largest difference of two clocks.
	settle, retention, skew time.Duration
	// timeout returns the time limit of a request on a route.
	timeout func(*config.Route) time.Duration

	mu      sync.Mutex
	current *config.Content
	// past is sorted by time, oldest first.
	past []pastRoutes
	// dropped is the end of the newest routes that were dropped before their time; zero if there are none.
	dropped pastRoutes
	// drops counts the sets of routes that were dropped before their time.
	drops int64
}

// pastRoutes are routes that this node replaced.
type pastRoutes struct {
	matcher *routing.Matcher
	// until is when this node put the next ones in force.
	until time.Time
	// timeoutMax is the largest time limit of a request on one of the routes, or on one of the next ones.
	timeoutMax time.Duration
}

// observe notes the content of a view. Those that a node passes through at its start, before it is ready for the first
// time, were not in force here.
func (h *history) observe(v *view.View, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	content := v.Content
	if content == h.current || (h.current == nil && !v.Ready) {
		return
	}
	replaced := h.current
	h.current = content
	h.expire(now)
	if replaced == nil || (content != nil && reflect.DeepEqual(replaced.Routes, content.Routes)) {
		return
	}
	past := pastRoutes{matcher: routing.NewMatcher(replaced), until: now}
	for _, c := range []*config.Content{replaced, content} {
		past.timeoutMax = max(past.timeoutMax, h.longest(c))
	}
	h.past = append(h.past, past)
	if len(h.past) > pastMax {
		h.drop()
	}
}

func (h *history) longest(c *config.Content) time.Duration {
	var longest time.Duration
	if c == nil {
		return longest
	}
	for i := range c.Routes {
		longest = max(longest, h.timeout(&c.Routes[i]))
	}
	return longest
}

func (h *history) drop() {
	oldest := h.past[0]
	h.past = slices.Delete(h.past, 0, 1)
	oldest.timeoutMax = max(oldest.timeoutMax, h.dropped.timeoutMax)
	oldest.matcher = nil
	h.dropped = oldest
	h.drops++
}

// size returns the number of remembered sets of routes and of those dropped before their time since the start.
func (h *history) size() (past int, drops int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.past), h.drops
}

// expire forgets routes under which no key that may still be repeated can have run.
func (h *history) expire(now time.Time) {
	h.past = slices.DeleteFunc(h.past, func(p pastRoutes) bool { return h.over(&p, now) })
	if h.over(&h.dropped, now) {
		h.dropped = pastRoutes{}
	}
}

func (h *history) over(p *pastRoutes, now time.Time) bool {
	return now.After(p.until.Add(2*h.settle + p.timeoutMax + h.retention))
}

// keyed is what the place of a key depends on besides the routes.
type keyed struct {
	method, caller, path, key string
	// issuedMS is 0 if the issue time is not known.
	issuedMS int64
	// timeout is the time limit of a request on the route in force.
	timeout time.Duration
}

// servicesOfKey says where a caller's key belongs.
type servicesOfKey struct {
	// start is the service whose owner may run the key.
	start string
	// ask are the other services at which the key may have run.
	ask []string
	// wait is true if the key must not be started: another node may start it at another service.
	wait bool
}

// place returns where a key belongs, if it belongs to the service current by the routes in force.
//
// For settle after a change this node still starts keys at the previous service, as nodes without the change do. Then it
// starts none until no node does so any more and what was sent that way has begun or ended. From then on, the key starts
// at the new service if the owner at the previous one has not seen it. All of this concerns only keys whose service
// changes and which may have been issued before all nodes were past the first step.
func (h *history) place(k keyed, current string, now time.Time) servicesOfKey {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	place := servicesOfKey{wait: !h.dropped.until.IsZero() && !h.issuedAfter(&h.dropped, k)}
	var settling []string
	for i := range h.past {
		p := &h.past[i]
		service, timeout, ok := h.previous(p, k)
		if !ok {
			continue
		}
		age := now.Sub(p.until)
		switch {
		case age <= h.settle && place.start == "":
			place.start = service
		case age > h.settle && age <= 2*h.settle+timeout:
			settling = append(settling, service)
		}
		place.ask = append(place.ask, service)
	}
	if place.start == "" {
		place.start = current
	}
	place.wait = place.wait || slices.ContainsFunc(settling, func(s string) bool { return s != place.start })
	slices.Sort(place.ask)
	place.ask = slices.DeleteFunc(slices.Compact(place.ask), func(s string) bool { return s == place.start })
	return place
}

// previous returns the service at which a key may have run under past routes, and the time limit there.
func (h *history) previous(p *pastRoutes, k keyed) (string, time.Duration, bool) {
	if h.issuedAfter(p, k) {
		return "", 0, false
	}
	route, ok := p.matcher.Match(k.caller, k.path)
	if !ok || routing.Idempotent(route, k.method) {
		return "", 0, false
	}
	service, ok := routing.ServiceForKey(route, k.key)
	return service, max(h.timeout(route), k.timeout), ok
}

// issuedAfter reports whether a key was certainly issued after every node had stopped to start keys under past routes.
func (h *history) issuedAfter(p *pastRoutes, k keyed) bool {
	return k.issuedMS > p.until.Add(2*h.settle+h.skew).UnixMilli()
}

// observeViews notes changes of the view until the handler is closed.
func (h *Handler) observeViews() {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		h.viewNow()
		select {
		case <-ticker.C:
		case <-h.drained:
			return
		}
	}
}
