package control

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/coordination/membership"
	"wagtailford.example/server/state/endpoint"
)

// Guards against nodes that look for those that are gone only, so that groups of nodes that met apart never join: the
// other group is known by an address in the directory, or by a member that syncs with a node that this one does not know.
func TestGoneNodesAreNotAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := New(Settings{
			Timeouts:          membership.Timeouts{SuspectAfter: time.Second, DeadAfter: time.Minute, SelfFence: 30 * time.Second},
			Shape:             fanout.Topology{Mode: fanout.ModeTree, FollowersPerDomain: 4, RelayChildren: 4},
			SyncAdmissionRate: 100, DeltaWindowRecords: 16, ProbeInactive: true, KeyRetention: time.Hour,
		}, endpoint.Entry{Node: "n1", Address: "n1", FailureDomain: "d"})
		go loop.Run(t.Context())
		entry := func(node string, domain string, state endpoint.State, parent string) endpoint.Entry {
			return endpoint.Entry{
				Node: node, Address: node, FailureDomain: domain, Parent: parent, DiedMS: time.Now().UnixMilli(),
				Key: endpoint.Key{Incarnation: 1, Revision: 1, State: state},
			}
		}
		loop.MergeEntries([]endpoint.Entry{
			entry("live", "e", endpoint.Alive, ""), entry("left", "e", endpoint.Left, ""), entry("dead", "e", endpoint.Dead, ""),
			entry("other-tree", "d", endpoint.Alive, "unknown"),
		})
		time.Sleep(time.Second)
		var nodes []string
		for _, p := range loop.ProbePeers([]string{"seed", "live"}) {
			nodes = append(nodes, p.Address)
		}
		slices.Sort(nodes)
		assert.DeepEqual(t, nodes, []string{"dead", "left", "other-tree", "seed"})
	})
}
