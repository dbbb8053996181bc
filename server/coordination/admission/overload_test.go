package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
)

// Parameters of the simulated load. The target runs simSlots requests at full speed; more requests share its speed.
const (
	simSlots    = 18
	simQueue    = 36
	simDuration = 2 * time.Second
	simTimeout  = 100 * time.Millisecond
	simWorkMin  = 10 * time.Millisecond
	simWorkMax  = 30 * time.Millisecond
)

// job is a simulated request.
type job struct {
	id       uint64
	left     time.Duration
	started  time.Time
	deadline time.Time
}

// simulation runs jobs at a target that divides its speed among them. A nil admission is the baseline, which sends
// every request to the target at once.
type simulation struct {
	now       time.Time
	admission *State
	active    []*job
	waiting   map[uint64]*job
	good      int
}

// simulate returns the fraction of the target's capacity that was spent on requests which ended before their deadline.
func simulate(factor float64, admission *State) float64 {
	rng := rand.New(rand.NewPCG(7, 11))
	s := &simulation{now: time.Unix(0, 0), admission: admission, waiting: make(map[uint64]*job)}
	mean := float64(simWorkMin+simWorkMax) / 2
	end := s.now.Add(simDuration)
	next := s.now
	for id := uint64(1); next.Before(end); id++ {
		s.advance(next)
		work := simWorkMin + time.Duration(rng.Int64N(int64(simWorkMax-simWorkMin)))
		s.arrive(&job{id: id, left: work, deadline: next.Add(simTimeout)})
		next = next.Add(time.Duration(rng.ExpFloat64() * mean / simSlots / factor))
	}
	capacity := float64(simSlots) * float64(simDuration) / mean
	return float64(s.good) / capacity
}

func (s *simulation) arrive(j *job) {
	if s.admission == nil {
		s.start(j)
		return
	}
	switch verdict, _ := s.admission.Arrive(s.now, j.id, j.deadline, false); verdict {
	case Granted:
		s.start(j)
	case Queued:
		s.waiting[j.id] = j
	}
}

func (s *simulation) start(j *job) {
	j.started = s.now
	s.active = append(s.active, j)
}

// advance runs the target until the given time. A request ends when its work is done or at its deadline.
func (s *simulation) advance(until time.Time) {
	for s.now.Before(until) {
		slowdown := max(1, float64(len(s.active))/simSlots)
		step := until.Sub(s.now)
		for _, j := range s.active {
			step = min(step, j.deadline.Sub(s.now), time.Duration(float64(j.left)*slowdown)+1)
		}
		s.now = s.now.Add(step)
		done := time.Duration(float64(step) / slowdown)
		var ended []*job
		s.active = slices.DeleteFunc(s.active, func(j *job) bool {
			j.left -= done
			if j.left > 0 && s.now.Before(j.deadline) {
				return false
			}
			if j.left <= 0 {
				s.good++
			}
			ended = append(ended, j)
			return true
		})
		s.finish(ended)
	}
}

func (s *simulation) finish(ended []*job) {
	if s.admission == nil {
		return
	}
	for _, j := range ended {
		for _, a := range s.admission.Finish(s.now, j.started) {
			if a.Reason == outcome.ReasonNone {
				s.start(s.waiting[a.ID])
			}
			delete(s.waiting, a.ID)
		}
	}
}

var overloadFactors = []float64{1.5, 2, 5}

func simulatedState() *State {
	return New(Settings{Slots: simSlots, Queue: simQueue})
}

// Guards against a target that spends its capacity under overload on requests that miss their deadline.
func TestOverloadGoodput(t *testing.T) {
	for _, factor := range overloadFactors {
		limited := simulate(factor, simulatedState())
		baseline := simulate(factor, nil)
		t.Logf("load %.1f: goodput %.3f of capacity, baseline %.3f", factor, limited, baseline)
		assert.Assert(t, limited > 0.95, "load %.1f: %.3f", factor, limited)
		assert.Assert(t, limited > baseline+0.05, "load %.1f: %.3f against %.3f", factor, limited, baseline)
	}
}

// BenchmarkOverload reports the goodput in virtual time as a fraction of the capacity.
func BenchmarkOverload(b *testing.B) {
	for _, factor := range overloadFactors {
		b.Run(fmt.Sprintf("load=%.1f", factor), func(b *testing.B) {
			var limited, baseline float64
			for b.Loop() {
				limited = simulate(factor, simulatedState())
				baseline = simulate(factor, nil)
			}
			b.ReportMetric(limited, "goodput/capacity")
			b.ReportMetric(baseline, "baseline/capacity")
		})
	}
}
