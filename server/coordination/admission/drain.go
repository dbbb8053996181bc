package admission

import (
	"time"

	"wagtailford.example/server/protocol/outcome"
)

// SetDrainEnd sets the time from which no waiting request starts, because the target drains; zero lifts it. Waiting requests
// that are not expected to start before are refused, so that their callers can be served elsewhere.
func (s *State) SetDrainEnd(now, end time.Time) []Action {
	s.drainEnd = end
	s.actions = s.actions[:0]
	if end.IsZero() {
		return s.settle(now)
	}
	for _, q := range s.normal.kinds {
		for at := range q.waiting {
			if now.Add(s.slotWait(now, q, at)).After(end) {
				q.waiting = s.refuseDraining(q.waiting, at)
				break
			}
		}
		q.late.waiting = s.refuseDraining(q.late.waiting, 0)
	}
	refused := s.actions
	s.actions = nil
	return append(refused, s.settle(now)...)
}

// refuseDraining refuses the requests of a queue from a position on.
func (s *State) refuseDraining(queue []waiter, from int) []waiter {
	for _, w := range queue[from:] {
		s.actions = append(s.actions, Action{ID: w.id, Reason: outcome.ReasonDraining})
	}
	return queue[:from]
}

// hasDrained reports whether the target drains and no waiting request may start any more.
func (s *State) hasDrained(now time.Time) bool {
	return !s.drainEnd.IsZero() && !now.Before(s.drainEnd)
}

// refuseDrained refuses all waiting requests once the drain window has passed.
func (s *State) refuseDrained(now time.Time) {
	if !s.hasDrained(now) {
		return
	}
	for _, q := range s.normal.kinds {
		q.waiting = s.refuseDraining(q.waiting, 0)
		q.late.waiting = s.refuseDraining(q.late.waiting, 0)
	}
	s.exclusive = s.refuseDraining(s.exclusive, 0)
}
