package control

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/state/endpoint"
)

// Guards against a dump that is refused as too large after many crashes, when it is needed most. A dump of the whole process
// has less than 4 MiB.
func TestDumpOfACrowdedTableIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, dumpMax = 810, 3 << 20
		random := rand.New(rand.NewPCG(41, 3))
		loop := New(Settings{
			Shape: fanout.Topology{Mode: fanout.ModeTree, FollowersPerDomain: 2, RelayChildren: 4}, KeyRetention: time.Hour,
		}, crowdedEntry(random, "n0000", time.Now()))
		go loop.Run(t.Context())
		var entries []endpoint.Entry
		for i := 1; i < nodes; i++ {
			entries = append(entries, crowdedEntry(random, fmt.Sprintf("n%04d", i), time.Now()))
		}
		loop.MergeEntries(entries)
		dumped := loop.Dump()
		data, err := json.MarshalIndent(map[string]any{"control": dumped}, "", "  ")
		assert.NilError(t, err)
		assert.Assert(t, len(data) <= dumpMax, "%d bytes", len(data))
		state := dumped.(DumpState)
		assert.Assert(t, len(state.Entries) >= 100, "%d entries", len(state.Entries))
		assert.Equal(t, len(state.Entries)+state.EntriesOmitted, nodes)
	})
}
