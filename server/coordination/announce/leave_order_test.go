package announce

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/endpoint"
)

// orderedProcess is a process of the target. One under the name of an earlier one starts after that one has ended.
type orderedProcess struct {
	instance string
	bornMS   int64
}

var orderedProcesses = []orderedProcess{{"a", 1000}, {"a", 2000}, {"b", 3000}, {"a", 4000}}

// orderedEvent is a report or a notice of a process, or the lapse of the registration.
type orderedEvent struct {
	kind    string
	process int
}

func orderedEvents() []orderedEvent {
	events := []orderedEvent{{kind: "lapse"}}
	for i := range orderedProcesses {
		for _, kind := range []string{"report", "leave", "leave without start"} {
			events = append(events, orderedEvent{kind, i})
		}
	}
	return events
}

// orderedState is a registration and what has been acknowledged.
type orderedState struct {
	registration Registration
	now          time.Time
	// left is the time of the acknowledgement, seen that of the first event, by process.
	left, seen map[int]time.Time
}

// isPossible reports whether an event can follow: a process sends no report once it has left or a later one has started, and no
// report is later than reportDelayMax.
func (s *orderedState) isPossible(e orderedEvent) bool {
	if e.kind != "report" {
		return true
	}
	isPast := func(at time.Time, known bool) bool { return known && s.now.Sub(at) >= reportDelayMax-time.Second }
	at, left := s.left[e.process]
	if isPast(at, left) {
		return false
	}
	for i := e.process + 1; i < len(orderedProcesses); i++ {
		at, seen := s.seen[i]
		if isPast(at, seen) {
			return false
		}
	}
	return true
}

func (s *orderedState) apply(t *testing.T, e orderedEvent, sequence uint64) {
	s.now = s.now.Add(time.Second)
	if _, seen := s.seen[e.process]; !seen && e.kind != "lapse" {
		s.seen[e.process] = s.now
	}
	p := orderedProcesses[e.process]
	notice := Notice{Instance: p.instance, BornMS: p.bornMS}
	var err error
	switch e.kind {
	case "lapse":
		s.now = s.now.Add(time.Minute)
		s.registration, _ = s.registration.Expire(s.now, reportDelayMax)
		return
	case "report":
		s.registration, _ = s.registration.Take(report(p.instance, p.bornMS, sequence), s.now)
		return
	case "leave without start":
		notice.BornMS = 0
	}
	s.registration, _, err = s.registration.Leave(notice, s.now)
	assert.NilError(t, err)
	s.left[e.process] = s.now
}

// check fails the test if a process that has left may get requests: those for its name reach it unless a later process is
// registered. It also fails if a notice that names an earlier start stopped the registered process.
func (s *orderedState) check(t *testing.T, order []orderedEvent) {
	r := s.registration
	for i := range s.left {
		p := orderedProcesses[i]
		if r.Usable() == endpoint.Alive && r.Report.Instance == p.instance && r.Report.BornMS <= p.bornMS {
			t.Fatalf("%v: requests reach process %d, which has left", order, i)
		}
	}
	if r.Usable() != endpoint.Draining {
		return
	}
	for _, e := range order {
		p := orderedProcesses[e.process]
		stops := e.kind == "leave without start" || e.kind == "leave" && p.bornMS >= r.Report.BornMS
		if stops && p.instance == r.Report.Instance {
			return
		}
	}
	t.Fatalf("%v: a process drains although no notice is of it", order)
}

// Guards against an acknowledged leave that has no effect in some order of leaves, late reports and lapses, so that the target
// still gets requests, and against a notice of an earlier process that stops a later one. All orders of up to five events.
func TestLeavesBindInEveryOrder(t *testing.T) {
	events := orderedEvents()
	played := 0
	var extend func(s orderedState, order []orderedEvent)
	extend = func(s orderedState, order []orderedEvent) {
		for _, e := range events {
			if !s.isPossible(e) {
				continue
			}
			next := orderedState{s.registration, s.now, maps.Clone(s.left), maps.Clone(s.seen)}
			nextOrder := append(slices.Clone(order), e)
			next.apply(t, e, uint64(len(nextOrder)))
			next.verify()
			next.check(t, nextOrder)
			played++
			if len(nextOrder) < 5 {
				extend(next, nextOrder)
			}
		}
	}
	extend(orderedState{Registration{}, time.UnixMilli(1_000_000), map[int]time.Time{}, map[int]time.Time{}}, nil)
	assert.Assert(t, played > 100_000, fmt.Sprint(played))
}

// verify checks the health of an unverified target. Its answer is that of the latest process under its name that has started,
// which has left or not; at the latest one, nothing is unknown.
func (s *orderedState) verify() {
	r := s.registration
	for i, p := range orderedProcesses {
		if _, left := s.left[i]; left && p.instance == r.Report.Instance && p.bornMS >= r.Report.BornMS {
			return
		}
	}
	s.registration, _ = r.Verify(r.Report.Instance, true)
}
