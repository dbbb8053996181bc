package idempotency

import (
	"container/heap"
	"time"
)

// compactMin is the length below which a list is not worth compacting.
const compactMin = 64

// Expire forgets the records and fences whose time has passed. Its cost depends only on their number.
func (s *Store) Expire(now time.Time) {
	for len(s.expiry) > 0 && !s.expiry[0].Expires.After(now) {
		e := s.expiry[0]
		s.counts.Expired++
		if e.fence != (Attempt{}) {
			heap.Pop(&s.expiry)
			delete(s.fences, e.fence)
			continue
		}
		s.remove(e)
	}
}

// compact frees removed entries once they make up half of a list, so that removal costs constant time on average.
func (s *Store) compact() {
	if len(s.order) > compactMin && len(s.order) > 2*len(s.records) {
		s.order = filter(s.order, func(e *entry) bool { return !e.removed })
	}
	if len(s.answers) > compactMin && len(s.answers) > 2*len(s.records) {
		s.answers = filter(s.answers, func(e *entry) bool { return e.Answer != nil })
	}
}

func filter(entries []*entry, keep func(*entry) bool) []*entry {
	kept := make([]*entry, 0, len(entries)/2)
	for _, e := range entries {
		if keep(e) {
			kept = append(kept, e)
		}
	}
	return kept
}

// expiryQueue is a heap of entries, the next to expire first.
type expiryQueue []*entry

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].Expires.Before(q[j].Expires) }

func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push is for package heap.
func (q *expiryQueue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop is for package heap.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	e.index = -1
	return e
}
