package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wagtailford.example/server/protocol/wire"
)

const (
	// avoidAfter is the time without any answer after which an owner is replaced, while others answer. It is the time after which
	// nodes of the same failure domain are declared dead.
	avoidAfter = 3 * time.Second
	// avoidMin and avoidMax bound the time between two probes of silent nodes. It doubles while they stay silent.
	avoidMin = 10 * time.Second
	avoidMax = 60 * time.Second
)

// origin is a failure domain, or a single node if the failure domain is empty.
type origin struct{ domain, node string }

func (o origin) contains(p Peer) bool {
	return o.node != "" && o.node == p.Node || o.domain != "" && o.domain == p.FailureDomain
}

// avoidance is the time until the next probe of an origin that owns no partition as seen by this node.
type avoidance struct{ until, length time.Duration }

// Avoidance says that the nodes of a failure domain, or one node, stopped or started to be owners and collectors for this node.
type Avoidance struct {
	Domain, Node string
	Active       bool
	// Owner is the node that did not answer, or that answered again; empty if the avoided nodes would own nothing now.
	Owner string
}

// Avoidances returns what changed since the last call.
func (e *Entry) Avoidances() []Avoidance {
	list := e.avoidances
	e.avoidances = nil
	return list
}

// avoid chooses owners without nodes that do not answer, and returns the probes to send to those that are avoided. Membership
// does not declare nodes of other failure domains dead, so their partitions would keep unreachable owners while a failure domain
// is cut off.
func (e *Entry) avoid(now time.Duration) (probes []Outgoing) {
	changed, waiting := false, false
	for _, c := range e.contacts() {
		if !c.unanswered {
			continue
		}
		// A node with a collector hears from no other node unless it asks one.
		waiting = waiting || now-c.unansweredSince > unansweredMax || e.isRelayed() && now-c.unansweredSince > unansweredMax/2
		if !e.isSilent(c, now) {
			continue
		}
		key := e.originOf(c.owner, now)
		if e.avoided[key] == nil {
			e.avoided[key] = &avoidance{until: now + avoidMin, length: avoidMin}
			e.avoidances = append(e.avoidances, Avoidance{Domain: key.domain, Node: key.node, Active: true, Owner: c.owner.Node})
			changed = true
		}
	}
	var candidates []Peer
	if len(e.avoided) > 0 {
		collector, _ := collectorOf(Peer{Node: e.node, FailureDomain: e.domain}, e.members.Live, e.members.Known)
		candidates = append(slices.Clone(e.members.Owners), collector)
	}
	for key, a := range e.avoided {
		if now < a.until {
			continue
		}
		p := slices.IndexFunc(candidates, key.contains)
		if p < 0 {
			// Its nodes would own nothing, or have left.
			delete(e.avoided, key)
			e.avoidances = append(e.avoidances, Avoidance{Domain: key.domain, Node: key.node})
			changed = true
			continue
		}
		// Its nodes own partitions again from their first answer on. Requests do not depend on them before.
		a.length = min(2*a.length, avoidMax)
		a.until = now + a.length
		probes = append(probes, e.probe(candidates[p], now))
	}
	if changed {
		e.choose(now)
	}
	if waiting && now-e.linkProbed >= baseInterval {
		e.linkProbed = now
		probes = append(probes, e.linkProbe(now)...)
	}
	slices.SortFunc(probes, func(a, b Outgoing) int { return cmp.Compare(a.To.Node, b.To.Node) })
	return probes
}

// linkProbe returns an empty report to some node of the same failure domain. All owners may be in others; then its answer shows
// that this node is not cut off alone.
func (e *Entry) linkProbe(now time.Duration) []Outgoing {
	var near []Peer
	for _, peer := range e.members.Live {
		if peer.Node != e.node && peer.FailureDomain == e.domain {
			near = append(near, peer)
		}
	}
	if len(near) == 0 {
		return nil
	}
	to := near[int(e.draw(1<<62, uint64(now))*float64(len(near)))]
	return []Outgoing{e.probe(to, now)}
}

// probe returns a report that leaves no state at the node that answers it.
func (e *Entry) probe(to Peer, now time.Duration) Outgoing {
	r := wire.QuotaReport{Node: e.node, Partitions: len(e.partitions), Partition: wire.QuotaProbe}
	return Outgoing{To: to, Sent: now, Report: r, probe: true}
}

// isSilent reports whether an owner has not answered for too long while another node does. A node that nobody answers is cut off
// itself.
func (e *Entry) isSilent(c *contact, now time.Duration) bool {
	if now-max(c.unansweredSince, e.linkedSince) < avoidAfter {
		return false
	}
	for peer, at := range e.heard {
		if peer != c.owner && now-at < max(c.period(), baseInterval)+silenceMargin {
			return true
		}
	}
	return false
}

// originOf returns what is avoided because of a silent owner: its failure domain if that is another one and no owner of it
// answers, otherwise the owner alone.
func (e *Entry) originOf(owner Peer, now time.Duration) origin {
	if owner.FailureDomain == "" || owner.FailureDomain == e.domain {
		return origin{node: owner.Node}
	}
	for peer, at := range e.heard {
		if peer.FailureDomain == owner.FailureDomain && now-at < avoidAfter {
			return origin{node: owner.Node}
		}
	}
	return origin{domain: owner.FailureDomain}
}

// hear notes an answer of an owner. Answers of the node itself say nothing about its links.
func (e *Entry) hear(owner Peer, now time.Duration) {
	if owner.Node == e.node {
		return
	}
	if now-e.lastHeard > max(reportInterval(e.members.Known), baseInterval)+silenceMargin {
		e.linkedSince = now
	}
	e.lastHeard = now
	e.heard[owner] = now
	before := len(e.avoided)
	maps.DeleteFunc(e.avoided, func(key origin, _ *avoidance) bool {
		if key.contains(owner) {
			e.avoidances = append(e.avoidances, Avoidance{Domain: key.domain, Node: key.node, Owner: owner.Node})
		}
		return key.contains(owner)
	})
	if len(e.avoided) < before {
		e.choose(now)
	}
}

// choose takes over the owners among the live nodes that are not avoided.
func (e *Entry) choose(now time.Duration) {
	var usable []Peer
	for _, peer := range e.members.Live {
		if e.avoided[origin{node: peer.Node}] == nil && e.avoided[origin{domain: peer.FailureDomain}] == nil {
			usable = append(usable, peer)
		}
	}
	owners := e.members.Owners
	if len(usable) > 0 && len(usable) < len(e.members.Live) {
		owners = membersOf(usable, 0, len(owners)).Owners
	}
	for p := range e.partitions {
		c := &e.partitions[p]
		if c.owner == owners[p] {
			continue
		}
		c.owner = owners[p]
		if !e.isRelayed() {
			c.begin()
		}
	}
	e.chooseCollector(usable, now)
}
