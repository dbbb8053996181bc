package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/config"
)

// manyRoutes is a number of routes above that of the configuration of issue 41.
const manyRoutes = 6000

// Guards against a part of a route that gets another share than its weight because more routes are in use than positions are
// tracked. 200 random draws are off by a fifth of a weight of 10%.
func TestSplitterKeepsTheWeightsOfManyRoutes(t *testing.T) {
	random := rand.New(rand.NewPCG(41, 1))
	splitter := NewSplitter(random.Uint64)
	parts := []config.Destination{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	routes := make([]config.Route, manyRoutes)
	for i := range routes {
		routes[i] = config.Route{Name: fmt.Sprint("r", i), Destinations: parts}
	}
	const requests, tolerance = 200, 0.01
	second := make([]int, manyRoutes)
	for range requests {
		for i := range routes {
			if splitter.Next(&routes[i]).Service == "b" {
				second[i]++
			}
		}
	}
	off := 0
	for _, n := range second {
		if share := float64(n) / requests; share < 0.1-tolerance || share > 0.1+tolerance {
			off++
		}
	}
	assert.Equal(t, off, 0, "routes whose share is off by more than %v", tolerance)
}

// Guards against a node that refused a request as full and is asked for the same route again at once, and against service
// times that are not learned, because the routes that were used first take all places.
func TestTrackerLearnsOfManyRoutes(t *testing.T) {
	tracker := NewTracker(DefaultSettings())
	const wait, service = 100 * time.Millisecond, 20 * time.Millisecond
	nowMS := int64(1_800_000_000_000)
	for kind := range uint32(manyRoutes) {
		nowMS++
		tracker.EndWithReport(tracker.Begin("n", nowMS), Neutral, &Report{Kind: kind, Full: true, Wait: wait, ServiceTime: service}, nowMS)
		stat := tracker.StatOf("n", kind, nowMS)
		assert.Equal(t, stat.FullUntilMS, nowMS+wait.Milliseconds(), "kind %d", kind)
		assert.Equal(t, stat.ServiceTime, service, "kind %d", kind)
		assert.Equal(t, tracker.StatOf("other", kind, nowMS).ServiceTime, time.Duration(unreportedShare*float64(service)), "kind %d", kind)
	}
	assert.Assert(t, len(tracker.nodes["n"].kinds) <= trackedKindsMax)
}

// Guards against a full failure domain that is forgotten at the limit because it is found full again.
func TestFullDomainsOfManyRoutes(t *testing.T) {
	var full FullDomains
	const nowMS = 1_800_000_000_000
	for kind := range uint32(domainKindsMax) {
		full.Record("d", kind, true, time.Second, nowMS)
	}
	for kind := range uint32(domainKindsMax) {
		full.Record("d", kind, true, time.Second, nowMS)
		assert.Assert(t, full.IsFull("d", kind, nowMS), "kind %d", kind)
	}
}
