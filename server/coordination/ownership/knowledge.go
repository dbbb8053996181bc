package ownership

import (
	"time"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

// knowledge is what a node knows about the members of its service, from views and from transfers. The view alone
// is not enough: an entry of a new incarnation replaces the dead entry whose place still has to be kept, and a node
// that joins does not see which keys an earlier death made unknown.
type knowledge struct {
	node  string
	rules Rules
	view  *view.View
	// members are the entries of the service in the view, without this node.
	members []*endpoint.Entry
	seen    map[string]seenEntry
	// gates are nodes that rank although the view may not yet say so.
	gates map[string]gate
	// lost are nodes whose records were lost, by node.
	lost map[string]lostNode
	// inherited are the lost nodes that this node did not know as a member before they were lost. Keys of theirs
	// may now rank to this node without ever having been handed over.
	inherited map[string]lostNode
}

// seenEntry is what the last view said about a member.
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

// gate is a node that this node acknowledged as a joiner, or learnt from one, before the view showed it.
type gate struct {
	entry endpoint.Entry
	since time.Time
}

// lostNode is a node that ended without handing over its key records.
type lostNode struct {
	DiedMS  int64
	Expires time.Time
	// Older are the members that were responsible for keys before the death, for inherited ones.
	Older []string
}

func newKnowledge(node string, rules Rules) knowledge {
	return knowledge{
		node:      node,
		rules:     rules,
		seen:      make(map[string]seenEntry),
		gates:     make(map[string]gate),
		lost:      make(map[string]lostNode),
		inherited: make(map[string]lostNode),
	}
}

// observe compares a view with the previous one.
func (k *knowledge) observe(v *view.View, service string, now time.Time) {
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

func (k *knowledge) observeEntry(e *endpoint.Entry, service string, now time.Time) {
	member := e.Service == service && service != ""
	before := k.seen[e.Node]
	g, gated := k.gates[e.Node]
	restarted := before.mayOwn && e.Incarnation > before.incarnation
	// The node answered a death verdict that this node may not have seen; keys may have run elsewhere meanwhile.
	rejoined := before.mayOwn && e.Incarnation == before.incarnation && e.Rejoined > before.rejoined
	restartedJoiner := gated && e.Incarnation > g.entry.Incarnation
	moved := before.mayOwn && e.Eligible && e.Service != service && e.State != endpoint.Left
	switch {
	case restarted || restartedJoiner || rejoined || moved:
		// The records of the earlier incarnation are gone, and whatever ended it was not seen.
		k.lose(e.Node, now.UnixMilli(), now)
		delete(k.gates, e.Node)
	case e.State == endpoint.Dead && (member || before.mayOwn):
		k.lose(e.Node, e.DiedMS, now)
		if gated && !older(e, &g.entry) {
			delete(k.gates, e.Node)
		}
	case gated && superseded(&g.entry, e):
		delete(k.gates, e.Node)
	}
	if member {
		k.seen[e.Node] = seenEntry{incarnation: e.Incarnation, rejoined: e.Rejoined, mayOwn: mayOwn(e)}
	} else {
		delete(k.seen, e.Node)
	}
}

// expire forgets lost nodes after the retention of keys, and joiners that never showed up in a view.
func (k *knowledge) expire(now time.Time) {
	for _, lost := range []map[string]lostNode{k.lost, k.inherited} {
		for node, l := range lost {
			if !l.Expires.After(now) {
				delete(lost, node)
			}
		}
	}
	for node, g := range k.gates {
		unseen := k.view == nil || k.view.Nodes[node] == nil
		if unseen && now.Sub(g.since) > k.rules.KeyRetention {
			delete(k.gates, node)
		}
	}
}

// lose notes that a node ended without handing over its records.
func (k *knowledge) lose(node string, diedMS int64, now time.Time) {
	if diedMS == 0 {
		diedMS = now.UnixMilli()
	}
	expires := time.UnixMilli(diedMS).Add(k.rules.KeyRetention)
	if old, ok := k.lost[node]; (ok && old.DiedMS >= diedMS) || !expires.After(now) {
		return
	}
	k.lost[node] = lostNode{DiedMS: diedMS, Expires: expires}
}

// superseded reports whether the view says enough about an acknowledged joiner: that it ranks, that it left, or, if
// it ranked already, that it withdrew.
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
func (k *knowledge) entry(node string) *endpoint.Entry {
	var e *endpoint.Entry
	if k.view != nil {
		e = k.view.Nodes[node]
	}
	if g, ok := k.gates[node]; ok && (e == nil || older(e, &g.entry)) {
		e = &g.entry
	}
	return e
}

// live returns the nodes other than this one that are responsible for keys by rank.
func (k *knowledge) live() []*endpoint.Entry {
	out := make([]*endpoint.Entry, 0, len(k.members)+len(k.gates))
	for _, e := range k.members {
		_, gated := k.gates[e.Node]
		if Ranks(e) && e.State != endpoint.Dead && !gated {
			out = append(out, e)
		}
	}
	for node := range k.gates {
		if e := k.entry(node); e.State != endpoint.Dead {
			out = append(out, e)
		}
	}
	return out
}

// next returns the first live node in the rank of a key, without this one and those to skip; nil if there is none.
func (k *knowledge) next(key string, skip func(node string) bool) *endpoint.Entry {
	var best uint64
	var first *endpoint.Entry
	for _, e := range k.live() {
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

// place is the position of a key in the rank. At most one field is set.
type place struct {
	self  bool
	owner *endpoint.Entry
	// lost is true if the records of the key's owner were lost.
	lost bool
}

// place ranks a key. If withSelf is false, this node has no place of its own.
func (k *knowledge) place(key string, issuedMS int64, withSelf bool) place {
	var best uint64
	var first string
	var p place
	consider := func(node string, candidate place) {
		w := Weight(key, node)
		if first == "" || w > best || (w == best && node < first) {
			best, first, p = w, node, candidate
		}
	}
	if withSelf {
		consider(k.node, place{self: true})
	}
	ranked := k.live()
	for _, e := range ranked {
		consider(e.Node, place{owner: e})
	}
	for node, l := range k.lost {
		if node == k.node || contains(ranked, node) || k.afterDeath(l, issuedMS) {
			continue
		}
		consider(node, place{lost: true})
	}
	if p.self && (k.lostHere(issuedMS) || k.inheritedBlock(key, issuedMS)) {
		return place{lost: true}
	}
	return p
}

// lostHere reports whether keys that rank to this node may have been run by an earlier incarnation of it.
func (k *knowledge) lostHere(issuedMS int64) bool {
	l, ok := k.lost[k.node]
	return ok && !k.afterDeath(l, issuedMS)
}

// inheritedBlock reports whether a key without a record belonged to a node that was lost before this node joined.
// That is so if the lost node outranks all members that were responsible before its loss.
func (k *knowledge) inheritedBlock(key string, issuedMS int64) bool {
	for node, l := range k.inherited {
		if k.afterDeath(l, issuedMS) {
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

// afterDeath reports whether a key was issued certainly after a node had stopped to start keys.
func (k *knowledge) afterDeath(l lostNode, issuedMS int64) bool {
	return issuedMS > l.DiedMS+(k.rules.ClockSkewMax+k.rules.SelfFence).Milliseconds()
}

// lostRecords describes the lost nodes in a transfer: records without a key, whose executor is the lost node. Their
// state is KeyMoved if this node joined after the loss, otherwise KeyUnknown.
func (k *knowledge) lostRecords(now time.Time) []wire.KeyRecord {
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
