package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
)

const (
	// depthSlack is the part of the slack by which the bucket is deeper than the burst, so that the Poisson arrivals of
	// organisations with a small burst are not refused. It is up to twice that below smallRate, in requests per second, where
	// less of the slack is needed for late announcements.
	depthSlack = 0.25
	smallRate  = 6
	// burstShare is the part of the burst that the bucket holds. The rest is left to what nodes admit before they hear of a
	// flood. Demand that is below the rate on average needs a fraction of it.
	burstShare = 0.75
	// demandTime is the time constant of the demand estimates.
	demandTime = time.Second
	// admittedTime is the time constant of the estimates of admitted requests, from which consumption is extrapolated.
	admittedTime = 500 * time.Millisecond
	// minLookahead is the time for which consumption is extrapolated when round trips are short.
	minLookahead = 200 * time.Millisecond
	// targetLevel is the part of the depth to which the bucket of a limited organisation is steered, above 0 so that the rate
	// is used and shares do not oscillate between all and nothing.
	targetLevel = 0.25
	// pushFactor is by what a share has to fall to be pushed. Other changes wait for the replies to reports.
	pushFactor = 1.5
	// learningTime is the time for which an owner takes over shares that the previous owner announced.
	learningTime = 3 * time.Second
	// tickMargin is the time between two ticks above which the process counts as paused.
	tickMargin = 200 * time.Millisecond
	// maxWait bounds the stated wait of refused callers.
	maxWait = 10 * time.Second
)

// Owner is the state of a node as the owner of partitions. It is not safe for concurrent use.
type Owner struct {
	node    string
	limit   Limit
	process uint32
	// sequence is that of the newest statement.
	sequence   uint64
	members    Members
	rates      Rates
	version    uint64
	partitions []*partition
	// ticked is the time of the last tick, paused is true if it came late.
	ticked time.Duration
	paused bool
}

// partition is the state of a partition that other nodes report to.
type partition struct {
	since    time.Duration
	lastTick time.Duration
	used     time.Duration
	// heard maps nodes to their last reports.
	heard map[string]heardNode
	// lost is the number of nodes that collectors stopped to report for since the last tick.
	lost int
	// joined is the number of nodes that began to report themselves, the last one at joinedAt. Collectors will stop to report for
	// them.
	joined   int
	joinedAt time.Duration
	// presumed is the part of all nodes that fell silent at presumedAt.
	presumed   float64
	presumedAt time.Duration
	roundTrip  float64
	buckets    map[ID]*bucket
	pushed     time.Duration
	push       bool
}

// heardNode is the last report of a node, or of a collector for several nodes.
type heardNode struct {
	at    time.Duration
	nodes int
	// interval is the one that the reply stated. Nodes change between collectors and direct reports at different times.
	interval time.Duration
}

// bucket is the state of an active organisation.
type bucket struct {
	level float64
	// admitted and demand are estimates in requests per second; the counts are those since the last tick.
	admitted, demand   float64
	nAdmitted, nDemand float64
	used               time.Duration
	// share is the announced part of the requests; 1 if the organisation is not limited.
	share, pushed float64
	wait          time.Duration
	// limitedAt is the last time at which the organisation was not limited.
	limitedAt time.Duration
}

// NewOwner returns the state of a node that owns nothing. process must differ from that of earlier processes of the node.
func NewOwner(node string, limit Limit, process uint32) *Owner {
	return &Owner{node: node, limit: limit, process: process}
}

// SetLimit replaces the bound.
func (o *Owner) SetLimit(limit Limit) { o.limit = limit }

// SetMembers takes over the nodes and the rates of the configuration in force, which has the given version.
func (o *Owner) SetMembers(m Members, rates Rates, version uint64) {
	old := o.rates
	o.members, o.rates, o.version = m, rates, version
	if len(o.partitions) != rates.Partitions {
		o.partitions = make([]*partition, rates.Partitions)
	}
	for _, p := range o.partitions {
		if p == nil {
			continue
		}
		for id, b := range p.buckets {
			if rates.Organisations[id] == nil {
				delete(p.buckets, id)
			} else if isLowered(old.Organisations[id], rates.Organisations[id]) {
				o.lower(p, b, rates.Organisations[id])
			}
		}
	}
}

// isLowered reports whether an organisation may send less than before.
func isLowered(before, after *config.Organisation) bool {
	return before == nil || after.RatePerSecond < before.RatePerSecond || after.Burst < before.Burst
}

// lower limits an organisation to a lower rate at once: nodes that have the configuration wait for the next news.
func (o *Owner) lower(p *partition, b *bucket, org *config.Organisation) {
	b.level = min(b.level, 0)
	if b.demand > org.RatePerSecond {
		b.share = min(b.share, o.heardShare(p)*org.RatePerSecond/b.demand)
		b.wait = waitOf(b, org.RatePerSecond)
		p.push = true
	}
}

// Report takes over what a node admitted and refused, and returns the news of the partition. It returns false if the node has a
// configuration with another number of partitions, or if no source has stated the number of nodes.
func (o *Owner) Report(r *wire.QuotaReport, now time.Duration) (wire.QuotaNews, bool) {
	if r.Partition == wire.QuotaProbe {
		return wire.QuotaNews{Partition: r.Partition, Owner: o.node, Process: o.process}, true
	}
	if o.members.Unstated {
		return wire.QuotaNews{}, false
	}
	if r.Nodes < 1 || r.Partitions != len(o.partitions) || r.Partition < 0 || r.Partition >= len(o.partitions) {
		return wire.QuotaNews{}, false
	}
	p := o.partitions[r.Partition]
	if p == nil {
		p = &partition{since: now, lastTick: now, heard: make(map[string]heardNode), buckets: make(map[ID]*bucket)}
		o.partitions[r.Partition] = p
	}
	p.used = now
	p.hear(r.Node, heardNode{now, r.Nodes, ownerInterval(o.members.Known)})
	p.roundTrip += (float64(r.RoundTripMS) - p.roundTrip) / 16
	for _, c := range r.PackedCounts {
		if org := o.rates.Organisations[ID(c.ID)]; org != nil && o.rates.partition(ID(c.ID)) == r.Partition {
			b := o.bucket(p, ID(c.ID), org, now)
			b.used = now
			b.level = min(b.level-float64(c.Admitted), o.depth(org))
			b.nAdmitted += float64(c.Admitted)
			b.nDemand += float64(c.Admitted + c.Refused)
		}
	}
	o.restate(p, r, now)
	return o.news(r.Partition), true
}

// restate takes over shares of the previous owner, so that a successor does not admit what its predecessor refused.
func (o *Owner) restate(p *partition, r *wire.QuotaReport, now time.Duration) {
	if now-p.since > learningTime {
		return
	}
	for _, s := range r.PackedRestated {
		org := o.rates.Organisations[ID(s.ID)]
		if org == nil || o.rates.partition(ID(s.ID)) != r.Partition {
			continue
		}
		b := o.bucket(p, ID(s.ID), org, now)
		b.used = now
		if share := float64(s.PerMille) / 1000; share < b.share {
			b.share, b.pushed = share, share
			b.wait = time.Duration(s.WaitMS) * time.Millisecond
			b.demand = max(b.demand, org.RatePerSecond/max(share, 0.05))
		}
	}
}

func (o *Owner) depth(org *config.Organisation) float64 {
	known := o.members.Known
	return burstShareOf(known)*org.Burst + depthSlackOf(known)*o.limit.Slack*(1+max(0, 1-org.RatePerSecond/smallRateOf(known)))
}

// presumedUse is what a silent node may have admitted before it noticed, as a part of what all nodes would have.
func (o *Owner) presumedUse(org *config.Organisation) float64 {
	return org.Burst + presumedFactor(o.members.Known)*org.RatePerSecond*(reportInterval(o.members.Known)+silenceMargin).Seconds()
}

func (o *Owner) bucket(p *partition, id ID, org *config.Organisation, now time.Duration) *bucket {
	b := p.buckets[id]
	if b == nil {
		// An organisation that nobody has reported has not used its tokens since the owner began to count.
		rate := org.RatePerSecond * o.heardShare(p)
		// A part of the slack covers Poisson arrivals meanwhile.
		level := min(o.depth(org), depthSlack/2*o.limit.Slack+rate*(now-p.since).Seconds())
		level = min(level, o.depth(org)-p.presumed*o.presumedUse(org)+rate*(now-p.presumedAt).Seconds())
		b = &bucket{level: level, share: 1, pushed: 1, used: now}
		p.buckets[id] = b
	}
	return b
}

// heardShare returns the part of the nodes that the owner hears. The others use their own parts of the rate.
func (o *Owner) heardShare(p *partition) float64 {
	heard := p.heardNodes()
	return float64(heard) / float64(max(o.members.Known, heard, 1))
}

// hear takes over the last report of a node. Nodes that begin or cease to report through a collector have not fallen silent.
func (p *partition) hear(node string, h heardNode) {
	last, known := p.heard[node]
	p.heard[node] = h
	if !known && h.nodes == 1 {
		if h.at-p.joinedAt > baseInterval {
			p.joined = 0
		}
		p.joined, p.joinedAt = p.joined+1, h.at
	}
	for range min(h.nodes-max(last.nodes, 1), len(p.heard)) {
		p.forgetOldest(node)
	}
	lost := max(0, last.nodes-h.nodes)
	moved := min(lost, p.joined)
	p.joined -= moved
	p.lost += lost - moved
}

// forgetOldest forgets the node that has not reported itself for the longest time: a collector reports for one node more.
func (p *partition) forgetOldest(collector string) {
	oldest := ""
	for node, h := range p.heard {
		if h.nodes == 1 && node != collector && (oldest == "" || h.at < p.heard[oldest].at) {
			oldest = node
		}
	}
	delete(p.heard, oldest)
}

// heardNodes returns the number of nodes that report, through collectors or themselves.
func (p *partition) heardNodes() (sum int) {
	for _, h := range p.heard {
		sum += h.nodes
	}
	return sum
}

// Push is news, and the nodes that get it.
type Push struct {
	News wire.QuotaNews
	To   []Peer
}

// Tick refills the buckets, sets the shares and returns the news to push to all nodes that may report.
func (o *Owner) Tick(now time.Duration) []Push {
	var list []Push
	if o.skipPause(now) {
		return nil
	}
	for i, p := range o.partitions {
		if p == nil {
			continue
		}
		if now-p.used > 4*(reportInterval(o.members.Known)+silenceMargin) {
			// Another node owns the partition.
			o.partitions[i] = nil
			continue
		}
		elapsed := now - p.lastTick
		if elapsed <= 0 {
			continue
		}
		p.lastTick = now
		o.dropSilent(p, now)
		for id, b := range p.buckets {
			org := o.rates.Organisations[id]
			o.advance(p, b, org, now, elapsed)
			if b.share == 1 && b.level >= o.depth(org) && now-b.used > idleAfter && b.pushed == 1 {
				delete(p.buckets, id)
			}
		}
		if p.push && now-p.pushed >= minReportGap {
			p.push, p.pushed = false, now
			for _, b := range p.buckets {
				b.pushed = b.share
			}
			list = append(list, Push{o.news(i), o.pushed(p)})
		}
	}
	return list
}

// pushed returns the nodes that get pushes. In a large fleet these are the collectors, which pass them on.
func (o *Owner) pushed(p *partition) []Peer {
	if !collects(o.members.Known) {
		return o.members.Live
	}
	return peersIn(o.members.Live, p.heard)
}

// peersIn returns the nodes that are keys of a map.
func peersIn[V any](live []Peer, nodes map[string]V) []Peer {
	var list []Peer
	for _, peer := range live {
		if _, found := nodes[peer.Node]; found {
			list = append(list, peer)
		}
	}
	return list
}

// skipPause reports whether the process was paused before this tick, so that its queued reports have to be read first. It leaves
// the pause out of the time for which nodes were silent. A process whose ticks are always late is not helped twice in a row, as
// silent nodes would never be noticed.
func (o *Owner) skipPause(now time.Duration) bool {
	pause := now - o.ticked - tickMargin
	o.ticked = now
	o.paused = pause > 0 && !o.paused
	if !o.paused {
		return false
	}
	for _, p := range o.partitions {
		if p == nil {
			continue
		}
		p.used += pause
		for node, h := range p.heard {
			p.heard[node] = heardNode{h.at + pause, h.nodes, h.interval}
		}
	}
	return true
}

// dropSilent stops counting on nodes that have not reported, and charges what they may have admitted meanwhile.
func (o *Owner) dropSilent(p *partition, now time.Duration) {
	silent := p.lost
	p.lost = 0
	for node, h := range p.heard {
		if now-h.at > h.interval+lateMargin {
			delete(p.heard, node)
			silent += h.nodes
		}
	}
	if silent == 0 {
		return
	}
	part := float64(silent) / float64(max(o.members.Known, 1))
	p.presumed, p.presumedAt = min(p.presumed*math.Exp(-(now-p.presumedAt).Seconds())+part, 1), now
	for id, b := range p.buckets {
		b.level -= part * o.silentUse(p, b, o.rates.Organisations[id], now)
	}
}

// silentUse estimates what a silent node may have admitted before it noticed, as a part of what all nodes would have. Requests
// enter at all nodes evenly, so the demand at the others bounds it. Nodes that had heard of a limit before they fell silent admit
// their parts of the rate.
func (o *Owner) silentUse(p *partition, b *bucket, org *config.Organisation, now time.Duration) float64 {
	heard := o.heardShare(p)
	if heard == 0 {
		return o.presumedUse(org)
	}
	interval := reportInterval(o.members.Known)
	perSecond := b.demand / heard
	if b.share < 1 && now-b.limitedAt > 2*interval+lateMargin {
		perSecond = min(perSecond, org.RatePerSecond)
	}
	return min(o.presumedUse(org), perSecond*(interval+silenceMargin).Seconds())
}

// advance refills a bucket and sets the share of its organisation.
func (o *Owner) advance(p *partition, b *bucket, org *config.Organisation, now, elapsed time.Duration) {
	depth := o.depth(org)
	rate := org.RatePerSecond * o.heardShare(p)
	b.level = min(depth, b.level+rate*elapsed.Seconds())
	// Debt older than a window is part of no window any more.
	b.level = max(b.level, -org.RatePerSecond*o.limit.Window.Seconds())
	b.admitted += weight(elapsed, admittedTime) * (b.nAdmitted/elapsed.Seconds() - b.admitted)
	b.demand += weight(elapsed, demandTime) * (b.nDemand/elapsed.Seconds() - b.demand)
	b.nAdmitted, b.nDemand = 0, 0
	lookahead := (minLookahead + time.Duration(p.roundTrip)*time.Millisecond + collectDelay(o.members.Known)).Seconds()
	expected := b.level - max(0, b.admitted-rate, b.demand-rate)*(lookahead+noticeDelay(o.members.Known).Seconds())
	target := targetLevel * depth
	if b.share == 1 {
		b.limitedAt = now
	}
	if b.share == 1 && expected >= 0 {
		b.wait, b.pushed = 0, 1
		return
	}
	demand := b.demand
	if collects(o.members.Known) {
		// The slower estimate of the two says too little of a flood that has just begun.
		demand = max(demand, b.admitted)
	}
	steer := demandTime.Seconds() + 2*lookahead
	b.share = min(1, max(0, (rate+(b.level-target)/steer)/max(demand, 0.01)))
	if b.level < 0 {
		b.share = min(b.share, 0.5*rate/max(demand, rate, 0.01))
	}
	if b.level < -depth/4 {
		b.share = 0
	}
	if b.share > 0.999 {
		b.share = 1
	}
	// A rise reaches the nodes with the replies to their reports.
	b.pushed = max(b.pushed, b.share)
	b.wait = waitOf(b, rate)
	// What nodes that have not heard of a fall admit meanwhile is within the slack for less demand.
	if b.share*pushFactor < b.pushed && o.isPushed(rate, demand) {
		p.push = true
	}
}

// isPushed reports whether nodes should hear of a fall of a share before their next reports.
func (o *Owner) isPushed(rate, demand float64) bool {
	unheard := demand * reportInterval(o.members.Known).Seconds()
	if collects(o.members.Known) {
		return unheard >= o.limit.Slack/2 && demand > floodFactor*rate
	}
	return unheard >= o.limit.Slack
}

// weight returns the weight of a value measured over a time in an average with a time constant.
func weight(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// waitOf returns the time until the debt is repaid and the requests refused in a second have had their turn.
func waitOf(b *bucket, rate float64) time.Duration {
	seconds := max(0, b.demand/max(rate, 0.01)-1) + max(0, -b.level/max(rate, 0.01))
	return min(time.Duration(seconds*float64(time.Second)), maxWait)
}

// news returns the state of a partition.
func (o *Owner) news(i int) wire.QuotaNews {
	o.sequence++
	n := wire.QuotaNews{
		Partition: i, Owner: o.node, Process: o.process, Sequence: o.sequence, Version: o.version,
		IntervalMS: int(ownerInterval(o.members.Known).Milliseconds()),
	}
	for id, b := range o.partitions[i].buckets {
		if b.share < 1 {
			n.PackedLimited = append(n.PackedLimited, wire.QuotaShare{ID: uint64(id), PerMille: int(1000 * b.share), WaitMS: int(b.wait.Milliseconds())})
		}
	}
	slices.SortFunc(n.PackedLimited, func(a, b wire.QuotaShare) int { return cmp.Compare(a.ID, b.ID) })
	return n
}
