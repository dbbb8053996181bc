package admission

import (
	"math"
	"slices"
	"time"

	"wagtailford.example/server/protocol/outcome"
)

const (
	// demandShare is the part of what an organisation would get in proportion to its requests that it can count on beside any
	// number of others. Together these parts take demandShare/(1+demandShare) of the slots, 0.29, which is above the required
	// quarter.
	demandShare = 0.4
	// noOrganisationShare is that part for requests without organisation. They serve the running requests of all
	// organisations, so counting them as one organisation would starve them.
	noOrganisationShare = 1
	// rankFloor is the part of the service ratio of all requests below which a rank goes first.
	rankFloor = 0.35
	// clockWeight is the weight of a start in the sums by which the weights of the organisations are known.
	clockWeight = 1.0 / 256
	// weightsMax bounds that sum.
	weightsMax = 4096
	// ratioHalving is the time after which the counts of service ratios are halved.
	ratioHalving = 5 * time.Second
	// ratioNegligible is the count below which an organisation is forgotten, unless it has used more than its share.
	ratioNegligible = 0.5
	// organisationsMax bounds the organisations that the clocks of a target remember together. It leaves room for each of
	// 10,000 at one kind, and a part of them at further kinds; what does not fit shares one entry.
	organisationsMax = 1 << 14
	// clocksMax bounds the clocks of a target; kinds beyond it are served without regard to organisations.
	clocksMax = kindsMax
	// chargeMin is charged for a request of a kind without a service time estimate.
	chargeMin = time.Millisecond
	// ranksMax is the number of ranks of organisations that are told apart. Less urgent ones count as the last.
	ranksMax = 8
	// otherOrganisations is the entry that organisations share when organisationsMax is reached. No name of an organisation
	// contains a line break.
	otherOrganisations = "\n"
)

// rankOf returns the rank of an organisation priority, 0 to ranksMax-1.
func rankOf(priority int) int { return min(max(priority, 0), ranksMax-1) }

// lastRankTime is how long the least urgent rank of the organisations at a target is remembered.
const lastRankTime = 10 * time.Second

// Place returns an arrival with the rank that it is served in. A request without organisation, which is mostly a call of a
// running request of some organisation, takes the least urgent rank that organisations have here. In the first rank, such calls
// would go before the urgent kinds of all less urgent organisations; so they share their rank by the priorities of the routes.
func (s *State) Place(now time.Time, a Arrival) Arrival {
	remembered := now.Before(s.lastRankUntil)
	switch rank := rankOf(a.OrganisationPriority); {
	case a.Organisation == "" && remembered:
		a.OrganisationPriority = s.lastRank
	case a.Organisation != "" && (rank >= s.lastRank || !remembered):
		s.lastRank, s.lastRankUntil = rank, now.Add(lastRankTime)
	}
	return a
}

// serviceRatio counts arrivals and starts, with decay.
type serviceRatio struct {
	offered, started float64
}

func (r *serviceRatio) halve() {
	r.offered /= 2
	r.started /= 2
}

// value returns the part of the requests that started. A few requests that wait do not make it low.
func (r *serviceRatio) value() float64 { return (r.started + 1) / (r.offered + 1) }

// organisationShare is what one organisation has used of the slot time of a kind.
type organisationShare struct {
	// finish is the virtual time up to which the organisation has used its share.
	finish float64
	// offered counts its arrivals, with decay; demand is the part of its demand that it can count on.
	offered float64
	demand  float64
	gate    gate
	// counted is scratch space of the methods of fairClock.
	counted int
}

// fairClock divides the slot time of one kind and rank equally among the organisations that wait, but for the part of its
// demand that a large one can count on: start-time fair queueing in seconds of slot time. An organisation that was idle gets no credit for it, and one that has used more than its share
// returns behind the others. Organisations that have used no more than the virtual time need no memory.
//
// It addresses an organisation that sends a multiple of its usual load to a full target: in the order of due times alone, the
// others would be served in proportion to what they send.
type fairClock struct {
	virtual       float64
	organisations map[string]*organisationShare
	// offered counts all arrivals, with decay.
	offered float64
	// work and advance are the slot time that was charged and the progress of the virtual time with it, both with decay. Their
	// ratio is the sum of the weights of the organisations that take part.
	work, advance float64
	halvedAt      time.Time
}

// clockKey names a clock.
type clockKey struct {
	kind uint32
	rank int
}

// fairClocks holds the clocks of one target. The zero value is ready to use.
type fairClocks struct {
	clocks map[clockKey]*fairClock
	// remembered is the number of organisations in all clocks.
	remembered int
	// ranks are the service ratios of the ranks, all that of all requests.
	ranks    [ranksMax]serviceRatio
	all      serviceRatio
	halvedAt time.Time
}

// noteArrival counts an arrival. It returns the clock of the queue and the share of the organisation, or nil if no request of
// an organisation has arrived there.
func (f *fairClocks) noteArrival(now time.Time, qs *queues, q *kindQueue, organisation string) *organisationShare {
	if now.Sub(f.halvedAt) >= ratioHalving {
		f.halvedAt = now
		f.all.halve()
		for i := range f.ranks {
			f.ranks[i].halve()
		}
		f.dropIdle(now, qs)
	}
	f.ranks[q.rank].offered++
	f.all.offered++
	if q.clock == nil {
		q.clock = f.clock(now, clockKey{q.kind, q.rank}, organisation != "")
	}
	if q.clock == nil {
		return nil
	}
	if now.Sub(q.clock.halvedAt) >= ratioHalving {
		f.remembered -= q.clock.halve(now)
	}
	share := f.share(q.clock, organisation)
	share.offered++
	q.clock.offered++
	return share
}

// clock returns a clock. It is created only if create is true.
func (f *fairClocks) clock(now time.Time, key clockKey, create bool) *fairClock {
	c := f.clocks[key]
	if c != nil || !create {
		return c
	}
	if len(f.clocks) >= clocksMax {
		return nil
	}
	if f.clocks == nil {
		f.clocks = make(map[clockKey]*fairClock)
	}
	c = &fairClock{organisations: make(map[string]*organisationShare), halvedAt: now}
	f.clocks[key] = c
	f.share(c, "")
	return c
}

// dropIdle removes the clocks to which nothing has arrived for some time and that no queue uses.
func (f *fairClocks) dropIdle(now time.Time, qs *queues) {
	for key, c := range f.clocks {
		if now.Sub(c.halvedAt) >= 2*ratioHalving && qs.findRanked(key.kind, key.rank) == nil {
			f.remembered -= len(c.organisations)
			delete(f.clocks, key)
		}
	}
}

// share returns the entry of an organisation, and creates it if necessary.
func (f *fairClocks) share(c *fairClock, organisation string) *organisationShare {
	if share := c.organisations[organisation]; share != nil {
		return share
	}
	if f.remembered >= organisationsMax && organisation != "" {
		organisation = otherOrganisations
		if share := c.organisations[organisation]; share != nil {
			return share
		}
	}
	share := &organisationShare{demand: demandShare}
	if organisation == "" {
		share.demand = noOrganisationShare
	}
	c.organisations[organisation] = share
	f.remembered++
	return share
}

// halve halves the counts and forgets the organisations that send nothing and have used no more than their share. It returns
// the number of forgotten ones.
func (c *fairClock) halve(now time.Time) int {
	c.halvedAt = now
	c.offered /= 2
	forgotten := 0
	for name, share := range c.organisations {
		share.offered /= 2
		if name != "" && share.offered < ratioNegligible && share.finish <= c.virtual {
			delete(c.organisations, name)
			forgotten++
		}
	}
	return forgotten
}

// startOf returns the virtual start time of the next request of an organisation.
func (c *fairClock) startOf(share *organisationShare) float64 { return max(c.virtual, share.finish) }

// weights returns the sum of the weights of the organisations that take part.
func (c *fairClock) weights() float64 {
	if c.work > weightsMax*c.advance {
		return weightsMax
	}
	return max(1, c.work/c.advance)
}

// weight returns the weight of an organisation.
func (c *fairClock) weight(share *organisationShare) float64 {
	if c.offered <= 0 || c.work <= 0 {
		return 1
	}
	return max(1, share.demand*share.offered/c.offered*c.weights())
}

// shareOf returns the entry that a waiting request is charged to.
func (c *fairClock) shareOf(w *waiter) *organisationShare {
	if w.share == nil {
		// It arrived before the first request of an organisation.
		return c.organisations[""]
	}
	return w.share
}

// first returns the position of the request that starts next. list is not empty. Among requests of one organisation it is the
// first one of the list.
func (c *fairClock) first(list []waiter) int {
	best, bestStart := 0, math.Inf(1)
	for i := range list {
		if start := c.startOf(c.shareOf(&list[i])); start < bestStart {
			best, bestStart = i, start
		}
	}
	return best
}

// before returns the number of requests of the list that start before one of an organisation that is inserted at a position.
// Each request is taken to need the same slot time.
func (c *fairClock) before(list []waiter, at int, own *organisationShare, cost float64) int {
	ahead := 0
	for i := range list {
		share := c.shareOf(&list[i])
		share.counted = 0
		if share == own && i < at {
			ahead++
		}
	}
	start := c.startOf(own) + float64(ahead)*cost/c.weight(own)
	before := ahead
	for i := range list {
		share := c.shareOf(&list[i])
		if share == own {
			continue
		}
		other := c.startOf(share) + float64(share.counted)*cost/c.weight(share)
		share.counted++
		if other < start || other == start && i < at {
			before++
		}
	}
	return before
}

// charge counts the start of a request.
func (c *fairClock) charge(share *organisationShare, cost float64) {
	start := c.startOf(share)
	c.work += cost - clockWeight*c.work
	c.advance += start - c.virtual - clockWeight*c.advance
	c.virtual = start
	share.finish = start + cost/c.weight(share)
}

// largestHolder returns the organisation that holds most of a list and the number of its requests, if that is above an equal
// part of the list and above what own would hold with one more request; nil otherwise.
func (c *fairClock) largestHolder(list []waiter, own *organisationShare) *organisationShare {
	holders := 1
	own.counted = 0
	for i := range list {
		c.shareOf(&list[i]).counted = 0
	}
	var largest *organisationShare
	for i := range list {
		share := c.shareOf(&list[i])
		if share.counted == 0 && share != own {
			holders++
		}
		share.counted++
		if largest == nil || share.counted > largest.counted {
			largest = share
		}
	}
	if largest == nil || largest == own || largest.counted <= own.counted+1 || largest.counted*holders <= len(list) {
		return nil
	}
	return largest
}

// cost returns the slot time that a request of a kind is charged when it starts, in seconds.
func (s *State) cost(kind uint32) float64 { return max(s.KindTime(kind), chargeMin).Seconds() }

// firstOf returns the position of the request of a list of q that starts next.
func (q *kindQueue) firstOf(list []waiter) int {
	if q.clock == nil {
		return 0
	}
	return q.clock.first(list)
}

// before returns the number of requests of a list of q that start before one inserted at a position.
func (s *State) before(q *kindQueue, list []waiter, at int, share *organisationShare) int {
	if q.clock == nil || share == nil {
		return at
	}
	return q.clock.before(list, at, share, s.cost(q.kind))
}

// beforeNewcomer returns the number of waiting requests of q that start before one of an organisation that has used none of
// its share.
func (s *State) beforeNewcomer(q *kindQueue) int {
	return s.before(q, q.waiting, len(q.waiting), &organisationShare{})
}

// noteStart counts the start of a request of q.
func (s *State) noteStart(q *kindQueue, share *organisationShare) {
	s.fair.ranks[q.rank].started++
	s.fair.all.started++
	if q.clock == nil {
		return
	}
	if share == nil {
		share = q.clock.organisations[""]
	}
	q.clock.charge(share, s.cost(q.kind))
}

// correctCharge replaces the estimated slot time of a request by the actual one, which is 0 if it did not run.
func (s *State) correctCharge(g Grant, elapsed time.Duration) {
	if g.Organisation == "" {
		return
	}
	c := s.fair.clocks[clockKey{g.Kind, rankOf(g.OrganisationPriority)}]
	if c == nil {
		return
	}
	share := c.organisations[g.Organisation]
	if share == nil {
		share = c.organisations[otherOrganisations]
	}
	if share != nil {
		share.finish += (elapsed.Seconds() - s.cost(g.Kind)) / c.weight(share)
	}
}

// largestHolder returns the organisation from which a full list of q drops a request for one of own; nil if there is none.
func (q *kindQueue) largestHolder(list []waiter, own *organisationShare) *organisationShare {
	if q.clock == nil || own == nil {
		return nil
	}
	return q.clock.largestHolder(list, own)
}

// makeRoom removes the last request of the organisation that holds most of a full list of q beyond its share. Requests whose
// body was transferred are spared if there are others.
func (s *State) makeRoom(q *kindQueue, list []waiter, own *organisationShare) []waiter {
	largest, at := q.largestHolder(list, own), -1
	for i := range list {
		if q.clock.shareOf(&list[i]) == largest && (at < 0 || !list[i].bodyFetched || list[at].bodyFetched) {
			at = i
		}
	}
	s.actions = append(s.actions, Action{ID: list[at].id, Reason: outcome.ReasonShareExceeded})
	s.Displaced++
	return slices.Delete(list, at, at+1)
}

// shareReason replaces the reason of a refusal if an organisation without waiting requests would have been admitted: other
// organisations must not take the kind for refused.
func (s *State) shareReason(now time.Time, q *kindQueue, share *organisationShare, maxWait time.Duration, reason outcome.Reason) outcome.Reason {
	if q.clock == nil || share == nil || s.wait(now, q, s.beforeNewcomer(q)) > maxWait {
		return reason
	}
	s.ShareRefusals++
	return outcome.ReasonShareExceeded
}
