package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/config"
)

// Guards against nodes that do not know that keys were issued because they never had a configuration with a list of organisations,
// and against a later statement that takes it back.
func TestKeyHistoryReachesAllNodesAndNeverFalls(t *testing.T) {
	run(t, 2, 4, func(t *testing.T, c *cluster) {
		list := c.list()
		know := func(want config.KeyHistory) bool {
			return c.waitUntil(5*time.Second, func(n *node) bool { return n.loop.View().KeyHistory == want })
		}
		time.Sleep(10 * time.Second)
		assert.Assert(t, know(config.KeyHistoryUnknown))
		list[1].loop.StateKeyHistory(config.KeysNeverIssued)
		assert.Assert(t, know(config.KeysNeverIssued))
		list[len(list)-1].loop.StateKeyHistory(config.KeysIssued)
		assert.Assert(t, know(config.KeysIssued))
		for _, n := range list {
			n.loop.StateKeyHistory(config.KeysNeverIssued)
		}
		time.Sleep(10 * time.Second)
		assert.Assert(t, know(config.KeysIssued))
	})
}
