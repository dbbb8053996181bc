package routing

import (
	"time"

	"wagtailford.example/server/state/endpoint"
)

// Costs of a target in addition to its expected queueing and service time. They are expressed as time, because time is
// what a caller spends.
const (
	// domainCost is the cost of another node in the same failure domain: a network round trip and the processing in one
	// more process.
	domainCost = time.Millisecond
	// faultCost is the cost of a target all of whose recent attempts failed. It exceeds the waits that a queue allows,
	// so that such a target is used only if all targets fail alike.
	faultCost = 2 * time.Second
	// jitterShare is the relative range of the random variation of costs, so that nodes with the same view choose
	// differently.
	jitterShare = 0.2
	// defaultServiceTime is the service time assumed for a target that has not reported one. It is low, so that a new
	// target is tried soon.
	defaultServiceTime = 20 * time.Millisecond
	// messageBytesMin is the size in bytes of a message without a body.
	messageBytesMin = 512
)

// Demand describes the resources that a request needs.
type Demand struct {
	// ExpectedBytes is the expected size of request and response together.
	ExpectedBytes int
	// BodyBytes is the size of a large body that the target's node has to fetch; 0 if there is none.
	BodyBytes int
	// Objective is the remaining time of the route's latency objective; 0 if there is none.
	Objective time.Duration
}

// CostWeights holds the settings of ChooseLowestCost.
type CostWeights struct {
	// DomainByteCost is the additional wait inside the failure domain that is accepted to avoid sending one kilobyte to
	// another one.
	DomainByteCost time.Duration
	// RegionCost is the cost of a target in another region.
	RegionCost time.Duration
}

// remoteSampleSize limits the candidates in other failure domains that are compared for one request. The best of some
// tens is nearly as good as the best of all, the selection costs the same in a fleet of any size, and a node keeps
// connections to only a few other nodes.
const remoteSampleSize = 24

// Selection is the result of ChooseLowestCost.
type Selection struct {
	// Target is nil if there is no candidate.
	Target *endpoint.Entry
	// MaxWait is the wait at the target beyond which the next best candidate is expected to respond sooner; 0 if there
	// is no other candidate.
	MaxWait time.Duration
	// FullFor is the shortest time for which a skipped candidate counts as full; 0 if none was skipped for that reason.
	// Limited is true if that is due to the limit of its target.
	FullFor time.Duration
	Limited bool
}

// ChooseLowestCost returns the candidate with the lowest cost, if there is one. The cost is the expected time to a
// response plus penalties for distance and recent faults. Candidates in Exclude are skipped. An ejected candidate is used
// only if there is no other, and one that is unreachable only for the first attempt: a connection to a node without power
// takes a second to fail, and a request that was refused elsewhere is better refused at once. Candidates in other failure
// domains are considered only if the best local one costs more than the distance to them.
//
// A node that recently refused a request of this kind as full is skipped, unless it is this node, and so are all nodes
// of another failure domain that is known to be full. When all are full, every further offer costs CPU time and
// bandwidth and ends in a refusal.
//
// The cost function covers three load patterns: local targets are used until waiting there is worse than sending the
// request to another failure domain; slow targets get less work than fast ones; and a target that passes its health
// checks but fails part of its requests gets little work, without an ejection that could hit all targets at once.
func ChooseLowestCost(c *Choice, d Demand, w CostWeights, self string) Selection {
	return c.choose(&lowestCost, d, w, self)
}

// lowestCost is the cost model of ChooseLowestCost.
var lowestCost = costModel{
	wait: func(s NodeStats, e *endpoint.Entry, nowMS int64, service time.Duration, _ float64) time.Duration {
		return s.Wait(e, nowMS, service)
	},
	others:         func(s NodeStats, nowMS int64, _ time.Duration) float64 { return s.reportedOthers(nowMS) },
	distanceWeight: 1,
}

// costModel is what a policy compares candidates by.
type costModel struct {
	// wait estimates the time until a request starts at a candidate with a slow-start factor.
	wait func(s NodeStats, e *endpoint.Entry, nowMS int64, service time.Duration, slowStart float64) time.Duration
	// others estimates the number of requests from other nodes at a candidate.
	others func(s NodeStats, nowMS int64, service time.Duration) float64
	// extraWait is how many times the wait counts in addition to the expected time to a response, distanceWeight how many
	// times the cost of another failure domain or region does.
	extraWait, distanceWeight float64
}

// rating is the result of a cost model for one candidate. Candidates are ordered by rank; cost is the expected time to a
// response with all penalties, and wait the part of it that is the expected wait.
type rating struct {
	rank, cost, wait time.Duration
}

// choose returns the candidate with the lowest rank.
func (c *Choice) choose(m *costModel, d Demand, w CostWeights, self string) Selection {
	var p bestCandidates
	local, remote := c.Candidates[:c.NearCount], c.Candidates[c.NearCount:]
	for _, e := range local {
		c.note(e, c.consider(m, &p, e, d, w, self))
	}
	if len(remote) == 0 {
		return p.selection()
	}
	away := c.distanceCost(remote[0], d, w, self)
	if p.best != nil && p.rating.rank <= away+m.extraDistance(away, d) {
		// A remote candidate that is free and otherwise equal.
		p.addSecond(away + p.rating.cost - p.rating.wait)
		return p.selection()
	}
	c.considerRemote(m, &p, remote, d, w, self)
	return p.selection()
}

// considerRemote compares a sample of the candidates in other failure domains with the best one so far.
func (c *Choice) considerRemote(m *costModel, p *bestCandidates, remote []*endpoint.Entry, d Demand, w CostWeights, self string) {
	considered := 0
	for _, e := range remote {
		verdict := DomainFull
		if !c.isDomainFull(e) {
			verdict = c.consider(m, p, e, d, w, self)
		}
		c.note(e, verdict)
		if !verdict.isCompared() {
			continue
		}
		if considered++; considered == remoteSampleSize {
			break
		}
	}
}

// note keeps the verdict on a candidate for an explanation.
func (c *Choice) note(e *endpoint.Entry, v Verdict) {
	if c.verdicts != nil {
		c.verdicts[e.Node] = v
	}
}

// extraDistanceShare is the part of the remaining objective that the weight of a distance adds at most. Otherwise, with all
// targets of a failure domain slow, more requests would be late there while those of the others are fast. A quarter sent a
// third more requests to other failure domains at peaks.
const extraDistanceShare = 0.5

// extraDistance returns what the weight of the model adds to the cost of the distance to another failure domain.
func (m *costModel) extraDistance(away time.Duration, d Demand) time.Duration {
	extra := weighted(away, m.distanceWeight-1)
	if d.Objective > 0 {
		extra = min(extra, weighted(d.Objective, extraDistanceShare))
	}
	return extra
}

func weighted(d time.Duration, weight float64) time.Duration {
	return time.Duration(float64(d) * weight)
}

// offerCost is the time that an offer to one more node takes.
const offerCost = 10 * time.Millisecond

// bestCandidates holds the best usable candidate so far with its rating, the cost of the second best and, as a fallback,
// the best ejected one. secondCost is 0 if there is no second candidate.
type bestCandidates struct {
	best, fallback *endpoint.Entry
	rating         rating
	fallbackRank   time.Duration
	secondCost     time.Duration
	fullFor        time.Duration
	limited        bool
}

// skipFull notes that a candidate was skipped because it counts as full.
func (p *bestCandidates) skipFull(s NodeStats, nowMS int64) {
	left := time.Duration(s.FullUntilMS-nowMS) * time.Millisecond
	if p.fullFor == 0 || left < p.fullFor {
		p.fullFor, p.limited = left, s.Limit.Limited
	}
}

func (p *bestCandidates) selection() Selection {
	if p.best == nil {
		return Selection{Target: p.fallback, FullFor: p.fullFor, Limited: p.limited}
	}
	if p.secondCost == 0 {
		return Selection{Target: p.best}
	}
	return Selection{Target: p.best, MaxWait: max(p.secondCost-(p.rating.cost-p.rating.wait), 0) + offerCost}
}

func (p *bestCandidates) addSecond(cost time.Duration) {
	if p.secondCost == 0 || cost < p.secondCost {
		p.secondCost = cost
	}
}

// consider compares a candidate with the best one so far.
func (c *Choice) consider(m *costModel, p *bestCandidates, e *endpoint.Entry, d Demand, w CostWeights, self string) Verdict {
	if c.Exclude[e.Node] {
		return Tried
	}
	s := c.Stat(e.Node)
	if s.isLeaving(e) {
		return Leaving
	}
	if c.NowMS < s.FullUntilMS && e.Node != self {
		p.skipFull(s, c.NowMS)
		return Full
	}
	if s.Unreachable && !s.Usable(c.NowMS) && len(c.Exclude) > 0 {
		return Unreached
	}
	verdict := Compared
	r := c.rate(m, e, s, d, w, self)
	switch {
	case !s.Usable(c.NowMS):
		verdict = Ejected
		if p.fallback == nil || r.rank < p.fallbackRank {
			p.fallback, p.fallbackRank = e, r.rank
		}
	case p.best == nil || r.rank < p.rating.rank:
		if p.best != nil {
			p.addSecond(p.rating.cost)
		}
		p.best, p.rating = e, r
	default:
		p.addSecond(r.cost)
	}
	return verdict
}

func (c *Choice) rate(m *costModel, e *endpoint.Entry, s NodeStats, d Demand, w CostWeights, self string) rating {
	serviceTime := s.estimatedServiceTime()
	warmup := slowStartFactor(e, c.NowMS, c.Settings.SlowStart)
	wait := m.wait(s, e, c.NowMS, serviceTime, warmup)
	cost := time.Duration(float64(serviceTime)/max(warmup, slowStartSpeedMin)) + wait
	cost += time.Duration(s.FaultRateAt(c.NowMS) * float64(faultCost))
	if e.Node != self {
		cost += s.bodyTime(e, d.BodyBytes, c.NowMS)
	}
	random := float64(c.Random()>>11) / (1 << 53)
	cost = time.Duration(float64(cost) * (1 - jitterShare/2 + jitterShare*random))
	away := c.distanceCost(e, d, w, self)
	rank := cost + weighted(wait, m.extraWait) + away
	if c.Locality.tier(e) != tierDomain {
		rank += m.extraDistance(away, d)
	}
	return rating{rank: rank, cost: cost + away, wait: wait}
}

func (c *Choice) isDomainFull(e *endpoint.Entry) bool {
	return c.DomainFull != nil && c.DomainFull(e.FailureDomain)
}

// slowStartSpeedMin is the minimum relative speed assumed for a target in slow start.
const slowStartSpeedMin = 0.5

func (c *Choice) distanceCost(e *endpoint.Entry, d Demand, w CostWeights, self string) time.Duration {
	if e.Node == self {
		return 0
	}
	tier := c.Locality.tier(e)
	if tier == tierDomain {
		return domainCost
	}
	kilobytes := float64(messageBytesMin+d.ExpectedBytes) / 1024
	byteCost := time.Duration(kilobytes * float64(w.DomainByteCost))
	if d.Objective > 0 {
		// Exceeding the objective costs the caller more than the bytes cost the operator.
		byteCost = min(byteCost, d.Objective)
	}
	cost := domainCost + byteCost
	if tier == tierAnywhere {
		cost += w.RegionCost
	}
	return cost
}

// bodyTime returns the time until a large body has arrived at a node: the time that the link is occupied by other
// bodies, discounted by the age of the report, plus its own transfer time.
func (s NodeStats) bodyTime(e *endpoint.Entry, bytes int, nowMS int64) time.Duration {
	if bytes == 0 || e.LinkMbps == 0 {
		return 0
	}
	const bitsPerMbit = 1e6
	own := time.Duration(float64(bytes) * 8 / (float64(e.LinkMbps) * bitsPerMbit) * float64(time.Second))
	age := nowMS - s.ReportedMS
	if age >= reportedMaxAge.Milliseconds() {
		return own
	}
	remaining := min(1-float64(age)/float64(reportedMaxAge.Milliseconds()), 1)
	return own + time.Duration(float64(s.LinkWait)*remaining)
}

// estimatedServiceTime returns the estimated service time, or a low default if none is known.
func (s NodeStats) estimatedServiceTime() time.Duration {
	if s.ServiceTime > 0 {
		return s.ServiceTime
	}
	return defaultServiceTime
}

// Wait returns the expected time until a request starts. It combines the load that the target reported, discounted by
// the age of the report, with this node's own outstanding requests there.
func (s NodeStats) Wait(e *endpoint.Entry, nowMS int64, service time.Duration) time.Duration {
	slots := e.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return max(s.slotWait(s.reportedOthers(nowMS), slots, service), s.limitWait(nowMS))
}

// reportedOthers returns the reported number of requests from other nodes, discounted by the age of the report.
func (s NodeStats) reportedOthers(nowMS int64) float64 {
	age := nowMS - s.ReportedMS
	if age >= reportedMaxAge.Milliseconds() {
		return 0
	}
	return float64(s.OtherRequests) * min(1-float64(age)/float64(reportedMaxAge.Milliseconds()), 1)
}

// slotWait is the expected time until a slot is free, from the requests of other nodes and of this one.
func (s NodeStats) slotWait(others float64, slots int, service time.Duration) time.Duration {
	excess := others + float64(s.Outstanding) + 1 - float64(slots)
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess * float64(service) / float64(slots))
}
