package control

import (
	"time"

	"wagtailford.example/server/state/config"
)

// delayQueue determines up to which place in the order states are forwarded to peers that read the source themselves. Each state is
// delayed for the same time. If states follow each other faster than that, a peer that cannot read the source still
// gets the newest state as soon as the delay of the first state that it lacks has passed.
type delayQueue struct {
	delay time.Duration
	// released is the newest state whose delay has passed.
	released config.Order
	// pending are the states after it, oldest first.
	pending []delayedState
}

type delayedState struct {
	order config.Order
	at    time.Time
}

func (q *delayQueue) add(order config.Order, at time.Time) {
	q.pending = append(q.pending, delayedState{order: order, at: at})
}

// releasedOrder returns the newest state whose delay has passed.
func (q *delayQueue) releasedOrder(now time.Time) config.Order {
	passed := 0
	for _, i := range q.pending {
		if i.at.Add(q.delay).After(now) {
			break
		}
		q.released = i.order
		passed++
	}
	q.pending = append(q.pending[:0], q.pending[passed:]...)
	return q.released
}

// untilNext returns the time until the delay of the next state has passed; 0 or less if no state is delayed.
func (q *delayQueue) untilNext(now time.Time) time.Duration {
	if len(q.pending) == 0 {
		return 0
	}
	return q.pending[0].at.Add(q.delay).Sub(now)
}
