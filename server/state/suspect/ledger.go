package suspect

import (
	"cmp"
	"math"
	"slices"

	"wagtailford.example/server/state/endpoint"
)

// Ledger holds the counts and clearances that one process states, at most one of each for a digest. It is immutable; every
// change returns a new one.
type Ledger struct {
	// Process identifies the process, as in endpoint.CrashCount.
	Process int64
	Crashes []endpoint.CrashCount
	Cleared []endpoint.Clearance
}

// Crash attributes a crash to a digest. alone is true if no other request can have caused it. An earlier count that expires by
// clearedMS starts anew. When the counts are full, the one with the least evidence, and of these the oldest, gives way.
func (b Ledger) Crash(digest uint64, alone bool, nowMS, clearedMS int64, l Limits) Ledger {
	next := b.Expire(nowMS)
	if l.Max <= 0 {
		return next
	}
	next.Crashes = slices.Clone(next.Crashes)
	count := endpoint.CrashCount{Digest: digest, Process: b.Process, ExpiresMS: nowMS + l.TTL.Milliseconds()}
	i := slices.IndexFunc(next.Crashes, func(c endpoint.CrashCount) bool { return c.Digest == digest })
	if i >= 0 {
		before := next.Crashes[i]
		if before.ExpiresMS > clearedMS {
			count.Count = before.Count
		}
		// Later than the count before even if the clock was set back, so that it replaces that one everywhere.
		count.ExpiresMS = max(count.ExpiresMS, before.ExpiresMS+1)
		next.Crashes = slices.Delete(next.Crashes, i, i+1)
	}
	if alone && count.Count < math.MaxUint8 {
		count.Count++
	}
	next.Crashes = dropFirst(append(next.Crashes, count), l.Max, compareCounts)
	return next
}

// Clear states that a target ran a digest to its end. It covers the counts up to latestMS, the result of Latest, and those of
// crashes before now that this node has not heard of yet. When the clearances are full, the one that ends first gives way.
func (b Ledger) Clear(digest uint64, latestMS, nowMS int64, l Limits) Ledger {
	next := b.Expire(nowMS)
	next.Cleared = slices.DeleteFunc(slices.Clone(next.Cleared), func(c endpoint.Clearance) bool { return c.Digest == digest })
	cleared := endpoint.Clearance{Digest: digest, UpToMS: max(latestMS, nowMS+l.TTL.Milliseconds(), b.clearedUpTo(digest))}
	next.Cleared = dropFirst(append(next.Cleared, cleared), 2*l.Max, compareClearances)
	return next
}

// Expire removes the counts and clearances that no longer apply.
func (b Ledger) Expire(nowMS int64) Ledger {
	return Ledger{
		Process: b.Process,
		Crashes: without(b.Crashes, func(c endpoint.CrashCount) bool { return c.ExpiresMS <= nowMS }),
		Cleared: without(b.Cleared, func(c endpoint.Clearance) bool { return c.UpToMS <= nowMS }),
	}
}

// clearedUpTo returns the latest expiry of the counts of a digest that the ledger clears; 0 if it clears none.
func (b Ledger) clearedUpTo(digest uint64) int64 {
	for _, c := range b.Cleared {
		if c.Digest == digest {
			return c.UpToMS
		}
	}
	return 0
}

// without returns the list without the items that are to be dropped; the list itself if there are none.
func without[T any](list []T, drop func(T) bool) []T {
	if !slices.ContainsFunc(list, drop) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), drop)
}

// dropFirst returns the list without its first items in the order of compare, so that at most limit remain.
func dropFirst[T any](list []T, limit int, compare func(a, b T) int) []T {
	for len(list) > limit {
		first := slices.MinFunc(list, compare)
		i := slices.IndexFunc(list, func(item T) bool { return compare(item, first) == 0 })
		list = slices.Delete(list, i, i+1)
	}
	return list
}

func compareCounts(a, b endpoint.CrashCount) int {
	return cmp.Or(cmp.Compare(a.Count, b.Count), cmp.Compare(a.ExpiresMS, b.ExpiresMS), cmp.Compare(a.Digest, b.Digest))
}

func compareClearances(a, b endpoint.Clearance) int {
	return cmp.Or(cmp.Compare(a.UpToMS, b.UpToMS), cmp.Compare(a.Digest, b.Digest))
}
