package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wagtailford.example/server/protocol/outcome"
)

// Controller applies the decisions of a State to concurrent requests.
type Controller struct {
	// InUse and Queued are the requests that run and that wait.
	InUse  atomic.Int64
	Queued atomic.Int64

	mu      sync.Mutex
	state   *State
	lastID  uint64
	waiting map[uint64]chan outcome.Reason
	timer   *time.Timer
	ages    ages
}

// NewController returns a gate that admits by the given settings.
func NewController(s Settings) *Controller {
	return &Controller{state: New(s), waiting: make(map[uint64]chan outcome.Reason), ages: newAges(time.Now())}
}

// SetTarget sets the slots and the start time of the target. Slots of 0 or less mean the default.
func (g *Controller) SetTarget(slots int, started time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(g.state.SetTarget(time.Now(), slots, started))
}

// ServiceTime returns the moving mean of the time for which requests held a slot.
func (g *Controller) ServiceTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.ServiceTime()
}

// Load is what a gate expects of the next request.
type Load struct {
	InUse, Queued, Slots int
	// Wait is the time until a request that arrives now would start, ServiceTime how long one of its kind takes.
	Wait, ServiceTime time.Duration
	// Reserve is the time to keep free for one of its kind before its answer is late.
	Reserve time.Duration
}

// Load returns the load for a kind of requests.
func (g *Controller) Load(kind uint32) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return Load{
		InUse: g.state.InUse(), Queued: g.state.Queued(), Slots: g.state.Slots(now),
		Wait: g.state.Wait(now, kind), ServiceTime: g.ages.slowed(now, kind, g.state.KindTime(kind)), Reserve: g.state.Reserve(kind),
	}
}

// Enter is EnterAs for a request without due time. It returns a function that gives the slot back, which may be called
// more than once, or the reason of the refusal.
func (g *Controller) Enter(ctx context.Context, deadline time.Time, exclusive bool) (func(), outcome.Reason) {
	slot, reason := g.Acquire(ctx, Arrival{Deadline: deadline, Exclusive: exclusive})
	if slot == nil {
		return nil, reason
	}
	return func() { slot.Release(true) }, outcome.ReasonNone
}

// Slot is held by one request.
type Slot struct {
	gate    *Controller
	kind    uint32
	started time.Time
	// released is guarded by the lock of the gate.
	released bool
}

// Release gives the slot back; it may be called more than once. ran is false if the target did not run the request, so
// that the time says nothing about its service time.
func (s *Slot) Release(ran bool) {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	now := time.Now()
	g.ages.end(s.started, s.kind)
	if ran {
		g.state.Observe(now.Sub(s.started), s.kind)
	}
	g.apply(g.state.Free(now, s.kind))
}

// Acquire waits for a slot until the deadline or the end of ctx, and returns it or the reason of the refusal. The gate
// sets the id of the arrival.
func (g *Controller) Acquire(ctx context.Context, a Arrival) (*Slot, outcome.Reason) {
	if ctx.Err() != nil {
		return nil, endReason(ctx)
	}
	id, turn, reason := g.arrive(a)
	if reason != outcome.ReasonNone {
		return nil, reason
	}
	if turn == nil {
		return g.slot(a.Kind), outcome.ReasonNone
	}
	timer := time.NewTimer(time.Until(a.Deadline))
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
	return g.slot(a.Kind), outcome.ReasonNone
}

// arrive returns a channel if the request is queued.
func (g *Controller) arrive(a Arrival) (uint64, chan outcome.Reason, outcome.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	a.ID = g.lastID
	verdict, reason := g.state.Admit(time.Now(), a)
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
func (g *Controller) abandon(id uint64, turn chan outcome.Reason, reason outcome.Reason) outcome.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, queued := g.waiting[id]; !queued {
		return <-turn
	}
	delete(g.waiting, id)
	g.apply(g.state.Abandon(time.Now(), id))
	return reason
}

func (g *Controller) slot(kind uint32) *Slot {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.ages.start(now, kind)
	return &Slot{gate: g, kind: kind, started: now}
}

// apply wakes the requests that were settled.
func (g *Controller) apply(actions []Action) {
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

func (g *Controller) count() {
	g.InUse.Store(int64(g.state.InUse()))
	g.Queued.Store(int64(g.state.Queued()))
}

// arm sets the timer that ends the wait of a suspect.
func (g *Controller) arm() {
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
