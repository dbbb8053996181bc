package policysim

import (
	"slices"
	"time"

	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/state/endpoint"
)

// BalancePolicy selects the target of a request of one sender.
type BalancePolicy func(s *balanceSender, c *routing.Choice, d routing.Demand, self *endpoint.Entry) routing.Selection

// Shipped returns a policy of package routing by its name.
func Shipped(name string) BalancePolicy {
	p := routing.PolicyOf(name)
	return func(_ *balanceSender, c *routing.Choice, d routing.Demand, self *endpoint.Entry) routing.Selection {
		return p.Choose(c, d, balanceWeights, self.Node)
	}
}

// pick selects one of several candidates, of which there is at least one.
type pick func(s *balanceSender, c *routing.Choice, list []*endpoint.Entry) *endpoint.Entry

// remoteSample is the number of candidates of other failure domains that are looked at, as in package routing.
const remoteSample = 24

// nearFirst makes a policy of a pick. Candidates of other failure domains are used if the one picked in the own failure
// domain is expected to respond later than theirs by more than the cost of the distance.
func nearFirst(p pick) BalancePolicy {
	return func(s *balanceSender, c *routing.Choice, d routing.Demand, self *endpoint.Entry) routing.Selection {
		near := eligible(c, c.Candidates[:c.NearCount], self)
		far := eligible(c, c.Candidates[c.NearCount:], self)
		far = far[:min(len(far), remoteSample)]
		distance := time.Millisecond + min(balanceWeights.DomainByteCost*(balanceBytes+512)/1024, d.Objective)
		var chosen *endpoint.Entry
		if len(near) > 0 {
			chosen = p(s, c, near)
		}
		if len(far) > 0 && (chosen == nil || expected(c, chosen) > distance) {
			if other := p(s, c, far); chosen == nil || expected(c, other)+distance < expected(c, chosen) {
				chosen = other
			}
		}
		if chosen == nil {
			return routing.Selection{}
		}
		return routing.Selection{Target: chosen, MaxWait: maxWait(c, chosen, append(near, far...))}
	}
}

// eligible returns the candidates that were not tried and do not count as full.
func eligible(c *routing.Choice, list []*endpoint.Entry, self *endpoint.Entry) []*endpoint.Entry {
	return slices.DeleteFunc(slices.Clone(list), func(e *endpoint.Entry) bool {
		full := c.NowMS < c.Stat(e.Node).FullUntilMS && e != self
		return full || c.Exclude[e.Node] || (e.FailureDomain != self.FailureDomain && c.DomainFull(e.FailureDomain))
	})
}

// serviceOf returns the estimated service time of a candidate; until the first report it is low.
func serviceOf(s routing.NodeStats) time.Duration { return max(s.ServiceTime, 20*time.Millisecond) }

// expected is the expected time to a response.
func expected(c *routing.Choice, e *endpoint.Entry) time.Duration {
	s := c.Stat(e.Node)
	return serviceOf(s) + s.Wait(e, c.NowMS, serviceOf(s))
}

// maxWait is the wait beyond which another candidate is expected to respond sooner, and the time of one more offer.
func maxWait(c *routing.Choice, chosen *endpoint.Entry, list []*endpoint.Entry) time.Duration {
	second := time.Duration(0)
	for _, e := range list {
		if cost := expected(c, e); e != chosen && (second == 0 || cost < second) {
			second = cost
		}
	}
	if second == 0 {
		return 0
	}
	return max(second-serviceOf(c.Stat(chosen.Node)), 0) + 10*time.Millisecond
}

func random(c *routing.Choice) float64 { return float64(c.Random()>>11) / (1 << 53) }

// fastest picks the candidate with the shortest expected time to a response.
func fastest(_ *balanceSender, c *routing.Choice, list []*endpoint.Entry) *endpoint.Entry {
	return slices.MinFunc(list, func(a, b *endpoint.Entry) int { return int(expected(c, a) - expected(c, b)) })
}

// twoChoices picks the better of two random candidates.
func twoChoices(s *balanceSender, c *routing.Choice, list []*endpoint.Entry) *endpoint.Entry {
	first := list[c.Random()%uint64(len(list))]
	second := list[c.Random()%uint64(len(list))]
	return fastest(s, c, []*endpoint.Entry{first, second})
}

// freeSlots is the estimated number of free slots; at a full target a small rest, so that it is tried again.
func freeSlots(c *routing.Choice, e *endpoint.Entry) float64 {
	const rest = 0.25
	s := c.Stat(e.Node)
	age := float64(c.NowMS-s.ReportedMS) / 1000
	return max(float64(e.Slots)-float64(s.OtherRequests)*max(1-age, 0)-float64(s.Outstanding), rest)
}

// weightedFree picks at random, weighted by the estimated rate at which the free slots serve requests.
func weightedFree(_ *balanceSender, c *routing.Choice, list []*endpoint.Entry) *endpoint.Entry {
	weight := func(e *endpoint.Entry) float64 { return freeSlots(c, e) / float64(serviceOf(c.Stat(e.Node))) }
	total := 0.0
	for _, e := range list {
		total += weight(e)
	}
	point := random(c) * total
	for _, e := range list {
		if point -= weight(e); point < 0 {
			return e
		}
	}
	return list[len(list)-1]
}

// grantLifeMS is how long a granted slot is kept for its holder, a few times the gap between two requests of a sender.
const grantLifeMS = 100

// slotGrants are the ends of granted slots in ascending order, at the target's node or at the sender that holds them.
type slotGrants []float64

func (g *slotGrants) expire(nowMS float64) {
	*g = slices.DeleteFunc(*g, func(end float64) bool { return end <= nowMS })
}

// grant adds a grant if more slots are free than are granted.
func (g *slotGrants) grant(nowMS float64, free int) bool {
	g.expire(nowMS)
	if len(*g) >= free {
		return false
	}
	*g = append(*g, nowMS+grantLifeMS)
	return true
}

// use ends a grant; it returns false if there is none.
func (g *slotGrants) use(nowMS float64) bool {
	g.expire(nowMS)
	if len(*g) == 0 {
		return false
	}
	*g = (*g)[1:]
	return true
}

// granted picks the fastest candidate that has granted a slot to the sender, or the one with the shortest expected time.
func granted(s *balanceSender, c *routing.Choice, list []*endpoint.Entry) *endpoint.Entry {
	held := slices.DeleteFunc(slices.Clone(list), func(e *endpoint.Entry) bool {
		g := s.grants[e.Node]
		g.expire(float64(c.NowMS - startMS))
		return len(*g) == 0
	})
	if len(held) == 0 {
		return fastest(s, c, list)
	}
	return slices.MinFunc(held, func(a, b *endpoint.Entry) int {
		return int(serviceOf(c.Stat(a.Node)) - serviceOf(c.Stat(b.Node)))
	})
}

const (
	// probePool is the number of responses that are kept as probes, probeUses how often each is used.
	probePool = 16
	probeUses = 1
)

// probe is what a response said of its target.
type probe struct {
	node string
	uses int
}

// probed picks by the latest responses: the fastest target that reported a free slot, else the one with the lowest load. A
// response is used probeUses times; without one the pick is that of twoChoices.
func probed(s *balanceSender, c *routing.Choice, list []*endpoint.Entry) *endpoint.Entry {
	var best *endpoint.Entry
	for _, p := range s.probes {
		i := slices.IndexFunc(list, func(e *endpoint.Entry) bool { return e.Node == p.node })
		if i >= 0 && (best == nil || expected(c, list[i]) < expected(c, best)) {
			best = list[i]
		}
	}
	if best == nil {
		return twoChoices(s, c, list)
	}
	i := slices.IndexFunc(s.probes, func(p probe) bool { return p.node == best.Node })
	if s.probes[i].uses++; s.probes[i].uses >= probeUses {
		s.probes = slices.Delete(s.probes, i, i+1)
	}
	return best
}

// observe keeps a response as a probe.
func (s *balanceSender) observe(node string) {
	s.probes = slices.DeleteFunc(s.probes, func(p probe) bool { return p.node == node })
	if s.probes = append(s.probes, probe{node: node}); len(s.probes) > probePool {
		s.probes = s.probes[1:]
	}
}
