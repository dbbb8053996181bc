package control

import (
	"slices"
	"time"

	"wagtailford.example/server/coordination/membership"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
)

// client is a node that polls this node.
type client struct {
	lastHeard        time.Time
	openPolls        int
	connectionClosed bool
	// peerOnly is true if the node never polled as a child: it is a follower of another failure domain or a prober.
	peerOnly bool
	status   wire.NodeStatus
}

// tick does the periodic work.
func (l *Loop) tick(now time.Time) {
	if pause := membership.PauseCompensation(l.lastTick, now, tickInterval); pause > 0 {
		l.compensatePause(pause)
	}
	l.lastTick = now
	l.evaluateNodes(now)
	l.expire(now)
	l.updateRoles(now)
	l.updateLag(now)
}

// compensatePause moves the times of last contact forward by the time during which this process did not run.
func (l *Loop) compensatePause(pause time.Duration) {
	for _, c := range l.clients {
		c.lastHeard = c.lastHeard.Add(pause)
	}
	for node, since := range l.watchedSince {
		l.watchedSince[node] = since.Add(pause)
	}
	l.lag.since = l.lag.since.Add(pause)
}

// evaluateNodes decides on the liveness of the nodes that this node watches.
func (l *Loop) evaluateNodes(now time.Time) {
	w := l.watcher()
	for _, e := range l.table.All() {
		if !w.Watches(e, l.parentOf(e)) {
			delete(l.watchedSince, e.Node)
			continue
		}
		if _, ok := l.watchedSince[e.Node]; !ok {
			l.watchedSince[e.Node] = now
		}
		decided := w.Evaluate(e, l.observe(e, w.Followers), now, l.settings.Timeouts)
		if decided != e.State {
			l.applyDecision(e, decided, now)
		}
	}
}

func (l *Loop) watcher() membership.Watcher {
	roles := l.roles.Load()
	return membership.Watcher{
		Node:          l.node,
		FailureDomain: l.domain,
		Follower:      roles.Follower,
		Followers:     roles.Followers,
	}
}

// parentOf returns the entry of a node's parent if it can watch the node: it must be of the same failure domain and
// not itself silent towards this node.
func (l *Loop) parentOf(e *endpoint.Entry) *endpoint.Entry {
	parent := l.table.Get(e.Parent)
	if parent == nil || parent.FailureDomain != e.FailureDomain {
		return nil
	}
	return parent
}

// observe returns what is known about the liveness of a watched node. A node without a parent is joining, unless it is
// a follower or did not answer this node.
func (l *Loop) observe(e *endpoint.Entry, followers []string) membership.Observation {
	s := membership.Observation{LastHeard: l.watchedSince[e.Node]}
	s.Joining = e.Parent == "" && !slices.Contains(followers, e.Node) && !l.isUnreachable(e.Node)
	c := l.clients[e.Node]
	if c == nil {
		return s
	}
	if c.lastHeard.After(s.LastHeard) {
		s.LastHeard = c.lastHeard
	}
	s.PollOpen = c.openPolls > 0
	s.ConnectionClosed = c.connectionClosed
	return s
}

func (l *Loop) applyDecision(e *endpoint.Entry, decided endpoint.State, now time.Time) {
	if decided == endpoint.Dead {
		l.counter.declaredDead.Add(1)
	} else {
		l.counter.suspected.Add(1)
	}
	if l.table.Merge(membership.ApplyDecision(*e, decided, now), "", now) {
		l.entriesChanged()
	}
}

// expire removes unreachable marks, clients and entries whose time has passed.
func (l *Loop) expire(now time.Time) {
	for node, until := range l.unreachableUntil {
		if now.After(until) {
			delete(l.unreachableUntil, node)
			l.rolesStale = true
		}
	}
	for node, c := range l.clients {
		if c.openPolls == 0 && now.Sub(c.lastHeard) > l.settings.Timeouts.DeadAfter {
			delete(l.clients, node)
		}
	}
	if removed := l.table.Expire(now); removed > 0 {
		l.counter.expired.Add(int64(removed))
		l.entriesChanged()
	}
}
