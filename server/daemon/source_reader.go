package daemon

import (
	"sync"
	"time"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/state/endpoint"
)

// firstReadWait is how long a starting node waits for the configuration from a reader in the directory before it reads the
// store itself. It is much longer than a reader needs to pass a configuration on, and much shorter than the time in which
// a restarted fleet has to serve again.
const firstReadWait = 1200 * time.Millisecond

// sourceReader is the task of reading the configuration from its source. Nodes with the role for it read, and any node that
// lags. A starting node does not know its role yet. If
// every starting node read at once, the number of calls to the store after a restart would grow with the fleet.
type sourceReader struct {
	*roleTask

	mu sync.Mutex
	// assigned is true if the current roles include the task.
	assigned bool
	// lagging is true if peers have not passed on a configuration that exists.
	lagging bool
	// followsRoles is false until the node knows which other nodes read.
	followsRoles bool
}

func newSourceReader() *sourceReader {
	r := &sourceReader{roleTask: newRoleTask(), assigned: true}
	r.set(false)
	return r
}

// setAssigned sets whether the current roles include the task.
func (r *sourceReader) setAssigned(assigned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.assigned = assigned
	r.update()
}

// setLagging sets whether the node lacks a configuration that it knows to exist.
func (r *sourceReader) setLagging(lagging bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lagging = lagging
	r.update()
}

// update starts or stops the task. The caller holds the lock.
func (r *sourceReader) update() {
	if r.followsRoles {
		r.set(r.assigned || r.lagging)
	}
}

// followRoles makes the task follow the roles from now on.
func (r *sourceReader) followRoles() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.followsRoles {
		r.followsRoles = true
		r.update()
	}
}

// readsAmong reports whether a node would read the configuration if exactly the given other nodes were alive.
func readsAmong(self *endpoint.Entry, others []*endpoint.Entry, shape fanout.Topology) bool {
	live := make([]*endpoint.Entry, 0, len(others))
	for _, e := range others {
		alive := *e
		alive.State = endpoint.Alive
		live = append(live, &alive)
	}
	return fanout.AssignRoles(self, live, func(string) bool { return false }, shape).ReadsLog
}
