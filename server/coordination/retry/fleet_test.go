package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var fleetLimit = FleetLimit{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

// Guards against nodes that together exceed the fleet limit in some window, regardless of how the requests are
// distributed over nodes and time.
func TestFleetBudgetHoldsInEveryWindow(t *testing.T) {
	const nodes, stepMS, endMS = 11, 50, 60_000
	random := rand.New(rand.NewPCG(20261204, 1))
	budgets := make([]*FleetBudget, nodes)
	for i := range budgets {
		budgets[i] = NewFleetBudget(fleetLimit, nodes)
	}
	var requests, retries [endMS / stepMS]int
	for step := range requests {
		now := int64(1_800_000_000_000 + step*stepMS)
		load := 30
		if step/200%2 == 1 {
			load = 2 // The load falls to a fifteenth for ten seconds, which leaves the retries of the earlier requests.
		}
		for range load {
			b := budgets[random.IntN(1+random.IntN(nodes))]
			b.RecordRequest("s", 0, now)
			requests[step]++
			if b.Take("s", 0, random.IntN(2) == 0, now) {
				retries[step]++
			}
		}
	}
	window := int(fleetLimit.Window.Milliseconds() / stepMS)
	for from := 0; from+window <= len(requests); from++ {
		// The requests of the window itself, of the previous window, or of the window half a window earlier count,
		// whichever are the most.
		counted := 0
		for _, back := range []int{0, window / 2, window} {
			if from-back >= 0 {
				counted = max(counted, sum(requests[from-back:from-back+window]))
			}
		}
		allowed := fleetLimit.Ratio*float64(counted) + fleetLimit.Slack
		spent := sum(retries[from : from+window])
		assert.Assert(t, float64(spent) <= allowed, "%d retries for %d requests in the window at %d ms", spent, counted, from*stepMS)
	}
	assert.Assert(t, sum(retries[:]) > sum(requests[:])/20, "%d retries of %d requests: the limit is not used", sum(retries[:]), sum(requests[:]))
}

// Guards against nodes that take the slack of the whole fleet each, because they do not know the number of nodes yet: all of some
// nodes that are added, or that restart at the same time.
func TestFleetBudgetOfNodesThatDoNotKnowTheirNumber(t *testing.T) {
	for _, c := range []struct{ known, unknown int }{{8, 2}, {8, 8}, {0, 11}, {1, 3}} {
		var budgets []*FleetBudget
		for range c.known {
			budgets = append(budgets, NewFleetBudget(fleetLimit, c.known))
		}
		for range c.unknown {
			budgets = append(budgets, NewFleetBudget(fleetLimit, 0))
		}
		requests, retries := 0, 0
		for _, b := range budgets {
			for range 100 {
				b.RecordRequest("s", 0, 1_800_000_000_000)
				requests++
			}
			for b.Take("s", 0, false, 1_800_000_000_000) {
				retries++
			}
		}
		allowed := fleetLimit.Ratio*float64(requests) + fleetLimit.Slack
		assert.Check(t, float64(retries) <= allowed, "%+v: %d retries, at most %.0f", c, retries, allowed)
		assert.Check(t, retries >= c.unknown*10, "%+v: %d retries: the ratio is not used", c, retries)
	}
}

// Guards against requests that fail although the limit allows another attempt when all targets of a service shed half
// of their requests, and against nodes that exceed the limit because a restart drops their retry counts.
func TestFleetBudgetOverRestarts(t *testing.T) {
	const nodes, stepMS, steps, load = 11, 50, 800, 30
	random := rand.New(rand.NewPCG(20261204, 2))
	budgets := make([]*FleetBudget, nodes)
	for i := range budgets {
		budgets[i] = NewFleetBudget(fleetLimit, nodes)
	}
	var retries [steps]int
	for step := range retries {
		now := int64(1_800_000_000_000 + step*stepMS)
		if step >= steps/2 && step%20 == 0 && (step-steps/2)/20 < nodes {
			budgets[(step-steps/2)/20] = NewFleetBudget(fleetLimit, nodes)
		}
		for range load {
			b := budgets[random.IntN(nodes)]
			b.RecordRequest("s", 0, now)
			if random.IntN(2) == 0 && b.Take("s", 0, false, now) {
				retries[step]++
			}
		}
	}
	window := int(fleetLimit.Window.Milliseconds() / stepMS)
	for from := 0; from+window <= steps; from++ {
		spent := float64(sum(retries[from : from+window]))
		assert.Assert(t, spent <= fleetLimit.Ratio*float64(load*window)+fleetLimit.Slack, "%v retries in the window of step %d", spent, from)
	}
	before := float64(sum(retries[window : steps/2]))
	assert.Assert(t, before > 0.65*fleetLimit.Ratio*float64(load*(steps/2-window)), "%v retries: the limit is not used", before)
}

// Guards against urgent requests that cannot be retried because less urgent ones used up the limit, and against a share
// that stays unused when there are no more urgent requests.
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
	assert.Assert(t, lower > 0 && urgent > lower/2, "%d retries of the less urgent kind, then %d of the urgent one", lower, urgent)
	later := now + 2*fleetLimit.Window.Milliseconds()
	for range 1000 {
		b.RecordRequest("s", 2, later)
	}
	alone := takeAll(2, later)
	assert.Assert(t, alone > lower+lower/2, "%d retries without a more urgent kind, %d before", alone, lower)
}

// Guards against retries after an error response that use up the limit for retries after a refusal, and against
// counting a retry that reached no target.
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
	assert.Assert(t, ran > 0 && refused > 2*ran, "%d after error responses, %d after refusals", ran, refused)
	b.Refund("s", now)
	assert.Assert(t, b.Take("s", 0, false, now))
	assert.Assert(t, !b.Take("s", 0, false, now))
	assert.Assert(t, b.Take("other", 0, false, now), "the limit applies to each service separately")
}
