package follow

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/platformlog"
	"wagtailford.example/server/state/config"
)

const (
	msgGap         = "records were removed from the log and no snapshot replaces them"
	msgUnavailable = "log cannot be read"
)

// TestOutage guards against a follower that stops retrying in a long outage or retries too often.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeLog(24 * time.Hour)
		f := run(t, source, newSink(), 0, nil)
		source.change(t, 3)
		synctest.Wait()
		assert.Equal(t, f.sink.Offset(), uint64(3))
		source.setDown(true)
		time.Sleep(time.Hour)
		assert.Assert(t, time.Since(f.LastContact()) > 59*time.Minute)
		// Once the backoff has reached its maximum, attempts are at least half of RetryMax apart.
		failed := f.Stats().FailedReads
		assert.Assert(t, failed > 400 && failed < 1500, "%d", failed)
		source.setDown(false)
		source.change(t, 2)
		time.Sleep(10 * time.Second)
		assert.Equal(t, f.sink.Offset(), uint64(5))
		assert.Equal(t, f.sink.highestOffset(), uint64(5))
		f.stop()
		assert.Equal(t, f.logged(msgUnavailable), 1)
	})
}

// TestDisturbedDelivery guards against repeated, reordered or missing records that lead to a wrong state.
func TestDisturbedDelivery(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			source := newFakeLog(24 * time.Hour)
			source.corruptRead = func(in []config.Record) []config.Record {
				out := append([]config.Record(nil), in...)
				out = append(out, in[random.IntN(len(in)+1):]...)
				random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
				return out[random.IntN(len(out)+1):]
			}
			f := run(t, source, newSink(), 0, nil)
			source.change(t, 8)
			time.Sleep(10 * time.Minute)
			f.stop()
			want := newSink()
			want.DeliverRecords(source.streams[platformlog.StreamConfig].records)
			assert.Assert(t, f.sink.encoded(t) == want.encoded(t))
		})
	}
}

// TestTrimmed guards against a follower that continues after a gap, without the records that were removed before it
// read them, and against one that does not use a snapshot that closes the gap.
func TestTrimmed(t *testing.T) {
	cases := []struct {
		name     string
		snapshot uint64 // offset of the snapshot in the log; 0 for none
		sink     uint64 // offset of the follower at its start
		first    uint64 // first of 20 offsets that the log retains
		reached  uint64
	}{
		{"snapshot reaches the records", 12, 5, 13, 20},
		{"cold start with a snapshot", 12, 0, 13, 20},
		{"snapshot too old", 11, 5, 13, 5},
		{"cold start, snapshot too old", 11, 0, 13, 11},
		{"no snapshot", 0, 5, 13, 5},
		{"nothing kept at all", 0, 0, 21, 0},
		{"snapshot of everything", 20, 0, 21, 20},
		{"next record still kept", 0, 5, 6, 20},
		{"cold start without a snapshot", 0, 0, 1, 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := newFakeLog(24 * time.Hour)
				source.change(t, 20)
				all := source.streams[platformlog.StreamConfig].records
				if c.snapshot > 0 {
					writer := newSink()
					writer.DeliverRecords(all[:c.snapshot])
					source.Append(t.Context(), platformlog.StreamSnapshots, []byte(writer.encoded(t)))
				}
				source.trim(platformlog.StreamConfig, c.first)
				sink := newSink()
				sink.DeliverRecords(all[:c.sink])
				f := run(t, source, sink, 1, nil)
				time.Sleep(time.Minute)
				assert.Equal(t, sink.Offset(), c.reached)
				assert.Equal(t, sink.highestOffset(), uint64(20))
				stuck := c.reached < 20
				assert.Equal(t, f.Stats().Gaps > 0, stuck)

				// A snapshot that covers the removed records closes the gap without a restart.
				healthy := newSink()
				healthy.DeliverRecords(all)
				source.Append(t.Context(), platformlog.StreamSnapshots, []byte(healthy.encoded(t)))
				time.Sleep(time.Minute)
				f.stop()
				assert.Assert(t, sink.encoded(t) == healthy.encoded(t))
				assert.Equal(t, f.logged(msgGap) == 1, stuck)
			})
		})
	}
}

// TestColdStartAfterRetention guards against the loss of the configuration: a node must be able to start from the log
// alone at any time, also long after the last change and right after retention has removed records.
func TestColdStartAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeLog(time.Hour)
		keeper := run(t, source, newSink(), 0, nil)
		random := rand.New(rand.NewPCG(3, 4))
		for round := range 120 {
			if round%40 < 10 {
				source.change(t, random.IntN(8))
			}
			time.Sleep(time.Duration(random.IntN(600)) * time.Second)
			if round == 60 {
				keeper.stop()
				keeper = run(t, source, keeper.sink, 0, nil)
			}
			cold := run(t, source, newSink(), 5, nil)
			time.Sleep(time.Second)
			cold.stop()
			assert.Assert(t, cold.sink.encoded(t) == keeper.sink.encoded(t), "round %d", round)
		}
		// Snapshots are at least a quarter of the retention time apart, except those due to the number of records.
		assert.Assert(t, keeper.sink.Offset() > 20)
		assert.Assert(t, source.count(platformlog.StreamSnapshots) < 80, "%d", source.count(platformlog.StreamSnapshots))
		keeper.stop()
	})
}

// TestLongOutageRemovesEverything guards against followers that do not write a snapshot of their state when the log is
// empty after an outage longer than its retention time.
func TestLongOutageRemovesEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeLog(time.Hour)
		f := run(t, source, newSink(), 0, nil)
		source.change(t, 5)
		time.Sleep(time.Minute)
		source.setDown(true)
		time.Sleep(3 * time.Hour)
		source.setDown(false)
		time.Sleep(30 * time.Second)
		cold := run(t, source, newSink(), 1, nil)
		time.Sleep(time.Second)
		cold.stop()
		f.stop()
		assert.Equal(t, cold.sink.Offset(), uint64(5))
		assert.Assert(t, cold.sink.encoded(t) == f.sink.encoded(t))
	})
}

// TestSnapshotWriters guards against a due snapshot that no follower or every follower writes, and against a duplicate
// after a lost response.
func TestSnapshotWriters(t *testing.T) {
	cases := []struct {
		name  string
		ranks []int
		lose  int
		want  uint64
	}{
		{"one", []int{0}, 0, 1},
		{"ranks 0 and 1", []int{0, 1}, 0, 1},
		{"first is gone", []int{1, 2}, 0, 1},
		{"both believe to be first", []int{0, 0}, 0, 2},
		{"lost answer", []int{0, 1}, 1, 1},
		{"lost answers of both", []int{0, 1}, 2, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := newFakeLog(24 * time.Hour)
				source.change(t, 12)
				source.loseResponses = c.lose
				var followers []*runningFollower
				for _, rank := range c.ranks {
					followers = append(followers, run(t, source, newSink(), rank, nil))
				}
				time.Sleep(5 * time.Minute)
				for _, f := range followers {
					f.stop()
				}
				got := source.count(platformlog.StreamSnapshots)
				assert.Assert(t, got >= 1 && got <= c.want, "%d snapshots", got)
				for _, r := range source.streams[platformlog.StreamSnapshots].records {
					assert.Assert(t, string(r.Data) == followers[0].sink.encoded(t))
				}
			})
		})
	}
}

// TestUnusableSnapshot guards against a start that fails because of one snapshot that cannot be decoded.
func TestUnusableSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newFakeLog(24 * time.Hour)
		source.change(t, 12)
		writer := newSink()
		writer.DeliverRecords(source.streams[platformlog.StreamConfig].records)
		source.Append(t.Context(), platformlog.StreamSnapshots, []byte(writer.encoded(t)))
		source.Append(t.Context(), platformlog.StreamSnapshots, []byte("garbage"))
		source.trim(platformlog.StreamConfig, 13)
		f := run(t, source, newSink(), 0, nil)
		time.Sleep(time.Second)
		f.stop()
		assert.Equal(t, f.sink.Offset(), uint64(12))
		assert.Equal(t, f.Stats().SnapshotsUnusable >= 1, true)
	})
}

// TestDecideSnapshot guards against a snapshot that is written too late for the retention time, by too many followers,
// or over a newer one.
func TestDecideSnapshot(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	settings := Settings{Retention: 4 * time.Hour, SnapshotRecords: 100, Stagger: time.Minute}
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	cases := []struct {
		name string
		in   SnapshotStatus
		want SnapshotAction
	}{
		{"nothing folded", SnapshotStatus{}, SnapshotUpToDate},
		{"no snapshot", SnapshotStatus{Offset: 5}, SnapshotWrite},
		{"no snapshot, second", SnapshotStatus{Offset: 5, Rank: 1}, SnapshotWait},
		{"fresh", SnapshotStatus{Offset: 199, NewestOffset: 100, NewestTime: ago(time.Minute)}, SnapshotUpToDate},
		{"enough records", SnapshotStatus{Offset: 200, NewestOffset: 100, NewestTime: ago(time.Minute)}, SnapshotWrite},
		{
			"enough records, second",
			SnapshotStatus{Offset: 200, NewestOffset: 100, NewestTime: now, Rank: 1},
			SnapshotWait,
		},
		{
			"second after its delay",
			SnapshotStatus{Offset: 200, NewestOffset: 100, NewestTime: now, Rank: 1, DueSince: ago(time.Minute)},
			SnapshotWrite,
		},
		{
			"third before its delay",
			SnapshotStatus{Offset: 200, NewestOffset: 100, NewestTime: now, Rank: 2, DueSince: ago(time.Minute)},
			SnapshotWait,
		},
		{
			"younger than a quarter",
			SnapshotStatus{Offset: 100, NewestOffset: 100, NewestTime: ago(time.Hour - 1)},
			SnapshotUpToDate,
		},
		{
			"a quarter of the retention old",
			SnapshotStatus{Offset: 100, NewestOffset: 100, NewestTime: ago(time.Hour)},
			SnapshotWrite,
		},
		{
			"newer one by another follower",
			SnapshotStatus{Offset: 100, NewestOffset: 101, NewestTime: ago(3 * time.Hour)},
			SnapshotUpToDate,
		},
		{
			"records after it removed",
			SnapshotStatus{Offset: 150, NewestOffset: 100, NewestTime: now, LogFirst: 102},
			SnapshotWrite,
		},
		{
			"records up to it removed",
			SnapshotStatus{Offset: 150, NewestOffset: 100, NewestTime: now, LogFirst: 101},
			SnapshotUpToDate,
		},
	}
	for _, c := range cases {
		c.in.Now = now
		assert.Equal(t, DecideSnapshot(c.in, settings), c.want, c.name)
	}
}
