package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wagtailford.example/server/state/endpoint"
)

// OrderByLocality returns the candidates of a place's own failure domain, then those of its region, then all others, and the
// number of the first. Within each tier they stand in an order of self's own, which changes little with the members: the
// first ones are a sample over failure domains that self keeps connections to and knows the load of.
func OrderByLocality(candidates []*endpoint.Entry, p Locality, self string) (ordered []*endpoint.Entry, near int) {
	ordered = slices.Clone(candidates)
	hashes := make(map[*endpoint.Entry]uint64, len(ordered))
	for _, e := range ordered {
		hashes[e] = xxhash.Sum64String(self + "\x00" + e.Node)
		if p.tier(e) == tierDomain {
			near++
		}
	}
	slices.SortFunc(ordered, func(a, b *endpoint.Entry) int {
		return cmp.Or(cmp.Compare(p.tier(a), p.tier(b)), cmp.Compare(hashes[a], hashes[b]))
	})
	return ordered, near
}
