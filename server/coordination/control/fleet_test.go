package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against nodes that take the number of those that they see for the number of all: nodes that have just started and see each
// other, without a source that has stated the number, state none. One statement reaches all others with the syncs.
func TestFleetSizeIsKnownOnceItWasStated(t *testing.T) {
	run(t, 2, 4, func(t *testing.T, c *cluster) {
		time.Sleep(10 * time.Second)
		for _, n := range c.list() {
			v := n.loop.View()
			assert.Assert(t, !v.FleetStated && v.FleetFloor == 0 && len(v.Nodes) == 8, "%s: %+v", n.name, v)
		}
		c.list()[0].loop.StateFleetSize(8)
		assert.Assert(t, c.waitUntil(5*time.Second, func(n *node) bool { return n.loop.View().FleetStated }))
		for _, n := range c.list() {
			assert.Equal(t, n.loop.View().FleetFloor, 0, n.name)
		}
	})
}

// Guards against a view that is taken for whole while it has fewer nodes than were stated, however much time has passed, and against
// a number of another node that replaces that of the directory.
func TestStatedFleetSizeHoldsUntilTheViewHasAsMany(t *testing.T) {
	run(t, 1, 3, func(t *testing.T, c *cluster) {
		l := c.list()[0].loop
		l.StateFleetSize(5)
		time.Sleep(time.Hour)
		assert.Equal(t, l.View().FleetFloor, 5)
		l.HearFleetSize(3)
		assert.Equal(t, l.View().FleetFloor, 5)
		// The directory is read again, and has fewer records.
		l.StateFleetSize(3)
		assert.Assert(t, l.View().FleetStated && l.View().FleetFloor == 0)
		l.StateFleetSize(1)
		assert.Equal(t, l.View().FleetFloor, 0)
	})
}
