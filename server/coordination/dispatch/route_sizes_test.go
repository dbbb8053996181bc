package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against sizes that are forgotten as soon as they are learned because more routes are in use than are tracked.
func TestSizesOfManyRoutes(t *testing.T) {
	const routes, size = 6000, 300 << 10
	var s routeSizes
	for i := range routes {
		s.observe(fmt.Sprint("r", i), size)
	}
	for i := range routes {
		assert.Equal(t, s.expected(fmt.Sprint("r", i)), size, "route %d", i)
	}
}
