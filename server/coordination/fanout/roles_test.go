package fanout

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/endpoint"
)

var topology = Topology{Mode: ModeTree, FollowersPerDomain: 2, RelayChildren: 24}

func fleet(domains, members int) []*endpoint.Entry {
	var list []*endpoint.Entry
	for d := range domains {
		for m := range members {
			name := fmt.Sprintf("d%d-n%d", d, m)
			list = append(list, &endpoint.Entry{Node: name, Address: name + ":1", FailureDomain: fmt.Sprintf("d%d", d)})
		}
	}
	return list
}

func noneUnreachable(string) bool { return false }

// Guards against members that choose different followers, relays whose parent is not a follower, parents that are not
// relays, and relays with far more children than RelayChildren.
func TestChooseAtFullSize(t *testing.T) {
	all := fleet(7, 116)
	roles := make(map[string]Roles)
	children := make(map[string]int)
	for _, e := range all {
		r := AssignRoles(e, all, noneUnreachable, topology)
		roles[e.Node] = r
		children[r.Parent().Node]++
	}
	followers, relays := 0, 0
	for _, e := range all {
		r := roles[e.Node]
		for _, f := range r.Followers {
			assert.Assert(t, roles[f].Follower, "%s is not a follower in its own view", f)
		}
		if r.Relay {
			relays++
		}
		if r.Follower {
			followers++
			assert.Equal(t, len(r.Remote), 6)
			assert.Assert(t, roles[r.Ring.Node].Follower && r.Ring.Node != e.Node)
			continue
		}
		parent, second := roles[r.Parents[0].Node], roles[r.Parents[1].Node]
		assert.Assert(t, parent.Relay && second.Relay && r.Parents[0] != r.Parents[1])
		assert.Assert(t, !r.Relay || parent.Follower)
		assert.Assert(t, !r.ReadsLog)
	}
	assert.Equal(t, followers, 7*2)
	assert.Equal(t, relays, 7*5)
	for node, n := range children {
		assert.Assert(t, node == "" || n <= 2*topology.RelayChildren, "%s has %d children", node, n)
	}
}

// Guards against dead, departed or unreachable nodes that keep a role, and against a node without any role or peer in a
// small or empty fleet.
func TestChooseFaults(t *testing.T) {
	all := fleet(2, 4)
	first := AssignRoles(all[0], all, noneUnreachable, topology).Followers
	cases := []struct {
		name        string
		state       endpoint.State
		unreachable bool
		kept        bool
	}{
		{"suspect", endpoint.Suspect, false, true},
		{"dead", endpoint.Dead, false, false},
		{"left", endpoint.Left, false, false},
		{"unreachable", endpoint.Alive, true, false},
	}
	for _, c := range cases {
		changed := fleet(2, 4)
		var self *endpoint.Entry
		for _, e := range changed {
			if e.Node == first[0] {
				e.State = c.state
			} else if e.FailureDomain == "d0" {
				self = e
			}
		}
		r := AssignRoles(self, changed, func(n string) bool { return c.unreachable && n == first[0] }, topology)
		assert.Equal(t, r.Followers[0] == first[0], c.kept, c.name)
	}
	alone := AssignRoles(all[0], all[:1], noneUnreachable, topology)
	assert.Assert(t, alone.Follower && alone.ReadsLog && alone.Ring.Node == "" && len(alone.Remote) == 0)
	singleFollower := topology
	singleFollower.FollowersPerDomain = 1
	for _, e := range all[:4] {
		r := AssignRoles(e, all[:4], noneUnreachable, singleFollower)
		assert.Assert(t, r.Ring.Node != "" || r.Parent().Node != "", "%s has no peer to sync with", e.Node)
	}
	flat := topology
	flat.Mode = ModeFlat
	for _, e := range all {
		assert.Assert(t, AssignRoles(e, all, noneUnreachable, flat).ReadsLog)
	}
}
