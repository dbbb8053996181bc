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

// chooseTarget selects a destination and a target for an idempotent request.
func (j *job) chooseTarget() (*endpoint.Entry, *wire.Response) {
	usable := func(d *config.Destination) bool { return len(j.candidates(d)) > 0 }
	destination := routing.ChooseDestination(j.route, j.h.deps.Random(), usable)
	if destination == nil {
		return nil, refuse(outcome.ReasonNoTarget)
	}
	j.request.Service = destination.Service
	return j.chooseCandidate(j.candidates(destination)), nil
}

func (j *job) candidates(d *config.Destination) []*endpoint.Entry {
	members := j.view.ByService[d.Service]
	return routing.Candidates(members, d.Labels, j.h.settings.Routing.PanicFraction)
}

func (j *job) chooseCandidate(candidates []*endpoint.Entry) *endpoint.Entry {
	return routing.Choose(&routing.Choice{
		Candidates: candidates,
		Stat:       j.h.tracker.Stat,
		Exclude:    j.failedNodes,
		Locality:   j.h.settings.Locality,
		NowMS:      time.Now().UnixMilli(),
		Settings:   j.h.settings.Routing,
		Random:     j.h.deps.Random,
	})
}

func (j *job) placeKey(service, key string, issuedMS int64) ownership.Placement {
	return ownership.Place(j.view.ByService[service], key, issuedMS, time.Now().UnixMilli(), j.h.settings.Ownership)
}

// generateKey gives the request a new key whose owner is the target selected by load balancing. If none of
// KeyCandidatesMax keys has that owner, it uses the last key whose owner may serve the request. The key determines the
// service, as with a caller's key, because the caller receives the key with an unknown outcome and may repeat the
// request with it. Shortly after a change of the route, a repeat could be sent to a different service; the key is then
// withheld from the caller.
func (j *job) generateKey() (*endpoint.Entry, *wire.Response) {
	j.request.KeyFromMesh = true
	var preferred, selected *endpoint.Entry
	var service, selectedKey string
	var owners map[string]bool
	for range j.h.settings.KeyCandidatesMax {
		nowMS := time.Now().UnixMilli()
		key := newKey(nowMS, j.h.deps.Random)
		keyService, _ := routing.ServiceForKey(j.route, key)
		if preferred == nil {
			service = keyService
			preferred, owners = j.chooseOwner(service)
		}
		if preferred == nil || keyService != service {
			continue
		}
		owner := j.placeKey(service, key, nowMS).Owner
		if owner == nil || !owners[owner.Node] {
			continue
		}
		selected, selectedKey = owner, key
		if owner == preferred {
			break
		}
	}
	if selected == nil {
		return nil, refuse(outcome.ReasonNoTarget)
	}
	if selected != preferred {
		j.h.counters.KeyMissed.Add(1)
	}
	j.request.Service = service
	j.request.Key = selectedKey
	j.request.KeyIssuedMS = ownership.IssueTime(selectedKey, "")
	services := j.servicesForKey(service)
	j.keyWithheld = j.keyWithheld || services.blocked || services.start != service || len(services.previous) > 0
	return selected, nil
}

// chooseOwner selects a target of a service that may own a new key. It also returns the set of all nodes that may own
// it.
func (j *job) chooseOwner(service string) (*endpoint.Entry, map[string]bool) {
	usable := func(d *config.Destination) bool {
		return d.Service == service && len(eligibleOwners(j.candidates(d))) > 0
	}
	destination := routing.ChooseDestination(j.route, j.h.deps.Random(), usable)
	if destination == nil {
		return nil, nil
	}
	candidates := eligibleOwners(j.candidates(destination))
	owners := make(map[string]bool, len(candidates))
	for _, e := range candidates {
		owners[e.Node] = true
	}
	return j.chooseCandidate(candidates), owners
}

// eligibleOwners returns the candidates that may own a new key.
func eligibleOwners(candidates []*endpoint.Entry) []*endpoint.Entry {
	var owners []*endpoint.Entry
	for _, e := range candidates {
		if e.Eligible && e.State != endpoint.Dead {
			owners = append(owners, e)
		}
	}
	return owners
}

// newKey returns a version 7 UUID with the given issue time.
func newKey(issuedMS int64, random func() uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(issuedMS)<<16|random()&0xffff)
	binary.BigEndian.PutUint64(id[8:], random())
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}
