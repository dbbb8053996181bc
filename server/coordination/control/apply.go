package control

import (
	"reflect"
	"time"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/coordination/membership"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

// fold applies records in order and publishes the result once.
func (l *Loop) fold(records []config.Record) {
	state := l.state.Load()
	before := state.Offset()
	for _, r := range records {
		if l.blockedAt != 0 && r.Offset > l.blockedAt {
			break
		}
		next, verdict := state.Apply(r)
		state = next
		l.counter.countResult(verdict.Result)
		if verdict.Result == config.Accepted && r.TimeMS >= l.started.UnixMilli() {
			l.installs.add(verdict.Version, r.TimeMS)
		}
		if verdict.Result == config.Blocked {
			l.blockedAt = r.Offset
			break
		}
		if verdict.Result != config.Stale {
			l.window.add(r)
		}
	}
	l.state.Store(state)
	if state.Offset() > before {
		l.highest = max(l.highest, state.Offset())
		l.publishView()
		l.scheduleNews()
	}
}

// install replaces the state by one with a higher offset.
func (l *Loop) install(state *config.State) {
	if state.Offset() <= l.state.Load().Offset() {
		return
	}
	l.state.Store(state)
	if state.Offset() >= l.blockedAt {
		l.blockedAt = 0
		l.counter.blocked.Store(0)
	}
	l.window.reset(state.Offset())
	if l.settings.SourceGrace > 0 {
		l.heldBack.installed(state.Offset(), time.Now())
	}
	l.highest = max(l.highest, state.Offset())
	l.updateReady()
	l.publishView()
	l.scheduleNews()
}

// updateReady marks the node ready once it has reached the highest offset it was told of.
func (l *Loop) updateReady() {
	if l.ready || !l.contacted || l.state.Load().Offset() < l.highest {
		return
	}
	l.ready = true
	l.publishView()
}

// merge takes an entry from another node. An entry of this node itself is answered, not stored.
func (l *Loop) merge(e endpoint.Entry, origin string, now time.Time) {
	if e.Node == l.node {
		l.answerOwn(e, now)
		return
	}
	old := l.table.Get(e.Node)
	if !l.table.Merge(e, origin, now) {
		return
	}
	if old == nil || e.Incarnation > old.Incarnation || e.Revision > old.Revision {
		// A new revision comes from the owner, so the node was alive recently.
		delete(l.unreachable, e.Node)
		if _, ok := l.watched[e.Node]; ok {
			l.watched[e.Node] = now
		}
	}
	l.entriesChanged()
}

// answerOwn refutes a foreign value of the own entry.
func (l *Loop) answerOwn(seen endpoint.Entry, now time.Time) {
	answer := membership.Refute(&l.self, &seen)
	if !answer.Refute {
		return
	}
	l.counter.refuted.Add(1)
	l.self.Key = answer.Key
	if answer.DeclaredDead {
		// The entry stays eligible: if it lost its place, others would take over keys that may have run here.
		l.self.Rejoined = l.self.Revision
		l.notify.post(func() { l.notify.dead = true })
	}
	l.table.Merge(l.self, "", now)
	// Traffic must see the answered verdict before a contact lifts the self-fence.
	l.publishView()
	l.entriesChanged()
}

// changeSelf lets the owner change its entry under a new revision.
func (l *Loop) changeSelf(change func(*endpoint.Entry), now time.Time) {
	next := l.self
	change(&next)
	next.Node = l.self.Node
	next.Incarnation = l.self.Incarnation
	next.Revision = l.self.Revision
	if next.State == endpoint.Left && next.DiedMS == 0 {
		next.DiedMS = now.UnixMilli()
	}
	if reflect.DeepEqual(next, l.self) {
		return
	}
	next.Revision++
	l.self = next
	l.table.Merge(next, "", now)
	l.publishView()
	l.scheduleNews()
}

// entriesChanged schedules the publication of a changed table. A burst of changes is published once.
func (l *Loop) entriesChanged() {
	l.rolesStale = true
	if l.viewTimer != nil && !l.viewPending {
		l.viewPending = true
		l.viewTimer.Reset(min(viewInterval, l.settings.CoalesceWindow))
	}
	l.scheduleNews()
}

// scheduleNews lets syncs pass on changes after the coalescing window.
func (l *Loop) scheduleNews() {
	if l.newsTimer != nil && !l.newsPending {
		l.newsPending = true
		l.newsTimer.Reset(l.settings.CoalesceWindow)
	}
}

func (l *Loop) publishNews() {
	l.passable = l.table.Sequence()
	now := time.Now()
	l.passableOffset = l.passableUpTo(now)
	if wait := l.heldBack.next(now); wait > 0 {
		l.graceTimer.Reset(wait)
	}
	l.news.fire()
}

// passableUpTo returns the offset up to which the state is passed on to peers that read the source themselves.
func (l *Loop) passableUpTo(now time.Time) uint64 {
	if l.settings.SourceGrace <= 0 {
		return l.state.Load().Offset()
	}
	return l.heldBack.upTo(now)
}

// publishView builds a view of the current state and table and replaces the old one.
func (l *Loop) publishView() {
	l.viewPending = false
	state := l.state.Load()
	all := l.table.All()
	v := &view.View{
		Version:   state.Version(),
		Offset:    state.Offset(),
		Content:   state.Content(),
		ByService: make(map[string][]*endpoint.Entry, len(state.Content().Services)),
		Nodes:     make(map[string]*endpoint.Entry, len(all)),
		Ready:     l.ready,
	}
	for _, s := range v.Content.Services {
		v.ByService[s.Name] = nil
	}
	for _, e := range all {
		v.Nodes[e.Node] = e
		if list, ok := v.ByService[e.Service]; ok {
			v.ByService[e.Service] = append(list, e)
		}
	}
	l.view.Store(v)
	l.counter.views.Add(1)
	l.changed.fire()
}

// updateRoles chooses the roles again if something that they depend on has changed.
func (l *Loop) updateRoles(now time.Time) {
	l.updateAlone(now)
	if !l.rolesStale {
		return
	}
	if l.contact.Load().alone && now.Sub(l.started) < l.settings.StartGrace {
		return
	}
	l.rolesStale = false
	old := l.Roles()
	self := l.self
	next := fanout.AssignRoles(&self, l.table.All(), l.isUnreachable, l.settings.Shape)
	if next.Equal(old) {
		return
	}
	l.roles.Store(&next)
	if next.Follower && l.self.Parent != "" {
		l.setParent("", now)
	}
	l.notify.post(func() { l.notify.roles = &next })
}

func (l *Loop) isUnreachable(node string) bool {
	_, ok := l.unreachable[node]
	return ok
}

// updateAlone notes whether the node knows another node. Until it does, it needs no contact. A dead node counts as
// known while its entry is kept: it may be alive on the other side of a split and have declared this node dead.
func (l *Loop) updateAlone(now time.Time) {
	alone := true
	for _, e := range l.table.All() {
		if e.Node != l.node && e.State != endpoint.Left {
			alone = false
			break
		}
	}
	last := l.contact.Load()
	switch {
	case alone:
		l.contact.Store(&contact{at: now, alone: true})
	case last.alone:
		l.contact.Store(&contact{at: now})
	}
}

// inMajority reports whether more than half of the known members of the own failure domain are live, dead ones
// counted as members while their entries are kept. Of the two sides of a split domain at most one is a majority, so
// contact within one side proves nothing on the other.
func (l *Loop) inMajority() bool {
	live, all := 0, 0
	for _, e := range l.table.All() {
		if e.FailureDomain != l.domain || e.State == endpoint.Left {
			continue
		}
		all++
		if e.Node == l.node || e.Live() {
			live++
		}
	}
	return 2*live > all
}

// noteContact records a contact in the sense of rule R6.
func (l *Loop) noteContact(at time.Time) {
	last := l.contact.Load()
	if !last.alone && at.After(last.at) {
		l.contact.Store(&contact{at: at})
	}
}

// setParent records whom the node syncs with in its own entry.
func (l *Loop) setParent(parent string, now time.Time) {
	l.counter.parentMove.Add(1)
	l.changeSelf(func(e *endpoint.Entry) { e.Parent = parent }, now)
}
