package retry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an overload that is not noticed because it affects more routes than are tracked: callers that return at once
// are then told to, although hardly any of them is served.
func TestRefusedSharesOfManyRoutes(t *testing.T) {
	const routes, refusals = 6000, 10
	var s RefusedShares
	for range refusals {
		for kind := range uint32(routes) {
			s.Record(kind, true)
		}
	}
	overloaded := 0
	for kind := range uint32(routes) {
		if s.Overloaded(kind) {
			overloaded++
		}
	}
	assert.Equal(t, overloaded, routes)
}
