package endpoint

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const retention = 10 * time.Minute

var start = time.UnixMilli(1_800_000_000_000)

func TestMain(m *testing.M) {
	// A fixed seed makes failures repeatable; the flag overrides it.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// entries generates values of a few nodes. The content depends on the revision, as the owner writes each once.
func entries() *rapid.Generator[[]Entry] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
		e := Entry{Node: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node")}
		e.Incarnation = rapid.Int64Range(1, 2).Draw(t, "incarnation")
		e.Revision = rapid.Uint64Range(1, 3).Draw(t, "revision")
		e.State = rapid.SampledFrom([]State{NoTarget, Alive, Draining, Suspect, Dead, Left}).Draw(t, "state")
		e.Slots = int(e.Incarnation)*10 + int(e.Revision)
		if e.Revision == 3 {
			e.Rejoined = 3
		}
		expires := start.UnixMilli() + int64(e.Revision)
		e.Crashes = []CrashCount{{Digest: e.Revision % 2, Process: e.Incarnation, Count: uint8(e.Revision), ExpiresMS: expires}}
		e.Cleared = []Clearance{{Digest: e.Revision % 2, UpToMS: expires + e.Incarnation}}
		if e.State == Dead {
			e.DiedMS = start.UnixMilli() + rapid.Int64Range(0, 3).Draw(t, "died")
		}
		return e
	}), 0, 12)
}

func tableOf(entries ...[]Entry) *Table {
	table := NewTable(retention)
	for _, part := range entries {
		for _, e := range part {
			table.Merge(e, "", start)
		}
	}
	return table
}

// Guards against tables that stay different after the same entries arrived in another order or grouping, or twice.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := entries().Draw(t, "a"), entries().Draw(t, "b"), entries().Draw(t, "c")
		values := func(table *Table) []Entry {
			var list []Entry
			for _, e := range table.All() {
				list = append(list, *e)
			}
			return list
		}
		want := values(tableOf(a, b, c))
		assert.DeepEqual(t, values(tableOf(c, b, a)), want)
		assert.DeepEqual(t, values(tableOf(a, a, b, c, b)), want)
		assert.DeepEqual(t, values(tableOf(a, values(tableOf(b, c)))), want)
	})
}

// Guards against an owner that raised its revision without knowing of its death, and so keeps owning keys that others
// have taken over.
func TestDeathHoldsUntilAnswered(t *testing.T) {
	dead := Entry{Node: "a", Key: Key{1, 4, Dead}, DiedMS: start.UnixMilli()}
	unaware := Entry{Node: "a", Key: Key{1, 6, Alive}}
	aware := Entry{Node: "a", Key: Key{1, 7, Alive}, Rejoined: 7}
	restarted := Entry{Node: "a", Key: Key{2, 1, Alive}}
	assert.Equal(t, tableOf([]Entry{dead, unaware}).Get("a").Key, Key{1, 6, Dead})
	assert.Equal(t, tableOf([]Entry{unaware, dead}).Get("a").Key, Key{1, 6, Dead})
	assert.Equal(t, tableOf([]Entry{dead, unaware, aware}).Get("a").Key, aware.Key)
	assert.Equal(t, tableOf([]Entry{aware, unaware, dead}).Get("a").Key, aware.Key)
	assert.Equal(t, tableOf([]Entry{dead, restarted}).Get("a").Key, restarted.Key)
}

// Guards against a delta that misses a change or moves its position past an entry that it left out.
func TestDeltasReproduceTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, copied := NewTable(retention), NewTable(retention)
		bounds := Bounds{
			Entries: rapid.IntRange(1, 3).Draw(t, "limit"),
			Bytes:   rapid.SampledFrom([]int{1, 2 * entryBytes, math.MaxInt}).Draw(t, "bytes"),
		}
		all := func(string) bool { return true }
		position := uint64(0)
		for _, e := range entries().Draw(t, "entries") {
			source.Merge(e, "", start)
			if rapid.Bool().Draw(t, "sync") {
				delta := source.Select(position, source.Sequence(), bounds, all)
				for _, e := range delta.Entries {
					copied.Merge(e, "", start)
				}
				position = delta.Sequence
			}
		}
		for position < source.Sequence() {
			delta := source.Select(position, source.Sequence(), bounds, all)
			for _, e := range delta.Entries {
				copied.Merge(e, "", start)
			}
			position = delta.Sequence
		}
		assert.DeepEqual(t, copied.All(), source.All())
		assert.Equal(t, len(source.Since(0).Entries), source.Len())
	})
}

// Guards against dead entries that stay forever, live entries that expire, and removed entries that peers bring back.
func TestExpiry(t *testing.T) {
	dead := Entry{Node: "a", Key: Key{1, 1, Dead}, DiedMS: start.UnixMilli()}
	table := tableOf([]Entry{dead, {Node: "b", Key: Key{1, 1, Left}}, {Node: "c", Key: Key{1, 1, Suspect}}})
	assert.Equal(t, table.Expire(start.Add(retention-time.Millisecond)), 0)
	end := start.Add(retention)
	assert.Equal(t, table.Expire(end), 2)
	assert.Assert(t, table.Get("c") != nil)
	assert.Assert(t, !table.Merge(dead, "peer", end))
	assert.Assert(t, table.Merge(Entry{Node: "a", Key: Key{2, 1, Alive}}, "peer", end))
}

// Guards against a restart of a node after which the mesh has forgotten which requests crash targets, and against peers that
// send each other the same counts without end.
func TestCrashCountsOutliveTheProcess(t *testing.T) {
	count := func(process int64) CrashCount {
		return CrashCount{Digest: 1, Process: process, Count: 1, ExpiresMS: start.UnixMilli() + 10}
	}
	old := Entry{Node: "a", Key: Key{1, 4, Alive}, Crashes: []CrashCount{count(1)}}
	restarted := Entry{Node: "a", Key: Key{2, 1, NoTarget}}
	table := tableOf([]Entry{old})
	assert.Assert(t, table.Merge(restarted, "a", start))
	assert.DeepEqual(t, table.Get("a").Crashes, old.Crashes)
	delta := table.Select(1, table.Sequence(), Bounds{Entries: 9, Bytes: math.MaxInt}, func(origin string) bool { return origin != "a" })
	assert.Equal(t, len(delta.Entries), 1, "the new process learns what the old one has counted")
	assert.Assert(t, !table.Merge(restarted, "a", start))
	assert.Assert(t, !table.Merge(delta.Entries[0], "b", start))
	assert.Assert(t, !table.Merge(old, "b", start))

	owner := restarted
	assert.Assert(t, owner.InheritCrashes(&delta.Entries[0], start))
	owner.Revision, owner.Crashes = 2, JoinCrashes(owner.Crashes, []CrashCount{count(2)})
	assert.Assert(t, table.Merge(owner, "a", start))
	assert.Equal(t, len(table.Get("a").Crashes), 2)
	assert.Assert(t, !owner.InheritCrashes(table.Get("a"), start))

	later := owner
	later.Revision = 3
	assert.Assert(t, table.Merge(later, "a", start.Add(10*time.Millisecond)))
	assert.Equal(t, len(table.Get("a").Crashes), 0, "counts that have expired are dropped")
}

// Guards against entries that grow with each restart, and against a bound that depends on the order of joins.
func TestInheritedCrashCountsBound(t *testing.T) {
	var all, backwards []CrashCount
	var cleared []Clearance
	for i := range 2 * clearancesMax {
		all = JoinCrashes(all, []CrashCount{{Digest: uint64(i), ExpiresMS: int64(i)}})
		last := 2*clearancesMax - 1 - i
		backwards = JoinCrashes([]CrashCount{{Digest: uint64(last), ExpiresMS: int64(last)}}, backwards)
		cleared = JoinCleared(cleared, []Clearance{{Digest: uint64(i), UpToMS: int64(i)}})
	}
	assert.Equal(t, len(all), crashCountsMax)
	assert.DeepEqual(t, all, backwards)
	assert.Equal(t, len(cleared), clearancesMax)
	assert.Equal(t, cleared[0].UpToMS, int64(2*clearancesMax-1))
}
