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
	heard  time.Time
	open   int
	closed bool
	// peer is true if the node never polled as a child: it is a follower of another failure domain or a prober.
	peer   bool
	status wire.NodeStatus
}

// tick does what depends on the time.
func (l *Loop) tick(now time.Time) {
	if pause := membership.PauseCompensation(l.lastTick, now, tickInterval); pause > 0 {
		l.forgivePause(pause)
	}
	l.lastTick = now
	l.judge(now)
	l.expire(now)
	l.updateRoles(now)
}

// forgivePause moves the signs of life forward after this process did not run.
func (l *Loop) forgivePause(pause time.Duration) {
	for _, c := range l.clients {
		c.heard = c.heard.Add(pause)
	}
	for node, since := range l.watched {
		l.watched[node] = since.Add(pause)
	}
}

// judge gives verdicts on the nodes that this node watches.
func (l *Loop) judge(now time.Time) {
	w := l.watcher()
	for _, e := range l.table.All() {
		if !w.Watches(e, l.parentOf(e)) {
			delete(l.watched, e.Node)
			continue
		}
		if _, ok := l.watched[e.Node]; !ok {
			l.watched[e.Node] = now
		}
		verdict := w.Evaluate(e, l.signs(e, w.Followers), now, l.settings.Timeouts)
		if verdict != e.State {
			l.applyVerdict(e, verdict, now)
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

// signs returns the signs of life of a watched node. A node without a parent is joining, unless it is a follower or
// did not answer this node.
func (l *Loop) signs(e *endpoint.Entry, followers []string) membership.Observation {
	s := membership.Observation{LastHeard: l.watched[e.Node]}
	s.Joining = e.Parent == "" && !slices.Contains(followers, e.Node) && !l.isUnreachable(e.Node)
	c := l.clients[e.Node]
	if c == nil {
		return s
	}
	if c.heard.After(s.LastHeard) {
		s.LastHeard = c.heard
	}
	s.PollOpen = c.open > 0
	s.ConnectionClosed = c.closed
	return s
}

func (l *Loop) applyVerdict(e *endpoint.Entry, verdict endpoint.State, now time.Time) {
	if verdict == endpoint.Dead {
		l.counter.declaredDead.Add(1)
	} else {
		l.counter.suspected.Add(1)
	}
	if l.table.Merge(membership.ApplyDecision(*e, verdict, now), "", now) {
		l.entriesChanged()
	}
}

// expire removes what has outlived its use.
func (l *Loop) expire(now time.Time) {
	for node, until := range l.unreachable {
		if now.After(until) {
			delete(l.unreachable, node)
			l.rolesStale = true
		}
	}
	for node, c := range l.clients {
		if c.open == 0 && now.Sub(c.heard) > l.settings.Timeouts.DeadAfter {
			delete(l.clients, node)
		}
	}
	if removed := l.table.Expire(now); removed > 0 {
		l.counter.expired.Add(int64(removed))
		l.entriesChanged()
	}
}
