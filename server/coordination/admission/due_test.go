package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
)

// Guards against a queue at a full target in which every request waits until its answer is late, and against starting
// those that will be late before those that will not.
func TestDueTimes(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	s := New(Settings{Slots: 1, Queue: 10})
	const service = 100 * time.Millisecond
	s.Observe(service, 0)
	admit := func(id uint64, due time.Duration) (Verdict, outcome.Reason) {
		return s.Admit(now, Arrival{ID: id, Deadline: now.Add(time.Minute), Due: now.Add(due)})
	}
	verdict, _ := admit(1, service)
	assert.Equal(t, verdict, Granted)
	verdict, _ = admit(2, 10*service)
	assert.Equal(t, verdict, Queued)
	verdict, _ = admit(3, 5*service)
	assert.Equal(t, verdict, Queued)
	verdict, reason := admit(4, service)
	assert.Equal(t, verdict, Refused)
	assert.Equal(t, reason, outcome.ReasonQueueFull)
	actions := s.Free(now)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].ID, uint64(3), "the one that is due first starts first")
	// When the slot is free again, request 2 is late already, and another one is not.
	now = now.Add(10 * service)
	verdict, _ = admit(5, 10*service)
	assert.Equal(t, verdict, Queued)
	actions = s.Free(now)
	assert.DeepEqual(t, actions, []Action{{ID: 2, Reason: outcome.ReasonQueueFull}, {ID: 5}})
}

// Guards against long requests that are admitted by the service time of short ones, and short ones that are refused by
// that of long ones.
func TestKindsHaveTheirOwnTimes(t *testing.T) {
	const short, long = uint32(1), uint32(2)
	now := time.UnixMilli(1_800_000_000_000)
	s := New(Settings{Slots: 1, Queue: 10})
	for range 50 {
		s.Observe(50*time.Millisecond, short)
		s.Observe(400*time.Millisecond, long)
	}
	s.Admit(now, Arrival{ID: 1, Deadline: now.Add(time.Minute), Kind: short})
	wait := s.Wait(now)
	arrive := func(id uint64, kind uint32, left time.Duration) Verdict {
		verdict, _ := s.Admit(now, Arrival{ID: id, Deadline: now.Add(time.Minute), Due: now.Add(wait + left), Kind: kind})
		return verdict
	}
	assert.Equal(t, arrive(2, long, 300*time.Millisecond), Refused)
	assert.Equal(t, arrive(3, short, 60*time.Millisecond), Queued)
}

// Guards against a reserve that is too small for service times which vary and too large for those which do not.
func TestReserveFollowsDeviation(t *testing.T) {
	const steady, varying = uint32(1), uint32(2)
	s := New(Settings{Slots: 1, Queue: 10})
	for i := range 200 {
		s.Observe(100*time.Millisecond, steady)
		s.Observe(time.Duration(i%2)*200*time.Millisecond, varying)
	}
	steadyReserve := s.reserve(Arrival{Kind: steady})
	varyingReserve := s.reserve(Arrival{Kind: varying})
	assert.Assert(t, steadyReserve < 110*time.Millisecond, "%v", steadyReserve)
	assert.Assert(t, varyingReserve > 180*time.Millisecond, "%v", varyingReserve)
	assert.Assert(t, s.reserve(Arrival{Kind: varying, Far: true}) > varyingReserve)
}

// Guards against estimates that grow with the number of routes.
func TestKindsAreBounded(t *testing.T) {
	s := New(Settings{Slots: 1, Queue: 10})
	for kind := range uint32(10 * kindsMax) {
		s.Observe(time.Millisecond, kind)
	}
	assert.Equal(t, len(s.times.byKind), kindsMax)
	assert.Equal(t, s.KindTime(10*kindsMax), s.ServiceTime())
}

// Guards against a request from another failure domain that takes a place in the queue which the target's own callers
// need.
func TestFarRequestsWaitLess(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	s := New(Settings{Slots: 1, Queue: 10})
	const service = 100 * time.Millisecond
	s.Observe(service, 0)
	s.Admit(now, Arrival{ID: 1, Deadline: now.Add(time.Minute), Due: now.Add(time.Minute)})
	due := now.Add(3 * service)
	verdict, _ := s.Admit(now, Arrival{ID: 2, Deadline: now.Add(time.Minute), Due: due, Far: true})
	assert.Equal(t, verdict, Refused)
	verdict, _ = s.Admit(now, Arrival{ID: 3, Deadline: now.Add(time.Minute), Due: due})
	assert.Equal(t, verdict, Queued)
}

// Guards against lost answers in time when more requests come than the slots can serve: admission by due time against
// a queue that is bounded by the deadline alone, with the same arrivals.
func TestOverloadInTime(t *testing.T) {
	for seed := range uint64(5) {
		byDue, _ := replayOverload(seed, true)
		byDeadline, served := replayOverload(seed, false)
		assert.Assert(t, byDue > 2*byDeadline, "seed %d: %d in time by due time, %d by deadline (%d served)", seed, byDue, byDeadline, served)
	}
}

// replayOverload plays 20 s of virtual time with 1.3 times the load that 18 slots serve.
func replayOverload(seed uint64, useDue bool) (inTime, served int) {
	const (
		slots     = 18
		mean      = 200 * time.Millisecond
		objective = 500 * time.Millisecond
		deadline  = 2500 * time.Millisecond
		length    = 20 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 7))
	now := time.UnixMilli(1_800_000_000_000)
	end := now.Add(length)
	s := New(Settings{Slots: slots, Queue: 300})
	type running struct{ ends, due time.Time }
	due := make(map[uint64]time.Time)
	var active []running
	start := func(id uint64) {
		took := time.Duration(random.ExpFloat64() * float64(mean))
		active = append(active, running{now.Add(took), due[id]})
		s.Observe(took, 0)
	}
	settle := func(actions []Action) {
		for _, a := range actions {
			if a.Reason == outcome.ReasonNone {
				start(a.ID)
			}
		}
	}
	interval := mean * 10 / (slots * 13)
	next := now
	for id := uint64(1); now.Before(end); {
		first := -1
		for i := range active {
			if first < 0 || active[i].ends.Before(active[first].ends) {
				first = i
			}
		}
		if first >= 0 && active[first].ends.Before(next) {
			now = active[first].ends
			served++
			if !now.After(active[first].due) {
				inTime++
			}
			active = append(active[:first], active[first+1:]...)
			settle(append([]Action(nil), s.Free(now)...))
			continue
		}
		now = next
		next = now.Add(time.Duration(random.ExpFloat64() * float64(interval)))
		id++
		due[id] = now.Add(objective)
		a := Arrival{ID: id, Deadline: now.Add(deadline)}
		if useDue {
			a.Due = due[id]
		}
		if verdict, _ := s.Admit(now, a); verdict == Granted {
			start(id)
		}
	}
	return inTime, served
}
