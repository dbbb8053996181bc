package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var fleetLimit = FleetLimit{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

// Guards against nodes that together exceed the limit of the fleet in some window, whatever their shares of the
// requests are and whenever the requests come.
func TestFleetBudgetHoldsInEveryWindow(t *testing.T) {
	const nodes, stepMS, endMS = 11, 50, 60_000
	random := rand.New(rand.NewPCG(20261204, 1))
	budgets := make([]*FleetBudget, nodes)
	for i := range budgets {
		budgets[i] = NewFleetBudget(fleetLimit, nodes)
	}
	var firsts, repeats [endMS / stepMS]int
	for step := range firsts {
		now := int64(1_800_000_000_000 + step*stepMS)
		load := 30
		if step/200%2 == 1 {
			load = 2 // The load falls to a fifteenth for ten seconds, which leaves the repeats of the time before.
		}
		for range load {
			b := budgets[random.IntN(1+random.IntN(nodes))]
			b.RecordRequest("s", 0, now)
			firsts[step]++
			if b.Take("s", 0, random.IntN(2) == 0, now) {
				repeats[step]++
			}
		}
	}
	window := int(fleetLimit.Window.Milliseconds() / stepMS)
	for from := 0; from+window <= len(firsts); from++ {
		// The requests of a window, of the one before or of the one half a window before count, whichever has most.
		counted := 0
		for _, back := range []int{0, window / 2, window} {
			if from-back >= 0 {
				counted = max(counted, sum(firsts[from-back:from-back+window]))
			}
		}
		allowed := fleetLimit.Ratio*float64(counted) + fleetLimit.Slack
		spent := sum(repeats[from : from+window])
		assert.Assert(t, float64(spent) <= allowed, "%d repeats for %d requests in the window at %d ms", spent, counted, from*stepMS)
	}
	assert.Assert(t, sum(repeats[:]) > sum(firsts[:])/20, "%d repeats of %d requests: the limit is not used", sum(repeats[:]), sum(firsts[:]))
}

// Guards against requests that fail although the limit allows another attempt, when all targets of a service shed half of
// what they get, and against nodes that exceed the limit because they forget their repeats at a restart.
func TestFleetBudgetOverRestarts(t *testing.T) {
	const nodes, stepMS, steps, load = 11, 50, 800, 30
	random := rand.New(rand.NewPCG(20261204, 2))
	budgets := make([]*FleetBudget, nodes)
	for i := range budgets {
		budgets[i] = NewFleetBudget(fleetLimit, nodes)
	}
	var repeats [steps]int
	for step := range repeats {
		now := int64(1_800_000_000_000 + step*stepMS)
		if step >= steps/2 && step%20 == 0 && (step-steps/2)/20 < nodes {
			budgets[(step-steps/2)/20] = NewFleetBudget(fleetLimit, nodes)
		}
		for range load {
			b := budgets[random.IntN(nodes)]
			b.RecordRequest("s", 0, now)
			if random.IntN(2) == 0 && b.Take("s", 0, false, now) {
				repeats[step]++
			}
		}
	}
	window := int(fleetLimit.Window.Milliseconds() / stepMS)
	for from := 0; from+window <= steps; from++ {
		spent := float64(sum(repeats[from : from+window]))
		assert.Assert(t, spent <= fleetLimit.Ratio*float64(load*window)+fleetLimit.Slack, "%v repeats in the window of step %d", spent, from)
	}
	before := float64(sum(repeats[window : steps/2]))
	assert.Assert(t, before > 0.65*fleetLimit.Ratio*float64(load*(steps/2-window)), "%v repeats: the limit is not used", before)
}

// Guards against urgent requests that find the limit used up by the repeats of others, and against a part that stays
// unused where there is nothing more urgent.
func TestFleetBudgetKeepsAPartForUrgentRequests(t *testing.T) {
	b := NewFleetBudget(fleetLimit, 1)
	const now = 1_800_000_000_000
	takeAll := func(priority int, nowMS int64) int {
		n := 0
		for b.Take("s", priority, false, nowMS) {
			n++
		}
		return n
	}
	for range 1000 {
		b.RecordRequest("s", 2, now)
	}
	b.RecordRequest("s", 1, now)
	lower, urgent := takeAll(2, now), takeAll(1, now)
	assert.Assert(t, lower > 0 && urgent > lower/2, "%d repeats of the lower kind, then %d of the urgent one", lower, urgent)
	later := now + 2*fleetLimit.Window.Milliseconds()
	for range 1000 {
		b.RecordRequest("s", 2, later)
	}
	alone := takeAll(2, later)
	assert.Assert(t, alone > lower+lower/2, "%d repeats with nothing more urgent, %d before", alone, lower)
}

// Guards against repeats after an answer that take the place of those after a refusal, and against a repeat that counts
// although it reached no target.
func TestFleetBudgetParts(t *testing.T) {
	b := NewFleetBudget(fleetLimit, 1)
	const now = 1_800_000_000_000
	for range 1000 {
		b.RecordRequest("s", 0, now)
	}
	ran := 0
	for b.Take("s", 0, true, now) {
		ran++
	}
	refused := 0
	for b.Take("s", 0, false, now) {
		refused++
	}
	assert.Assert(t, ran > 0 && refused > 2*ran, "%d after answers, %d after refusals", ran, refused)
	b.Refund("s", now)
	assert.Assert(t, b.Take("s", 0, false, now))
	assert.Assert(t, !b.Take("s", 0, false, now))
	assert.Assert(t, b.Take("other", 0, false, now), "the limit is that of each service")
}
