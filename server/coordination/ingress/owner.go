package ingress

import (
	"context"
	"time"

	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
)

// ownerOfKey returns the owner of the caller's key, or a response if the key has already run or must not be started.
func (j *job) ownerOfKey(ctx context.Context) (*endpoint.Entry, *wire.Response) {
	current, ok := routing.ServiceForKey(j.route, j.request.Key)
	if !ok {
		return nil, refuse(outcome.ReasonNoTarget)
	}
	services := j.servicesForKey(current)
	for _, service := range services.previous {
		if response := j.inquirePrevious(ctx, service); response != nil {
			return nil, response
		}
	}
	if services.blocked {
		return nil, refuse(outcome.ReasonRouteChanged)
	}
	j.request.Service = services.start
	return j.ownerAtService(services.start)
}

func (j *job) servicesForKey(current string) keyServices {
	k := keyedRequest{
		method: j.request.Method, caller: j.caller, path: j.path,
		key: j.request.Key, issuedMS: j.request.KeyIssuedMS, timeout: j.h.limits(j.route).Timeout,
	}
	return j.h.history.servicesFor(k, current, time.Now())
}

func (j *job) ownerAtService(service string) (*endpoint.Entry, *wire.Response) {
	placement := j.placeKey(service, j.request.Key, j.request.KeyIssuedMS)
	if placement.Owner == nil {
		return nil, &wire.Response{Outcome: placement.Outcome, Reason: placement.Reason}
	}
	return placement.Owner, nil
}

// inquirePrevious asks the owner of the key at a previous destination of the route. It returns nil if the owner has no
// record of the key, and an unknown outcome if the service or its owner no longer exists.
func (j *job) inquirePrevious(ctx context.Context, service string) *wire.Response {
	owner, refusal := j.ownerAtService(service)
	if refusal != nil {
		return unknown(refusal.Reason)
	}
	j.h.counters.Previous.Add(1)
	inquiry := j.request
	inquiry.Service = service
	inquiry.ID = j.h.lastAttemptID.Add(1)
	response := j.resolve(ctx, owner.Address, &inquiry)
	if response.Outcome == outcome.RefusedNotRun && response.Reason == outcome.ReasonFenced {
		return nil
	}
	return response
}
