package admission

import (
	"time"

	"wagtailford.example/server/protocol/outcome"
)

const (
	// dueReserve is the safety margin before the due time, in mean deviations beyond the mean service time. With the
	// mean alone, half of the requests that wait would be late.
	dueReserve = 1.6
	// crossDomainReserve is the margin for a request from another failure domain. It is larger, so that when all
	// domains are full each serves its own callers first, which takes fewer bytes between domains for the same number
	// of answers.
	crossDomainReserve = 2.2
	// waitShareMin is the part of the time beyond the mean service time for which a request may always wait. At a slow
	// target the margin can be longer than the latency objective: new requests would be refused there whenever all slots
	// are in use, and most slots would go to late requests.
	waitShareMin = 0.5
	// crossDomainWaitShareMin is that part for a request from another failure domain. It is smaller for the same reason as
	// its margin is larger.
	crossDomainWaitShareMin = 0.35
	// unknownShare is the part of the remaining time that the service of a kind without an estimate may take. The other
	// kinds say little about it: after a restart under overload, a kind of short requests beside one of long requests
	// would be refused as too late, and never be measured.
	unknownShare = 0.25
)

// maxWait returns how long a request with a due time can wait for its start.
func (s *State) maxWait(now time.Time, a Arrival) time.Duration {
	left := a.Due.Sub(now)
	times := s.times.of(a.Kind)
	if most := time.Duration(unknownShare * float64(left)); !s.times.knows(a.Kind) && times.mean > most {
		times = estimate{mean: most}
	}
	reserve, share := dueReserve, waitShareMin
	if a.CrossDomain {
		reserve, share = crossDomainReserve, crossDomainWaitShareMin
	}
	least := time.Duration(share * float64(left-times.mean))
	return max(left-times.beyond(reserve), least)
}

// maxWaitAt returns the maximum wait of a request that would be queued and has an expected wait.
func (s *State) maxWaitAt(now time.Time, q *kindQueue, share *organisationShare, a Arrival, wait time.Duration) time.Duration {
	maxWait := s.maxWait(now, a)
	if a.Nested && s.settings.NestedWaitShare > 0 {
		return q.gateOf(share).nestedMaxWait(now, wait, maxWait, s.settings.NestedWaitShare)
	}
	return maxWait
}

// ReportedTime returns the service time estimate of a kind; 0 if it has none.
func (s *State) ReportedTime(kind uint32) time.Duration {
	if !s.times.knows(kind) {
		return 0
	}
	return s.KindTime(kind)
}

// KindTime returns the service time estimate of a kind: its own moving average, or that of all requests if it has none.
func (s *State) KindTime(kind uint32) time.Duration { return s.times.of(kind).mean }

// Reserve returns the time that has to remain before the due time when a request of a kind starts.
func (s *State) Reserve(kind uint32) time.Duration { return s.times.of(kind).beyond(dueReserve) }

// Wait returns the time after which a request of a kind that arrives now would start.
func (s *State) Wait(now time.Time, kind uint32) time.Duration { return s.WaitOfRank(now, kind, 0) }

// WaitOfRank is Wait for organisations of a priority. The wait is that of an organisation without waiting requests.
func (s *State) WaitOfRank(now time.Time, kind uint32, priority int) time.Duration {
	if s.isFree(now) {
		return 0
	}
	q := s.normal.findRanked(kind, rankOf(priority))
	if q == nil {
		q = &kindQueue{kind: kind, rank: rankOf(priority), weight: weightMin}
	}
	return s.wait(now, q, s.beforeNewcomer(q))
}

// wait estimates the time until a request starts that has the given number of requests of its kind before it in the
// queue.
func (s *State) wait(now time.Time, q *kindQueue, before int) time.Duration {
	return max(s.slotWait(now, q, before), s.limitWait(now, q, before))
}

// limitWait is the part of wait that follows from the limit of the target. Kinds that wait share the limit by weight; a
// request waits for no more than all that are in the queues.
func (s *State) limitWait(now time.Time, q *kindQueue, before int) time.Duration {
	if !s.limiter.Limited() {
		return 0
	}
	first := min(float64(before+1)/s.normal.shareOf(q), float64(s.normal.waiting()+1))
	return s.limiter.Delay(now, first)
}

// LimitWait returns the part of Wait that follows from the limit of the target.
func (s *State) LimitWait(now time.Time) time.Duration {
	return s.limiter.Delay(now, float64(s.normal.waiting()+1))
}

// slotWait is the part of wait until a slot is free. Of the slots that the kind can count on, one becomes free every mean
// service time / slots.
func (s *State) slotWait(now time.Time, q *kindQueue, before int) time.Duration {
	if s.limiter.Limited() && s.normal.waiting() == 0 && s.inUse < s.Slots(now) {
		return 0
	}
	slots := s.normal.slotsOf(q, s.Slots(now))
	return time.Duration(float64(s.KindTime(q.kind)) * float64(before+1) / slots)
}

// fullReason is the reason for refusing a request because too many wait.
func (s *State) fullReason() outcome.Reason {
	if s.limiter.Limited() {
		return outcome.ReasonRateLimited
	}
	return outcome.ReasonQueueFull
}
