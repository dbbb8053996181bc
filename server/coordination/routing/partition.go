package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wagtailford.example/server/state/endpoint"
)

// OrderByLocality orders the candidates by distance: those of the locality's own failure domain, then those of its
// region, then all others. near is the number of candidates in the own failure domain. Within each tier the order is a
// hash order specific to self, which changes little when members come and go. The first candidates of a tier are thus a
// stable sample across failure domains, to which self keeps connections and whose load it knows.
func OrderByLocality(candidates []*endpoint.Entry, locality Locality, self string) (ordered []*endpoint.Entry, near int) {
	ordered = slices.Clone(candidates)
	hashes := make(map[*endpoint.Entry]uint64, len(ordered))
	for _, e := range ordered {
		hashes[e] = xxhash.Sum64String(self + "\x00" + e.Node)
		if locality.tier(e) == tierDomain {
			near++
		}
	}
	slices.SortFunc(ordered, func(a, b *endpoint.Entry) int {
		return cmp.Or(cmp.Compare(locality.tier(a), locality.tier(b)), cmp.Compare(hashes[a], hashes[b]))
	})
	return ordered, near
}
