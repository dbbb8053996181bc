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
	// pastRoutesMax limits the number of replaced route sets that are kept. Keys that may have run under a set dropped
	// because of this limit get an unknown outcome.
	pastRoutesMax = 32
	// observeInterval is the interval at which the view is polled when no request reads it. A change counts from the
	// time it is noticed, so a long interval would date changes too late.
	observeInterval = 100 * time.Millisecond
)

// history keeps the route sets that were replaced, because a caller's idempotency key may have run at a service that is
// no longer a destination of the route. It is safe for concurrent use.
type history struct {
	// propagationMax is the longest time between two nodes putting the same change in force, retention how long a key
	// may be repeated, skew the largest difference between the clocks of two nodes.
	propagationMax, retention, skew time.Duration
	// timeout returns the request timeout of a route.
	timeout func(*config.Route) time.Duration

	mu      sync.Mutex
	current *config.Content
	// past is sorted by replacedAt, oldest first.
	past []pastRoutes
	// newestDropped is the newest route set dropped before it expired, without its matcher; zero if there is none.
	newestDropped pastRoutes
	// dropCount counts the route sets dropped before they expired.
	dropCount int64
}

// pastRoutes is a route set that was in force on this node and has been replaced.
type pastRoutes struct {
	matcher *routing.Matcher
	// replacedAt is when this node put the next route set in force.
	replacedAt time.Time
	// timeoutMax is the largest request timeout of the routes in this set and in the set that replaced it.
	timeoutMax time.Duration
}

// observe records the routes of a view. Versions that a node reads at startup, before it is ready for the first time,
// are ignored because they were never in force on it.
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
	past := pastRoutes{matcher: routing.NewMatcher(replaced), replacedAt: now}
	for _, c := range []*config.Content{replaced, content} {
		past.timeoutMax = max(past.timeoutMax, h.maxTimeout(c))
	}
	h.past = append(h.past, past)
	if len(h.past) > pastRoutesMax {
		h.dropOldest()
	}
}

func (h *history) maxTimeout(c *config.Content) time.Duration {
	var longest time.Duration
	if c == nil {
		return longest
	}
	for i := range c.Routes {
		longest = max(longest, h.timeout(&c.Routes[i]))
	}
	return longest
}

func (h *history) dropOldest() {
	oldest := h.past[0]
	h.past = slices.Delete(h.past, 0, 1)
	oldest.timeoutMax = max(oldest.timeoutMax, h.newestDropped.timeoutMax)
	oldest.matcher = nil
	h.newestDropped = oldest
	h.dropCount++
}

// size returns the number of route sets kept, and the number dropped before they expired since the start.
func (h *history) size() (past int, drops int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.past), h.dropCount
}

// expire removes the route sets under which no key that may still be repeated can have run.
func (h *history) expire(now time.Time) {
	h.past = slices.DeleteFunc(h.past, func(p pastRoutes) bool { return h.expired(&p, now) })
	if h.expired(&h.newestDropped, now) {
		h.newestDropped = pastRoutes{}
	}
}

func (h *history) expired(p *pastRoutes, now time.Time) bool {
	return now.After(p.replacedAt.Add(2*h.propagationMax + p.timeoutMax + h.retention))
}

// keyedRequest holds the properties of a request that, together with the routes, decide which services its key
// concerns.
type keyedRequest struct {
	method, caller, path, key string
	// issuedMS is 0 if the issue time is not known.
	issuedMS int64
	// timeout is the request timeout of the route in force.
	timeout time.Duration
}

// keyServices are the services that a caller's key concerns.
type keyServices struct {
	// start is the service whose owner may run a request with the key.
	start string
	// previous lists the other services at which the key may have run.
	previous []string
	// blocked is true if no request with the key may be started because another node may start one at another service.
	blocked bool
}

// servicesFor returns the services that a key concerns. current is its service under the routes in force.
//
// A change of the routes takes effect in three steps. For propagationMax after the change this node still starts keys
// at the previous service, as nodes without the change do. It then starts none until every node has stopped using the
// previous service and every request sent there has started or ended. After that, a key starts at the new service if
// the owner at the previous one has no record of it. The steps apply only to keys whose service changes and which may
// have been issued before every node had completed the first step.
func (h *history) servicesFor(k keyedRequest, current string, now time.Time) keyServices {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	services := keyServices{blocked: !h.newestDropped.replacedAt.IsZero() && !h.issuedAfter(&h.newestDropped, k)}
	var transitional []string
	for i := range h.past {
		p := &h.past[i]
		service, timeout, ok := h.previous(p, k)
		if !ok {
			continue
		}
		age := now.Sub(p.replacedAt)
		switch {
		case age <= h.propagationMax && services.start == "":
			services.start = service
		case age > h.propagationMax && age <= 2*h.propagationMax+timeout:
			transitional = append(transitional, service)
		}
		services.previous = append(services.previous, service)
	}
	if services.start == "" {
		services.start = current
	}
	services.blocked = services.blocked ||
		slices.ContainsFunc(transitional, func(s string) bool { return s != services.start })
	slices.Sort(services.previous)
	services.previous = slices.DeleteFunc(slices.Compact(services.previous),
		func(s string) bool { return s == services.start })
	return services
}

// previous returns the service at which a key may have run under a past route set, and the request timeout there.
func (h *history) previous(p *pastRoutes, k keyedRequest) (string, time.Duration, bool) {
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

// issuedAfter reports whether a key was certainly issued after every node had stopped starting keys under the past
// route set.
func (h *history) issuedAfter(p *pastRoutes, k keyedRequest) bool {
	return k.issuedMS > p.replacedAt.Add(2*h.propagationMax+h.skew).UnixMilli()
}

// observeViews records changes of the view until the handler has shut down.
func (h *Handler) observeViews() {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		h.currentView()
		select {
		case <-ticker.C:
		case <-h.drained:
			return
		}
	}
}
