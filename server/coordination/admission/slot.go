package admission

import "time"

// Slot is an execution slot held by one request.
type Slot struct {
	controller *Controller
	grant      Grant
	started    time.Time
	// sentNumber is the number of the request at the target; 0 before it is sent. It and released are guarded by the controller's
	// mutex.
	sentNumber uint64
	released   bool
}

func (c *Controller) slot(a Arrival) *Slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.ages.start(now, a.Kind)
	g := Grant{Kind: a.Kind, Organisation: a.Organisation, OrganisationPriority: a.OrganisationPriority}
	return &Slot{controller: c, grant: g, started: now}
}

// Release releases the slot; it may be called more than once. ran is false if the target did not run the request, in
// which case the elapsed time is not recorded as a service time.
func (s *Slot) Release(ran bool) {
	if ran {
		s.End(EndAnswered)
	} else {
		s.End(EndNotRun)
	}
}

// End is Release that says how the request ended. The slot of a broken-off request may stay counted for some time.
func (s *Slot) End(end End) {
	c := s.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	now := time.Now()
	c.ages.end(s.started, s.grant.Kind)
	if s.sentNumber != 0 {
		delete(c.abandon, s.sentNumber)
		if c.state.Completed(now, s.sentNumber, end == EndAnswered) {
			end = EndUnanswered
		}
	}
	c.apply(c.state.Release(now, s.grant, now.Sub(s.started), end))
}

// Sent notes that the request is sent to the target now. If the target leaves it unanswered while it answers later ones,
// abandon is called, at most once; nil if the request may not run anywhere else.
func (s *Slot) Sent(abandon func()) {
	c := s.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s.sentNumber = c.state.Sent(now, s.grant.Kind, abandon != nil)
	if abandon != nil {
		c.abandon[s.sentNumber] = abandon
	}
	c.scheduleJudgement(now)
}

// Began notes the first byte of the answer.
func (s *Slot) Began() {
	c := s.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Began(s.sentNumber)
}

// scheduleJudgement schedules a look at the requests without an answer, unless one is scheduled. A request of a shorter kind
// may be looked at late by the limit of a longer one, which saves a timer for each request.
func (c *Controller) scheduleJudgement(now time.Time) {
	if c.judging {
		return
	}
	at, ok := c.state.UnansweredCheckAt(now)
	if !ok {
		return
	}
	c.judging = true
	time.AfterFunc(at.Sub(now), c.markUnanswered)
}

func (c *Controller) markUnanswered() {
	c.mu.Lock()
	now := time.Now()
	before := c.state.Unanswered
	var ends []func()
	for _, number := range c.state.FindUnanswered(now) {
		ends = append(ends, c.abandon[number])
		delete(c.abandon, number)
	}
	judged := c.state.Unanswered > before
	capacity := c.state.Capacity(now)
	c.judging = false
	c.scheduleJudgement(now)
	c.mu.Unlock()
	for _, end := range ends {
		end()
	}
	if judged && c.onCapacity != nil {
		c.onCapacity(capacity)
	}
}

// OnCapacity sets what is called after the target was judged not to have answered a request. It must be called before the
// first request.
func (c *Controller) OnCapacity(f func(CapacityState)) { c.onCapacity = f }

// ResetProcess forgets what was learned of the process of the target, which has been replaced.
func (c *Controller) ResetProcess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.state.ResetProcess(time.Now()))
}

// Totals counts decisions since the start, beside the state of what the target holds.
type Totals struct {
	CapacityState
	// HeldTotal counts the slots that stayed counted after their request was broken off, Unanswered the requests that the
	// target was judged not to answer, and Withdrawn those of them that it did answer.
	HeldTotal, Unanswered, Withdrawn int64
	// ShareRefusals and Displaced count requests that were refused as beyond the share of their organisation, when they arrived
	// and while they waited. Organisations is the number of those that are remembered.
	ShareRefusals, Displaced int64
	Organisations            int
}

// Totals returns the totals.
func (c *Controller) Totals() Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Totals{
		CapacityState: c.state.Capacity(time.Now()), HeldTotal: c.state.Held, Unanswered: c.state.Unanswered, Withdrawn: c.state.Withdrawn,
		ShareRefusals: c.state.ShareRefusals, Displaced: c.state.Displaced, Organisations: c.state.fair.remembered,
	}
}
