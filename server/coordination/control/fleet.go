package control

import (
	"context"

	"wagtailford.example/server/state/endpoint"
)

// fleetSize is what the node knows of the number of nodes. A process that starts sees itself in its table, and perhaps others that
// have just started too. So the table counts only once a source has stated a number: the directory, in which this node is itself, or
// a node that such a number was stated to. That no source could be read says nothing about the number.
type fleetSize struct {
	stated bool
	// floor is the stated number until the table has as many nodes, then 0. known is the number of those that have not left.
	floor, known int
}

// update takes over the entries of the table.
func (f *fleetSize) update(entries []*endpoint.Entry) {
	f.known = 0
	for _, e := range entries {
		if e.State != endpoint.Left {
			f.known++
		}
	}
	if f.known >= f.floor {
		f.floor = 0
	}
}

// statement returns the number to state to others; 0 if no source has stated it.
func (f *fleetSize) statement() int {
	if !f.stated {
		return 0
	}
	return max(f.known, f.floor)
}

// StateFleetSize takes over the number of nodes in a directory that contains this one. It replaces earlier statements.
func (l *Loop) StateFleetSize(nodes int) {
	_ = l.do(context.Background(), func() { l.stateFleetSize(nodes) })
}

// HearFleetSize takes over the number of nodes that another node knows, 0 if it knows none, unless a number was stated before.
func (l *Loop) HearFleetSize(nodes int) {
	_ = l.do(context.Background(), func() { l.heardOfFleet(nodes) })
}

func (l *Loop) heardOfFleet(nodes int) {
	if nodes > 0 && !l.fleet.stated {
		l.stateFleetSize(nodes)
	}
}

func (l *Loop) stateFleetSize(nodes int) {
	l.fleet.stated, l.fleet.floor = true, nodes
	l.publishView()
}
