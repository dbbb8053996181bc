// Package suspect attributes target crashes to requests, so that a request that crashes every target that runs it is
// stopped. Everything here is pure: no clock, socket, random source or log line.
package suspect

import (
	"iter"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wagtailford.example/server/state/endpoint"
)

// Limits are the settings of the counts.
type Limits struct {
	// CrashLimit is the number of crashes while a digest ran alone, summed over all nodes, at which it is blocked.
	CrashLimit int
	// TTL is how long a count applies after its last crash.
	TTL time.Duration
	// Max is the number of counts that a node keeps. It keeps up to twice as many clearances.
	Max int
	// TrialAfter is the time after the latest of these crashes from which the node that counted it runs a blocked digest
	// once more.
	TrialAfter time.Duration
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

// Digest identifies a request by its content. The caller is no part of it: a request that crashes targets may come again
// from another one.
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

// Index finds the counts and clearances of all processes but this one by digest. It is immutable.
type Index struct {
	// counts are those of other nodes, inherited those of earlier processes of this node.
	counts, inherited map[uint64][]endpoint.CrashCount
	cleared           map[uint64]int64
}

// NewIndex collects the counts and clearances in entries. self and process identify this process. A count that several entries
// state is taken once.
func NewIndex(entries iter.Seq[*endpoint.Entry], self string, process int64) *Index {
	x := &Index{
		counts: make(map[uint64][]endpoint.CrashCount), inherited: make(map[uint64][]endpoint.CrashCount),
		cleared: make(map[uint64]int64),
	}
	var own, remote []endpoint.CrashCount
	for e := range entries {
		if e.Node == self {
			own = e.Crashes
		} else {
			remote = append(remote, e.Crashes...)
		}
		remote = append(remote, e.Recovered...)
		for _, c := range e.Cleared {
			x.cleared[c.Digest] = max(x.cleared[c.Digest], c.UpToMS)
		}
	}
	add(x.inherited, own, func(c endpoint.CrashCount) bool { return c.Process == process })
	add(x.counts, remote, func(c endpoint.CrashCount) bool {
		return c.Process == process || containsProcess(x.inherited[c.Digest], c.Process)
	})
	return x
}

// add puts counts under their digests, the latest one of each process, except those to be skipped. Counts without a process are
// from older builds, and each is that of another node.
func add(to map[uint64][]endpoint.CrashCount, counts []endpoint.CrashCount, skip func(endpoint.CrashCount) bool) {
	for _, c := range counts {
		if skip(c) {
			continue
		}
		list := to[c.Digest]
		i := slices.IndexFunc(list, func(other endpoint.CrashCount) bool { return other.Process == c.Process && c.Process != 0 })
		switch {
		case i < 0:
			to[c.Digest] = append(list, c)
		case c.ExpiresMS > list[i].ExpiresMS:
			list[i] = c
		}
	}
}

func containsProcess(counts []endpoint.CrashCount, process int64) bool {
	return slices.ContainsFunc(counts, func(c endpoint.CrashCount) bool { return c.Process == process && process != 0 })
}

// tally sums up the counts of one digest that apply.
type tally struct {
	// counted is true if there is a count. evidence is the number of crashes while the digest ran alone.
	counted  bool
	evidence int
	// latestMS is the latest expiry of all counts, latestEvidenceMS that of the counts with evidence; 0 if there is none.
	latestMS, latestEvidenceMS int64
}

// add takes in the counts of a digest that have not expired and expire later than the clearance.
func (t *tally) add(counts []endpoint.CrashCount, digest uint64, nowMS, clearedMS int64) {
	for _, c := range counts {
		if c.Digest != digest || c.ExpiresMS <= max(nowMS, clearedMS) {
			continue
		}
		t.counted = true
		t.latestMS = max(t.latestMS, c.ExpiresMS)
		if c.Count > 0 {
			t.evidence += int(c.Count)
			t.latestEvidenceMS = max(t.latestEvidenceMS, c.ExpiresMS)
		}
	}
}

// tallies returns the tally of a digest over this node and all others, and that of this node and its earlier processes.
func tallies(digest uint64, own Ledger, others *Index, nowMS int64) (all, self tally) {
	remote, inherited := others.counts[digest], others.inherited[digest]
	if len(own.Crashes) == 0 && len(remote) == 0 && len(inherited) == 0 {
		return tally{}, tally{}
	}
	clearedMS := ClearedUpTo(digest, own, others)
	self.add(own.Crashes, digest, nowMS, clearedMS)
	self.add(inherited, digest, nowMS, clearedMS)
	all = self
	all.add(remote, digest, nowMS, clearedMS)
	return all, self
}

// Judge returns the standing of a digest from the node's own ledger and what the other nodes state. A crash while other
// requests ran makes the digest a suspect only; crashes while it ran alone block it. The node that counted the latest of
// these runs a digest that has just reached the limit once more: if several targets ended together for another reason, the
// trial acquits it.
func Judge(digest uint64, own Ledger, others *Index, nowMS int64, l Limits) Standing {
	all, self := tallies(digest, own, others, nowMS)
	switch {
	case !all.counted:
		return Clear
	case all.evidence < l.CrashLimit:
		return Suspected
	case all.evidence == l.CrashLimit && self.evidence > 0 && self.latestEvidenceMS == all.latestEvidenceMS &&
		nowMS >= self.latestEvidenceMS-l.TTL.Milliseconds()+l.TrialAfter.Milliseconds():
		return Suspected
	default:
		return Blocked
	}
}

// ClearedUpTo returns the latest expiry of the counts of a digest that any node clears; 0 if none does.
func ClearedUpTo(digest uint64, own Ledger, others *Index) int64 {
	return max(own.clearedUpTo(digest), others.cleared[digest])
}

// Uncleared returns the counts of this node, of all its processes, that apply, sorted.
func Uncleared(own Ledger, others *Index, nowMS int64) []endpoint.CrashCount {
	var list []endpoint.CrashCount
	keep := func(counts []endpoint.CrashCount) {
		for _, c := range counts {
			if c.ExpiresMS > max(nowMS, ClearedUpTo(c.Digest, own, others)) {
				list = append(list, c)
			}
		}
	}
	keep(own.Crashes)
	for _, counts := range others.inherited {
		keep(counts)
	}
	return endpoint.JoinCrashes(list, nil)
}

// Latest returns the latest expiry, in Unix milliseconds, of the counts of a digest over all nodes that apply; 0 if there are
// none.
func Latest(digest uint64, own Ledger, others *Index, nowMS int64) int64 {
	all, _ := tallies(digest, own, others, nowMS)
	return all.latestMS
}
