package daemon

import (
	"sync"
	"time"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/state/endpoint"
)

// firstReadWait is how long a starting node that is no reader among the nodes of the directory waits for others before it
// reads the configuration itself. It is long against the time in which a reader passes it on, and short against the time
// in which a restarted fleet has to serve again.
const firstReadWait = 1200 * time.Millisecond

// reading is the duty to read the configuration from its source. A node that starts does not know its role yet; if each one
// read at once, the calls to the store of a fleet that restarts would grow with its size.
type reading struct {
	*duty

	mu sync.Mutex
	// asked is whether the newest roles ask for it.
	asked bool
	// open is false until the node knows whether others read.
	open bool
}

func newReading() *reading {
	r := &reading{duty: newDuty(), asked: true}
	r.set(false)
	return r
}

// ask says whether the roles ask for the duty.
func (r *reading) ask(asked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = asked
	if r.open {
		r.set(asked)
	}
}

// begin lets the roles decide from now on.
func (r *reading) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.open {
		r.open = true
		r.set(r.asked)
	}
}

// readsAmong reports whether a node would read the configuration if the others were its live members.
func readsAmong(self *endpoint.Entry, others []*endpoint.Entry, shape fanout.Topology) bool {
	live := make([]*endpoint.Entry, 0, len(others))
	for _, e := range others {
		alive := *e
		alive.State = endpoint.Alive
		live = append(live, &alive)
	}
	return fanout.AssignRoles(self, live, func(string) bool { return false }, shape).ReadsLog
}
