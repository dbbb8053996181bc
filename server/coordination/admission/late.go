package admission

import (
	"slices"
	"time"

	"wagtailford.example/server/protocol/outcome"
)

const (
	// lateWaitShare is the part of a late request's remaining time for which it may wait. The rest is left for its
	// service time or for another attempt.
	lateWaitShare = 0.5
	// lateHold is the time after the refusal of a new request during which waiting late requests get no slots. Requests
	// arrive in bursts, so the queue of a target that refuses new requests is empty for moments. A late request that starts
	// then takes the slot from the next ones for its whole service time.
	lateHold = 100 * time.Millisecond
	// lateIntervalWeight is the weight of a new observation in the average interval between starts of late requests.
	lateIntervalWeight = 0.25
)

// lateQueue holds the waiting requests of one kind that have missed their objective, in the order of arrival. They
// start only when no other request waits: under lasting overload a request that is late anyway would otherwise take a
// slot from one that can still be in time, until most requests are late.
type lateQueue struct {
	waiting []waiter
	// interval is the moving average of the time between two starts from this queue; 0 before the first one.
	interval time.Duration
	// lastStart is the time of the latest start, or of the first arrival at the empty queue.
	lastStart time.Time
}

// expectedInterval returns the expected time between two starts. It grows while requests wait and none starts.
func (l *lateQueue) expectedInterval(now time.Time) time.Duration {
	if len(l.waiting) == 0 {
		return l.interval
	}
	return max(l.interval, now.Sub(l.lastStart))
}

func (l *lateQueue) add(now time.Time, w waiter) {
	if len(l.waiting) == 0 {
		l.lastStart = now
	}
	l.waiting = append(l.waiting, w)
}

// remove removes the request that starts now.
func (l *lateQueue) remove(now time.Time, at int) waiter {
	first := l.waiting[at]
	l.waiting = slices.Delete(l.waiting, at, at+1)
	passed := now.Sub(l.lastStart)
	if l.interval == 0 {
		l.interval = passed
	} else {
		l.interval += time.Duration(lateIntervalWeight * float64(passed-l.interval))
	}
	l.lastStart = now
	return first
}

// holdsLate reports whether free slots are kept for new requests. It is false if nothing runs: no event would start the
// late requests afterwards.
func (s *State) holdsLate(now time.Time) bool {
	return s.inUse > 0 && now.Sub(s.lastRefusal) < lateHold
}

// admitLate queues a late request if it is likely to start within its share of the remaining time, and refuses it
// otherwise.
func (s *State) admitLate(now time.Time, q *kindQueue, a Arrival, share *organisationShare) (Verdict, outcome.Reason) {
	full := len(q.late.waiting) >= s.settings.Queue
	if full && q.largestHolder(q.late.waiting, share) == nil {
		return Refused, s.fullReason()
	}
	service := s.KindTime(a.Kind)
	interval := max(q.late.expectedInterval(now), service/time.Duration(max(s.Slots(now), 1)))
	if s.limiter.Limited() {
		interval = max(interval, time.Duration(float64(time.Second)/s.limiter.Rate()))
	}
	wait := s.wait(now, q, len(q.waiting)) + interval*time.Duration(s.before(q, q.late.waiting, len(q.late.waiting), share)+1)
	longest := time.Duration(lateWaitShare * float64(a.Deadline.Sub(now)-service))
	if wait > longest {
		return Refused, s.fullReason()
	}
	if full {
		q.late.waiting = s.makeRoom(q, q.late.waiting, share)
	}
	q.late.add(now, waiter{id: a.ID, deadline: now.Add(longest), kind: a.Kind, share: share})
	return Queued, outcome.ReasonNone
}

// refuseLate refuses the late requests whose share of the time has passed, so that their callers can try elsewhere.
func (s *State) refuseLate(now time.Time, q *kindQueue) {
	q.late.waiting = slices.DeleteFunc(q.late.waiting, func(w waiter) bool {
		expired := !now.Before(w.deadline)
		if expired {
			s.actions = append(s.actions, Action{ID: w.id, Reason: s.fullReason()})
		}
		return expired
	})
}
