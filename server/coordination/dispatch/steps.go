package dispatch

import (
	"time"

	"wagtailford.example/server/coordination/rollout"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/view"
)

// steps are the parts of placing a request that take or record something, so that an explanation can make the same decisions
// without it.
type steps interface {
	currentView() *view.View
	// organisation returns the organisation of the request, nil if it has none, or the refusal.
	organisation(v *view.View, route *config.Route, r *Request) (*config.Organisation, *Result)
	destination(route *config.Route) *config.Destination
	// admit admits the request to the quota of its organisation, or returns the refusal.
	admit(o *config.Organisation, elapsed time.Duration) *Result
	// pick chooses the software version; nil if the service has no order.
	pick(v *view.View, service string, kind uint32, now time.Time) *rollout.Pick
	// recordFallback counts a request that is moved from the new version to the old one.
	recordFallback()
	random() uint64
}

// placing are the steps of requests.
type placing struct{ h *Handler }

func (p placing) currentView() *view.View { return p.h.currentView() }

func (p placing) organisation(v *view.View, route *config.Route, r *Request) (*config.Organisation, *Result) {
	return p.h.authorize(v, route, r)
}

func (p placing) destination(route *config.Route) *config.Destination {
	return p.h.splitter.Next(route)
}

func (p placing) admit(o *config.Organisation, elapsed time.Duration) *Result {
	if elapsed > 0 {
		p.h.counters.returned.Add(1)
	}
	return p.h.admitToQuota(o)
}

func (p placing) pick(v *view.View, service string, kind uint32, now time.Time) *rollout.Pick {
	return p.h.deps.Rollouts.Begin(v, service, kind, now)
}

func (p placing) recordFallback() { p.h.deps.Rollouts.RecordFallback() }

func (p placing) random() uint64 { return p.h.deps.Random() }
