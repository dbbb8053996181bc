package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/ratelimit"
)

func limited(perSecond float64) ratelimit.Known {
	return ratelimit.Known{Limited: true, PerSecond: perSecond}
}

// Guards against queued requests that wait on although the limit of the target would let them through, because no other
// event settles them.
func TestQueuedRequestsStartAtTheRateOfTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewController(Settings{Slots: 18, Queue: 36})
		c.SetLimit(limited(10))
		began := time.Now()
		started := make(chan time.Duration, 20)
		var requests sync.WaitGroup
		for range 20 {
			requests.Go(func() {
				slot, reason := c.Acquire(context.Background(), Arrival{Deadline: began.Add(5 * time.Second)})
				assert.Check(t, reason == outcome.ReasonNone, "%s", reason)
				started <- time.Since(began)
				time.Sleep(50 * time.Millisecond)
				slot.Release(true)
			})
		}
		requests.Wait()
		var last time.Duration
		for range 20 {
			last = max(last, <-started)
		}
		assert.Assert(t, last > 1900*time.Millisecond && last < 2100*time.Millisecond, "%v", last)
	})
}

// Guards against a request that waits for the limit of its target until it is too late, and against one that is refused for
// good because of it: another target may have no limit.
func TestRequestBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	s := New(Settings{Slots: 18, Queue: 36})
	s.SetLimit(now, limited(1))
	verdict, reason := s.Admit(now, Arrival{ID: 1, Deadline: now.Add(500 * time.Millisecond)})
	assert.Equal(t, verdict, Refused)
	assert.Equal(t, reason, outcome.ReasonRateLimited)
	verdict, reason = s.Admit(now, Arrival{ID: 2, Deadline: now.Add(3 * time.Second), Due: now.Add(400 * time.Millisecond)})
	assert.Equal(t, verdict, Refused)
	assert.Equal(t, reason, outcome.ReasonRateLimited)
	verdict, _ = s.Admit(now, Arrival{ID: 3, Deadline: now.Add(3 * time.Second), Due: now.Add(2 * time.Second)})
	assert.Equal(t, verdict, Queued)
	assert.Equal(t, s.LimitWait(now), 2*time.Second)
}

// Guards against the limit going to less urgent requests, or to late ones, while others wait.
func TestUrgentRequestsGetTheLimitFirst(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	s := New(Settings{Slots: 18, Queue: 36})
	s.SetLimit(now, limited(10))
	deadline := now.Add(10 * time.Second)
	for id := range uint64(10) {
		s.Admit(now, Arrival{ID: 100 + id, Kind: 1, Priority: 2, Deadline: deadline})
		s.Admit(now, Arrival{ID: 200 + id, Kind: 2, Priority: 0, Deadline: deadline})
		s.Admit(now, Arrival{ID: 300 + id, Kind: 1, Priority: 2, Deadline: deadline, Late: true})
	}
	urgent, late := 0, 0
	for ms := 100; ms <= 1000; ms += 100 {
		for _, a := range s.Expire(now.Add(time.Duration(ms) * time.Millisecond)) {
			assert.Equal(t, a.Reason, outcome.ReasonNone)
			if a.ID >= 200 && a.ID < 300 {
				urgent++
			}
			if a.ID >= 300 {
				late++
			}
		}
	}
	assert.Assert(t, urgent >= 8, "%d of 10 starts", urgent)
	assert.Equal(t, late, 0)
}

// Guards against a limit that outlives the target's statement.
func TestLiftedLimitLetsTheQueueStart(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	s := New(Settings{Slots: 18, Queue: 36})
	s.SetLimit(now, limited(0))
	for id := range uint64(12) {
		verdict, _ := s.Admit(now, Arrival{ID: id, Deadline: now.Add(time.Minute)})
		assert.Equal(t, verdict, Queued)
	}
	assert.Equal(t, len(s.SetLimit(now.Add(time.Second), ratelimit.Known{})), 12)
}

// Guards against a late request with a fetched body that waits without an event to start it, because the limit would let it
// through and nothing else runs.
func TestLateRequestWithBodyStartsWithinTheLimit(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	s := New(Settings{Slots: 18, Queue: 36})
	s.SetLimit(now, limited(10))
	now = now.Add(200 * time.Millisecond)
	verdict, _ := s.Admit(now, Arrival{ID: 1, Deadline: now.Add(time.Second), Late: true, BodyFetched: true})
	assert.Equal(t, verdict, Granted)
	verdict, _ = s.Admit(now, Arrival{ID: 2, Deadline: now.Add(5 * time.Second), Late: true})
	assert.Equal(t, verdict, Queued)
	_, wake := s.WakeAt(now)
	assert.Assert(t, wake)
}
