package quota

import (
	"time"

	"wagtailford.example/server/state/config"
)

// previewMax limits the requests that a preview counts. A node admits any number while the owner answers promptly and has not
// limited the organisation.
const previewMax = 1000

// String returns the name of the grade.
func (g grade) String() string {
	switch g {
	case fresh:
		return "fresh"
	case slow:
		return "slow"
	default:
		return "isolated"
	}
}

// Preview is what a node would decide on the next request of an organisation.
type Preview struct {
	// Limited is false if the organisation has no rate; all else is unset then, except Admitted.
	Limited  bool
	Admitted bool
	// RetryAfter is the wait that a refused caller is told.
	RetryAfter           time.Duration
	RatePerSecond, Burst float64
	// Left is the number of requests that the node would admit now, one right after the other, at most previewMax.
	Left int
	// Unbounded is true if the node would admit more than Left.
	Unbounded bool
	// Nodes is the number of nodes among which the rate is divided, PartPerSecond the part of this node without the owner.
	Nodes         int
	PartPerSecond float64
	// Owner is the node that counts the organisation, Contact how far this node relies on it: fresh, slow or isolated.
	Owner, Contact string
	// AnsweredAge is the age of the newest report that the owner answered; negative if there is none.
	AnsweredAge time.Duration
	// PerMille is the part of 1000 requests that the owner admits; 1000 if it has not limited the organisation.
	PerMille int
	// RateLowered is true if the owner may not know the lowered rate of the configuration yet.
	RateLowered bool
}

// Preview returns what Admit would decide. It works on a copy of the state of the organisation, so that nothing is counted.
func (e *Entry) Preview(o *config.Organisation, now time.Duration) Preview {
	if o.RatePerSecond <= 0 {
		return Preview{Admitted: true}
	}
	id := IDOf(o.Name)
	p := Preview{
		Limited: true, RatePerSecond: o.RatePerSecond, Burst: o.Burst, Nodes: e.members.Known,
		AnsweredAge: -1, PerMille: 1000, Contact: isolated.String(),
	}
	if len(e.partitions) == 0 {
		p.RetryAfter = waitMin
		return p
	}
	state := e.states[id]
	if state == nil {
		state = e.newState(id, o, now)
	}
	c := &e.partitions[e.rates.partition(id)]
	p.PartPerSecond = e.share(e.isolatedRate(o, c, now))
	p.Owner, p.Contact = c.owner.Node, e.grade(c, now).String()
	if c.everAnswered {
		p.AnsweredAge = max(now-c.answered, 0)
	}
	if l, limited := c.limited[id]; limited {
		p.PerMille = l.PerMille
	}
	_, p.RateLowered = e.lowered[id]
	copied := *state
	for p.Left < previewMax {
		admitted, wait := e.decide(id, o, c, &copied, now)
		if p.Left == 0 {
			p.Admitted, p.RetryAfter = admitted, max(wait, waitMin)
		}
		if !admitted {
			break
		}
		p.Left++
	}
	p.Unbounded = p.Left == previewMax
	if p.Admitted {
		p.RetryAfter = 0
	}
	return p
}
