package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/state/config"
)

// applyBound is the time in which a confirmed configuration has to be in force on a hosted node, on the installation with
// the most nodes that have narrow links.
const applyBound = 2500 * time.Millisecond

// hostedProfile has the times of a hosted node.
var hostedProfile = profile{500 * time.Millisecond, 20 * time.Millisecond, time.Second, 3 * time.Second, 2500 * time.Millisecond}

// hostedSettings gives a cluster the settings of hosted nodes. In each failure domain the first two nodes have wide links.
func hostedSettings(c *cluster) {
	c.profile = hostedProfile
	c.shape = fanout.Topology{Mode: fanout.ModeTree, FollowersPerDomain: 4, RelayChildren: 16}
	c.reconnectJitter, c.margin = 100*time.Millisecond, 500*time.Millisecond
	c.linkMbps = func(name string) uint32 {
		if strings.HasSuffix(name, "-n0") || strings.HasSuffix(name, "-n1") {
			return 100
		}
		return 5
	}
}

// Guards against an older configuration that stays in force after the readers of a failure domain and most candidates for
// a parent have become unreachable, because the others try them one after the other.
func TestOldConfigurationWithUnreachableReaders(t *testing.T) {
	const domains, members, left = 4, 22, 5
	runConfigured(t, hostedSettings, domains, members, func(t *testing.T, c *cluster) {
		unreachable := make(map[string]bool)
		for i := range members - left {
			unreachable[fmt.Sprintf("d0-n%d", i)] = true
		}
		c.set(false, func(from, to *node) bool { return unreachable[from.name] || unreachable[to.name] })
		c.mu.Lock()
		c.deliver = func(n *node, at uint64, log []config.Record) {
			if !unreachable[n.name] && at < uint64(len(log)) {
				n.loop.DeliverRecords(log[at:])
			}
		}
		c.mu.Unlock()
		c.append(1)
		inForce := func(n *node) bool { return unreachable[n.name] || n.loop.Offset() == 5 }
		assert.Assert(t, c.waitUntil(applyBound, inForce), "not in force after %s", applyBound)
	})
}
