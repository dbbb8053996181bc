package control

import (
	"fmt"
	"testing"
	"time"

	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

// fullSize returns a loop with the entries and services of the largest cluster that the design supports.
func fullSize() *Loop {
	const domains, members, services = 7, 116, 42
	c := &cluster{profile: convergenceFirst}
	self := endpoint.Entry{Node: "d0-n0", FailureDomain: "d0", Key: endpoint.Key{Incarnation: 1, State: endpoint.Alive}}
	settings := c.settings()
	settings.Shape.RelayChildren = 24
	l := New(settings, self)
	for s := range uint64(services) {
		l.applyRecords([]config.Record{record(2*s + 1)}, FromSource)
	}
	now := time.Now()
	for d := range domains {
		for m := range members {
			e := self
			e.Node = fmt.Sprintf("d%d-n%d", d, m)
			e.FailureDomain = fmt.Sprintf("d%d", d)
			e.Service = fmt.Sprintf("s%d", m%services+1)
			l.mergeEntry(e, "peer", now)
		}
	}
	l.updateRoles(now)
	return l
}

func BenchmarkPublishView(b *testing.B) {
	l := fullSize()
	b.ReportAllocs()
	for b.Loop() {
		l.publishView()
	}
}

func BenchmarkTick(b *testing.B) {
	l := fullSize()
	b.ReportAllocs()
	for b.Loop() {
		l.tick(time.Now())
	}
}

func BenchmarkChooseRoles(b *testing.B) {
	l := fullSize()
	b.ReportAllocs()
	for b.Loop() {
		l.rolesStale = true
		l.updateRoles(time.Now())
	}
}
