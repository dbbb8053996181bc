package admission

import (
	"slices"
	"time"
)

const (
	// priorityRatio is how many times the slots of the next lower priority a kind is entitled to. Beside one lower kind,
	// the most urgent one so has three quarters of the slots.
	priorityRatio = 3
	// lowestShare is the least weight of a kind against the most urgent one, so that none is starved by more urgent load
	// that does not end.
	lowestShare = 1.0 / 6
	// reopenShare is the part of the wait that a request can bear from which its kind is admitted again after a refusal.
	// The difference keeps the calls that one running request makes together from being split: half of them served is
	// work for nothing.
	reopenShare = 0.75
	// usualShare is the part of the longest wait that requests of a kind can bear from which a request is a usual one. A
	// caller that returns with less time left says nothing about the others.
	usualShare = 0.8
	// patienceDecay is the part of that longest wait which remains after each request, so that it follows the routes.
	patienceDecay = 0.98
)

// kindQueue are the requests of one kind that wait or run at the target.
type kindQueue struct {
	kind   uint32
	weight float64
	// waiting is in the order in which requests start.
	waiting []waiter
	inUse   int
	// closed is true after a request was refused because it would be late, until one is admitted again.
	closed bool
	// patience is the longest wait that recent requests could bear.
	patience time.Duration
}

// admits decides on a request that would wait for wait and can bear patience. far is true if it comes from another
// failure domain.
func (q *kindQueue) admits(wait, patience time.Duration, far bool) bool {
	limit := patience
	if q.closed {
		limit = time.Duration(reopenShare * float64(patience))
	}
	admitted := wait <= limit
	if far {
		return admitted
	}
	q.patience = max(patience, time.Duration(patienceDecay*float64(q.patience)))
	if admitted {
		q.closed = false
	} else if patience >= time.Duration(usualShare*float64(q.patience)) {
		q.closed = true
	}
	return admitted
}

// weightOf returns the weight of a priority, of which 0 is the most urgent.
func weightOf(priority int) float64 {
	weight := 1.0
	for range priority {
		weight /= priorityRatio
		if weight <= lowestShare {
			return lowestShare
		}
	}
	return weight
}

// place returns the position of a request in the queue: before the first one that is due later.
func (q *kindQueue) place(w waiter) int {
	if w.due.IsZero() {
		return len(q.waiting)
	}
	at := slices.IndexFunc(q.waiting, func(other waiter) bool { return other.due.After(w.due) })
	if at < 0 {
		return len(q.waiting)
	}
	return at
}

func (q *kindQueue) isIdle() bool { return q.inUse == 0 && len(q.waiting) == 0 }

// queues are the kinds at one target. Slots are divided over the kinds that wait by their weights; what one does not
// need goes to the others. The load that this answers: a service that lost most of its targets, where requests that are
// due soon would otherwise delay all others until these are late too.
type queues struct {
	kinds []*kindQueue
}

// of returns the queue of a kind. It is made anew if there is none, and takes the priority of the newest request.
func (qs *queues) of(kind uint32, priority int) *kindQueue {
	q := qs.find(kind)
	if q == nil {
		q = &kindQueue{kind: kind}
		qs.kinds = append(qs.kinds, q)
	}
	q.weight = weightOf(priority)
	return q
}

func (qs *queues) find(kind uint32) *kindQueue {
	for _, q := range qs.kinds {
		if q.kind == kind {
			return q
		}
	}
	return nil
}

// prune forgets the kinds that are idle.
func (qs *queues) prune() {
	qs.kinds = slices.DeleteFunc(qs.kinds, (*kindQueue).isIdle)
}

// waiting returns the number of requests that wait.
func (qs *queues) waiting() int {
	n := 0
	for _, q := range qs.kinds {
		n += len(q.waiting)
	}
	return n
}

// next returns the queue whose first request starts next: the one that holds the fewest slots for its weight. It
// returns nil if none waits.
func (qs *queues) next() *kindQueue {
	var best *kindQueue
	for _, q := range qs.kinds {
		if len(q.waiting) == 0 {
			continue
		}
		if best == nil || float64(q.inUse+1)/q.weight < float64(best.inUse+1)/best.weight {
			best = q
		}
	}
	return best
}

// slotsOf returns the number of slots that a kind can count on: what it is entitled to among the kinds that wait, or what
// it holds if that is more.
func (qs *queues) slotsOf(q *kindQueue, slots int) float64 {
	total := q.weight
	for _, other := range qs.kinds {
		if other != q && len(other.waiting) > 0 {
			total += other.weight
		}
	}
	return max(float64(slots)*q.weight/total, float64(q.inUse))
}
