package fanout

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/endpoint"
)

// Guards against a fleet that starts at once and forms many small groups: every node must contact a follower of its own
// failure domain first, and must still contact the rest of the fleet when these followers are gone.
func TestSeedAddressesFor(t *testing.T) {
	all := fleet(4, 20)
	for _, self := range all {
		var others []*endpoint.Entry
		for _, e := range all {
			if e != self {
				others = append(others, e)
			}
		}
		seeds := topology.SeedAddressesFor(self.FailureDomain, others)
		assert.Equal(t, len(seeds.Addresses), len(others))
		assert.Equal(t, seeds.PreferredCount, 2)
		followers := AssignRoles(self, all, noneUnreachable, topology).Followers
		known := 0
		for _, address := range seeds.Addresses[:seeds.PreferredCount] {
			for _, f := range followers {
				if address == f+":1" {
					known++
				}
			}
		}
		assert.Assert(t, known >= 1, "%s contacts %v first, its followers are %v", self.Node, seeds.Addresses[:2], followers)
		seen := make(map[string]bool)
		for _, address := range seeds.Addresses {
			assert.Assert(t, !seen[address])
			seen[address] = true
		}
	}
}

// Guards against configurations that are read and distributed over low-bandwidth links, where they delay requests,
// although nodes with high-bandwidth links are available, and against members that choose different followers.
func TestHighBandwidthLinksComeFirst(t *testing.T) {
	all := fleet(2, 20)
	highBandwidth := map[string]bool{"d0-n3": true, "d0-n7": true, "d1-n1": true}
	for _, e := range all {
		e.LinkMbps = 5
		if highBandwidth[e.Node] {
			e.LinkMbps = 100
		}
	}
	for _, self := range all {
		r := AssignRoles(self, all, noneUnreachable, topology)
		inDomain := 0
		for _, f := range r.Followers {
			if highBandwidth[f] {
				inDomain++
			}
		}
		want := map[string]int{"d0": 2, "d1": 1}[self.FailureDomain]
		assert.Equal(t, inDomain, want, fmt.Sprintf("%s: %v", self.Node, r.Followers))
		if highBandwidth[self.Node] {
			assert.Assert(t, r.Follower)
		}
		many := AssignRoles(self, all, noneUnreachable, Topology{Mode: ModeTree, FollowersPerDomain: 4, RelayChildren: 24})
		assert.Equal(t, len(many.Followers), 2, "two followers are enough where the other members have low-bandwidth links")
	}
}
