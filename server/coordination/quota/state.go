package quota

import (
	"cmp"
	"slices"
	"time"

	"wagtailford.example/server/state/config"
)

// recoveredAfter is the time without a refusal after which an organisation counts as within its quota again.
const recoveredAfter = 5 * time.Second

// Change says that an organisation started or stopped being limited at a node.
type Change struct {
	Organisation *config.Organisation
	Limited      bool
	// Refused is the number of requests refused since it started.
	Refused int
}

// Changes returns the organisations that started or stopped being limited since the last call.
func (e *Entry) Changes(now time.Duration) []Change {
	var list []Change
	for _, s := range e.states {
		switch {
		case s.refusing && !s.stated:
			s.stated = true
			list = append(list, Change{Organisation: s.organisation, Limited: true, Refused: s.refusals})
		case s.refusing && now-s.lastRefused > recoveredAfter:
			list = append(list, Change{Organisation: s.organisation, Refused: s.refusals})
			s.refusing, s.stated, s.refusals = false, false, 0
		}
	}
	return list
}

// avoidedNames returns the failure domains and nodes that are avoided, by name.
func (e *Entry) avoidedNames() []string {
	list := make([]string, 0, len(e.avoided))
	for key := range e.avoided {
		list = append(list, key.domain+key.node)
	}
	slices.Sort(list)
	return list
}

// LimitedOrganisation is a share that an owner announced.
type LimitedOrganisation struct {
	Organisation string
	PerMille     int
	WaitMS       int
	Owner        string
}

// limited returns the organisations that are limited, by name.
func (e *Entry) limited() []LimitedOrganisation {
	var list []LimitedOrganisation
	for i := range e.partitions {
		for id, l := range e.partitions[i].limited {
			if o := e.rates.Organisations[id]; o != nil {
				list = append(list, LimitedOrganisation{o.Name, l.PerMille, l.WaitMS, e.partitions[i].owner.Node})
			}
		}
	}
	slices.SortFunc(list, func(a, b LimitedOrganisation) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return list
}

// OwnedBucket is the bucket of a limited organisation at its owner. The numbers are in requests and requests per second.
type OwnedBucket struct {
	Organisation            string
	Level, Admitted, Demand float64
	Share                   float64
	// Heard is the number of nodes that report to this owner.
	Heard int
}

// limited returns the buckets of the limited organisations, by name.
func (o *Owner) limited() []OwnedBucket {
	var list []OwnedBucket
	for _, p := range o.partitions {
		if p == nil {
			continue
		}
		for id, b := range p.buckets {
			if b.share < 1 {
				list = append(list, OwnedBucket{
					o.rates.Organisations[id].Name, b.level, b.admitted, b.demand, b.share, p.heardNodes(),
				})
			}
		}
	}
	slices.SortFunc(list, func(a, b OwnedBucket) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return list
}

// buckets returns the number of active organisations.
func (o *Owner) buckets() int {
	n := 0
	for _, p := range o.partitions {
		if p != nil {
			n += len(p.buckets)
		}
	}
	return n
}
