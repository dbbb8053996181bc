package routing

import (
	"sync"
	"time"
)

const (
	// domainRefusals is the number of refusals in a row after which a failure domain counts as full.
	domainRefusals = 2
	// domainKindsMax limits the pairs of domain and kind that are remembered; when it is reached all are forgotten.
	domainKindsMax = 1024
)

// FullDomains remembers which other failure domains are full for a kind of requests. In a large fleet, each of the many
// targets of a full domain would otherwise be offered a request before it is known to be full. It is safe for
// concurrent use.
type FullDomains struct {
	mu    sync.Mutex
	kinds map[domainKind]domainState
}

type domainKind struct {
	domain string
	kind   uint32
}

type domainState struct {
	refusals    int
	fullUntilMS int64
}

// Record takes the answer of a node of a domain to an offer of a kind. wait is the wait that a full one stated.
func (d *FullDomains) Record(domain string, kind uint32, full bool, wait time.Duration, nowMS int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := domainKind{domain, kind}
	if !full {
		delete(d.kinds, key)
		return
	}
	if d.kinds == nil || len(d.kinds) >= domainKindsMax {
		d.kinds = make(map[domainKind]domainState)
	}
	state := d.kinds[key]
	state.refusals++
	if state.refusals >= domainRefusals {
		state.fullUntilMS = (&Report{Full: true, Wait: wait}).fullUntilMS(nowMS)
	}
	d.kinds[key] = state
}

// IsFull reports whether a domain counts as full for a kind. After that time the next refusal makes it full again.
func (d *FullDomains) IsFull(domain string, kind uint32, nowMS int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return nowMS < d.kinds[domainKind{domain, kind}].fullUntilMS
}
