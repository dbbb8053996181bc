// Package admission decides which requests may run at the target of a node. It provides execution slots that all
// senders share, a bounded queue for each kind of requests, slow start of a new target, and exclusive execution of
// requests that are suspected of crashing targets.
//
// State makes the decisions without locks or I/O; Controller applies them to concurrent requests.
package admission

import (
	"slices"
	"time"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/ratelimit"
)

// Settings configures admission.
type Settings struct {
	// Slots is the number of requests that run concurrently, unless the target announced another number.
	Slots int
	// Queue is the number of requests of one kind that may wait for a slot.
	Queue int
	// ExclusiveQueue is the number of exclusive requests that may wait; 0 means DefaultExclusiveQueue.
	ExclusiveQueue int
	// SlowStart is the age at which a target gets all its slots; 0 grants them at once.
	SlowStart time.Duration
	// ExclusiveWait limits how long slots stay empty while an exclusive request waits for the running requests to end;
	// 0 means DefaultExclusiveWait.
	ExclusiveWait time.Duration
	// HoldBroken keeps the slot of a broken-off request counted until the target is known to drop such requests. Without it,
	// slots are kept only at a target that was seen to go on with them.
	HoldBroken bool
	// NestedWaitShare is the part of the maximum wait for which calls of running requests may wait while such calls are
	// refused; 0 and 1 mean all of it.
	NestedWaitShare float64
}

// Defaults of Settings.
const (
	// DefaultExclusiveQueue is small because exclusive requests run one after the other.
	DefaultExclusiveQueue = 4
	// DefaultExclusiveWait is longer than most requests take, so that an exclusive request is rarely refused, and short
	// compared with the default request timeout, so that the other requests still run in time.
	DefaultExclusiveWait = time.Second
)

// slowStartSlotsMin is the number of slots of a target that has just started. With a single slot, one long request
// would occupy the target for its whole duration.
const slowStartSlotsMin = 2

// Verdict is the decision on an arriving request.
type Verdict uint8

// Verdicts.
const (
	Refused Verdict = iota
	Granted
	Queued
)

// Action settles a queued request: an empty reason grants it a slot, any other reason refuses it.
type Action struct {
	ID     uint64
	Reason outcome.Reason
}

// Arrival describes a request that arrives at the target.
type Arrival struct {
	ID       uint64
	Deadline time.Time
	// Exclusive requests run with no other request at the target.
	Exclusive bool
	// Kind distinguishes the requests of different routes. Each kind has its own queue and service time estimate.
	Kind uint32
	// Priority is the rank of the kind; 0 is the most urgent.
	Priority int
	// CrossDomain is true if the request comes from another failure domain.
	CrossDomain bool
	// BodyFetched is true if the body was transferred for this target. Refusing such a request because its response
	// would be late wastes more than a late response does.
	BodyFetched bool
	// MaxWait is the wait beyond which the sender prefers another node; 0 means none.
	MaxWait time.Duration
	// Nested requests are calls without which a running request of another target fails.
	Nested bool
	// Late is true if the request has missed its objective already, so that only its deadline matters.
	Late bool
	// Due is the time after which the response counts as late; zero if only the deadline applies. Requests of a kind
	// with due times start in the order of these times and are refused if they would be late; the others start in the
	// order of arrival.
	Due time.Time
	// Organisation is the name of the organisation whose request this is; empty if there is none. OrganisationPriority is
	// its rank, 0 first, which goes before Priority.
	Organisation         string
	OrganisationPriority int
}

// waiter is a queued request.
type waiter struct {
	id          uint64
	deadline    time.Time
	due         time.Time
	kind        uint32
	bodyFetched bool
	// share is that of its organisation; nil without organisations.
	share *organisationShare
}

// State is the admission state of one target. It must not be used concurrently.
type State struct {
	settings Settings
	slots    int
	started  time.Time
	normal   queues
	// exclusive is in the order of arrival.
	exclusive []waiter
	inUse     int
	// exclusiveRunning is true while an exclusive request runs.
	exclusiveRunning bool
	// normalTurns is the number of normal requests that may start before the next exclusive request can block them.
	normalTurns int
	// blockedSince is the time since which slots stay empty for the first waiting exclusive request; zero if they do
	// not.
	blockedSince time.Time
	// lastRefusal is the time at which a request that was not late was last refused because of its wait.
	lastRefusal time.Time
	// lastRank is the least urgent rank of organisations that has arrived lately, until lastRankUntil.
	lastRank      int
	lastRankUntil time.Time
	// drainEnd is the time from which no waiting request starts; zero if the target does not drain.
	drainEnd time.Time
	// limiter enforces the rate of requests that the target has named.
	limiter ratelimit.Limiter
	times   serviceTimes
	fair    fairClocks
	// capacity is what is known of how many requests the target holds, inFlight are the requests that it has not answered.
	capacity capacity
	inFlight inFlight
	// Held counts the slots that stayed counted after their request was broken off, Unanswered the verdicts, and Withdrawn
	// those on requests that were answered after all.
	Held, Unanswered, Withdrawn int64
	// Displaced counts the waiting requests that were refused in favour of another organisation, ShareRefusals the arriving
	// ones that were refused because of what their own organisation has in the queue.
	Displaced, ShareRefusals int64

	actions []Action
}

// New returns a state without requests, for a target that is not in slow start.
func New(s Settings) *State {
	if s.ExclusiveQueue == 0 {
		s.ExclusiveQueue = DefaultExclusiveQueue
	}
	if s.ExclusiveWait == 0 {
		s.ExclusiveWait = DefaultExclusiveWait
	}
	return &State{settings: s, slots: s.Slots}
}

// SetTarget sets the slots and the start time of the target. As with all methods, the returned actions are valid until
// the next call.
func (s *State) SetTarget(now time.Time, slots int, started time.Time) []Action {
	if slots <= 0 {
		slots = s.settings.Slots
	}
	s.slots = slots
	s.started = started
	return s.settle(now)
}

// SetLimit takes over what is known of the rate of requests that the target takes.
func (s *State) SetLimit(now time.Time, known ratelimit.Known) []Action {
	s.limiter.Set(now, known, s.inUse)
	return s.settle(now)
}

// Slots returns the number of slots at the target's current age, less those that it was seen not to have.
func (s *State) Slots(now time.Time) int {
	slots := s.capacity.offered(now, s.slots)
	age := now.Sub(s.started)
	if s.started.IsZero() || s.settings.SlowStart <= 0 || age >= s.settings.SlowStart {
		return slots
	}
	share := float64(max(age, 0)) / float64(s.settings.SlowStart)
	return min(slots, max(slowStartSlotsMin, int(share*float64(s.slots))))
}

// InUse returns the number of running requests.
func (s *State) InUse() int { return s.inUse }

// Queued returns the number of waiting requests.
func (s *State) Queued() int { return s.normal.waiting() + s.normal.waitingLate() + len(s.exclusive) }

// ServiceTime returns the moving average of the time for which requests held a slot; 0 before the first one ended.
func (s *State) ServiceTime() time.Duration { return s.times.all.mean }

// Arrive decides on a request without a due time.
func (s *State) Arrive(now time.Time, id uint64, deadline time.Time, exclusive bool) (Verdict, outcome.Reason) {
	return s.Admit(now, Arrival{ID: id, Deadline: deadline, Exclusive: exclusive})
}

// Admit decides on a request. A queued request is settled by an action that a later call returns. The reason is set if
// the request is refused. DisplacedActions returns the requests that had to leave the queue for it.
func (s *State) Admit(now time.Time, a Arrival) (Verdict, outcome.Reason) {
	s.actions = s.actions[:0]
	if !now.Before(a.Deadline) {
		return Refused, outcome.ReasonDeadline
	}
	if s.hasDrained(now) {
		return Refused, outcome.ReasonDraining
	}
	if a.Exclusive {
		return s.admitExclusive(now, a.ID, a.Deadline)
	}
	q := s.normal.getOrCreate(a.Kind, rankOf(a.OrganisationPriority), a.Priority, a.Nested)
	defer s.normal.prune()
	share := s.fair.noteArrival(now, &s.normal, q, a.Organisation)
	startsLast := a.Late && !a.BodyFetched
	if s.isFree(now) && (!startsLast || s.limiter.Full(now)) {
		s.start(now, q, share)
		return Granted, outcome.ReasonNone
	}
	if startsLast {
		return s.admitLate(now, q, a, share)
	}
	return s.admitToQueue(now, q, a, share)
}

// admitToQueue queues a request if it is likely to start in time, and refuses it otherwise.
func (s *State) admitToQueue(now time.Time, q *kindQueue, a Arrival, share *organisationShare) (Verdict, outcome.Reason) {
	if len(q.waiting) >= s.settings.Queue && q.largestHolder(q.waiting, share) == nil {
		s.lastRefusal = now
		return Refused, s.fullReason()
	}
	w := waiter{id: a.ID, deadline: a.Deadline, due: a.Due, kind: a.Kind, bodyFetched: a.BodyFetched, share: share}
	at := q.insertPosition(w)
	before := s.before(q, q.waiting, at, share)
	slotWait, limitWait := s.slotWait(now, q, before), s.limitWait(now, q, before)
	wait := max(slotWait, limitWait)
	if left := a.Deadline.Sub(now); slotWait > left {
		return Refused, s.shareReason(now, q, share, left, outcome.ReasonDeadline)
	} else if wait > left {
		// Another target may have no limit.
		return Refused, s.shareReason(now, q, share, left, outcome.ReasonRateLimited)
	}
	if !a.Due.IsZero() && !a.BodyFetched && !q.gateOf(share).admits(wait, s.maxWaitAt(now, q, share, a, wait), a.CrossDomain) {
		s.lastRefusal = now
		reason := outcome.ReasonQueueFull
		if limitWait > slotWait {
			reason = outcome.ReasonRateLimited
		}
		return Refused, s.shareReason(now, q, share, s.maxWait(now, a), reason)
	}
	if a.MaxWait > 0 && wait > a.MaxWait && !a.BodyFetched {
		return Refused, outcome.ReasonWaitExceeded
	}
	if len(q.waiting) >= s.settings.Queue {
		q.waiting = s.makeRoom(q, q.waiting, share)
		at = q.insertPosition(w)
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	return Queued, outcome.ReasonNone
}

// DisplacedActions returns the refusals of waiting requests that the latest call of Admit caused.
func (s *State) DisplacedActions() []Action { return s.actions }

// isFree reports whether a request that arrives now starts at once.
func (s *State) isFree(now time.Time) bool {
	return s.normal.waiting() == 0 && !s.normalBlocked() && s.mayStart(now)
}

// mayStart reports whether a slot is free and the limit of the target lets a request through.
func (s *State) mayStart(now time.Time) bool {
	return s.inUse < s.Slots(now) && s.limiter.Ready(now)
}

func (s *State) start(now time.Time, q *kindQueue, share *organisationShare) {
	s.limiter.Take(now)
	s.inUse++
	q.inUse++
	s.noteStart(q, share)
}

func (s *State) admitExclusive(now time.Time, id uint64, deadline time.Time) (Verdict, outcome.Reason) {
	if s.inUse == 0 && s.Queued() == 0 && s.limiter.Ready(now) {
		s.startExclusive(now)
		return Granted, outcome.ReasonNone
	}
	if len(s.exclusive) >= s.settings.ExclusiveQueue {
		return Refused, outcome.ReasonQueueFull
	}
	s.exclusive = append(s.exclusive, waiter{id: id, deadline: deadline})
	s.block(now)
	return Queued, outcome.ReasonNone
}

// normalBlocked reports whether normal requests may not start because an exclusive request runs or is next to run.
func (s *State) normalBlocked() bool { return s.exclusiveRunning || !s.blockedSince.IsZero() }

// block stops normal requests from starting if an exclusive request waits and the normal requests have used up their
// turn.
func (s *State) block(now time.Time) {
	if len(s.exclusive) > 0 && s.normalTurns == 0 && !s.normalBlocked() {
		s.blockedSince = now
	}
}

func (s *State) startExclusive(now time.Time) {
	s.limiter.Take(now)
	s.inUse++
	s.exclusiveRunning = true
	s.blockedSince = time.Time{}
}

// resetNormalTurns lets the normal requests that wait now start before the next exclusive request can block them.
func (s *State) resetNormalTurns() {
	s.normalTurns = s.normal.waiting()
}

// Finish ends a request that was granted at started.
func (s *State) Finish(now, started time.Time) []Action {
	s.Observe(now.Sub(started), 0)
	return s.ReleaseSlot(now, 0)
}

// ReleaseSlot releases the slot of a request of a kind.
func (s *State) ReleaseSlot(now time.Time, kind uint32) []Action {
	s.free(Grant{Kind: kind})
	return s.settle(now)
}

// Observe records how long a request of a kind held its slot.
func (s *State) Observe(d time.Duration, kind uint32) { s.times.observe(d, kind) }

// Cancel removes a canceled request from the queue. It does nothing to a request that is not queued.
func (s *State) Cancel(now time.Time, id uint64) []Action {
	same := func(w waiter) bool { return w.id == id }
	for _, q := range s.normal.kinds {
		q.waiting = slices.DeleteFunc(q.waiting, same)
		q.late.waiting = slices.DeleteFunc(q.late.waiting, same)
	}
	if i := slices.IndexFunc(s.exclusive, same); i >= 0 {
		s.exclusive = slices.Delete(s.exclusive, i, i+1)
		s.unblock()
	}
	return s.settle(now)
}

// unblock lets normal requests start again if no exclusive request waits.
func (s *State) unblock() {
	if len(s.exclusive) == 0 {
		s.blockedSince = time.Time{}
	}
}

// ExclusiveDue returns the time at which Expire must be called; it returns false if no slots stay empty for an
// exclusive request.
func (s *State) ExclusiveDue() (time.Time, bool) {
	return s.blockedSince.Add(s.settings.ExclusiveWait), !s.blockedSince.IsZero()
}

// WakeAt returns the time at which Expire must be called, because no other event would settle the queued requests; it
// returns false if there is none.
func (s *State) WakeAt(now time.Time) (time.Time, bool) {
	due, wake := s.ExclusiveDue()
	if at, ok := s.capacityWake(now); ok && (!wake || at.Before(due)) {
		due, wake = at, true
	}
	if !s.drainEnd.IsZero() && s.Queued() > 0 && (!wake || s.drainEnd.Before(due)) {
		due, wake = s.drainEnd, true
	}
	if !s.limiter.Limited() || s.Queued() == 0 || s.inUse >= s.Slots(now) {
		return due, wake
	}
	delay := s.limiter.Delay(now, 1)
	if s.normal.waiting() == 0 && len(s.exclusive) == 0 {
		delay = s.limiter.UntilFull(now)
	}
	if next := now.Add(delay); delay > 0 && (!wake || next.Before(due)) {
		return next, true
	}
	return due, wake
}

// Expire settles the queued requests after time has passed. It refuses the exclusive request for which slots stayed empty
// too long, so that the normal requests can run.
func (s *State) Expire(now time.Time) []Action {
	return s.settle(now)
}

// settle refuses the requests that have expired and grants slots until no further request can start.
func (s *State) settle(now time.Time) []Action {
	s.actions = s.actions[:0]
	s.freeHeld(now)
	s.refuseDrained(now)
	for _, q := range s.normal.kinds {
		q.waiting = s.refuseExpired(now, q.waiting)
		s.refuseLateStarts(now, q)
		s.refuseLate(now, q)
	}
	s.exclusive = s.refuseExpired(now, s.exclusive)
	s.normalTurns = min(s.normalTurns, s.normal.waiting())
	s.unblock()
	s.refuseBlocking(now)
	s.grantNormal(now)
	s.block(now)
	s.grantLate(now)
	s.grantExclusive(now)
	s.normal.prune()
	return s.actions
}

func (s *State) refuseExpired(now time.Time, queue []waiter) []waiter {
	return slices.DeleteFunc(queue, func(w waiter) bool {
		late := !now.Before(w.deadline)
		if late {
			s.actions = append(s.actions, Action{ID: w.id, Reason: outcome.ReasonDeadline})
		}
		return late
	})
}

// startTimeShare is the part of the estimated service time that must remain before the due time of a request that
// starts. Service times vary, so a request that has less than the mean left is often still in time.
const startTimeShare = 0.6

// refuseLateStarts refuses requests that would be late while others wait that would not: the same work spent on the
// next request is worth more.
func (s *State) refuseLateStarts(now time.Time, q *kindQueue) {
	if !s.mayStart(now) {
		return
	}
	for len(q.waiting) > 0 && s.normal.waiting() > 1 {
		at := q.firstOf(q.waiting)
		w := q.waiting[at]
		needed := time.Duration(startTimeShare * float64(s.KindTime(w.kind)))
		if w.due.IsZero() || w.bodyFetched || !now.Add(needed).After(w.due) {
			return
		}
		s.actions = append(s.actions, Action{ID: w.id, Reason: s.fullReason()})
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
}

func (s *State) refuseBlocking(now time.Time) {
	due, blocked := s.ExclusiveDue()
	if !blocked || now.Before(due) || s.inUse == 0 {
		return
	}
	s.actions = append(s.actions, Action{ID: s.exclusive[0].id, Reason: outcome.ReasonOverloaded})
	s.exclusive = slices.Delete(s.exclusive, 0, 1)
	s.blockedSince = time.Time{}
	s.resetNormalTurns()
}

func (s *State) grantNormal(now time.Time) {
	for !s.normalBlocked() && s.mayStart(now) {
		q := s.normal.next(&s.fair)
		if q == nil {
			return
		}
		at := q.firstOf(q.waiting)
		w := q.waiting[at]
		s.actions = append(s.actions, Action{ID: w.id})
		q.waiting = slices.Delete(q.waiting, at, at+1)
		s.start(now, q, w.share)
		s.normalTurns = max(s.normalTurns-1, 0)
		s.block(now)
	}
}

// grantLate grants late requests the slots that no other request waits for, and of the limit of the target only what would
// be lost.
func (s *State) grantLate(now time.Time) {
	for !s.holdsLate(now) && !s.normalBlocked() && s.mayStart(now) && s.limiter.Full(now) {
		q := s.normal.nextLate(&s.fair)
		if q == nil {
			return
		}
		w := q.late.remove(now, q.firstOf(q.late.waiting))
		s.actions = append(s.actions, Action{ID: w.id})
		s.start(now, q, w.share)
	}
}

func (s *State) grantExclusive(now time.Time) {
	if s.blockedSince.IsZero() || s.inUse > 0 || !s.limiter.Ready(now) {
		return
	}
	s.actions = append(s.actions, Action{ID: s.exclusive[0].id})
	s.exclusive = slices.Delete(s.exclusive, 0, 1)
	s.startExclusive(now)
}
