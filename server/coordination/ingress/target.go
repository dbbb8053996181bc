package ingress

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"wagtailford.example/server/coordination/ownership"
	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

// chooseTarget chooses the target of an idempotent request.
func (j *job) chooseTarget() (*endpoint.Entry, *wire.Response) {
	usable := func(d *config.Destination) bool { return len(j.candidates(d)) > 0 }
	destination := routing.ChooseDestination(j.route, j.h.deps.Random(), usable)
	if destination == nil {
		return nil, refuse(outcome.ReasonNoTarget)
	}
	j.request.Service = destination.Service
	return j.choose(j.candidates(destination)), nil
}

func (j *job) candidates(d *config.Destination) []*endpoint.Entry {
	members := j.view.ByService[d.Service]
	return routing.Candidates(members, d.Labels, j.h.settings.Routing.PanicFraction)
}

func (j *job) choose(candidates []*endpoint.Entry) *endpoint.Entry {
	return routing.Choose(&routing.Choice{
		Candidates: candidates,
		Stat:       j.h.tracker.Stat,
		Exclude:    j.failed,
		Locality:   j.h.settings.Locality,
		NowMS:      time.Now().UnixMilli(),
		Settings:   j.h.settings.Routing,
		Random:     j.h.deps.Random,
	})
}

func (j *job) place(service, key string, issuedMS int64) ownership.Placement {
	return ownership.Place(j.view.ByService[service], key, issuedMS, time.Now().UnixMilli(), j.h.settings.Ownership)
}

// generateKey gives the request a new key whose owner is the target chosen by load. If no such key is found within
// the bound, the last key whose owner may serve the request is taken. The service follows from the key as for a
// caller's key, because the caller gets the key with an unknown outcome and asks again with it. Soon after a change of
// the route the repeat could go to another service; the caller does not get the key then.
func (j *job) generateKey() (*endpoint.Entry, *wire.Response) {
	j.request.KeyFromMesh = true
	var wanted, fallback *endpoint.Entry
	var service, fallbackKey string
	var owners map[string]bool
	for range j.h.settings.KeyTries {
		nowMS := time.Now().UnixMilli()
		key := newKey(nowMS, j.h.deps.Random)
		of, _ := routing.ServiceForKey(j.route, key)
		if wanted == nil {
			service = of
			wanted, owners = j.chooseOwner(service)
		}
		if wanted == nil || of != service {
			continue
		}
		owner := j.place(service, key, nowMS).Owner
		if owner == nil || !owners[owner.Node] {
			continue
		}
		fallback, fallbackKey = owner, key
		if owner == wanted {
			break
		}
	}
	if fallback == nil {
		return nil, refuse(outcome.ReasonNoTarget)
	}
	if fallback != wanted {
		j.h.counters.KeyMissed.Add(1)
	}
	j.request.Service = service
	j.request.Key = fallbackKey
	j.request.KeyIssuedMS = ownership.IssueTime(fallbackKey, "")
	place := j.servicesOfKey(service)
	j.keyWithheld = j.keyWithheld || place.wait || place.start != service || len(place.ask) > 0
	return fallback, nil
}

// chooseOwner chooses a target of a service that can own a key, and returns the nodes that may own it instead.
func (j *job) chooseOwner(service string) (*endpoint.Entry, map[string]bool) {
	usable := func(d *config.Destination) bool {
		return d.Service == service && len(owning(j.candidates(d))) > 0
	}
	destination := routing.ChooseDestination(j.route, j.h.deps.Random(), usable)
	if destination == nil {
		return nil, nil
	}
	candidates := owning(j.candidates(destination))
	owners := make(map[string]bool, len(candidates))
	for _, e := range candidates {
		owners[e.Node] = true
	}
	return j.choose(candidates), owners
}

// owning returns the candidates that may own a new key.
func owning(candidates []*endpoint.Entry) []*endpoint.Entry {
	var owners []*endpoint.Entry
	for _, e := range candidates {
		if e.Eligible && e.State != endpoint.Dead {
			owners = append(owners, e)
		}
	}
	return owners
}

// newKey returns a UUID of version 7 with the given issue time.
func newKey(issuedMS int64, random func() uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(issuedMS)<<16|random()&0xffff)
	binary.BigEndian.PutUint64(id[8:], random())
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}
