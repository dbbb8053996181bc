// Package fanout distributes configuration records and endpoint entries from the log followers through relays to all
// nodes. It assigns the roles of a node by rendezvous hashing and runs the sync loops that the roles require.
package fanout

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wagtailford.example/server/state/endpoint"
)

// Mode is the distribution topology.
type Mode string

// Modes. In ModeFlat every node reads the log itself; endpoint entries are distributed as in ModeTree.
const (
	ModeTree Mode = "tree"
	ModeFlat Mode = "flat"
)

// Topology holds the settings that determine the assignment of roles.
type Topology struct {
	Mode               Mode
	FollowersPerDomain int
	RelayChildren      int
}

// Peer is a node to sync with.
type Peer struct {
	Node    string
	Address string
}

// Roles describes the roles of a node in the distribution.
type Roles struct {
	// ReadsLog is true if the node follows the log.
	ReadsLog bool
	// Follower is true if the node is a log follower of its failure domain; Rank is its position among all members
	// of the failure domain.
	Follower bool
	Rank     int
	Relay    bool
	// Parents are the nodes to sync with, in order of preference: parent, second parent, then other relays and
	// members. Empty for a follower.
	Parents []Peer
	// Ring is the next follower of the failure domain, or the next member if there is only one follower; its Node is
	// empty if there is no other member.
	Ring Peer
	// Remote contains one follower of every other failure domain. It is empty for a node that is not a follower.
	Remote []Peer
	// Followers are the log followers of the failure domain in rank order.
	Followers []string
}

// fallbackParents is the number of members, besides the relays, that are candidates for a parent.
const fallbackParents = 8

// Equal reports whether two values are the same and thus require the same syncs.
func (r Roles) Equal(o Roles) bool {
	return r.ReadsLog == o.ReadsLog && r.Follower == o.Follower && r.Rank == o.Rank && r.Relay == o.Relay &&
		r.Ring == o.Ring && slices.Equal(r.Parents, o.Parents) && slices.Equal(r.Remote, o.Remote) &&
		slices.Equal(r.Followers, o.Followers)
}

// Parent returns the preferred parent; its Node is empty for a follower.
func (r Roles) Parent() Peer {
	if len(r.Parents) == 0 {
		return Peer{}
	}
	return r.Parents[0]
}

// AssignRoles returns the roles of self among the entries. Entries that are not live and nodes for which unreachable
// returns true get no role; self always counts as live. All nodes that know the same members compute the same roles.
func AssignRoles(
	self *endpoint.Entry, entries []*endpoint.Entry, unreachable func(node string) bool, s Topology,
) Roles {
	domains := membersByDomain(self, entries, unreachable)
	own := rank(self.FailureDomain, domains[self.FailureDomain])
	followers := s.followers(own)
	relays := own[:min(s.relays(len(own), len(followers)), len(own))]
	r := Roles{Rank: slices.Index(own, self)}
	r.Follower = r.Rank < len(followers)
	r.Relay = r.Rank < len(relays)
	r.ReadsLog = r.Follower || s.Mode == ModeFlat
	for _, f := range followers {
		r.Followers = append(r.Followers, f.Node)
	}
	if !r.Follower {
		r.Parents = parents(self, own, followers, relays, r.Relay)
		return r
	}
	switch {
	case len(followers) > 1:
		r.Ring = peerOf(followers[(r.Rank+1)%len(followers)])
	case len(own) > 1:
		// A single follower needs contact with another node of its failure domain; otherwise it would fence itself.
		r.Ring = peerOf(own[1])
	}
	r.Remote = s.remote(self.FailureDomain, domains, r.Rank)
	return r
}

// membersByDomain returns self and the live and reachable entries by failure domain.
func membersByDomain(
	self *endpoint.Entry, entries []*endpoint.Entry, unreachable func(node string) bool,
) map[string][]*endpoint.Entry {
	domains := make(map[string][]*endpoint.Entry)
	domains[self.FailureDomain] = append(domains[self.FailureDomain], self)
	for _, e := range entries {
		if e.Node != self.Node && e.Live() && !unreachable(e.Node) {
			domains[e.FailureDomain] = append(domains[e.FailureDomain], e)
		}
	}
	return domains
}

// FailoverPeers returns one follower of every other failure domain, from which a node takes the configuration while no
// parent answers. Nodes of different rank begin with different domains.
func FailoverPeers(
	self *endpoint.Entry, ownRank int, entries []*endpoint.Entry, unreachable func(node string) bool, s Topology,
) []Peer {
	list := s.remote(self.FailureDomain, membersByDomain(self, entries, unreachable), ownRank)
	if len(list) == 0 {
		return nil
	}
	first := ownRank % len(list)
	return slices.Concat(list[first:], list[:first])
}

// minFollowers is the number of followers of a failure domain that are chosen regardless of their bandwidth.
const minFollowers = 2

// followers returns the log followers among the ranked members of a failure domain. If enough members have links of
// higher bandwidth, the others do not become followers: they would read a configuration more slowly than peers could
// forward it to them.
func (s Topology) followers(ranked []*endpoint.Entry) []*endpoint.Entry {
	n := min(s.FollowersPerDomain, len(ranked))
	for n > minFollowers && bandwidthTier(ranked[n-1]) < bandwidthTier(ranked[0]) {
		n--
	}
	return ranked[:n]
}

// relays returns the number of relays of a failure domain with the given numbers of members and followers.
func (s Topology) relays(members, followers int) int {
	return max(followers, (members+s.RelayChildren-1)/s.RelayChildren)
}

// parents returns the candidates for the parent of a node, in order of preference.
func parents(self *endpoint.Entry, own, followers, relays []*endpoint.Entry, relay bool) []Peer {
	first := rank(self.Node, relays)
	if relay {
		first = rank(self.Node, followers)
	}
	var list []Peer
	add := func(entries []*endpoint.Entry) {
		for _, e := range entries {
			if p := peerOf(e); e != self && !slices.Contains(list, p) {
				list = append(list, p)
			}
		}
	}
	add(first)
	add(rank(self.Node, relays))
	add(own[:min(len(own), len(relays)+fallbackParents)])
	return list
}

// remote chooses one follower of every other failure domain: the one of rank ownRank modulo
// their number.
func (s Topology) remote(own string, domains map[string][]*endpoint.Entry, ownRank int) []Peer {
	var list []Peer
	for domain, members := range domains {
		if domain == own {
			continue
		}
		followers := s.followers(rank(domain, members))
		list = append(list, peerOf(followers[ownRank%len(followers)]))
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

func peerOf(e *endpoint.Entry) Peer { return Peer{Node: e.Node, Address: e.Address} }

// bandwidthTier groups links by powers of two of their bandwidth. Nodes with high bandwidth are preferred for roles
// that transfer complete configurations, since on a low-bandwidth link these transfers delay requests.
func bandwidthTier(e *endpoint.Entry) int { return bits.Len32(e.LinkMbps / bandwidthTierBase) }

// bandwidthTierBase is the bandwidth in Mbit/s below which links are in the same tier.
const bandwidthTierBase = 10

// rank orders entries by bandwidth tier, highest first, and by rendezvous hash for the key within a tier.
func rank(key string, entries []*endpoint.Entry) []*endpoint.Entry {
	type weighted struct {
		entry  *endpoint.Entry
		weight uint64
	}
	list := make([]weighted, len(entries))
	for i, e := range entries {
		list[i] = weighted{e, xxhash.Sum64String(e.Node + "\x00" + key)}
	}
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(
			cmp.Compare(bandwidthTier(b.entry), bandwidthTier(a.entry)),
			cmp.Compare(b.weight, a.weight),
			cmp.Compare(a.entry.Node, b.entry.Node),
		)
	})
	ranked := make([]*endpoint.Entry, len(list))
	for i, w := range list {
		ranked[i] = w.entry
	}
	return ranked
}
