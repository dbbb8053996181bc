package seeds

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/platformlog"
	"wagtailford.example/server/state/config"
)

// fakeLog is an in-memory stream seeds. Each record is stored one second after the one before.
type fakeLog struct {
	first   uint64
	records []config.Record
	// perRead limits the records of one read.
	perRead int
	reads   int
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	offset := l.first + uint64(len(l.records))
	l.records = append(l.records, config.Record{Offset: offset, TimeMS: int64(offset) * 1000, Data: data})
	return offset, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, _ int, _ time.Duration) (platformlog.Batch, error) {
	l.reads++
	b := platformlog.Batch{First: l.first, Next: l.first + uint64(len(l.records))}
	if from < l.first {
		return platformlog.Batch{}, &platformlog.TrimmedError{From: from, First: b.First, Next: b.Next}
	}
	if from < b.Next {
		rest := l.records[from-l.first:]
		b.Records = rest[:min(len(rest), l.perRead)]
	}
	return b, nil
}

func seed(node string, incarnation int64) Seed {
	return Seed{Node: node, Address: fmt.Sprintf("%s:%d", node, incarnation), FailureDomain: "f", Incarnation: incarnation}
}

// TestReadSeeds guards against a starting node that misses live addresses: the newest seed of each node must be found
// whatever retention has removed and however the records are split into reads.
func TestReadSeeds(t *testing.T) {
	log := &fakeLog{first: 7, perRead: 2}
	lists := [][]Seed{
		{seed("a", 1), seed("b", 1)},
		{seed("c", 1), {Node: "", Address: "x"}},
		{seed("a", 2)},
		{},
		{seed("b", 1), seed("a", 1)}, // From a node that does not know incarnation 2 of a yet.
	}
	for _, list := range lists {
		assert.NilError(t, Append(t.Context(), log, list))
	}
	for _, garbage := range []string{"", "garbage", "\xdd\xff\xff\xff\xff", "\x91\xc0"} {
		log.Append(t.Context(), platformlog.StreamSeeds, []byte(garbage))
	}
	got, err := ReadSeeds(t.Context(), log)
	assert.NilError(t, err)
	assert.Assert(t, got.Complete)
	want := []StoredSeed{
		{seed("a", 2), time.UnixMilli(11_000)},
		{seed("b", 1), time.UnixMilli(11_000)},
		{seed("c", 1), time.UnixMilli(8_000)},
	}
	assert.DeepEqual(t, got.Seeds, want)

	got, err = ReadSeeds(t.Context(), &fakeLog{first: 30})
	assert.NilError(t, err)
	assert.Assert(t, got.Complete && len(got.Seeds) == 0)
}

// TestReadSeedsIsBounded guards against reads, memory or results that grow with the stream at the start of a node, and
// against a truncated result that is marked as complete.
func TestReadSeedsIsBounded(t *testing.T) {
	for records, reads := range map[int]int{600: 4, 10: 2} {
		log := &fakeLog{first: 1, perRead: 100}
		for i := range records {
			list := make([]Seed, MaxPerRecord)
			for j := range list {
				list[j] = seed(fmt.Sprintf("n%d-%d", i, j), 1)
			}
			assert.NilError(t, Append(t.Context(), log, list))
		}
		got, err := ReadSeeds(t.Context(), log)
		assert.NilError(t, err)
		assert.Equal(t, len(got.Seeds), MaxSeeds)
		assert.Equal(t, got.Complete, false)
		newest := time.UnixMilli(int64(records) * 1000)
		// The 8 newest records of 64 seeds each fill the result.
		assert.Equal(t, got.CoveredSince, newest.Add(-8*time.Second))
		assert.Equal(t, got.Seeds[0].StoredAt, newest)
		assert.Equal(t, log.reads, reads)
	}
	assert.ErrorContains(t, Append(t.Context(), &fakeLog{first: 1}, make([]Seed, MaxPerRecord+1)), "at most")
}
