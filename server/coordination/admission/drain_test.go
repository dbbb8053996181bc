package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
)

// Guards against requests that wait at a draining target although they cannot start in time, against those that can and are
// refused at once, and against a queue that stays closed for the next target.
func TestDrainEndSettlesTheQueue(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	s := New(Settings{Slots: 1, Queue: 10})
	for range 20 {
		s.Observe(100*time.Millisecond, 0)
	}
	arrive := func(id uint64, late bool) Verdict {
		verdict, _ := s.Admit(now, Arrival{ID: id, Deadline: now.Add(time.Hour), Late: late})
		return verdict
	}
	assert.Equal(t, arrive(1, false), Granted)
	for id := uint64(2); id <= 6; id++ {
		assert.Equal(t, arrive(id, false), Queued)
	}
	assert.Equal(t, arrive(7, true), Queued)
	end := now.Add(250 * time.Millisecond)
	refused := func(actions []Action) []uint64 {
		var ids []uint64
		for _, a := range actions {
			assert.Equal(t, a.Reason, outcome.ReasonDraining)
			ids = append(ids, a.ID)
		}
		return ids
	}
	// The wait of the n-th in the queue is n x 100 ms. A late request starts after all others.
	assert.DeepEqual(t, refused(s.SetDrainEnd(now, end)), []uint64{4, 5, 6, 7})
	due, wake := s.WakeAt(now)
	assert.Assert(t, wake && due.Equal(end))
	now = end
	assert.DeepEqual(t, refused(s.Expire(now)), []uint64{2, 3})
	verdict, reason := s.Admit(now, Arrival{ID: 8, Deadline: now.Add(time.Hour)})
	assert.Equal(t, verdict, Refused)
	assert.Equal(t, reason, outcome.ReasonDraining)
	assert.Equal(t, len(s.ReleaseSlot(now, 0)), 0)
	s.SetDrainEnd(now, time.Time{})
	assert.Equal(t, arrive(9, false), Granted)
}
