// Package admission decides which request may run at the target beside the node: slots shared by all senders, a
// short queue for each kind of requests, slow start of a cold target, and exclusive runs of suspects.
//
// State holds the pure decisions; Gate makes them available to concurrent requests.
package admission

import (
	"slices"
	"time"

	"wagtailford.example/server/protocol/outcome"
)

// Settings are the rules of admission.
type Settings struct {
	// Slots is the number of requests that run at a time, unless the target announced another number.
	Slots int
	// Queue is the number of requests of one kind that may wait for a slot.
	Queue int
	// ExclusiveQueue is the number of suspects that may wait to run alone; 0 means DefaultExclusiveQueue.
	ExclusiveQueue int
	// SlowStart is the age at which a target gets all its slots; 0 gives them at once.
	SlowStart time.Duration
	// ExclusiveWait limits how long slots stay empty while a suspect waits for the running requests to end; 0 means
	// DefaultExclusiveWait.
	ExclusiveWait time.Duration
}

// Defaults of Settings.
const (
	// DefaultExclusiveQueue is small, since suspects run one after the other.
	DefaultExclusiveQueue = 4
	// DefaultExclusiveWait is longer than most requests take, so that a suspect is rarely refused, and short against
	// the default timeout of a request, so that the others still run in time.
	DefaultExclusiveWait = time.Second
)

// slowStartMinimum is the number of slots of a target that has just started. With one slot, a single long request
// would hide the target for its whole duration.
const slowStartMinimum = 2

// Verdict is the decision on an arriving request.
type Verdict uint8

// Verdicts.
const (
	Refused Verdict = iota
	Granted
	Queued
)

// Action settles a queued request: it is granted if the reason is empty and refused otherwise.
type Action struct {
	ID     uint64
	Reason outcome.Reason
}

// Arrival is a request at the target.
type Arrival struct {
	ID       uint64
	Deadline time.Time
	// Exclusive requests run alone.
	Exclusive bool
	// Kind tells requests of different routes apart. Each kind has its own queue and estimate of the service time.
	Kind uint32
	// Priority is the rank of the kind, 0 first.
	Priority int
	// CrossDomain is true if the request comes from another failure domain.
	CrossDomain bool
	// BodyFetched is true if its body was fetched for this target. Refusing it because it would be late wastes more than
	// letting it be late.
	BodyFetched bool
	// Due is when its answer is late; zero if it is never late before the deadline. Requests of a kind with a due time
	// start in the order of these times and are refused when they would be late, the others start in the order of arrival.
	Due time.Time
}

// waiter is a queued request.
type waiter struct {
	id       uint64
	deadline time.Time
	due      time.Time
	kind     uint32
	invested bool
}

// State is the state of admission at one target. It is changed by one caller at a time.
type State struct {
	settings Settings
	slots    int
	started  time.Time
	normal   queues
	// exclusive is in order of arrival.
	exclusive []waiter
	inUse     int
	// alone is true while a suspect runs.
	alone bool
	// turn is the number of normal requests that start before the next suspect may stop the others.
	turn int
	// blockedSince is the time since which slots stay empty for the first waiting suspect; zero if they don't.
	blockedSince time.Time
	times        serviceTimes
	actions      []Action
}

// New returns a state without requests, for a target that is not cold.
func New(s Settings) *State {
	if s.ExclusiveQueue == 0 {
		s.ExclusiveQueue = DefaultExclusiveQueue
	}
	if s.ExclusiveWait == 0 {
		s.ExclusiveWait = DefaultExclusiveWait
	}
	return &State{settings: s, slots: s.Slots}
}

// SetTarget sets the slots and the start time of the target. The returned actions are valid until the next call, as
// for all methods.
func (s *State) SetTarget(now time.Time, slots int, started time.Time) []Action {
	if slots <= 0 {
		slots = s.settings.Slots
	}
	s.slots = slots
	s.started = started
	return s.settle(now)
}

// Slots returns the number of slots at the age that the target has.
func (s *State) Slots(now time.Time) int {
	age := now.Sub(s.started)
	if s.started.IsZero() || s.settings.SlowStart <= 0 || age >= s.settings.SlowStart {
		return s.slots
	}
	share := float64(max(age, 0)) / float64(s.settings.SlowStart)
	return min(s.slots, max(slowStartMinimum, int(share*float64(s.slots))))
}

// InUse returns the number of requests that run.
func (s *State) InUse() int { return s.inUse }

// Queued returns the number of requests that wait.
func (s *State) Queued() int { return s.normal.waiting() + len(s.exclusive) }

// ServiceTime returns the moving mean of the time for which requests held a slot; 0 before the first one ended.
func (s *State) ServiceTime() time.Duration { return s.times.all.mean }

// Arrive decides on a request without due time.
func (s *State) Arrive(now time.Time, id uint64, deadline time.Time, exclusive bool) (Verdict, outcome.Reason) {
	return s.Admit(now, Arrival{ID: id, Deadline: deadline, Exclusive: exclusive})
}

// Admit decides on a request. A queued one is settled by an action of a later call. The reason is set if the request
// is refused.
func (s *State) Admit(now time.Time, a Arrival) (Verdict, outcome.Reason) {
	if !now.Before(a.Deadline) {
		return Refused, outcome.ReasonDeadline
	}
	if a.Exclusive {
		return s.arriveExclusive(now, a.ID, a.Deadline)
	}
	q := s.normal.of(a.Kind, a.Priority)
	defer s.normal.prune()
	if s.isFree(now) {
		s.start(q)
		return Granted, outcome.ReasonNone
	}
	if len(q.waiting) >= s.settings.Queue {
		return Refused, outcome.ReasonQueueFull
	}
	w := waiter{id: a.ID, deadline: a.Deadline, due: a.Due, kind: a.Kind, invested: a.BodyFetched}
	at := q.place(w)
	wait := s.wait(now, q, at)
	if now.Add(wait).After(a.Deadline) {
		return Refused, outcome.ReasonDeadline
	}
	if !a.Due.IsZero() && !a.BodyFetched && !q.admits(wait, s.patience(now, a), a.CrossDomain) {
		return Refused, outcome.ReasonQueueFull
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	return Queued, outcome.ReasonNone
}

// isFree reports whether a request that arrives now starts at once.
func (s *State) isFree(now time.Time) bool {
	return s.normal.waiting() == 0 && !s.closed() && s.inUse < s.Slots(now)
}

func (s *State) start(q *kindQueue) {
	s.inUse++
	q.inUse++
}

const (
	// dueReserve is the number of mean deviations beyond the mean service time that are kept free before the due time.
	// With the mean alone half of the requests that wait would be late.
	dueReserve = 1.6
	// farReserve is the same for a request from another failure domain. When all are full, each serves its own callers
	// first, which sends fewer bytes between them for the same number of answers.
	farReserve = 2.2
	// waitShare is the part of the time beyond the mean service time that a request of the own failure domain may wait
	// in any case. Where the reserve is longer than the objective, as at a slow target, a short wait costs little more.
	waitShare = 0.2
)

// patience returns how long a request with a due time can wait for its start.
func (s *State) patience(now time.Time, a Arrival) time.Duration {
	left := a.Due.Sub(now)
	times := s.times.of(a.Kind)
	if a.CrossDomain {
		return left - times.beyond(farReserve)
	}
	least := time.Duration(waitShare * float64(left-times.mean))
	return max(left-times.beyond(dueReserve), least)
}

// KindTime returns the estimate of the service time of a kind: its own moving mean, or that of all requests.
func (s *State) KindTime(kind uint32) time.Duration { return s.times.of(kind).mean }

// Reserve returns the time that is kept free for a request of a kind before its due time.
func (s *State) Reserve(kind uint32) time.Duration { return s.times.of(kind).beyond(dueReserve) }

// Wait returns the time after which a request of a kind that arrives now would start.
func (s *State) Wait(now time.Time, kind uint32) time.Duration {
	if s.isFree(now) {
		return 0
	}
	q := s.normal.find(kind)
	if q == nil {
		q = &kindQueue{kind: kind, weight: lowestShare}
	}
	return s.wait(now, q, len(q.waiting))
}

func (s *State) arriveExclusive(now time.Time, id uint64, deadline time.Time) (Verdict, outcome.Reason) {
	if s.inUse == 0 && s.Queued() == 0 {
		s.startAlone()
		return Granted, outcome.ReasonNone
	}
	if len(s.exclusive) >= s.settings.ExclusiveQueue {
		return Refused, outcome.ReasonQueueFull
	}
	s.exclusive = append(s.exclusive, waiter{id: id, deadline: deadline})
	s.block(now)
	return Queued, outcome.ReasonNone
}

// wait estimates the time until a request with the given number of waiting requests of its kind before it starts: with
// the slots that the kind can count on, one of them ends every mean service time / slots.
func (s *State) wait(now time.Time, q *kindQueue, before int) time.Duration {
	slots := s.normal.slotsOf(q, s.Slots(now))
	return time.Duration(float64(s.KindTime(q.kind)) * float64(before+1) / slots)
}

// closed reports whether slots stay empty for a suspect.
func (s *State) closed() bool { return s.alone || !s.blockedSince.IsZero() }

// block stops new starts when a suspect waits and the others had their turn.
func (s *State) block(now time.Time) {
	if len(s.exclusive) > 0 && s.turn == 0 && !s.closed() {
		s.blockedSince = now
	}
}

func (s *State) startAlone() {
	s.inUse++
	s.alone = true
	s.blockedSince = time.Time{}
}

// giveTurn lets the requests that wait now start before the next suspect may stop the others.
func (s *State) giveTurn() {
	s.turn = s.normal.waiting()
}

// Finish ends a request that was granted at started.
func (s *State) Finish(now, started time.Time) []Action {
	s.Observe(now.Sub(started), 0)
	return s.Free(now, 0)
}

// Free gives the slot of a request of a kind back.
func (s *State) Free(now time.Time, kind uint32) []Action {
	s.inUse--
	if q := s.normal.find(kind); q != nil && q.inUse > 0 {
		q.inUse--
	}
	if s.alone {
		s.alone = false
		s.giveTurn()
	}
	return s.settle(now)
}

// Observe notes how long a request of a kind held its slot.
func (s *State) Observe(d time.Duration, kind uint32) { s.times.observe(d, kind) }

// Abandon removes a queued request that is no longer wanted. It is no error if the request is not queued.
func (s *State) Abandon(now time.Time, id uint64) []Action {
	same := func(w waiter) bool { return w.id == id }
	for _, q := range s.normal.kinds {
		q.waiting = slices.DeleteFunc(q.waiting, same)
	}
	if i := slices.IndexFunc(s.exclusive, same); i >= 0 {
		s.exclusive = slices.Delete(s.exclusive, i, i+1)
		s.unblock()
	}
	return s.settle(now)
}

// unblock ends the block if no suspect waits for it.
func (s *State) unblock() {
	if len(s.exclusive) == 0 {
		s.blockedSince = time.Time{}
	}
}

// ExclusiveDue returns the time at which Expire has to be called, and false if slots don't stay empty for a suspect.
func (s *State) ExclusiveDue() (time.Time, bool) {
	return s.blockedSince.Add(s.settings.ExclusiveWait), !s.blockedSince.IsZero()
}

// Expire refuses the suspect for which slots stayed empty too long, so that the others run.
func (s *State) Expire(now time.Time) []Action {
	return s.settle(now)
}

// settle refuses what is late and grants what fits, until nothing more can start.
func (s *State) settle(now time.Time) []Action {
	s.actions = s.actions[:0]
	for _, q := range s.normal.kinds {
		q.waiting = s.dropLate(now, q.waiting)
		s.dropHopeless(now, q)
	}
	s.exclusive = s.dropLate(now, s.exclusive)
	s.turn = min(s.turn, s.normal.waiting())
	s.unblock()
	s.refuseOverdue(now)
	s.grantNormal(now)
	s.block(now)
	s.grantExclusive()
	s.normal.prune()
	return s.actions
}

func (s *State) dropLate(now time.Time, queue []waiter) []waiter {
	return slices.DeleteFunc(queue, func(w waiter) bool {
		late := !now.Before(w.deadline)
		if late {
			s.actions = append(s.actions, Action{ID: w.id, Reason: outcome.ReasonDeadline})
		}
		return late
	})
}

// hopelessShare is the part of the estimated service time that must remain before the due time of a request that
// starts. Service times vary, so a request with less than the mean left is often still in time.
const hopelessShare = 0.6

// dropHopeless refuses requests that would be late although others wait that would not: the work would bring less than
// the same work for the next one.
func (s *State) dropHopeless(now time.Time, q *kindQueue) {
	if s.inUse >= s.Slots(now) {
		return
	}
	for len(q.waiting) > 0 && s.normal.waiting() > 1 {
		w := q.waiting[0]
		needed := time.Duration(hopelessShare * float64(s.KindTime(w.kind)))
		if w.due.IsZero() || w.invested || !now.Add(needed).After(w.due) {
			return
		}
		s.actions = append(s.actions, Action{ID: w.id, Reason: outcome.ReasonQueueFull})
		q.waiting = slices.Delete(q.waiting, 0, 1)
	}
}

func (s *State) refuseOverdue(now time.Time) {
	due, blocked := s.ExclusiveDue()
	if !blocked || now.Before(due) || s.inUse == 0 {
		return
	}
	s.actions = append(s.actions, Action{ID: s.exclusive[0].id, Reason: outcome.ReasonOverloaded})
	s.exclusive = slices.Delete(s.exclusive, 0, 1)
	s.blockedSince = time.Time{}
	s.giveTurn()
}

func (s *State) grantNormal(now time.Time) {
	for !s.closed() && s.inUse < s.Slots(now) {
		q := s.normal.next()
		if q == nil {
			return
		}
		s.actions = append(s.actions, Action{ID: q.waiting[0].id})
		q.waiting = slices.Delete(q.waiting, 0, 1)
		s.start(q)
		s.turn = max(s.turn-1, 0)
		s.block(now)
	}
}

func (s *State) grantExclusive() {
	if s.blockedSince.IsZero() || s.inUse > 0 {
		return
	}
	s.actions = append(s.actions, Action{ID: s.exclusive[0].id})
	s.exclusive = slices.Delete(s.exclusive, 0, 1)
	s.startAlone()
}
