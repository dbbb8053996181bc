// Package suspect counts the target crashes that are attributed to a request, so that a request that crashes every
// target that runs it is stopped. Everything here is pure: no clock, socket, random source or log line.
package suspect

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wagtailford.example/server/state/endpoint"
)

// Limits are the settings of the counts.
type Limits struct {
	// CrashLimit is the sum of counts over all nodes at which a digest is blocked.
	CrashLimit int
	// TTL is how long a count applies after its last crash.
	TTL time.Duration
	// Max is the number of counts that a node keeps.
	Max int
}

// Standing says how a request is to be run.
type Standing uint8

// Standings of a request.
const (
	// Clear means that no crash is attributed to the request.
	Clear Standing = iota
	// Suspected means that the request has to run alone at its target.
	Suspected
	// Blocked means that the request is refused.
	Blocked
)

// Digest identifies a request by its content.
func Digest(service, method, path string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{service, method, path} {
		d.WriteString(s)
		d.Write([]byte{0})
	}
	d.Write(body)
	return d.Sum64()
}

// Counts are the counts of one node, at most one for each digest. They are immutable; every change returns new
// counts.
type Counts []endpoint.CrashCount

// Crash attributes a crash to a digest. The first crash counts; a later one counts only if the request ran alone,
// since otherwise another request may have caused it. When the counts are full, the smallest and then the oldest
// other count gives way.
func (c Counts) Crash(digest uint64, alone bool, nowMS int64, l Limits) Counts {
	next := append(make(Counts, 0, len(c)+1), c.Expire(nowMS)...)
	expires := nowMS + l.TTL.Milliseconds()
	i := next.index(digest)
	if i >= 0 {
		if alone && next[i].Count < math.MaxUint8 {
			next[i].Count++
		}
		next[i].ExpiresMS = expires
		return next
	}
	if l.Max <= 0 {
		return next
	}
	if len(next) >= l.Max {
		next = next.dropLeast()
	}
	return append(next, endpoint.CrashCount{Digest: digest, Count: 1, ExpiresMS: expires})
}

// Complete removes the count of a request that ran to its end.
func (c Counts) Complete(digest uint64) Counts {
	i := c.index(digest)
	if i < 0 {
		return c
	}
	return slices.Delete(slices.Clone(c), i, i+1)
}

// Expire removes the counts that no longer apply. It returns c itself if there are none.
func (c Counts) Expire(nowMS int64) Counts {
	expired := func(e endpoint.CrashCount) bool { return e.ExpiresMS <= nowMS }
	if !slices.ContainsFunc(c, expired) {
		return c
	}
	return slices.DeleteFunc(slices.Clone(c), expired)
}

// Count returns the count of a digest.
func (c Counts) Count(digest uint64, nowMS int64) int {
	i := c.index(digest)
	if i < 0 || c[i].ExpiresMS <= nowMS {
		return 0
	}
	return int(c[i].Count)
}

func (c Counts) index(digest uint64) int {
	return slices.IndexFunc(c, func(e endpoint.CrashCount) bool { return e.Digest == digest })
}

func (c Counts) dropLeast() Counts {
	least := 0
	for i, e := range c {
		if e.Count < c[least].Count || (e.Count == c[least].Count && e.ExpiresMS < c[least].ExpiresMS) {
			least = i
		}
	}
	return slices.Delete(c, least, least+1)
}

// Index finds the counts of all other nodes by digest. It is immutable.
type Index struct {
	counts map[uint64][]endpoint.CrashCount
}

// NewIndex collects the counts in the entries of all nodes but self.
func NewIndex(entries iter.Seq[*endpoint.Entry], self string) *Index {
	x := &Index{counts: make(map[uint64][]endpoint.CrashCount)}
	for e := range entries {
		if e.Node == self {
			continue
		}
		for _, c := range e.Crashes {
			x.counts[c.Digest] = append(x.counts[c.Digest], c)
		}
	}
	return x
}

// Sum returns the sum of the counts of a digest over all other nodes.
func (x *Index) Sum(digest uint64, nowMS int64) int {
	sum := 0
	for _, c := range x.counts[digest] {
		if c.ExpiresMS > nowMS {
			sum += int(c.Count)
		}
	}
	return sum
}

// Latest returns the latest expiry, in Unix milliseconds, of the counts of a digest over all other nodes; 0 if there
// are none.
func (x *Index) Latest(digest uint64) int64 {
	var latest int64
	for _, c := range x.counts[digest] {
		latest = max(latest, c.ExpiresMS)
	}
	return latest
}

// Judge returns the standing of a digest from the node's own counts and those of the other nodes. cleared is the value
// of Latest when the digest last ran alone here to its end, or 0: the counts that it covers no longer make the digest a
// suspect here, but still add up to the limit.
func Judge(digest uint64, own Counts, others *Index, nowMS, cleared int64, l Limits) Standing {
	count := own.Count(digest, nowMS)
	switch {
	case count+others.Sum(digest, nowMS) >= l.CrashLimit:
		return Blocked
	case count+others.Sum(digest, max(nowMS, cleared)) > 0:
		return Suspected
	default:
		return Clear
	}
}
