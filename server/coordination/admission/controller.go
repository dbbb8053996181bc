package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/ratelimit"
)

// Controller applies the decisions of a State to concurrent requests.
type Controller struct {
	// InUse and Queued are the numbers of running and waiting requests.
	InUse  atomic.Int64
	Queued atomic.Int64

	mu      sync.Mutex
	state   *State
	lastID  uint64
	waiting map[uint64]chan outcome.Reason
	timer   *time.Timer
	ages    runningAges
	// judging is true while a look at the requests without an answer is scheduled. abandon holds what ends those that may run
	// elsewhere, by their numbers.
	judging bool
	abandon map[uint64]func()
	// onCapacity is called without the lock after the target was judged not to have answered a request.
	onCapacity func(CapacityState)
}

// NewController returns a controller with the given settings.
func NewController(s Settings) *Controller {
	return &Controller{state: New(s), waiting: make(map[uint64]chan outcome.Reason), abandon: make(map[uint64]func()), ages: newAges(time.Now())}
}

// SetTarget sets the slots and the start time of the target. If slots is 0 or less, the number of the settings applies.
func (c *Controller) SetTarget(slots int, started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.state.SetTarget(time.Now(), slots, started))
}

// SetLimit takes over what is known of the rate of requests that the target takes.
func (c *Controller) SetLimit(known ratelimit.Known) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.state.SetLimit(time.Now(), known))
}

// SetDrainEnd sets the time from which no waiting request starts, because the target drains; zero lifts it. Requests that are
// not expected to start before are refused at once.
func (c *Controller) SetDrainEnd(end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.state.SetDrainEnd(time.Now(), end))
}

// ServiceTime returns the moving average of the time for which requests held a slot.
func (c *Controller) ServiceTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.ServiceTime()
}

// Load describes the load of a target and what the next request of a kind can expect.
type Load struct {
	InUse, Queued, Slots int
	// Wait is the time until a request that arrives now would start; ServiceTime is the service time of its kind, 0 if
	// none of it has run.
	Wait, ServiceTime time.Duration
	// Reserve is the time that has to remain before the due time when a request of the kind starts.
	Reserve time.Duration
	// LimitWait is the time until the limit of the target lets a request through that arrives now; 0 without a limit.
	LimitWait time.Duration
}

// Load returns the load for a kind of requests without organisation.
func (c *Controller) Load(kind uint32) Load { return c.LoadOf(Arrival{Kind: kind}) }

// LoadOf returns the load for requests of the kind, organisation and rank of an arrival.
func (c *Controller) LoadOf(a Arrival) Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	kind, priority := a.Kind, c.state.Place(now, a).OrganisationPriority
	return Load{
		InUse: c.state.InUse(), Queued: c.state.Queued(), Slots: c.state.Slots(now),
		Wait:        c.state.WaitOfRank(now, kind, priority),
		ServiceTime: c.ages.serviceTime(now, kind, c.state.ReportedTime(kind)),
		Reserve:     c.state.Reserve(kind),
		LimitWait:   c.state.LimitWait(now),
	}
}

// Enter is Acquire for a request without a due time. It returns either a function that releases the slot, which may be
// called more than once, or the reason of the refusal.
func (c *Controller) Enter(ctx context.Context, deadline time.Time, exclusive bool) (func(), outcome.Reason) {
	slot, reason := c.Acquire(ctx, Arrival{Deadline: deadline, Exclusive: exclusive})
	if slot == nil {
		return nil, reason
	}
	return func() { slot.Release(true) }, outcome.ReasonNone
}

// Acquire waits for a slot until the deadline or until ctx is done, and returns it or the reason of the refusal. The
// controller sets the ID of the arrival.
func (c *Controller) Acquire(ctx context.Context, a Arrival) (*Slot, outcome.Reason) {
	if ctx.Err() != nil {
		return nil, endReason(ctx)
	}
	a, result, reason := c.arrive(a)
	if reason != outcome.ReasonNone {
		return nil, reason
	}
	if result == nil {
		return c.slot(a), outcome.ReasonNone
	}
	timer := time.NewTimer(time.Until(a.Deadline))
	defer timer.Stop()
	select {
	case reason = <-result:
	case <-ctx.Done():
		reason = c.cancel(a.ID, result, endReason(ctx))
	case <-timer.C:
		reason = c.cancel(a.ID, result, outcome.ReasonDeadline)
	}
	if reason != outcome.ReasonNone {
		return nil, reason
	}
	return c.slot(a), outcome.ReasonNone
}

// arrive submits a request. It returns the request with its ID and rank, and a channel if it is queued.
func (c *Controller) arrive(a Arrival) (Arrival, chan outcome.Reason, outcome.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.lastID++
	a = c.state.Place(now, a)
	a.ID = c.lastID
	verdict, reason := c.state.Admit(now, a)
	c.deliver(c.state.DisplacedActions())
	c.count()
	if verdict != Queued {
		return a, nil, reason
	}
	result := make(chan outcome.Reason, 1)
	c.waiting[c.lastID] = result
	c.arm()
	return a, result, outcome.ReasonNone
}

// cancel removes a request from the queue. If the request was settled in the meantime, that result is returned
// instead, so that a granted slot is not lost.
func (c *Controller) cancel(id uint64, result chan outcome.Reason, reason outcome.Reason) outcome.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, queued := c.waiting[id]; !queued {
		return <-result
	}
	delete(c.waiting, id)
	c.apply(c.state.Cancel(time.Now(), id))
	return reason
}

// apply delivers the results to the requests that were settled.
func (c *Controller) apply(actions []Action) {
	c.deliver(actions)
	c.count()
	c.arm()
}

func (c *Controller) deliver(actions []Action) {
	for _, a := range actions {
		result := c.waiting[a.ID]
		if result == nil {
			continue
		}
		delete(c.waiting, a.ID)
		result <- a.Reason
	}
}

func (c *Controller) count() {
	c.InUse.Store(int64(c.state.InUse()))
	c.Queued.Store(int64(c.state.Queued()))
}

// arm sets the timer that settles the queued requests when time alone decides on them.
func (c *Controller) arm() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	due, wake := c.state.WakeAt(time.Now())
	if !wake {
		return
	}
	c.timer = time.AfterFunc(time.Until(due), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.apply(c.state.Expire(time.Now()))
	})
}

// endReason distinguishes cancellation from an exceeded deadline.
func endReason(ctx context.Context) outcome.Reason {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonCanceled
}
