package admission

import (
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
	actions := s.Free(now, 0)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].ID, uint64(3), "the one that is due first starts first")
	// When the slot is free again, request 2 is late already, and another one is not.
	now = now.Add(10 * service)
	verdict, _ = admit(5, 10*service)
	assert.Equal(t, verdict, Queued)
	actions = s.Free(now, 0)
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
	wait := s.Wait(now, long)
	arrive := func(id uint64, kind uint32, left time.Duration) Verdict {
		verdict, _ := s.Admit(now, Arrival{ID: id, Deadline: now.Add(time.Minute), Due: now.Add(wait + left), Kind: kind})
		return verdict
	}
	assert.Equal(t, arrive(2, long, 300*time.Millisecond), Refused)
	assert.Equal(t, arrive(3, short, 60*time.Millisecond), Queued)
}

// Guards against waits that are too long where service times vary, too short where they do not, and against a target so
// slow that urgent requests may not wait there at all.
func TestPatienceFollowsDeviation(t *testing.T) {
	const steady, varying, slow = uint32(1), uint32(2), uint32(3)
	now := time.UnixMilli(1_800_000_000_000)
	s := New(Settings{Slots: 1, Queue: 10})
	for i := range 200 {
		s.Observe(100*time.Millisecond, steady)
		s.Observe(time.Duration(i%2)*200*time.Millisecond, varying)
		s.Observe(time.Duration(200+i%2*400)*time.Millisecond, slow)
	}
	patience := func(kind uint32, far bool) time.Duration {
		return s.patience(now, Arrival{Kind: kind, Due: now.Add(500 * time.Millisecond), CrossDomain: far})
	}
	assert.Assert(t, patience(steady, false) > 390*time.Millisecond, "%v", patience(steady, false))
	assert.Assert(t, patience(varying, false) < 320*time.Millisecond, "%v", patience(varying, false))
	assert.Assert(t, patience(varying, true) < patience(varying, false))
	assert.Assert(t, patience(slow, false) > 0, "%v", patience(slow, false))
	assert.Assert(t, patience(slow, true) < 0, "%v", patience(slow, true))
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
	verdict, _ := s.Admit(now, Arrival{ID: 2, Deadline: now.Add(time.Minute), Due: due, CrossDomain: true})
	assert.Equal(t, verdict, Refused)
	verdict, _ = s.Admit(now, Arrival{ID: 3, Deadline: now.Add(time.Minute), Due: due})
	assert.Equal(t, verdict, Queued)
}
