package ingress

import (
	"context"
	"time"

	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
)

// ownerOfKey returns the owner of the caller's key, or a response if the key has run or must not be started.
func (j *job) ownerOfKey(ctx context.Context) (*endpoint.Entry, *wire.Response) {
	current, ok := routing.ServiceForKey(j.route, j.request.Key)
	if !ok {
		return nil, refuse(outcome.ReasonNoTarget)
	}
	place := j.servicesOfKey(current)
	for _, service := range place.ask {
		if response := j.askPrevious(ctx, service); response != nil {
			return nil, response
		}
	}
	if place.wait {
		return nil, refuse(outcome.ReasonRouteChanged)
	}
	j.request.Service = place.start
	return j.ownerAt(place.start)
}

func (j *job) servicesOfKey(current string) servicesOfKey {
	k := keyed{
		method: j.request.Method, caller: j.caller, path: j.path,
		key: j.request.Key, issuedMS: j.request.KeyIssuedMS, timeout: j.h.limits(j.route).Timeout,
	}
	return j.h.history.place(k, current, time.Now())
}

func (j *job) ownerAt(service string) (*endpoint.Entry, *wire.Response) {
	placement := j.place(service, j.request.Key, j.request.KeyIssuedMS)
	if placement.Owner == nil {
		return nil, &wire.Response{Outcome: placement.Outcome, Reason: placement.Reason}
	}
	return placement.Owner, nil
}

// askPrevious asks the owner of the key at a service that the route led to before. It returns nil if the owner has not
// seen the key, and an unknown outcome if the service or its owner is gone.
func (j *job) askPrevious(ctx context.Context, service string) *wire.Response {
	owner, refusal := j.ownerAt(service)
	if refusal != nil {
		return unknown(refusal.Reason)
	}
	j.h.counters.Previous.Add(1)
	inquiry := j.request
	inquiry.Service = service
	inquiry.ID = j.h.attempt.Add(1)
	response := j.resolve(ctx, owner.Address, &inquiry)
	if response.Outcome == outcome.RefusedNotRun && response.Reason == outcome.ReasonFenced {
		return nil
	}
	return response
}
