package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wagtailford.example/server/protocol/outcome"
)

// Gate applies the decisions of a State to concurrent requests.
type Gate struct {
	// InUse and Queued are the requests that run and that wait.
	InUse  atomic.Int64
	Queued atomic.Int64

	mu      sync.Mutex
	state   *State
	lastID  uint64
	waiting map[uint64]chan outcome.Reason
	timer   *time.Timer
}

// NewGate returns a gate that admits by the given settings.
func NewGate(s Settings) *Gate {
	return &Gate{state: New(s), waiting: make(map[uint64]chan outcome.Reason)}
}

// SetTarget sets the slots and the start time of the target. Slots of 0 or less mean the default.
func (g *Gate) SetTarget(slots int, started time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.state.SetTarget(time.Now(), slots, started))
}

// ServiceTime returns the moving mean of the time for which requests held a slot.
func (g *Gate) ServiceTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.ServiceTime()
}

// Enter waits for a slot until the deadline or the end of ctx. It returns a function that gives the slot back, which
// may be called more than once, or the reason of the refusal. An exclusive request runs alone.
func (g *Gate) Enter(ctx context.Context, deadline time.Time, exclusive bool) (func(), outcome.Reason) {
	if ctx.Err() != nil {
		return nil, endReason(ctx)
	}
	id, turn, reason := g.arrive(deadline, exclusive)
	if reason != outcome.ReasonNone {
		return nil, reason
	}
	if turn == nil {
		return g.releaser(), outcome.ReasonNone
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case reason = <-turn:
	case <-ctx.Done():
		reason = g.abandon(id, turn, endReason(ctx))
	case <-timer.C:
		reason = g.abandon(id, turn, outcome.ReasonDeadline)
	}
	if reason != outcome.ReasonNone {
		return nil, reason
	}
	return g.releaser(), outcome.ReasonNone
}

// arrive returns a channel if the request is queued.
func (g *Gate) arrive(deadline time.Time, exclusive bool) (uint64, chan outcome.Reason, outcome.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	verdict, reason := g.state.Arrive(time.Now(), g.lastID, deadline, exclusive)
	g.count()
	if verdict != Queued {
		return g.lastID, nil, reason
	}
	turn := make(chan outcome.Reason, 1)
	g.waiting[g.lastID] = turn
	g.arm()
	return g.lastID, turn, outcome.ReasonNone
}

// abandon leaves the queue. If the request was settled in the meantime, that decides, so that no slot is lost.
func (g *Gate) abandon(id uint64, turn chan outcome.Reason, reason outcome.Reason) outcome.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, queued := g.waiting[id]; !queued {
		return <-turn
	}
	delete(g.waiting, id)
	g.apply(g.state.Abandon(time.Now(), id))
	return reason
}

// releaser returns the function that gives a slot back once.
func (g *Gate) releaser() func() {
	started := time.Now()
	released := false
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if released {
			return
		}
		released = true
		g.apply(g.state.Finish(time.Now(), started))
	}
}

// apply wakes the requests that were settled.
func (g *Gate) apply(actions []Action) {
	for _, a := range actions {
		turn := g.waiting[a.ID]
		if turn == nil {
			continue
		}
		delete(g.waiting, a.ID)
		turn <- a.Reason
	}
	g.count()
	g.arm()
}

func (g *Gate) count() {
	g.InUse.Store(int64(g.state.InUse()))
	g.Queued.Store(int64(g.state.Queued()))
}

// arm sets the timer that ends the wait of a suspect.
func (g *Gate) arm() {
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	due, blocked := g.state.ExclusiveDue()
	if !blocked {
		return
	}
	g.timer = time.AfterFunc(time.Until(due), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.apply(g.state.Expire(time.Now()))
	})
}

// endReason tells a cancellation from the end of the deadline.
func endReason(ctx context.Context) outcome.Reason {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonCanceled
}
