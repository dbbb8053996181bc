package bench

import (
	"fmt"
	"testing"

	"wagtailford.example/standin/fleet"
)

// BenchmarkFleet measures convergence, control bytes, processor time and memory for the tree with both profiles and
// for the flat baseline, steady, during churn of endpoints, and after a herd of half of the nodes restarts.
func BenchmarkFleet(b *testing.B) {
	needPrograms(b)
	variants := []struct{ name, settings string }{
		{"flat", "[fanout]\nmode = flat\n"},
		{"tree", ""},
		{"tree-bytes-first", bytesFirst},
	}
	for _, n := range fleetSizes(b) {
		for _, v := range variants {
			b.Run(fmt.Sprintf("nodes=%d/%s", n, v.name), func(b *testing.B) {
				f, err := Start(fleet.Options{Plans: Plans(n, benchServices), Settings: TargetSettings + v.settings})
				defer Finish(f)
				if err != nil {
					b.Fatal(err)
				}
				stop, err := ListenAsTargets(f.Plans)
				if err != nil {
					b.Fatal(err)
				}
				defer stop()
				prepare(b, f)
				b.Run("steady", func(b *testing.B) { measureSteady(b, f) })
				b.Run("publish", func(b *testing.B) { measurePublish(b, f, func(<-chan struct{}) {}) })
				b.Run("churn", func(b *testing.B) { measurePublish(b, f, func(stop <-chan struct{}) { churn(f, stop) }) })
				b.Run("death", func(b *testing.B) { measureDeath(b, f) })
				b.Run("herd", func(b *testing.B) { measureHerd(b, f) })
			})
		}
	}
}
