package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
)

const (
	// directMax is the number of nodes up to which each node reports to the owners itself. In a larger fleet it would have to report
	// more rarely than the bound under a partition permits: reports once a second from 810 nodes took 5.7 KB/s of each node and
	// 307 KB/s of an owner.
	directMax = 100
	// collectedNodes is the number of nodes that share a collector, on average.
	collectedNodes = 54
	// collectInterval is the longest time between two reports of a node to its collector, relayInterval between two of a collector
	// to an owner.
	collectInterval = 250 * time.Millisecond
	relayInterval   = 100 * time.Millisecond
	// collectorTime is the time after its last report from another node for which a node reports to the owners itself.
	collectorTime = 4 * time.Second
	// collectorKey is the first rendezvous key of collectors, above those of partitions.
	collectorKey = 1 << 20
	// ageUnit is the unit of the ages in the replies of collectors, neverHeard the age of an owner that has not answered.
	ageUnit    = 10 * time.Millisecond
	neverHeard = 255
	// Most of the limited organisations at the design size have small rates, and few nodes have requests of them: 228 organisations in
	// each reply took 14 KB/s of a node. Those with rates up to unguardedRate are in one reply of fullEvery, as they stay within the
	// bound if nothing is refused for some seconds, those up to seldomRate in one of seldomEvery.
	fullEvery   = 12
	seldomEvery = 4
	seldomRate  = 4
)

// collects reports whether a fleet is so large that its nodes report through collectors.
func collects(nodes int) bool { return nodes > directMax }

// collectorOf returns the node through which a node reports to the owners, and whether the node is itself the collector of some
// nodes. The collector is in the same failure domain: a failure domain that is cut off keeps its collectors, and there is less
// traffic between failure domains. The collector is the zero value if the node reports itself.
func collectorOf(self Peer, live []Peer, nodes int) (collector Peer, isCollector bool) {
	if !collects(nodes) {
		return Peer{}, false
	}
	var near []Peer
	for _, p := range live {
		if p.FailureDomain == self.FailureDomain {
			near = append(near, p)
		}
	}
	cells := (len(near) + collectedNodes/2) / collectedNodes
	if cells == 0 {
		return Peer{}, false
	}
	collectors := make([]Peer, cells)
	highest := make([]uint64, cells)
	for _, peer := range near {
		hash := xxhash.Sum64String(peer.Node)
		for cell := range cells {
			if w := weightOf(hash, collectorKey+cell); collectors[cell].Node == "" || w > highest[cell] {
				collectors[cell], highest[cell] = peer, w
			}
		}
	}
	if slices.ContainsFunc(collectors, func(p Peer) bool { return p.Node == self.Node }) {
		return Peer{}, true
	}
	return collectors[xxhash.Sum64String(self.Node)%uint64(cells)], false
}

// collectedNode is a node that reports through this one.
type collectedNode struct {
	// at is the time of its last report.
	at time.Duration
	// replies is the number of replies to it.
	replies int
}

// isRelayed reports whether the node reports through a collector.
func (e *Entry) isRelayed() bool { return e.collector.owner.Node != "" }

// contacts returns the contacts that the node reports to.
func (e *Entry) contacts() []*contact {
	if e.isRelayed() {
		return []*contact{&e.collector}
	}
	var list []*contact
	for p := range e.partitions {
		if c := &e.partitions[p]; c.active && c.owner.Node != "" {
			list = append(list, c)
		}
	}
	return list
}

// chooseCollector takes over the collector among the live nodes that are not avoided. A node that others report to reports to the
// owners itself, so that counts never travel in a circle.
func (e *Entry) chooseCollector(usable []Peer, now time.Duration) {
	collector, _ := collectorOf(Peer{Node: e.node, FailureDomain: e.domain}, usable, e.members.Known)
	if e.members.Unstated || e.isCollecting(now) {
		collector = Peer{}
	}
	if collector == e.collector.owner {
		return
	}
	wasRelayed := e.isRelayed()
	e.collector = contact{index: wire.QuotaCollected, owner: collector, active: true, interval: collectInterval}
	for p := range e.partitions {
		switch c := &e.partitions[p]; {
		case wasRelayed && !e.isRelayed():
			c.begin()
		case !wasRelayed && e.isRelayed():
			// The first answer of the collector says when it heard of the owner.
			c.interval = c.period() + collectInterval
		}
	}
}

// isCollecting reports whether other nodes reported to this one of late.
func (e *Entry) isCollecting(now time.Duration) bool {
	return e.collecting && now-e.collectedAt < collectorTime
}

// Collect takes over what another node counted, and returns what this one knows of all partitions.
func (e *Entry) Collect(r *wire.QuotaReport, now time.Duration) (wire.QuotaNews, bool) {
	if r.Nodes < 1 || r.Partitions != len(e.partitions) {
		return wire.QuotaNews{}, false
	}
	if !e.collecting {
		// An owner that does not know yet that the fleet is large states a longer interval.
		for p := range e.partitions {
			e.partitions[p].setInterval(relayInterval)
		}
	}
	e.collecting, e.collectedAt = true, now
	if e.isRelayed() {
		e.choose(now)
	}
	last, heard := e.collected[r.Node]
	unheard := !heard || now-last.at > collectInterval+lateMargin
	e.collected[r.Node] = collectedNode{now, last.replies + 1}
	for _, c := range r.PackedCounts {
		o := e.rates.Organisations[ID(c.ID)]
		if o == nil {
			continue
		}
		s := e.state(ID(c.ID), o, now)
		s.used = now
		e.mark(ID(c.ID), s)
		s.admitted += c.Admitted
		s.refused += c.Refused
		// The owner leaves out the part of a node that its collector has not heard.
		if unheard {
			s.refused += c.Isolated
		} else {
			s.isolated += c.Isolated
		}
	}
	return e.relayedNews(r.PackedCounts, unlistedRate(last.replies), now), true
}

// unlistedRate returns the rate up to which organisations are not in a reply to a node.
func unlistedRate(replies int) int {
	switch {
	case replies%fullEvery == 0:
		return 0
	case replies%seldomEvery == 0:
		return unguardedRate
	}
	return seldomRate
}

// relayedNews returns what the node knows of all partitions, for a report with counts.
func (e *Entry) relayedNews(counts wire.QuotaCounts, unlisted int, now time.Duration) wire.QuotaNews {
	e.sequence++
	n := wire.QuotaNews{UnlistedRate: unlisted, Partition: wire.QuotaCollected, Owner: e.node, Process: e.process, Sequence: e.sequence, Version: e.version}
	for p := range e.partitions {
		c := &e.partitions[p]
		age := neverHeard
		if c.active {
			n.RoundTripMS = max(n.RoundTripMS, int(c.roundTrip.Milliseconds()))
		}
		if c.active && c.everAnswered && e.grade(c, now) != isolated {
			age = int(min(neverHeard-1, (now-c.answered+ageUnit-1)/ageUnit))
			n.IntervalMS = max(n.IntervalMS, int(c.period().Milliseconds()))
			n.Version = min(n.Version, c.version)
		}
		n.Ages = append(n.Ages, byte(age))
		for id, l := range c.limited {
			if !e.isUnlisted(id, unlisted) {
				n.PackedLimited = append(n.PackedLimited, l)
			}
		}
	}
	if unlisted > 0 {
		for _, count := range counts {
			c := &e.partitions[e.rates.partition(ID(count.ID))]
			if l, limited := c.limited[ID(count.ID)]; limited && e.isUnlisted(ID(count.ID), unlisted) {
				n.PackedLimited = append(n.PackedLimited, l)
			}
		}
	}
	return n
}

// isUnlisted reports whether an organisation has no more than a rate.
func (e *Entry) isUnlisted(id ID, rate int) bool {
	o := e.rates.Organisations[id]
	return o == nil || o.RatePerSecond <= float64(rate)
}

// takeRelayed takes over what the collector knows of all partitions. The news was made after the report was sent.
func (e *Entry) takeRelayed(n *wire.QuotaNews, counts wire.QuotaCounts, sent, now time.Duration) {
	if len(n.Ages) != len(e.partitions) || !e.collector.accept(n, true) {
		return
	}
	for p := range e.partitions {
		c := &e.partitions[p]
		maps.DeleteFunc(c.limited, func(id ID, _ wire.QuotaShare) bool { return !e.isUnlisted(id, n.UnlistedRate) })
		if c.limited == nil {
			c.limited = make(map[ID]wire.QuotaShare)
		}
		c.outstanding, c.unanswered = nil, false
		c.roundTrip = time.Duration(n.RoundTripMS)*time.Millisecond + now - sent
		if n.Ages[p] == neverHeard {
			continue
		}
		c.everAnswered, c.answered = true, sent-time.Duration(n.Ages[p])*ageUnit
		c.interval = time.Duration(n.IntervalMS)*time.Millisecond + collectInterval
	}
	for _, count := range counts {
		delete(e.partitions[e.rates.partition(ID(count.ID))].limited, ID(count.ID))
	}
	for _, l := range n.PackedLimited {
		e.partitions[e.rates.partition(ID(l.ID))].limited[ID(l.ID)] = l
	}
	maps.DeleteFunc(e.lowered, func(_ ID, version uint64) bool { return version <= n.Version })
}

// collectedCount drops the nodes that have fallen silent, and returns for how many nodes this one reports.
func (e *Entry) collectedCount(now time.Duration) int {
	maps.DeleteFunc(e.collected, func(_ string, n collectedNode) bool { return now-n.at > collectInterval+lateMargin })
	return 1 + len(e.collected)
}

// skipPause leaves a pause of the process out of the time for which other nodes were silent, since their reports wait.
func (e *Entry) skipPause(now time.Duration) {
	pause := now - e.ticked - tickMargin
	e.ticked = now
	late := pause > 0 && !e.paused
	e.paused = late
	if late {
		for node, n := range e.collected {
			e.collected[node] = collectedNode{n.at + pause, n.replies}
		}
	}
}

// collectDelay returns the mean time that counts wait in collectors and nodes, which is longer than in a small fleet.
func collectDelay(nodes int) time.Duration {
	if collects(nodes) {
		return (collectInterval + relayInterval) / 2
	}
	return 0
}

// noticeDelay returns the time for which nodes go on when they lose the owner, which is left out of what may be admitted in a
// fleet with collectors.
func noticeDelay(nodes int) time.Duration {
	if collects(nodes) {
		return collectInterval + relayInterval + fastMargin
	}
	return 0
}

// presumedFactor bounds by how much more than the rate a silent node may have admitted before it noticed.
func presumedFactor(nodes int) float64 {
	if collects(nodes) {
		return 4
	}
	return 1
}

// burstShareOf returns burstShare for a number of nodes. It is smaller with collectors: counts and announcements take longer then,
// so floods have to be noticed sooner.
func burstShareOf(nodes int) float64 {
	if collects(nodes) {
		return 0.4
	}
	return burstShare
}

// depthSlackOf returns depthSlack for a number of nodes. It makes up for the smaller part of the burst.
func depthSlackOf(nodes int) float64 {
	if collects(nodes) {
		return 0.3
	}
	return depthSlack
}

// smallRateOf returns smallRate for a number of nodes.
func smallRateOf(nodes int) float64 {
	if collects(nodes) {
		return 2 * smallRate
	}
	return smallRate
}

// floodFactor is the part of the rate above which demand is taken for a flood where falls of shares are pushed through collectors.
// Without it, chance alone made owners push 18 times a second at the design size, to all 810 nodes.
const floodFactor = 1.5

const (
	// newlyIsolatedShare replaces isolatedShare with collectors for newlyIsolatedTime after the contact ended: more is admitted before
	// the nodes notice then, and it is in the same windows. startingShare does so for a process that has heard from no owner.
	newlyIsolatedShare = 0.1
	newlyIsolatedTime  = 5 * time.Second
	startingShare      = 0.4
)

// isolatedRate returns the part of the rate that all nodes together use without the owner of a contact, in requests per second.
func (e *Entry) isolatedRate(o *config.Organisation, c *contact, now time.Duration) float64 {
	if !collects(e.members.Known) && (!e.running || now-e.began < settleTime) {
		return settleShare * o.RatePerSecond
	}
	return e.isolatedShareOf(c, now) * o.RatePerSecond
}

// isolatedShareOf returns the part of rate / nodes that the node uses without the owner of a contact.
func (e *Entry) isolatedShareOf(c *contact, now time.Duration) float64 {
	switch {
	case e.members.Partial:
		return partialShare
	case !collects(e.members.Known), c.isSlow():
		return isolatedShare
	case !c.everAnswered:
		return startingShare
	case now-c.answered < newlyIsolatedTime:
		return newlyIsolatedShare
	}
	return isolatedShare
}
