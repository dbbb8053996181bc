package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"

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
