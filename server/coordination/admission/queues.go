package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// priorityRatio is the ratio between the slot shares of adjacent priorities. Next to a single kind of the next
	// lower priority, the most urgent kind thus gets three quarters of the slots.
	priorityRatio = 3
	// weightMin is the minimum weight of a kind relative to the most urgent one, so that sustained urgent load
	// starves no kind.
	weightMin = 1.0 / 6
	// nestedWeight is the factor by which calls of running requests get more slots than other requests of their
	// priority. A delayed call holds a slot at another target meanwhile, and a refused one wastes the work done there.
	nestedWeight = 2
	// nestedOverloadTime is the time after a refusal for which calls count as being refused. It is longer than a full queue
	// takes to empty.
	nestedOverloadTime = 300 * time.Millisecond
	// reopenShare is the part of a request's maximum wait below which its kind is admitted again after a refusal. This
	// hysteresis keeps the calls that one running request makes together from being split: serving half of them is
	// wasted work.
	reopenShare = 0.75
	// typicalWaitShare is the part of the longest maximum wait of a kind from which a request counts as typical. A
	// caller that retries with less time left says nothing about the other requests.
	typicalWaitShare = 0.8
	// maxWaitDecay is the factor by which the longest maximum wait decays with each request, so that it follows
	// changes of the routes.
	maxWaitDecay = 0.98
)

// kindQueue holds the waiting requests of one kind and counts the running ones.
type kindQueue struct {
	kind uint32
	// rank is that of the organisations whose requests these are.
	rank int
	// clock divides the slots among organisations; nil while no request of one has arrived.
	clock *fairClock
	// base is the weight of the kind's priority, weight the one by which slots are divided.
	base, weight float64
	// waiting is in the order in which the requests start.
	waiting []waiter
	inUse   int
	gate
	// late holds the requests that start after those in waiting.
	late lateQueue
}

// gate decides on requests by their expected wait. Requests of organisations have one for each organisation.
type gate struct {
	// refusing is true from the refusal of a request that would have been late until one is admitted again.
	refusing bool
	// longestMaxWait is the longest maximum wait of recent requests, with decay.
	longestMaxWait time.Duration
	// refusedAt is the time of the latest refusal of a call of a running request.
	refusedAt time.Time
}

// nestedMaxWait returns the maximum wait of a call of a running request: a share of that of any request of its kind while such calls
// are refused. wait is the expected one.
//
// It addresses lasting overload of a service that running requests call: a full queue serves no more calls than a short one, but
// each call that waits holds a slot at the target of its caller.
func (q *gate) nestedMaxWait(now time.Time, wait, maxWait time.Duration, share float64) time.Duration {
	if now.Sub(q.refusedAt) < nestedOverloadTime {
		maxWait = time.Duration(share * float64(maxWait))
	}
	if wait > maxWait {
		q.refusedAt = now
	}
	return maxWait
}

// admits decides on a request with an expected wait and a maximum wait. crossDomain is true if the request comes
// from another failure domain.
func (q *gate) admits(wait, maxWait time.Duration, crossDomain bool) bool {
	limit := maxWait
	if q.refusing {
		limit = time.Duration(reopenShare * float64(maxWait))
	}
	admitted := wait <= limit
	if crossDomain {
		return admitted
	}
	q.longestMaxWait = max(maxWait, time.Duration(maxWaitDecay*float64(q.longestMaxWait)))
	if admitted {
		q.refusing = false
	} else if maxWait >= time.Duration(typicalWaitShare*float64(q.longestMaxWait)) {
		q.refusing = true
	}
	return admitted
}

// weightOf returns the weight of a priority, of which 0 is the most urgent.
func weightOf(priority int) float64 {
	weight := 1.0
	for range priority {
		weight /= priorityRatio
		if weight <= weightMin {
			return weightMin
		}
	}
	return weight
}

// insertPosition returns the queue position of a request: before the first request with a later due time.
func (q *kindQueue) insertPosition(w waiter) int {
	if w.due.IsZero() {
		return len(q.waiting)
	}
	at := slices.IndexFunc(q.waiting, func(other waiter) bool { return other.due.After(w.due) })
	if at < 0 {
		return len(q.waiting)
	}
	return at
}

func (q *kindQueue) isIdle() bool {
	return q.inUse == 0 && len(q.waiting) == 0 && len(q.late.waiting) == 0
}

// queues holds the queues of all kinds at one target, and within a kind of each rank of organisations. Slots are divided
// among the ranks that wait, and within a rank among the kinds that wait, in proportion to their weights; a kind that needs
// less than its share leaves the rest to the others. Without this division, at a
// service that has lost most of its targets, requests with near due times would delay all others until these are late
// too.
type queues struct {
	kinds []*kindQueue
}

// getOrCreate returns the queue of a kind and rank, and creates it if necessary. The queue takes the priority of the newest
// request, and whether it is nested. Nested requests do not get a larger weight while a more urgent kind is present,
// since the request that needs them may be less urgent than that kind.
func (qs *queues) getOrCreate(kind uint32, rank, priority int, nested bool) *kindQueue {
	q := qs.findRanked(kind, rank)
	if q == nil {
		q = &kindQueue{kind: kind, rank: rank}
		qs.kinds = append(qs.kinds, q)
	}
	q.base = weightOf(priority)
	q.weight = q.base
	if nested && !qs.hasMoreUrgent(q) {
		q.weight *= nestedWeight
	}
	return q
}

// hasMoreUrgent reports whether a kind of the same rank is present whose priority has a larger weight.
func (qs *queues) hasMoreUrgent(than *kindQueue) bool {
	return slices.ContainsFunc(qs.kinds, func(q *kindQueue) bool { return q.rank == than.rank && q.base > than.base })
}

// find returns the queue of the requests of a kind that have no organisation or one of the first rank.
func (qs *queues) find(kind uint32) *kindQueue { return qs.findRanked(kind, 0) }

func (qs *queues) findRanked(kind uint32, rank int) *kindQueue {
	for _, q := range qs.kinds {
		if q.kind == kind && q.rank == rank {
			return q
		}
	}
	return nil
}

// prune removes the queues of idle kinds.
func (qs *queues) prune() {
	qs.kinds = slices.DeleteFunc(qs.kinds, (*kindQueue).isIdle)
}

// waiting returns the number of waiting requests that are not late.
func (qs *queues) waiting() int {
	n := 0
	for _, q := range qs.kinds {
		n += len(q.waiting)
	}
	return n
}

// waitingLate returns the number of waiting requests that are late.
func (qs *queues) waitingLate() int {
	n := 0
	for _, q := range qs.kinds {
		n += len(q.late.waiting)
	}
	return n
}

// next returns the queue whose first request starts next; nil if only late requests wait.
func (qs *queues) next(f *fairClocks) *kindQueue {
	return qs.leastServed(f, func(q *kindQueue) bool { return len(q.waiting) > 0 })
}

// nextLate returns the queue whose first late request starts next; nil if none waits.
func (qs *queues) nextLate(f *fairClocks) *kindQueue {
	return qs.leastServed(f, func(q *kindQueue) bool { return len(q.late.waiting) > 0 })
}

// leastServed returns the queue that holds the fewest slots relative to its weight among those of the rank that is next and
// for which eligible returns true; nil if there is none.
func (qs *queues) leastServed(f *fairClocks, eligible func(*kindQueue) bool) *kindQueue {
	var best *kindQueue
	rank := qs.nextRank(f, eligible)
	for _, q := range qs.kinds {
		if q.rank != rank || !eligible(q) {
			continue
		}
		if best == nil || float64(q.inUse+1)/q.weight < float64(best.inUse+1)/best.weight {
			best = q
		}
	}
	return best
}

// nextRank returns the rank of organisations whose requests start next: one that is served far less often than all, or else
// the one that holds the fewest slots relative to its weight.
func (qs *queues) nextRank(f *fairClocks, eligible func(*kindQueue) bool) int {
	if !qs.hasRanks() {
		return 0
	}
	var inUse [ranksMax]int
	var waits [ranksMax]bool
	for _, q := range qs.kinds {
		inUse[q.rank] += q.inUse
		waits[q.rank] = waits[q.rank] || eligible(q)
	}
	best, bestLoad, lowest := 0, math.Inf(1), rankFloor*f.all.value()
	starved := -1
	for rank := range ranksMax {
		if !waits[rank] {
			continue
		}
		if load := float64(inUse[rank]+1) / weightOf(rank); load < bestLoad {
			best, bestLoad = rank, load
		}
		if ratio := f.ranks[rank].value(); ratio < lowest {
			starved, lowest = rank, ratio
		}
	}
	if starved >= 0 {
		return starved
	}
	return best
}

// hasRanks reports whether requests of organisations beyond the first rank are present.
func (qs *queues) hasRanks() bool {
	return slices.ContainsFunc(qs.kinds, func(q *kindQueue) bool { return q.rank > 0 })
}

// slotsOf returns the number of slots that a kind can count on: its share among the kinds that wait, or the slots that
// it holds if those are more.
func (qs *queues) slotsOf(q *kindQueue, slots int) float64 {
	return max(float64(slots)*qs.shareOf(q), float64(q.inUse))
}

// shareOf returns the share of a kind by weight among the kinds that wait, between 0 and 1.
func (qs *queues) shareOf(q *kindQueue) float64 {
	total := q.weight
	var ranks [ranksMax]bool
	ranks[q.rank] = true
	for _, other := range qs.kinds {
		if other == q || len(other.waiting) == 0 {
			continue
		}
		ranks[other.rank] = true
		if other.rank == q.rank {
			total += other.weight
		}
	}
	ranksTotal := 0.0
	for rank, present := range ranks {
		if present {
			ranksTotal += weightOf(rank)
		}
	}
	return q.weight / total * (weightOf(q.rank) / ranksTotal)
}

// gateOf returns the gate that decides on the requests of an organisation.
func (q *kindQueue) gateOf(share *organisationShare) *gate {
	if share == nil {
		return &q.gate
	}
	return &share.gate
}
