package endpoint

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of what one entry carries. A node states fewer itself; the rest is what it inherits from its earlier processes.
const (
	crashCountsMax = 48
	clearancesMax  = 64
)

// CrashCount holds the target crashes that one process of a node attributes to a request digest.
type CrashCount struct {
	Digest uint64
	// Process identifies the process that counted: its start, Unix nanoseconds. It is 0 from nodes of older builds.
	Process int64
	// Count is the number of crashes while the request ran alone. It is 0 if the request only ran beside others, any of
	// which may have caused the crash.
	Count uint8
	// ExpiresMS is the time until which the count applies, Unix milliseconds. A later count of the same process for the same
	// digest expires later.
	ExpiresMS int64
}

// Clearance states that a target ran a request to its end, so that earlier crashes have another cause.
type Clearance struct {
	Digest uint64
	// UpToMS is the latest CrashCount.ExpiresMS that is cleared. The clearance applies until then.
	UpToMS int64
}

// JoinCrashes returns the counts of both lists, the later one of each process and digest, sorted. The newest are kept if there are
// too many. The order and grouping of joins make no difference.
func JoinCrashes(a, b []CrashCount) []CrashCount {
	if len(a) == 0 && len(b) == 0 {
		return nil
	}
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(a, b CrashCount) int {
		return cmp.Or(cmp.Compare(b.ExpiresMS, a.ExpiresMS), cmp.Compare(b.Count, a.Count),
			cmp.Compare(a.Digest, b.Digest), cmp.Compare(a.Process, b.Process))
	})
	return keepFirst(all, crashCountsMax, func(c CrashCount) [2]uint64 { return [...]uint64{c.Digest, uint64(c.Process)} })
}

// JoinCleared returns the clearances of both lists, the widest one of each digest, sorted. The newest are kept if there are
// too many.
func JoinCleared(a, b []Clearance) []Clearance {
	if len(a) == 0 && len(b) == 0 {
		return nil
	}
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(a, b Clearance) int {
		return cmp.Or(cmp.Compare(b.UpToMS, a.UpToMS), cmp.Compare(a.Digest, b.Digest))
	})
	return keepFirst(all, clearancesMax, func(c Clearance) uint64 { return c.Digest })
}

// keepFirst returns the first item of each key, and at most limit items.
func keepFirst[T any, K comparable](list []T, limit int, key func(T) K) []T {
	seen := make(map[K]bool)
	kept := list[:0]
	for _, item := range list {
		if k := key(item); !seen[k] && len(kept) < limit {
			seen[k] = true
			kept = append(kept, item)
		}
	}
	return kept
}

// joinCrashes takes over the counts and clearances of another value of the entry. They outlive the process that stated them,
// so that a restart of the node forgets none.
func (e *Entry) joinCrashes(other *Entry) {
	e.Crashes = JoinCrashes(e.Crashes, other.Crashes)
	e.Cleared = JoinCleared(e.Cleared, other.Cleared)
	e.Recovered = JoinCrashes(e.Recovered, other.Recovered)
}

// expireCrashes removes the counts and clearances that no longer apply.
func (e *Entry) expireCrashes(now time.Time) {
	nowMS := now.UnixMilli()
	isOver := func(c CrashCount) bool { return c.ExpiresMS <= nowMS }
	e.Crashes = slices.DeleteFunc(slices.Clone(e.Crashes), isOver)
	e.Recovered = slices.DeleteFunc(slices.Clone(e.Recovered), isOver)
	e.Cleared = slices.DeleteFunc(slices.Clone(e.Cleared), func(c Clearance) bool { return c.UpToMS <= nowMS })
}

// sameCrashes reports whether two values of an entry carry the same counts and clearances.
func (e *Entry) sameCrashes(other *Entry) bool {
	return slices.Equal(e.Crashes, other.Crashes) && slices.Equal(e.Cleared, other.Cleared) &&
		slices.Equal(e.Recovered, other.Recovered)
}

// InheritCrashes takes over the counts and clearances of another value of the entry that still apply, and reports whether
// there were any that the entry lacks.
func (e *Entry) InheritCrashes(other *Entry, now time.Time) bool {
	next := *e
	next.joinCrashes(other)
	next.expireCrashes(now)
	before := *e
	before.joinCrashes(&Entry{})
	before.expireCrashes(now)
	if next.sameCrashes(&before) {
		return false
	}
	*e = next
	return true
}
