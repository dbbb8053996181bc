package crashrecords

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/endpoint"
)

// memoryStore is a Store that can be down.
type memoryStore struct {
	mu      sync.Mutex
	down    bool
	records map[string]Record
	calls   int
}

var errDown = errors.New("down")

func (s *memoryStore) Publish(_ context.Context, r Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return errDown
	}
	s.records[r.Node] = r
	return nil
}

func (s *memoryStore) List(context.Context) ([]Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, errDown
	}
	var list []Record
	for _, r := range s.records {
		list = append(list, r)
	}
	return list, nil
}

// restore puts the store back to given records.
func (s *memoryStore) restore(records map[string]Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = records
}

// state returns the counts in the record of a node and the number of calls.
func (s *memoryStore) state(node string) ([]endpoint.CrashCount, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[node].Crashes, s.calls
}

// Guards against counts that the store misses because it was down when they changed, or that a restore brings back, and against
// one call to the store for each review.
func TestCountsReachTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{records: make(map[string]Record)}
		var mu sync.Mutex
		var counts []endpoint.CrashCount
		set := func(c ...endpoint.CrashCount) {
			mu.Lock()
			defer mu.Unlock()
			counts = c
		}
		k := NewKeeper("a", store, func() []endpoint.CrashCount {
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(counts)
		}, &log.Logger{Handler: discard.New()})
		store.down = true
		go func() {
			records, ok := k.Restore(t.Context())
			assert.Assert(t, ok)
			assert.Equal(t, len(records), 0)
			k.Run(t.Context())
		}()
		time.Sleep(time.Minute)
		count := endpoint.CrashCount{Digest: 1, Process: 2, Count: 1, ExpiresMS: 3}
		set(count)
		k.Changed()
		time.Sleep(time.Second)
		store.mu.Lock()
		store.down = false
		store.mu.Unlock()
		time.Sleep(time.Second)
		written, calls := store.state("a")
		assert.DeepEqual(t, written, []endpoint.CrashCount{count})
		time.Sleep(time.Minute)
		_, later := store.state("a")
		assert.Equal(t, later, calls)

		// Another node clears it: the next review sees that.
		set()
		time.Sleep(2 * reviewInterval)
		written, later = store.state("a")
		assert.Equal(t, len(written), 0)
		assert.Equal(t, later, calls+1)

		// The store is put back to a copy with the cleared count.
		store.restore(map[string]Record{"a": {Node: "a", Crashes: []endpoint.CrashCount{count}}})
		k.Rewrite()
		time.Sleep(time.Second)
		written, later = store.state("a")
		assert.Equal(t, len(written), 0)
		assert.Equal(t, later, calls+2)
	})
}

// Guards against a node that gives up reading the counts of the store because it is down when the node starts, and then replaces
// the record of its earlier processes by a smaller one; also if it starts twice meanwhile.
func TestEarlierCountsOutliveAnOutageAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		earlier := endpoint.CrashCount{Digest: 1, Process: 2, Count: 1, ExpiresMS: 9}
		before := map[string]Record{"a": {Node: "a", Crashes: []endpoint.CrashCount{earlier}}, "b": {Node: "b", Crashes: []endpoint.CrashCount{earlier}}}
		store := &memoryStore{down: true, records: maps.Clone(before)}
		for start := range 2 {
			ctx, stop := context.WithCancel(t.Context())
			var mu sync.Mutex
			counts := []endpoint.CrashCount{{Digest: 1, Process: int64(10 + start), Count: 1, ExpiresMS: 10}}
			k := NewKeeper("a", store, func() []endpoint.CrashCount {
				mu.Lock()
				defer mu.Unlock()
				return slices.Clone(counts)
			}, &log.Logger{Handler: discard.New()})
			restored := make(chan []Record, 1)
			go func() {
				records, ok := k.Restore(ctx)
				if !ok {
					return
				}
				mu.Lock()
				counts = endpoint.JoinCrashes(counts, records[slices.IndexFunc(records, func(r Record) bool { return r.Node == "a" })].Crashes)
				mu.Unlock()
				restored <- records
				k.Run(ctx)
			}()
			k.Changed()
			time.Sleep(30 * time.Second)
			assert.DeepEqual(t, store.records, before)
			if start == 0 {
				// Killed while the store is still away.
				stop()
				synctest.Wait()
				continue
			}
			store.mu.Lock()
			store.down = false
			store.mu.Unlock()
			time.Sleep(2 * time.Second)
			assert.Equal(t, len(<-restored), 2)
			written, _ := store.state("a")
			assert.Equal(t, len(written), 2, "the earlier count and the new one")
			stop()
			synctest.Wait()
		}
	})
}
