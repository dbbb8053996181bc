package announce

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/endpoint"
)

var registrationStart = time.UnixMilli(1_800_000_000_000)

func report(instance string, born int64, sequence uint64) Report {
	return Report{Instance: instance, BornMS: born, Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Slots: 18}
}

func draining(r Report) Report {
	r.Draining = true
	return r
}

// Guards against reports that were held up and bring a target back that has left or was replaced, and against an acknowledged
// drain or leave that is forgotten while its process lives.
func TestRegistrationOrder(t *testing.T) {
	type step struct {
		report  *Report
		leave   string
		lapse   bool
		verdict Verdict
		state   endpoint.State
		now     string
	}
	take := func(r Report, v Verdict, s endpoint.State, instance string) step {
		return step{report: &r, verdict: v, state: s, now: instance}
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"renewed", []step{
			take(report("a", 1, 1), Replaced, endpoint.Alive, "a"),
			take(report("a", 1, 2), Renewed, endpoint.Alive, "a"),
		}},
		{"late report of the same process", []step{
			take(report("a", 1, 5), Replaced, endpoint.Alive, "a"),
			take(draining(report("a", 1, 6)), Changed, endpoint.Draining, "a"),
			take(report("a", 1, 4), Late, endpoint.Draining, "a"),
		}},
		{"a drain binds", []step{
			take(draining(report("a", 1, 1)), Replaced, endpoint.Draining, "a"),
			take(report("a", 1, 2), Renewed, endpoint.Draining, "a"),
		}},
		{"leave without drain, then a late report", []step{
			take(report("a", 1, 1), Replaced, endpoint.Alive, "a"),
			{leave: "a", verdict: Changed, state: endpoint.Draining, now: "a"},
			take(report("a", 1, 2), Renewed, endpoint.Draining, "a"),
		}},
		{"a drain outlives a lapse", []step{
			take(report("a", 1, 1), Replaced, endpoint.Alive, "a"),
			{leave: "a", verdict: Changed, state: endpoint.Draining, now: "a"},
			{lapse: true, verdict: Changed, state: endpoint.NoTarget, now: "a"},
			take(report("a", 1, 2), Changed, endpoint.Draining, "a"),
		}},
		{"leave after a lapse", []step{
			take(report("a", 1, 1), Replaced, endpoint.Alive, "a"),
			{lapse: true, verdict: Changed, state: endpoint.NoTarget, now: "a"},
			{leave: "a", verdict: Renewed, state: endpoint.NoTarget, now: "a"},
			take(report("a", 1, 2), Changed, endpoint.Draining, "a"),
		}},
		{"leave of a process that is not known yet", []step{
			{leave: "a", verdict: Late, state: endpoint.NoTarget, now: ""},
			take(report("a", 1, 2), Replaced, endpoint.Draining, "a"),
			take(report("a", 1, 3), Renewed, endpoint.Draining, "a"),
			take(report("a", registrationStart.Add(time.Hour).UnixMilli(), 1), Replaced, endpoint.Alive, "a"),
		}},
		{"late report of the process before", []step{
			take(report("a", 1, 9), Replaced, endpoint.Alive, "a"),
			take(report("b", 2, 1), Replaced, endpoint.Alive, "b"),
			take(report("a", 1, 10), Late, endpoint.Alive, "b"),
			{leave: "a", verdict: Late, state: endpoint.Alive, now: "b"},
		}},
		{"the same name starts again", []step{
			take(draining(report("a", 1, 9)), Replaced, endpoint.Draining, "a"),
			take(report("a", 2, 1), Replaced, endpoint.Alive, "a"),
		}},
		{"silence", []step{
			take(report("a", 1, 1), Replaced, endpoint.Alive, "a"),
			{lapse: true, verdict: Changed, state: endpoint.NoTarget, now: "a"},
			take(report("a", 1, 2), Changed, endpoint.Alive, "a"),
		}},
		{"another process that started in the same millisecond", []step{
			take(report("a", 1, 9), Replaced, endpoint.Alive, "a"),
			take(report("b", 1, 1), Late, endpoint.Alive, "a"),
			{leave: "a", verdict: Changed, state: endpoint.Draining, now: "a"},
			take(report("b", 1, 2), Late, endpoint.Draining, "a"),
			{lapse: true, verdict: Changed, state: endpoint.NoTarget, now: "a"},
			take(report("b", 1, 3), Replaced, endpoint.Alive, "b"),
			take(report("a", 1, 10), Late, endpoint.Alive, "b"),
			{lapse: true, verdict: Changed, state: endpoint.NoTarget, now: "b"},
			take(report("a", 1, 11), Replaced, endpoint.Draining, "a"),
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r Registration
			now := registrationStart
			for i, s := range c.steps {
				now = now.Add(time.Second)
				var verdict Verdict
				switch {
				case s.report != nil:
					r, verdict = r.Take(*s.report, now)
				case s.lapse:
					now = now.Add(time.Minute)
					r, verdict = r.Expire(now, 6*time.Second)
				default:
					var err error
					r, verdict, err = r.Leave(Notice{Instance: s.leave}, now)
					assert.NilError(t, err)
				}
				assert.Equal(t, verdict, s.verdict, "step %d", i)
				assert.Equal(t, r.State, s.state, "step %d", i)
				assert.Equal(t, r.Report.Instance, s.now, "step %d", i)
				r.Unverified = false // TestUnverified covers the start of a process.
			}
		})
	}
}

// Guards against a node that has just started, takes a report from before its target left for a new one, and sends work
// to a target whose leaving the process before it has acknowledged.
func TestUnverified(t *testing.T) {
	start := func() Registration {
		r, verdict := Registration{}.Take(report("a", 1, 21), registrationStart)
		assert.Equal(t, verdict, Replaced)
		return r
	}
	r := start()
	assert.Equal(t, r.Usable(), endpoint.NoTarget)
	r, _ = r.Verify("a", false)
	assert.Equal(t, r.Usable(), endpoint.NoTarget, "the target said that it leaves")
	r, _ = r.Verify("b", true)
	assert.Equal(t, r.Usable(), endpoint.NoTarget, "another target answered")
	r, verdict := r.Verify("a", true)
	assert.Equal(t, verdict, Changed)
	assert.Equal(t, r.Usable(), endpoint.Alive)

	r = start()
	for i := range uint64(5) {
		r, verdict = r.Take(report("a", 1, 22+i), registrationStart.Add(time.Duration(i+1)*time.Second))
		assert.Equal(t, verdict, Renewed)
		assert.Equal(t, r.Usable(), endpoint.NoTarget, "the reports may be late ones from before the target left")
	}
	r, verdict = r.Take(report("a", 1, 30), registrationStart.Add(reportDelayMax))
	assert.Equal(t, verdict, Changed, "a target that keeps reporting has not left")
	assert.Equal(t, r.Usable(), endpoint.Alive)

	r, verdict = start().Take(report("b", 2, 1), registrationStart.Add(time.Second))
	assert.Equal(t, verdict, Replaced)
	assert.Equal(t, r.Usable(), endpoint.Alive, "a newer process cannot have left before")
	r, _ = r.Expire(registrationStart.Add(time.Minute), time.Second)
	r, verdict = r.Take(report("c", 2, 1), registrationStart.Add(time.Minute))
	assert.Equal(t, verdict, Replaced)
	assert.Equal(t, r.Usable(), endpoint.NoTarget, "nobody knows which of two processes of one millisecond is the later one")
	r, _ = start().Take(draining(report("a", 1, 22)), registrationStart.Add(time.Second))
	assert.Equal(t, r.Usable(), endpoint.Draining)
}

// Guards against a target that is never used because a notice without a start, of the process before under its name, arrived
// after it had started.
func TestNoticeWithoutStartOfAnEarlierProcess(t *testing.T) {
	r, _ := Registration{}.Take(report("a", 1, 1), registrationStart)
	r, verdict, err := r.Leave(Notice{Instance: "a"}, registrationStart.Add(time.Second))
	assert.NilError(t, err)
	assert.Equal(t, verdict, Changed)
	next := report("a", registrationStart.UnixMilli(), 1)
	r, verdict = r.Take(next, registrationStart.Add(2*time.Second))
	assert.Equal(t, verdict, Replaced)
	assert.Equal(t, r.Usable(), endpoint.NoTarget, "the notice may be of this process")
	healthy, _ := r.Verify("a", true)
	assert.Equal(t, healthy.Usable(), endpoint.Alive, "its health check says that it does not leave")
	next.Sequence++
	r, _ = r.Take(next, registrationStart.Add(2*time.Second+reportDelayMax))
	assert.Equal(t, r.Usable(), endpoint.Alive, "it still reports")
}
