package dispatch

import (
	"sync"
	"time"
)

const (
	// errorWindow is the time within which an error response of the target counts as caused by a refused call. A
	// target that lacks a response fails its own request within about 2 ms. In a longer window, requests that are
	// refused for other callers would often precede an error by chance.
	errorWindow = 5 * time.Millisecond
	// nestedRefusalsMin is the number of refusals of a route that are needed for a conclusion.
	nestedRefusalsMin = 4
	// nestedShareMin is the share of the refusals of a route that an error response has to follow.
	nestedShareMin = 0.5
	// nestedHistory is the number of refusals at which older ones count half.
	nestedHistory = 64
	// maxNestedKinds limits the routes that are distinguished; at the limit all are dropped.
	maxNestedKinds = 1024
)

// nestedCalls learns which requests are calls that the local target makes while it runs a request, and without which
// that request fails. Callers and the target use the same interface, and nothing in a call names the request that it
// belongs to. The evidence is that the target responds with an error right after a request was refused. It is safe for
// concurrent use.
type nestedCalls struct {
	mu    sync.Mutex
	kinds map[uint32]*refusalEvidence
}

// refusalEvidence counts the refusals of one kind. Refusals within errorWindow count once, because a target often makes
// several calls together.
type refusalEvidence struct {
	refusals, errors float64
	last             time.Time
	// open is true while no error response has followed the latest refusal.
	open bool
}

// recordRefusal counts a request that was refused for good.
func (n *nestedCalls) recordRefusal(kind uint32, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.kinds[kind]
	if e == nil {
		if n.kinds == nil || len(n.kinds) >= maxNestedKinds {
			n.kinds = make(map[uint32]*refusalEvidence)
		}
		e = &refusalEvidence{}
		n.kinds[kind] = e
	}
	if now.Sub(e.last) <= errorWindow && e.open {
		return
	}
	if e.refusals >= nestedHistory {
		e.refusals, e.errors = e.refusals/2, e.errors/2
	}
	e.refusals++
	e.last, e.open = now, true
}

// recordTargetError attributes an error response of the local target to the kinds that were refused just before.
func (n *nestedCalls) recordTargetError(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.kinds {
		if e.open && now.Sub(e.last) <= errorWindow {
			e.errors++
			e.open = false
		}
	}
}

// isNested reports whether requests of a kind are known to be calls of running requests.
func (n *nestedCalls) isNested(kind uint32) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.kinds[kind]
	return e != nil && e.isConclusive()
}

func (e *refusalEvidence) isConclusive() bool {
	return e.refusals >= nestedRefusalsMin && e.errors >= nestedShareMin*e.refusals
}

// count returns the number of kinds that are known to be calls of running requests.
func (n *nestedCalls) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := 0
	for _, e := range n.kinds {
		if e.isConclusive() {
			known++
		}
	}
	return known
}
