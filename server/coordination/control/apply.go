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

// applyRecords applies records in order and publishes the result once. from is the peer that sent them, or FromSource.
func (l *Loop) applyRecords(records []config.Record, from string) {
	old := l.state.Load()
	state := old
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
	if state.Offset() > old.Offset() {
		l.recordInForce(old, state, from, time.Now())
		l.heardOf(state.Order())
		l.publishView()
		l.scheduleUpdates()
	}
}

// install replaces the state by one that is above it in the order, and reports whether it did. from is the peer that sent it,
// or FromSource.
func (l *Loop) install(state *config.State, from string) bool {
	old := l.state.Load()
	if !state.Order().Above(old.Order()) || state.Sequence() < old.Sequence() {
		return false
	}
	l.state.Store(state)
	if state.Content().RequiresKeys() {
		l.raiseKeyHistory(config.KeysIssued, from)
	}
	l.recordInForce(old, state, from, time.Now())
	if state.Offset() >= l.blockedAt {
		l.blockedAt = 0
		l.counter.blocked.Store(0)
	}
	l.window.reset(state.Offset())
	if l.settings.SourceGrace > 0 {
		l.delayed.add(state.Order(), time.Now())
	}
	l.heardOf(state.Order())
	l.updateReady()
	l.publishView()
	l.scheduleUpdates()
	return true
}

// updateReady marks the node ready once it has reached the highest place in the order that it was told of.
func (l *Loop) updateReady() {
	if l.ready || !l.contacted || l.highest().Above(l.reached()) {
		return
	}
	l.ready = true
	l.publishView()
}

// mergeEntry merges an entry received from another node. A value of the own entry is not stored; it is refuted if
// needed.
func (l *Loop) mergeEntry(e endpoint.Entry, origin string, now time.Time) {
	if e.Node == l.node {
		l.inheritCrashes(e, now)
		l.refuteOwnEntry(e, now)
		return
	}
	old := l.table.Get(e.Node)
	if !l.table.Merge(e, origin, now) {
		return
	}
	if old == nil || e.Incarnation > old.Incarnation || e.Revision > old.Revision {
		// A new revision comes from the owner, so the node was alive recently.
		delete(l.unreachableUntil, e.Node)
		if _, ok := l.watchedSince[e.Node]; ok {
			l.watchedSince[e.Node] = now
		}
	}
	l.entriesChanged()
}

// inheritCrashes takes over the crash counts and clearances that an earlier process of this node stated.
func (l *Loop) inheritCrashes(seen endpoint.Entry, now time.Time) {
	next := l.self
	if next.InheritCrashes(&seen, now) {
		l.updateOwnEntry(func(e *endpoint.Entry) {
			e.Crashes, e.Cleared, e.Recovered = next.Crashes, next.Cleared, next.Recovered
		}, now)
	}
}

// refuteOwnEntry refutes a value of the own entry that another node sent, if it is newer or declares this node dead.
func (l *Loop) refuteOwnEntry(seen endpoint.Entry, now time.Time) {
	answer := membership.Refute(&l.self, &seen)
	if !answer.Refute {
		return
	}
	l.counter.refuted.Add(1)
	l.self.Key = answer.Key
	if answer.DeclaredDead {
		// The entry stays eligible: otherwise other nodes would become owners of keys that may have run here.
		l.self.Rejoined = l.self.Revision
		l.notify.post(func() { l.notify.declaredDead = true })
	}
	l.table.Merge(l.self, "", now)
	// Traffic must see the refutation before a new contact lifts the self-fence.
	l.publishView()
	l.entriesChanged()
}

// updateOwnEntry changes the own entry and raises its revision.
func (l *Loop) updateOwnEntry(change func(*endpoint.Entry), now time.Time) {
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
	l.scheduleUpdates()
}

// entriesChanged schedules the publication of a changed table. Changes in quick succession are published together.
func (l *Loop) entriesChanged() {
	l.rolesStale = true
	if l.viewTimer != nil && !l.viewPending {
		l.viewPending = true
		l.viewTimer.Reset(min(viewInterval, l.settings.CoalesceWindow))
	}
	l.scheduleUpdates()
}

// scheduleUpdates lets syncs forward changes after the coalescing window.
func (l *Loop) scheduleUpdates() {
	if l.updatesTimer != nil && !l.updatesPending {
		l.updatesPending = true
		l.updatesTimer.Reset(l.settings.CoalesceWindow)
	}
}

func (l *Loop) publishUpdates() {
	l.publishedSequence = l.table.Sequence()
	now := time.Now()
	l.publishedOrder = l.forwardableOrder(now)
	if wait := l.delayed.untilNext(now); wait > 0 {
		l.graceTimer.Reset(wait)
	}
	l.updates.fire()
}

// forwardableOrder returns up to where the state is forwarded to peers that read the source themselves.
func (l *Loop) forwardableOrder(now time.Time) config.Order {
	if l.settings.SourceGrace <= 0 {
		return l.state.Load().Order()
	}
	return l.delayed.releasedOrder(now)
}

// publishView builds a view of the current state and table and replaces the old one.
func (l *Loop) publishView() {
	l.viewPending = false
	state := l.state.Load()
	all := l.table.All()
	l.fleet.update(all)
	v := &view.View{
		Version:   state.Version(),
		Offset:    state.Offset(),
		Sequence:  state.Sequence(),
		From:      l.inForce.from,
		Since:     l.inForce.since,
		Content:   state.Content(),
		ByService: make(map[string][]*endpoint.Entry, len(state.Content().Services)),
		Nodes:     make(map[string]*endpoint.Entry, len(all)),
		Ready:     l.ready,

		KeyHistory:  l.keyHistory,
		FleetStated: l.fleet.stated,
		FleetFloor:  l.fleet.floor,
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

// updateRoles chooses the roles again if anything that they depend on has changed.
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
	_, ok := l.unreachableUntil[node]
	return ok
}

// updateAlone records whether the node knows another node. Until it does, it needs no contact. A dead node counts as
// known while its entry is kept: it may be alive on the other side of a network partition and have declared this node
// dead.
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

// inDomainMajority reports whether more than half of the known members of the own failure domain are live, counting
// dead ones as members while their entries are kept. At most one side of a partitioned domain has a majority. A side
// without one must not rely on contact within itself, since the other side may have declared it dead.
func (l *Loop) inDomainMajority() bool {
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

// recordContact records a contact in the sense of rule R6.
func (l *Loop) recordContact(at time.Time) {
	last := l.contact.Load()
	if !last.alone && at.After(last.at) {
		l.contact.Store(&contact{at: at})
	}
}

// setParent records in the own entry which node this node syncs with.
func (l *Loop) setParent(parent string, now time.Time) {
	l.counter.parentChanges.Add(1)
	l.updateOwnEntry(func(e *endpoint.Entry) { e.Parent = parent }, now)
}
