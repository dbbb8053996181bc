package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
)

// limitedReport is a report of a node whose target has named a limit.
func limitedReport(target string, perSecond float64, wait time.Duration, sentMS int64) *Report {
	return &Report{
		SentMS: sentMS, Served: true,
		State: &wire.TargetState{Target: target, Limited: true, PerSecond: perSecond, LimitWaitMS: wait.Milliseconds()},
	}
}

// Guards against a node that forgets the limit of a target after a refusal that says nothing of it, which is how a node that
// has just started answers.
func TestLimitIsStatedUntilTheTargetLiftsIt(t *testing.T) {
	tracker := NewTracker(DefaultSettings())
	end := func(report *Report, nowMS int64) {
		tracker.EndWithReport(tracker.Begin("n1", nowMS), Succeeded, report, nowMS)
	}
	assert.Assert(t, tracker.KnownLimit("n1", 1000) == nil)
	end(limitedReport("i-1/5", 12, 0, 1000), 1100)
	assert.DeepEqual(t, tracker.KnownLimit("n1", 1500), &wire.KnownLimit{Target: "i-1/5", PerSecond: 12, AgeMS: 400})
	end(&Report{SentMS: 1600}, 1700)
	assert.Assert(t, tracker.KnownLimit("n1", 1700) != nil)
	end(&Report{SentMS: 1050, Served: true}, 1800)
	assert.Assert(t, tracker.KnownLimit("n1", 1800) != nil, "lifted by a response that was sent for before")
	end(limitedReport("i-1/9", 80, 0, 1810), 1900)
	assert.Equal(t, tracker.KnownLimit("n1", 1900).Target, "i-1/9")
	end(&Report{SentMS: 1950, Served: true}, 2000)
	assert.Assert(t, tracker.KnownLimit("n1", 2000) == nil)
}

// Guards against requests that are sent to a target which has no room within its limit although another one has.
func TestTargetWithoutLimitIsPreferred(t *testing.T) {
	tracker := NewTracker(DefaultSettings())
	tracker.EndWithReport(tracker.Begin("n1", 1000), Succeeded, limitedReport("i-1/5", 2, 300*time.Millisecond, 900), 1000)
	tracker.EndWithReport(tracker.Begin("n2", 1000), Succeeded, &Report{SentMS: 900, Served: true}, 1000)
	entries := []*endpoint.Entry{
		{Node: "n1", Slots: 18, TargetStart: "i-1/5"}, {Node: "n2", Slots: 18, TargetStart: "i-2/5"},
	}
	for _, e := range entries {
		e.State = endpoint.Alive
	}
	choose := func(nowMS int64) Selection {
		var chosen Selection
		tracker.WithStats(0, nowMS, func(stat func(string) NodeStats) {
			chosen = ChooseLowestCost(&Choice{
				Candidates: entries, NearCount: 2, Stat: stat, NowMS: nowMS, Settings: DefaultSettings(),
				Random: func() uint64 { return 0 },
			}, Demand{}, CostWeights{}, "n0")
		})
		return chosen
	}
	chosen := choose(1000)
	assert.Equal(t, chosen.Target.Node, "n2")
	// Costs vary by a tenth.
	assert.Assert(t, chosen.MaxWait >= 270*time.Millisecond)
	full := limitedReport("i-1/5", 2, 400*time.Millisecond, 1000)
	full.Served, full.RateLimited, full.Wait = false, true, 400*time.Millisecond
	tracker.EndWithReport(tracker.Begin("n1", 1000), Succeeded, full, 1000)
	tracker.EndWithReport(tracker.Begin("n2", 1000), Succeeded, full, 1000)
	chosen = choose(1001)
	assert.Assert(t, chosen.Target == nil)
	assert.Assert(t, chosen.Limited && chosen.FullFor == 99*time.Millisecond, "%+v", chosen)
}

// Guards against a request to a target that said that it leaves, and against one that is never used again after another
// process has taken its place.
func TestLeavingTargetIsNoCandidate(t *testing.T) {
	s := NodeStats{}
	s.observeState(&Report{State: &wire.TargetState{Target: "i-1/5", Leaving: true}}, 1000)
	assert.Assert(t, s.isLeaving(&endpoint.Entry{TargetStart: "i-1/5"}))
	assert.Assert(t, !s.isLeaving(&endpoint.Entry{TargetStart: "i-1/9"}))
	s.observeState(&Report{Served: true, SentMS: 2000}, 2100)
	assert.Assert(t, s.isLeaving(&endpoint.Entry{TargetStart: "i-1/5"}))
}
