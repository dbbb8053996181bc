package ownership

import (
	"time"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

// memberKnowledge holds what a node knows about the members of its service, from views and from transfers. The view alone
// is not enough: the entry of a new incarnation replaces the dead entry, which still blocks the keys it owned, and a node
// that joins does not see for which keys the outcome has become unknown through an earlier death.
type memberKnowledge struct {
	node  string
	rules Rules
	view  *view.View
	// members are the entries of the service in the view, without this node.
	members []*endpoint.Entry
	seen    map[string]seenEntry
	// pendingJoiners holds nodes that take part in the ranking although the view may not show it yet.
	pendingJoiners map[string]pendingJoiner
	// lost holds the nodes that ended without transferring their records.
	lost map[string]lostNode
	// inherited holds the lost nodes that this node did not know as members before. It may now rank first for keys of
	// theirs whose records it never received.
	inherited map[string]lostNode
}

// seenEntry holds the fields of a member's entry in the previous view.
type seenEntry struct {
	incarnation int64
	rejoined    uint64
	mayOwn      bool
}

// mayOwn reports whether a node may have started keys. That includes a joiner, since it may have become eligible and
// ended before any other node saw an entry that says so.
func mayOwn(e *endpoint.Entry) bool {
	return e.Eligible || e.State == endpoint.Alive || e.State == endpoint.Suspect
}

// pendingJoiner is a joining node that this node acknowledged, or that a reply named, before the view showed it.
type pendingJoiner struct {
	entry endpoint.Entry
	since time.Time
}

// lostNode describes a node that ended without transferring its key records.
type lostNode struct {
	DiedMS  int64
	Expires time.Time
	// Older holds the members that were responsible for keys before the death; it is set for inherited nodes only.
	Older []string
}

func newKnowledge(node string, rules Rules) memberKnowledge {
	return memberKnowledge{
		node:           node,
		rules:          rules,
		seen:           make(map[string]seenEntry),
		pendingJoiners: make(map[string]pendingJoiner),
		lost:           make(map[string]lostNode),
		inherited:      make(map[string]lostNode),
	}
}

// observe compares a view with the previous one.
func (k *memberKnowledge) observe(v *view.View, service string, now time.Time) {
	k.expire(now)
	if v == nil || v == k.view {
		return
	}
	k.view = v
	k.members = k.members[:0:0]
	for _, e := range v.Nodes {
		if e.Node == k.node {
			continue
		}
		k.observeEntry(e, service, now)
		if e.Service == service && service != "" {
			k.members = append(k.members, e)
		}
	}
	for node := range k.seen {
		if v.Nodes[node] == nil {
			delete(k.seen, node)
		}
	}
}

func (k *memberKnowledge) observeEntry(e *endpoint.Entry, service string, now time.Time) {
	member := e.Service == service && service != ""
	before := k.seen[e.Node]
	g, isPending := k.pendingJoiners[e.Node]
	restarted := before.mayOwn && e.Incarnation > before.incarnation
	// The node has refuted a death verdict that this node may not have seen; keys may have run elsewhere meanwhile.
	rejoined := before.mayOwn && e.Incarnation == before.incarnation && e.Rejoined > before.rejoined
	restartedJoiner := isPending && e.Incarnation > g.entry.Incarnation
	moved := before.mayOwn && e.Eligible && e.Service != service && e.State != endpoint.Left
	switch {
	case restarted || restartedJoiner || rejoined || moved:
		// The records of the earlier incarnation are gone, and how it ended was not observed.
		k.markLost(e.Node, now.UnixMilli(), now)
		delete(k.pendingJoiners, e.Node)
	case e.State == endpoint.Dead && (member || before.mayOwn):
		k.markLost(e.Node, e.DiedMS, now)
		if isPending && !older(e, &g.entry) {
			delete(k.pendingJoiners, e.Node)
		}
	case isPending && superseded(&g.entry, e):
		delete(k.pendingJoiners, e.Node)
	}
	if member {
		k.seen[e.Node] = seenEntry{incarnation: e.Incarnation, rejoined: e.Rejoined, mayOwn: mayOwn(e)}
	} else {
		delete(k.seen, e.Node)
	}
}

// expire removes lost nodes after the retention of keys, and joining nodes that never appeared in a view.
func (k *memberKnowledge) expire(now time.Time) {
	for _, lost := range []map[string]lostNode{k.lost, k.inherited} {
		for node, l := range lost {
			if !l.Expires.After(now) {
				delete(lost, node)
			}
		}
	}
	for node, g := range k.pendingJoiners {
		unseen := k.view == nil || k.view.Nodes[node] == nil
		if unseen && now.Sub(g.since) > k.rules.KeyRetention {
			delete(k.pendingJoiners, node)
		}
	}
}

// markLost records that a node ended without transferring its records.
func (k *memberKnowledge) markLost(node string, diedMS int64, now time.Time) {
	if diedMS == 0 {
		diedMS = now.UnixMilli()
	}
	expires := time.UnixMilli(diedMS).Add(k.rules.KeyRetention)
	if old, ok := k.lost[node]; (ok && old.DiedMS >= diedMS) || !expires.After(now) {
		return
	}
	k.lost[node] = lostNode{DiedMS: diedMS, Expires: expires}
}

// superseded reports whether the view shows the result of an acknowledged join: that the node is eligible, that it left,
// or, if it was eligible before, that it is no longer.
func superseded(joiner, e *endpoint.Entry) bool {
	return !older(e, joiner) && (e.Eligible || e.State == endpoint.Left || joiner.Eligible)
}

// older reports whether a is an older value of an entry than b.
func older(a, b *endpoint.Entry) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Revision < b.Revision
}

// entry returns the best known entry of a node, or nil.
func (k *memberKnowledge) entry(node string) *endpoint.Entry {
	var e *endpoint.Entry
	if k.view != nil {
		e = k.view.Nodes[node]
	}
	if g, ok := k.pendingJoiners[node]; ok && (e == nil || older(e, &g.entry)) {
		e = &g.entry
	}
	return e
}

// liveOwners returns the other nodes that take part in the ranking and are not dead.
func (k *memberKnowledge) liveOwners() []*endpoint.Entry {
	out := make([]*endpoint.Entry, 0, len(k.members)+len(k.pendingJoiners))
	for _, e := range k.members {
		_, isPending := k.pendingJoiners[e.Node]
		if Ranks(e) && e.State != endpoint.Dead && !isPending {
			out = append(out, e)
		}
	}
	for node := range k.pendingJoiners {
		if e := k.entry(node); e.State != endpoint.Dead {
			out = append(out, e)
		}
	}
	return out
}

// next returns the live node that ranks first for a key, without this one and those to skip; nil if there is none.
func (k *memberKnowledge) next(key string, skip func(node string) bool) *endpoint.Entry {
	var best uint64
	var first *endpoint.Entry
	for _, e := range k.liveOwners() {
		if skip(e.Node) {
			continue
		}
		w := Weight(key, e.Node)
		if first == nil || w > best || (w == best && e.Node < first.Node) {
			best, first = w, e
		}
	}
	return first
}

// keyOwner is the owner of a key. At most one field is set.
type keyOwner struct {
	self  bool
	owner *endpoint.Entry
	// lost is true if the records of the key's owner were lost.
	lost bool
}

// keyOwner returns the owner of a key. If withSelf is false, this node does not take part in the ranking.
func (k *memberKnowledge) keyOwner(key string, issuedMS int64, withSelf bool) keyOwner {
	var best uint64
	var first string
	var p keyOwner
	consider := func(node string, candidate keyOwner) {
		w := Weight(key, node)
		if first == "" || w > best || (w == best && node < first) {
			best, first, p = w, node, candidate
		}
	}
	if withSelf {
		consider(k.node, keyOwner{self: true})
	}
	ranked := k.liveOwners()
	for _, e := range ranked {
		consider(e.Node, keyOwner{owner: e})
	}
	for node, l := range k.lost {
		if node == k.node || contains(ranked, node) || k.issuedAfterLoss(l, issuedMS) {
			continue
		}
		consider(node, keyOwner{lost: true})
	}
	if p.self && (k.lostLocally(issuedMS) || k.blockedByInherited(key, issuedMS)) {
		return keyOwner{lost: true}
	}
	return p
}

// lostLocally reports whether a key of which this node is the owner may have been run by an earlier incarnation of it.
func (k *memberKnowledge) lostLocally(issuedMS int64) bool {
	l, ok := k.lost[k.node]
	return ok && !k.issuedAfterLoss(l, issuedMS)
}

// blockedByInherited reports whether a key without a record was owned by a node that was lost before this node joined.
// That is the case if the lost node outranks all members that were responsible before its loss.
func (k *memberKnowledge) blockedByInherited(key string, issuedMS int64) bool {
	for node, l := range k.inherited {
		if k.issuedAfterLoss(l, issuedMS) {
			continue
		}
		w := Weight(key, node)
		outranked := false
		for _, o := range l.Older {
			outranked = outranked || Weight(key, o) > w
		}
		if !outranked {
			return true
		}
	}
	return false
}

// issuedAfterLoss reports whether a key was certainly issued after the lost node had stopped starting keys.
func (k *memberKnowledge) issuedAfterLoss(l lostNode, issuedMS int64) bool {
	return issuedMS > l.DiedMS+(k.rules.ClockSkewMax+k.rules.SelfFence).Milliseconds()
}

// lostRecords returns the lost nodes for a transfer, as records without a key whose executor is the lost node. Their state
// is KeyMoved if this node joined after the loss, otherwise KeyUnknown.
func (k *memberKnowledge) lostRecords(now time.Time) []wire.KeyRecord {
	out := make([]wire.KeyRecord, 0, len(k.lost))
	for node, l := range k.lost {
		state := wire.KeyUnknown
		if _, ok := k.inherited[node]; ok {
			state = wire.KeyMoved
		}
		out = append(out, wire.KeyRecord{Executor: node, State: state, ExpiresInMS: l.Expires.Sub(now).Milliseconds()})
	}
	return out
}

func contains(entries []*endpoint.Entry, node string) bool {
	for _, e := range entries {
		if e.Node == node {
			return true
		}
	}
	return false
}
