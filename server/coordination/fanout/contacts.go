package fanout

import (
	"slices"

	"wagtailford.example/server/state/endpoint"
)

// SeedAddresses are the addresses that a node which knows no live node asks, in order.
type SeedAddresses struct {
	Addresses []string
	// First is the number of addresses at the start that are equally good; 0 means all.
	First int
}

// SeedAddressesFor orders nodes that may live: the followers of the own failure domain, those of the others, and then the
// rest. After a restart of the whole fleet all nodes so turn to the same few at once; with a random order groups of
// nodes would have to find each other first.
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
	return SeedAddresses{Addresses: slices.Concat(own, others, rest), First: len(own)}
}
