package fanout

import (
	"slices"

	"wagtailford.example/server/state/endpoint"
)

// SeedAddresses lists the addresses that a node contacts while it knows no other live node, in order of preference.
type SeedAddresses struct {
	Addresses []string
	// PreferredCount is the number of leading addresses that are equally preferred; 0 means all.
	PreferredCount int
}

// SeedAddressesFor orders nodes that may be live: the followers of the given failure domain, those of the other ones,
// and then all other nodes. After a restart of the whole fleet, all nodes thus contact the same few nodes at once. With
// a random order they would form separate groups that must discover each other first.
func (s Topology) SeedAddressesFor(domain string, nodes []*endpoint.Entry) SeedAddresses {
	domains := make(map[string][]*endpoint.Entry)
	for _, e := range nodes {
		domains[e.FailureDomain] = append(domains[e.FailureDomain], e)
	}
	names := make([]string, 0, len(domains))
	for name := range domains {
		names = append(names, name)
	}
	slices.Sort(names)
	var own, others, rest []string
	for _, name := range names {
		ranked := rank(name, domains[name])
		followers := len(s.followers(ranked))
		for i, e := range ranked {
			switch {
			case i >= followers:
				rest = append(rest, e.Address)
			case name == domain:
				own = append(own, e.Address)
			default:
				others = append(others, e.Address)
			}
		}
	}
	return SeedAddresses{Addresses: slices.Concat(own, others, rest), PreferredCount: len(own)}
}
