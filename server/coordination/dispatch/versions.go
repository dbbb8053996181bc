package dispatch

import (
	"context"
	"time"

	"wagtailford.example/server/coordination/rollout"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
)

// candidates returns the members of the service that may serve the request, of the chosen version if the service has an
// order.
func (j *job) candidates() candidates {
	cache, settings := &j.handler.candidates, &j.handler.settings
	if j.pick == nil {
		return cache.lookup(j.view, j.service, settings)
	}
	list := cache.lookupVersion(j.view, j.service, j.pick.Filter(), settings)
	if len(list.entries) > 0 || hasVersion(j.view.ByService[j.service], j.pick.Filter()) || !j.pick.UseOnlyVersion() {
		return list
	}
	return cache.lookupVersion(j.view, j.service, j.pick.Filter(), settings)
}

// hasVersion reports whether any member, whatever its state, has one of the versions.
func hasVersion(members []*endpoint.Entry, f *rollout.Filter) bool {
	for _, e := range members {
		if f.Allows(e.SoftwareVersion) {
			return true
		}
	}
	return false
}

// useOtherVersion moves a request for which the new version has no usable target to the old one, and returns false if it
// may not be moved.
func (j *job) useOtherVersion() bool {
	if j.pick == nil || !j.pick.UseOld() {
		return false
	}
	j.steps.recordFallback()
	return true
}

// recordVersion counts the outcome of an attempt for the version. A caller that left, or a node that cannot be reached, says
// nothing about the version. Further attempts are made at the old version while it may serve: a version that is
// bad or full costs a request no more than one attempt.
func (j *job) recordVersion(ctx context.Context, target string, r *wire.Response, reported bool, took time.Duration) {
	a := rollout.Attempt{Target: target, Arrived: r.Arrived, Took: took}
	switch r.Outcome {
	case outcome.Answered:
		a.Counted, a.Failed = true, r.Status >= statusServerError
		if r.RunUS > 0 {
			a.Took = time.Duration(r.RunUS) * time.Microsecond
		}
	case outcome.RefusedNotRun:
		a.Refused = reported && ctx.Err() == nil && r.Reason != outcome.ReasonDeadline
	case outcome.Unknown:
		late := r.Reason == outcome.ReasonDeadline
		a.Counted, a.Failed = late || (reported && r.Reason != outcome.ReasonCanceled && r.Reason != outcome.ReasonBodyNotReceived), true
	}
	j.pick.Ended(a)
	j.pick.UseOld()
}
