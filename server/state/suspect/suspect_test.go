package suspect

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/endpoint"
)

var testLimits = Limits{CrashLimit: 3, TTL: time.Minute, Max: 3, TrialAfter: 10 * time.Millisecond}

const (
	testTTL = 60_000
	// testProcess is this process. Counts without a process are from older builds.
	testProcess = 7
)

// Guards against evidence from crashes that another request may have caused, and against counts that never end.
func TestCrashCounts(t *testing.T) {
	var b Ledger
	count := func(nowMS int64) (bool, int) {
		all, _ := tallies(1, b, NewIndex(slices.Values([]*endpoint.Entry{}), "self", 0), nowMS)
		return all.counted, all.evidence
	}
	b = b.Crash(1, false, 0, 0, testLimits).Crash(1, false, 1, 0, testLimits)
	counted, evidence := count(2)
	assert.Assert(t, counted && evidence == 0)
	before := b
	b = b.Crash(1, true, 2, 0, testLimits).Crash(1, true, 2, 0, testLimits)
	_, evidence = count(2)
	assert.Equal(t, evidence, 2)
	assert.Equal(t, b.Crashes[0].ExpiresMS, int64(testTTL+3), "a later count expires later even at one time of the clock")
	assert.Equal(t, before.Crashes[0].Count, uint8(0), "ledgers are immutable")
	counted, _ = count(testTTL + 3)
	assert.Assert(t, !counted)
	assert.Equal(t, len(b.Expire(testTTL+3).Crashes), 0)
	b = b.Crash(1, true, 10, testTTL+3, testLimits)
	_, evidence = count(10)
	assert.Equal(t, evidence, 1, "a count that was cleared starts anew")
}

// Guards against counts and clearances that grow without bound, or that push out the most suspicious request.
func TestLedgerBound(t *testing.T) {
	var b Ledger
	b = b.Crash(1, true, 0, 0, testLimits).Crash(1, true, 0, 0, testLimits)
	for digest := uint64(2); digest < 20; digest++ {
		b = b.Crash(digest, false, int64(digest), 0, testLimits)
		b = b.Clear(digest, testTTL+int64(digest), 0, testLimits)
	}
	assert.Equal(t, len(b.Crashes), testLimits.Max)
	assert.Equal(t, len(b.Cleared), 2*testLimits.Max)
	assert.Assert(t, slices.ContainsFunc(b.Crashes, func(c endpoint.CrashCount) bool { return c.Digest == 1 && c.Count == 2 }))
	assert.Assert(t, slices.ContainsFunc(b.Crashes, func(c endpoint.CrashCount) bool { return c.Digest == 19 }))
	assert.Equal(t, b.clearedUpTo(19), int64(testTTL+19))
}

// Guards against a request that crashes targets on many nodes without being stopped by the sum of its crashes, against one
// that is blocked although it only ran beside others or was acquitted, and against more than one trial.
func TestJudge(t *testing.T) {
	count := func(digest uint64, n uint8, expires int64) endpoint.CrashCount {
		return endpoint.CrashCount{Digest: digest, Count: n, ExpiresMS: expires}
	}
	const early, late = testTTL, testTTL + 50
	entries := []*endpoint.Entry{
		{Node: "self", Crashes: []endpoint.CrashCount{{Digest: 1, Process: testProcess, Count: 9, ExpiresMS: late}}},
		{Node: "b", Crashes: []endpoint.CrashCount{count(1, 1, early), count(2, 0, early), count(3, 0, early), count(4, 3, early)}},
		{Node: "c", Crashes: []endpoint.CrashCount{count(1, 1, early), count(3, 0, late)}},
		{Node: "d", Crashes: []endpoint.CrashCount{count(3, 0, early)}, Cleared: []endpoint.Clearance{{Digest: 4, UpToMS: early}}},
	}
	others := NewIndex(slices.Values(entries), "self", testProcess)
	own := Ledger{Process: testProcess, Crashes: []endpoint.CrashCount{count(1, 1, late), count(5, 4, late)}}
	cleared := own.Clear(1, 0, late-testTTL, testLimits)
	cases := []struct {
		digest uint64
		own    Ledger
		nowMS  int64
		want   Standing
	}{
		{1, own, 0, Blocked},
		{1, own, 59, Blocked},
		{1, own, 60, Suspected}, // The trial, 10 ms after the latest crash, which was at 50.
		{1, Ledger{}, 60, Suspected},
		{1, own, early, Suspected},
		{1, own, late, Clear},
		{1, cleared, 0, Clear},
		{1, cleared.Crash(1, true, 60, late, testLimits), 60, Suspected},
		{2, own, 0, Suspected},
		{2, own, early, Clear},
		{3, own, 0, Suspected},  // Three targets ended together while the request ran beside others.
		{4, own, 0, Clear},      // Another node has run it to its end.
		{5, own, 1000, Blocked}, // The trial has crashed the target as well.
		{6, own, 0, Clear},
	}
	for _, c := range cases {
		assert.Equal(t, Judge(c.digest, c.own, others, c.nowMS, testLimits), c.want, "%+v", c)
	}
	remote := NewIndex(slices.Values(append(entries, &endpoint.Entry{Node: "e", Crashes: []endpoint.CrashCount{count(1, 1, late+1)}})), "self", testProcess)
	assert.Equal(t, Judge(1, Ledger{}, remote, 10_000, testLimits), Blocked, "the trial is that of the node with the latest crash")
	assert.Assert(t, Digest("s", "GET", "/a", nil) != Digest("s", "GET", "/", []byte("a")))
}

// Guards against counts that a node forgets with its process, or that are added up once for each entry that states them.
func TestCountsOfEarlierProcesses(t *testing.T) {
	count := func(process int64, n uint8) endpoint.CrashCount {
		return endpoint.CrashCount{Digest: 1, Process: process, Count: n, ExpiresMS: testTTL}
	}
	entries := []*endpoint.Entry{
		{Node: "self", Crashes: []endpoint.CrashCount{count(10, 1), count(11, 1)}},
		{Node: "b", Crashes: []endpoint.CrashCount{count(20, 1)}},
	}
	entries = append(entries, &endpoint.Entry{Crashes: []endpoint.CrashCount{count(10, 1), count(20, 1), count(30, 1)}})
	own := Ledger{Process: 11, Crashes: []endpoint.CrashCount{count(11, 1)}}
	all, self := tallies(1, own, NewIndex(slices.Values(entries), "self", 11), 0)
	assert.Equal(t, all.evidence, 4, "the processes 10, 11, 20 and 30")
	assert.Equal(t, self.evidence, 2)
}
