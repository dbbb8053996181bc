package quota

import "time"

const (
	// unstatedNodes is the number of nodes that a process assumes before a source has stated it: more than a deployment may have
	// (docs/design.md, 1.3), so that any number of processes without a source together use less than the slack.
	unstatedNodes = 1000
	// partialTime bounds the time for which a process that sees less than half of the stated nodes counts as isolated, joinTime that
	// for one that lacks more than a quarter. Nodes that start together may see each other before they see the others.
	partialTime = 30 * time.Second
	joinTime    = time.Second
	// partialShare is the part of rate / nodes that such a process uses. The others may not know it yet, and use the whole rate.
	partialShare = 0.3
)

// fleetSize is what a process knows of the number of nodes that share the quotas. The nodes of the view count only once a source has
// stated a number: with the rate / 1 each process that has just started would admit the whole rate.
type fleetSize struct {
	stated bool
	// floor is the stated number until the view has as many nodes, then 0. statedAt is the time of the first statement.
	floor    int
	statedAt time.Duration
}

// state takes over the stated number of nodes; 0 if the view has as many.
func (f *fleetSize) state(floor int, now time.Duration) {
	if !f.stated {
		f.stated, f.statedAt = true, now
	}
	f.floor = floor
}

// apply returns the number of nodes to assume for a view with live nodes among known ones, and whether the view is too small for
// the choice of owners.
func (f *fleetSize) apply(live, known int, now time.Duration) (nodes int, partial bool) {
	if !f.stated {
		return max(known, unstatedNodes), true
	}
	if known >= f.floor {
		f.floor = 0
	}
	since := now - f.statedAt
	partial = 4*known < 3*f.floor && since < joinTime || 2*live < f.floor && since < partialTime
	return max(known, f.floor), partial
}

// members returns the members for a view.
func (f *fleetSize) members(live []Peer, known, partitions int, now time.Duration) Members {
	nodes, partial := f.apply(len(live), known, now)
	if !f.stated {
		// A node that counted for a partition now would take the requests of the others for none.
		return Members{Known: nodes, Partial: true, Unstated: true, Live: live, Owners: make([]Peer, partitions)}
	}
	m := membersOf(live, nodes, partitions)
	m.Partial = partial
	return m
}
