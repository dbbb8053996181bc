package admission

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
)

var (
	epoch    = time.Unix(1000, 0)
	farAway  = epoch.Add(time.Hour)
	testRule = Settings{Slots: 2, Queue: 2, ExclusiveQueue: 2, ExclusiveWait: time.Second}
)

// Guards against refusals that queue, queues that grow, and requests that wait although they cannot start in time.
func TestArrive(t *testing.T) {
	s := New(testRule)
	arrive := func(id uint64, deadline time.Time, want Verdict, reason outcome.Reason) {
		t.Helper()
		verdict, got := s.Arrive(epoch, id, deadline, false)
		assert.Equal(t, verdict, want)
		assert.Equal(t, got, reason)
	}
	arrive(1, epoch, Refused, outcome.ReasonDeadline)
	arrive(1, farAway, Granted, "")
	arrive(2, farAway, Granted, "")
	arrive(3, epoch.Add(time.Millisecond), Queued, "")
	assert.Equal(t, len(s.Finish(epoch, epoch.Add(-time.Second))), 1)
	// With a service time of 1 s and 2 slots, the first in the queue starts after 0.5 s.
	arrive(4, epoch.Add(400*time.Millisecond), Refused, outcome.ReasonDeadline)
	arrive(5, epoch.Add(600*time.Millisecond), Queued, "")
	arrive(6, epoch.Add(900*time.Millisecond), Refused, outcome.ReasonDeadline)
	arrive(7, farAway, Queued, "")
	arrive(8, farAway, Refused, outcome.ReasonQueueFull)
	// The first in the queue is late when a slot gets free, the second takes it.
	actions := s.Finish(epoch.Add(time.Second), epoch)
	assert.DeepEqual(t, actions, []Action{{ID: 5, Reason: outcome.ReasonDeadline}, {ID: 7}})
}

// Guards against a cold target that gets its full load at once, or never.
func TestSlowStart(t *testing.T) {
	s := New(Settings{Slots: 18, SlowStart: 10 * time.Second})
	s.SetTarget(epoch, 18, epoch)
	for _, c := range []struct {
		age  time.Duration
		want int
	}{{-time.Second, 2}, {0, 2}, {5 * time.Second, 9}, {9 * time.Second, 16}, {10 * time.Second, 18}} {
		assert.Equal(t, s.Slots(epoch.Add(c.age)), c.want, "age %v", c.age)
	}
}

// Guards against a suspect that runs beside others, that starves, or that keeps others out for more than one run.
func TestExclusive(t *testing.T) {
	s := New(testRule)
	s.Arrive(epoch, 1, farAway, false)
	verdict, _ := s.Arrive(epoch, 2, farAway, true)
	assert.Equal(t, verdict, Queued)
	s.Arrive(epoch, 3, farAway, true)
	verdict, _ = s.Arrive(epoch, 4, farAway, false)
	assert.Equal(t, verdict, Queued, "a later request must not overtake a waiting suspect")
	s.Arrive(epoch, 5, farAway, false)
	assert.DeepEqual(t, s.Finish(epoch, epoch), []Action{{ID: 2}})
	assert.Equal(t, s.InUse(), 1)
	// All that waited have their turn before the next suspect.
	assert.DeepEqual(t, s.Finish(epoch, epoch), []Action{{ID: 4}, {ID: 5}})
	verdict, _ = s.Arrive(epoch, 6, farAway, false)
	assert.Equal(t, verdict, Queued)
	assert.Equal(t, len(s.Finish(epoch, epoch)), 0)
	assert.DeepEqual(t, s.Finish(epoch, epoch), []Action{{ID: 3}})
	assert.DeepEqual(t, s.Finish(epoch, epoch), []Action{{ID: 6}})
}

// Guards against any order of events in which a suspect has company, slots are exceeded, a request is settled twice,
// or one waits although nothing runs.
func TestInvariants(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := New(testRule)
		now := epoch
		waiting := make(map[uint64]bool)
		running := make(map[uint64]bool)
		settle := func(actions []Action) {
			for _, a := range actions {
				exclusive, queued := waiting[a.ID]
				assert.Assert(t, queued, "seed %d: request %d is settled and does not wait", seed, a.ID)
				delete(waiting, a.ID)
				if a.Reason == "" {
					running[a.ID] = exclusive
				}
			}
		}
		for id := range uint64(300) {
			now = now.Add(time.Duration(rng.Int64N(int64(time.Second))))
			switch rng.IntN(4) {
			case 0, 1:
				exclusive := rng.IntN(3) == 0
				deadline := now.Add(time.Duration(rng.Int64N(int64(10 * time.Second))))
				verdict, _ := s.Arrive(now, id, deadline, exclusive)
				if verdict == Granted {
					running[id] = exclusive
				} else if verdict == Queued {
					waiting[id] = exclusive
				}
			case 2:
				for id := range running {
					delete(running, id)
					settle(s.Finish(now, now))
					break
				}
			case 3:
				settle(s.Expire(now))
			}
			assert.Equal(t, s.InUse(), len(running), "seed %d", seed)
			assert.Equal(t, s.Queued(), len(waiting), "seed %d", seed)
			assert.Assert(t, len(running) <= testRule.Slots, "seed %d", seed)
			for _, exclusive := range running {
				assert.Assert(t, !exclusive || len(running) == 1, "seed %d: a suspect has company", seed)
			}
			assert.Assert(t, len(running) > 0 || len(waiting) == 0, "seed %d: a request waits for nothing", seed)
		}
	}
}

// Guards against long requests that keep slots empty for a waiting suspect.
func TestExclusiveWaitIsBounded(t *testing.T) {
	s := New(testRule)
	s.Arrive(epoch, 1, farAway, false)
	s.Arrive(epoch, 2, farAway, true)
	s.Arrive(epoch, 3, farAway, false)
	due, blocked := s.ExclusiveDue()
	assert.Assert(t, blocked)
	assert.Equal(t, len(s.Expire(due.Add(-1))), 0)
	assert.DeepEqual(t, s.Expire(due), []Action{{ID: 2, Reason: outcome.ReasonOverloaded}, {ID: 3}})
}

// Guards against lost slots when a request gives up, is cancelled or gives its slot back twice.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewController(Settings{Slots: 1, Queue: 2, ExclusiveQueue: 1, ExclusiveWait: time.Second})
		soon := time.Now().Add(time.Minute)
		release, reason := g.Enter(t.Context(), soon, false)
		assert.Equal(t, reason, outcome.ReasonNone)
		_, reason = g.Enter(t.Context(), time.Now().Add(time.Second), false)
		assert.Equal(t, reason, outcome.ReasonDeadline)
		_, reason = g.Enter(t.Context(), soon, true)
		assert.Equal(t, reason, outcome.ReasonOverloaded, "the suspect waits no longer than ExclusiveWait")
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, reason = g.Enter(ctx, soon, false)
		assert.Equal(t, reason, outcome.ReasonCanceled)
		time.AfterFunc(time.Second/2, release)
		alone, reason := g.Enter(t.Context(), soon, true)
		assert.Equal(t, reason, outcome.ReasonNone)
		release()
		assert.Equal(t, g.InUse.Load(), int64(1))
		alone()
		assert.Equal(t, g.InUse.Load(), int64(0))
		assert.Equal(t, g.Queued.Load(), int64(0))
	})
}

// Guards against refusals that allocate, which would make overload worse.
func TestRefusalDoesNotAllocate(t *testing.T) {
	g := NewController(Settings{Slots: 1})
	deadline := time.Now().Add(time.Hour)
	release, _ := g.Enter(t.Context(), deadline, false)
	defer release()
	allocations := testing.AllocsPerRun(100, func() { g.Enter(t.Context(), deadline, false) })
	assert.Equal(t, allocations, 0.0)
}
