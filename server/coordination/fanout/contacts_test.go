package fanout

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/endpoint"
)

// Guards against a fleet that starts together and forms many small groups: every node must turn to a follower of its
// own failure domain first, and the rest of the fleet must still be asked when these are gone.
func TestContactsOf(t *testing.T) {
	all := fleet(4, 20)
	for _, self := range all {
		var others []*endpoint.Entry
		for _, e := range all {
			if e != self {
				others = append(others, e)
			}
		}
		contacts := shape.SeedAddressesFor(self.FailureDomain, others)
		assert.Equal(t, len(contacts.Addresses), len(others))
		assert.Equal(t, contacts.First, 2)
		followers := AssignRoles(self, all, reachable, shape).Followers
		known := 0
		for _, address := range contacts.Addresses[:contacts.First] {
			for _, f := range followers {
				if address == f+":1" {
					known++
				}
			}
		}
		assert.Assert(t, known >= 1, "%s asks %v first, its followers are %v", self.Node, contacts.Addresses[:2], followers)
		seen := make(map[string]bool)
		for _, address := range contacts.Addresses {
			assert.Assert(t, !seen[address])
			seen[address] = true
		}
	}
}

// Guards against configurations that are read and passed on over narrow links, where they delay requests, although
// nodes with wide ones are there, and against members that choose differently.
func TestWideLinksComeFirst(t *testing.T) {
	all := fleet(2, 20)
	wide := map[string]bool{"d0-n3": true, "d0-n7": true, "d1-n1": true}
	for _, e := range all {
		e.LinkMbps = 5
		if wide[e.Node] {
			e.LinkMbps = 100
		}
	}
	for _, self := range all {
		r := AssignRoles(self, all, reachable, shape)
		inDomain := 0
		for _, f := range r.Followers {
			if wide[f] {
				inDomain++
			}
		}
		want := map[string]int{"d0": 2, "d1": 1}[self.FailureDomain]
		assert.Equal(t, inDomain, want, fmt.Sprintf("%s: %v", self.Node, r.Followers))
		if wide[self.Node] {
			assert.Assert(t, r.Follower)
		}
		many := AssignRoles(self, all, reachable, Topology{Mode: ModeTree, FollowersPerDomain: 4, RelayChildren: 24})
		assert.Equal(t, len(many.Followers), 2, "two are enough where others have narrow links")
	}
}
