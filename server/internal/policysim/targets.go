// Package policysim compares policies in virtual time: senders with the mesh's own decision functions or a baseline,
// and targets with slots, a queue and service times. It has no network, configuration or failure detection.
package policysim

import (
	"math/rand/v2"
	"slices"

	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/internal/baseline"
	"wagtailford.example/server/state/endpoint"
)

// Fault is what is wrong with the first target.
type Fault uint8

// Faults of a target.
const (
	// Slow means that the target needs slowFactor times as long for each request.
	Slow Fault = iota + 1
	// Cold means that the target starts with the run and gets faster during slow start.
	Cold
	// LyingHealth means that the target is listed as alive and answers every request at once with status 500.
	LyingHealth
)

// Sizes of the model. Times are in milliseconds.
const (
	slots       = 18
	queueMax    = 36
	serviceMS   = 50.0
	slowFactor  = 10
	coldFactor  = 10
	latencyMS   = 1.0
	utilization = 0.6
	startMS     = 1_000_000
)

// Scenario is one run: Senders nodes send to Targets targets for DurationMS.
type Scenario struct {
	Fault      Fault
	RoundRobin bool
	Senders    int
	Targets    int
	DurationMS float64
	Seed       uint64
}

// Report is the result of a run.
type Report struct {
	Requests int
	// P99MS is the time that 99 in 100 served requests stay below, from sending to the response.
	P99MS float64
	// Errors counts requests that were refused by a full queue or answered with status 500.
	Errors int
}

type work struct {
	sender  int
	sentMS  float64
	attempt routing.Attempt
}

type target struct {
	entry *endpoint.Entry
	fault Fault
	inUse int
	queue []*work
}

type simulation struct {
	scenario Scenario
	random   *rand.Rand
	clock
	targets  []*target
	entries  []*endpoint.Entry
	trackers []*routing.Tracker
	rounds   []*baseline.RoundRobin
	report   Report
	times    []float64
}

// Run plays a scenario to its end.
func Run(scenario Scenario) Report {
	s := &simulation{scenario: scenario, random: rand.New(rand.NewPCG(scenario.Seed, 1)), clock: clock{nowMS: startMS}}
	for i := range scenario.Targets {
		s.addTarget(i)
	}
	for range scenario.Senders {
		s.trackers = append(s.trackers, routing.NewTracker(routing.DefaultSettings()))
		s.rounds = append(s.rounds, &baseline.RoundRobin{})
	}
	s.after(0, s.arrive)
	s.run()
	slices.Sort(s.times)
	if len(s.times) > 0 {
		s.report.P99MS = s.times[len(s.times)*99/100]
	}
	return s.report
}

func (s *simulation) addTarget(i int) {
	t := &target{entry: &endpoint.Entry{
		Node: string(rune('a' + i)), Key: endpoint.Key{State: endpoint.Alive},
		FailureDomain: "d", Region: "r", Slots: slots,
	}}
	if i == 0 {
		t.fault = s.scenario.Fault
	}
	if t.fault == Cold {
		t.entry.StartedMS = startMS
	}
	s.targets = append(s.targets, t)
	s.entries = append(s.entries, t.entry)
}

// arrive sends one request and schedules the next arrival, with exponential gaps.
func (s *simulation) arrive() {
	if s.nowMS >= startMS+s.scenario.DurationMS {
		return
	}
	perMS := utilization * float64(s.scenario.Targets*slots) / serviceMS
	s.after(s.random.ExpFloat64()/perMS, s.arrive)
	s.report.Requests++
	sender := s.random.IntN(s.scenario.Senders)
	t := s.choose(sender)
	w := &work{sender: sender, sentMS: s.nowMS, attempt: s.trackers[sender].Begin(t.entry.Node, int64(s.nowMS))}
	s.after(latencyMS, func() { s.receive(t, w) })
}

func (s *simulation) choose(sender int) *target {
	var e *endpoint.Entry
	if s.scenario.RoundRobin {
		e = s.rounds[sender].Choose(s.entries)
	} else {
		settings := routing.DefaultSettings()
		e = routing.Choose(&routing.Choice{
			Candidates: routing.Candidates(s.entries, nil, settings.PanicFraction),
			Stat:       s.trackers[sender].Stat, Locality: routing.Locality{FailureDomain: "d", Region: "r"},
			NowMS: int64(s.nowMS), Settings: settings, Random: s.random.Uint64,
		})
	}
	return s.targets[slices.Index(s.entries, e)]
}

func (s *simulation) receive(t *target, w *work) {
	switch {
	case t.fault == LyingHealth:
		s.reply(t, w, routing.Failed)
	case t.inUse < slots:
		s.start(t, w)
	case len(t.queue) < queueMax:
		t.queue = append(t.queue, w)
	default:
		// An orderly refusal by a full queue is no failure for ejection.
		s.report.Errors++
		s.end(t, w, routing.Succeeded)
	}
}

func (s *simulation) start(t *target, w *work) {
	t.inUse++
	s.after(s.random.ExpFloat64()*serviceMS*s.factor(t), func() {
		t.inUse--
		s.reply(t, w, routing.Succeeded)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			s.start(t, next)
		}
	})
}

// factor is how many times longer than usual a target needs now.
func (s *simulation) factor(t *target) float64 {
	switch t.fault {
	case Slow:
		return slowFactor
	case Cold:
		warm := (s.nowMS - startMS) / float64(routing.DefaultSettings().SlowStart.Milliseconds())
		return max(1, coldFactor*(1-warm))
	}
	return 1
}

func (s *simulation) reply(t *target, w *work, result routing.Result) {
	if result == routing.Failed {
		s.report.Errors++
	}
	s.end(t, w, result)
	if result == routing.Succeeded {
		s.times = append(s.times, s.nowMS+latencyMS-w.sentMS)
	}
}

// end lets the sender observe the response when it arrives.
func (s *simulation) end(t *target, w *work, result routing.Result) {
	inUse, queued := t.inUse, len(t.queue)
	s.after(latencyMS, func() {
		s.trackers[w.sender].End(w.attempt, result, inUse, queued, int64(s.nowMS))
	})
}
