package control

import "time"

// delayQueue determines up to which offset states are forwarded to peers that read the source themselves. Each state is
// delayed for the same time. If states follow each other faster than that, a peer that cannot read the source still
// gets the newest state as soon as the delay of the first state that it lacks has passed.
type delayQueue struct {
	delay time.Duration
	// offset is that of the newest state whose delay has passed.
	offset uint64
	// pending are the states after it, oldest first.
	pending []delayedState
}

type delayedState struct {
	offset uint64
	at     time.Time
}

func (q *delayQueue) add(offset uint64, at time.Time) {
	q.pending = append(q.pending, delayedState{offset: offset, at: at})
}

// releasedOffset returns the offset of the newest state whose delay has passed.
func (q *delayQueue) releasedOffset(now time.Time) uint64 {
	passed := 0
	for _, i := range q.pending {
		if i.at.Add(q.delay).After(now) {
			break
		}
		q.offset = i.offset
		passed++
	}
	q.pending = append(q.pending[:0], q.pending[passed:]...)
	return q.offset
}

// untilNext returns the time until the delay of the next state has passed; 0 or less if no state is delayed.
func (q *delayQueue) untilNext(now time.Time) time.Duration {
	if len(q.pending) == 0 {
		return 0
	}
	return q.pending[0].at.Add(q.delay).Sub(now)
}
