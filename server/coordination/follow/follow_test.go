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
	msgGap  = "records were removed from the log and no snapshot replaces them"
	msgDown = "log cannot be read"
)

// TestOutage guards against a follower that gives up in a long outage, or floods the log with attempts.
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
		// Attempts are at least half of RetryMax apart after the delay has grown.
		failed := f.Stats().FailedReads
		assert.Assert(t, failed > 400 && failed < 1500, "%d", failed)
		source.setDown(false)
		source.change(t, 2)
		time.Sleep(10 * time.Second)
		assert.Equal(t, f.sink.Offset(), uint64(5))
		assert.Equal(t, f.sink.seen(), uint64(5))
		f.stop()
		assert.Equal(t, f.logged(msgDown), 1)
	})
}

// TestDisturbedDelivery guards against repeated, reordered or missing records that lead to another state.
func TestDisturbedDelivery(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			source := newFakeLog(24 * time.Hour)
			source.disturb = func(in []config.Record) []config.Record {
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

// TestTrimmed guards against a follower that continues after a gap (records that it never folded), and against one that
// does not use a snapshot that closes the gap.
func TestTrimmed(t *testing.T) {
	cases := []struct {
		name     string
		snapshot uint64 // offset of the snapshot in the log; 0 for none
		sink     uint64 // offset of the follower at its start
		first    uint64 // first offset that the log keeps of 20
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
				assert.Equal(t, sink.seen(), uint64(20))
				stuck := c.reached < 20
				assert.Equal(t, f.Stats().Gaps > 0, stuck)

				// A snapshot that reaches back far enough resolves the gap without a restart.
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

// TestColdStartAfterRetention guards against the loss of the configuration: at every time, also long after the last
// change and right after retention has cut the log, a node must be able to start from the log alone.
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
		// A quarter of the retention passes between two snapshots at the least, apart from those by number of records.
		assert.Assert(t, keeper.sink.Offset() > 20)
		assert.Assert(t, source.count(platformlog.StreamSnapshots) < 80, "%d", source.count(platformlog.StreamSnapshots))
		keeper.stop()
	})
}

// TestLongOutageRemovesEverything guards against followers that do not write their state back when the log returns
// empty after an outage longer than its retention.
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

// TestSnapshotWriters guards against a snapshot that nobody writes or that every follower writes, and against a second
// one after a lost answer.
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
				source.loseAnswers = c.lose
				var followers []*running
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

// TestUnusableSnapshot guards against a start that fails because of one bad snapshot.
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

// TestDecide guards against a snapshot that is written too late to survive retention, by too many, or backwards.
func TestDecide(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	settings := Settings{Retention: 4 * time.Hour, SnapshotRecords: 100, Stagger: time.Minute}
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	cases := []struct {
		name string
		in   Snapshots
		want Decision
	}{
		{"nothing folded", Snapshots{}, Idle},
		{"no snapshot", Snapshots{Offset: 5}, Write},
		{"no snapshot, second", Snapshots{Offset: 5, Rank: 1}, Wait},
		{"fresh", Snapshots{Offset: 199, NewestOffset: 100, NewestTime: ago(time.Minute)}, Idle},
		{"enough records", Snapshots{Offset: 200, NewestOffset: 100, NewestTime: ago(time.Minute)}, Write},
		{"enough records, second", Snapshots{Offset: 200, NewestOffset: 100, NewestTime: now, Rank: 1}, Wait},
		{"second after its delay", Snapshots{Offset: 200, NewestOffset: 100, NewestTime: now, Rank: 1, DueSince: ago(time.Minute)}, Write},
		{"third before its delay", Snapshots{Offset: 200, NewestOffset: 100, NewestTime: now, Rank: 2, DueSince: ago(time.Minute)}, Wait},
		{"younger than a quarter", Snapshots{Offset: 100, NewestOffset: 100, NewestTime: ago(time.Hour - 1)}, Idle},
		{"a quarter of the retention old", Snapshots{Offset: 100, NewestOffset: 100, NewestTime: ago(time.Hour)}, Write},
		{"newer one by another follower", Snapshots{Offset: 100, NewestOffset: 101, NewestTime: ago(3 * time.Hour)}, Idle},
		{"records after it removed", Snapshots{Offset: 150, NewestOffset: 100, NewestTime: now, LogFirst: 102}, Write},
		{"records up to it removed", Snapshots{Offset: 150, NewestOffset: 100, NewestTime: now, LogFirst: 101}, Idle},
	}
	for _, c := range cases {
		c.in.Now = now
		assert.Equal(t, Decide(c.in, settings), c.want, c.name)
	}
}
