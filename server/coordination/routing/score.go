package routing

import (
	"time"

	"wagtailford.example/server/state/endpoint"
)

// Costs of a target beside the wait for it. They are times, because a caller pays them in time.
const (
	// domainCost is the cost of another node in the same failure domain: a way there and back, and the work of one
	// more process.
	domainCost = time.Millisecond
	// faultCost is the cost of a target all of whose recent attempts failed. It is above the waits that a queue
	// allows, so such a target is used only if all are alike.
	faultCost = 2 * time.Second
	// jitterShare is the part by which costs vary at random, so that nodes with the same view differ in their choice.
	jitterShare = 0.2
	// unknownService is the estimated service time at a target that has not stated one. It is low, so that a new
	// target is tried soon.
	unknownService = 20 * time.Millisecond
	// messageBytesMin is the size of a message without a body, in bytes.
	messageBytesMin = 512
)

// Demand is what a request asks of its target.
type Demand struct {
	// ExpectedBytes is the expected size of request and answer together.
	ExpectedBytes int
	// BodyBytes is the size of a large body that the target's node has to fetch; 0 if there is none.
	BodyBytes int
	// Objective is the time within which an answer is of full use; 0 if there is none.
	Objective time.Duration
}

// CostWeights are the settings of Cheapest.
type CostWeights struct {
	// DomainByteCost is how much longer a caller may wait inside the failure domain before a kilobyte is sent to
	// another one.
	DomainByteCost time.Duration
	// RegionCost is the cost of a target in another region.
	RegionCost time.Duration
}

// farSample limits the candidates of other failure domains that are compared for one request. Among some tens the best one
// is nearly as good as among all, a choice costs the same in a fleet of any size, and a node has connections to few others.
const farSample = 24

// ChooseLowestCost returns the candidate with the least expected time to an answer, with the cost of its distance and of its
// recent faults added; nil if there is none. Candidates in Exclude are left out. An ejected candidate is taken only if
// there is no other. Candidates of other failure domains are looked at only where the best one nearby costs more than the
// way to them.
//
// A node that has just refused a request of this kind as full is left out, unless it is this one, and so are all nodes of
// another domain that is known to be full. Where all are full, each offer costs processor time and bytes and ends in a
// refusal.
//
// It answers three load patterns: near targets are used up to the point at which a wait there is worse than the way to
// another failure domain; slow targets get less work than fast ones; and a target that fails part of its requests while
// its health is good gets little work without a verdict that could hit all targets at once.
func ChooseLowestCost(c *Choice, d Demand, w CostWeights, self string) *endpoint.Entry {
	var p pick
	near, far := c.Candidates[:c.NearCount], c.Candidates[c.NearCount:]
	for _, e := range near {
		c.consider(&p, e, d, w, self)
	}
	if len(far) == 0 || p.best != nil && p.bestCost <= c.distanceCost(far[0], d, w, self) {
		return p.result()
	}
	considered := 0
	for _, e := range far {
		if c.isDomainFull(e) || !c.consider(&p, e, d, w, self) {
			continue
		}
		if considered++; considered == farSample {
			break
		}
	}
	return p.result()
}

// pick is the best candidate so far, and the best one among those that are ejected.
type pick struct {
	best, fallback         *endpoint.Entry
	bestCost, fallbackCost time.Duration
}

func (p *pick) result() *endpoint.Entry {
	if p.best == nil {
		return p.fallback
	}
	return p.best
}

// consider compares a candidate with the best one so far. It returns false if the candidate is left out.
func (c *Choice) consider(p *pick, e *endpoint.Entry, d Demand, w CostWeights, self string) bool {
	if c.Exclude[e.Node] {
		return false
	}
	s := c.Stat(e.Node)
	if c.NowMS < s.FullUntilMS && e.Node != self {
		return false
	}
	cost := c.cost(e, s, d, w, self)
	switch {
	case !s.Usable(c.NowMS):
		if p.fallback == nil || cost < p.fallbackCost {
			p.fallback, p.fallbackCost = e, cost
		}
	case p.best == nil || cost < p.bestCost:
		p.best, p.bestCost = e, cost
	}
	return true
}

func (c *Choice) cost(e *endpoint.Entry, s NodeStats, d Demand, w CostWeights, self string) time.Duration {
	service := s.service()
	cold := warmth(e, c.NowMS, c.Settings.SlowStart)
	cost := time.Duration(float64(service)/max(cold, coldShareMin)) + s.Wait(e, c.NowMS, service)
	cost += time.Duration(s.FaultsAt(c.NowMS) * float64(faultCost))
	if e.Node != self {
		cost += s.bodyTime(e, d.BodyBytes, c.NowMS)
	}
	random := float64(c.Random()>>11) / (1 << 53)
	cost = time.Duration(float64(cost) * (1 - jitterShare/2 + jitterShare*random))
	return cost + c.distanceCost(e, d, w, self)
}

func (c *Choice) isDomainFull(e *endpoint.Entry) bool {
	return c.DomainFull != nil && c.DomainFull(e.FailureDomain)
}

// coldShareMin is the least speed that a cold target is taken to have.
const coldShareMin = 0.5

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
		// A wait beyond the objective costs the caller more than the bytes cost the operator.
		byteCost = min(byteCost, d.Objective)
	}
	cost := domainCost + byteCost
	if tier == tierAnywhere {
		cost += w.RegionCost
	}
	return cost
}

// bodyTime returns the time until a large body is at a node: what other bodies on its link need, which fades with the age
// of the report, and its own size.
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

// service returns the stated service time, or a low one if none was stated.
func (s NodeStats) service() time.Duration {
	if s.ServiceTime > 0 {
		return s.ServiceTime
	}
	return unknownService
}

// Wait returns the expected time until a request starts, from the load that the target stated, which fades with its
// age, and this node's own requests there.
func (s NodeStats) Wait(e *endpoint.Entry, nowMS int64, service time.Duration) time.Duration {
	slots := e.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	others := 0.0
	if age := nowMS - s.ReportedMS; age < reportedMaxAge.Milliseconds() {
		others = float64(s.Others) * min(1-float64(age)/float64(reportedMaxAge.Milliseconds()), 1)
	}
	excess := others + float64(s.Outstanding) + 1 - float64(slots)
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess * float64(service) / float64(slots))
}
