package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/endpoint"
)

var (
	rules = Timeouts{SuspectAfter: time.Second, DeadAfter: 5 * time.Second, SelfFence: 4 * time.Second}
	start = time.UnixMilli(1_800_000_000_000)
)

func entry(node, domain string, state endpoint.State) *endpoint.Entry {
	return &endpoint.Entry{Node: node, FailureDomain: domain, Key: endpoint.Key{Incarnation: 7, Revision: 3, State: state}}
}

// Guards against verdicts that come early, late, or on nodes of a failure domain that is only cut off.
func TestJudge(t *testing.T) {
	w := Watcher{Node: "p", FailureDomain: "d1"}
	cases := []struct {
		name   string
		domain string
		state  endpoint.State
		silent time.Duration
		signs  Observation
		want   endpoint.State
	}{
		{"in time", "d1", endpoint.Alive, 900 * time.Millisecond, Observation{}, endpoint.Alive},
		{"overdue", "d1", endpoint.Alive, time.Second, Observation{}, endpoint.Suspect},
		{"draining and overdue", "d1", endpoint.Draining, time.Second, Observation{}, endpoint.Suspect},
		{"closed connection", "d1", endpoint.Alive, 0, Observation{ConnectionClosed: true}, endpoint.Suspect},
		{"closed connection does not shorten death", "d1", endpoint.Suspect, 4 * time.Second, Observation{ConnectionClosed: true}, endpoint.Suspect},
		{"silent", "d1", endpoint.Suspect, 5 * time.Second, Observation{}, endpoint.Dead},
		{"open poll", "d1", endpoint.Alive, time.Hour, Observation{PollOpen: true}, endpoint.Alive},
		{"joining", "d1", endpoint.NoTarget, 14 * time.Second, Observation{Joining: true}, endpoint.Suspect},
		{"joining and silent", "d1", endpoint.NoTarget, 15 * time.Second, Observation{Joining: true}, endpoint.Dead},
		{"silent failure domain", "d2", endpoint.Alive, time.Hour, Observation{}, endpoint.Suspect},
		{"left", "d1", endpoint.Left, time.Hour, Observation{}, endpoint.Left},
	}
	for _, c := range cases {
		c.signs.LastHeard = start
		got := w.Evaluate(entry("n", c.domain, c.state), c.signs, start.Add(c.silent), rules)
		assert.Equal(t, got, c.want, c.name)
	}
}

// Guards against nodes that nobody watches and nodes that are watched by one that does not hear their polls.
func TestWatches(t *testing.T) {
	follower := Watcher{Node: "f1", FailureDomain: "d1", Follower: true, Followers: []string{"f0", "f1", "f2"}}
	relay := Watcher{Node: "r", FailureDomain: "d1", Followers: follower.Followers}
	cases := []struct {
		name    string
		watcher Watcher
		e       *endpoint.Entry
		parent  *endpoint.Entry
		want    bool
	}{
		{"child of a relay", relay, entry("n", "d1", endpoint.Alive), entry("r", "d1", endpoint.Alive), true},
		{"child of another", relay, entry("n", "d1", endpoint.Alive), entry("q", "d1", endpoint.Alive), false},
		{"suspected parent still watches", follower, entry("n", "d1", endpoint.Alive), entry("q", "d1", endpoint.Suspect), false},
		{"orphan", follower, entry("n", "d1", endpoint.Alive), entry("q", "d1", endpoint.Dead), true},
		{"orphan, relay is no follower", relay, entry("n", "d1", endpoint.Alive), entry("q", "d1", endpoint.Dead), false},
		{"unknown parent", follower, entry("n", "d1", endpoint.Alive), nil, true},
		{"other failure domain", follower, entry("n", "d2", endpoint.Alive), nil, false},
		{"previous in the ring", follower, entry("f0", "d1", endpoint.Alive), nil, true},
		{"next in the ring", follower, entry("f2", "d1", endpoint.Alive), nil, false},
		{"itself", follower, entry("f1", "d1", endpoint.Alive), nil, false},
		{"dead", follower, entry("n", "d1", endpoint.Dead), nil, false},
	}
	for _, c := range cases {
		assert.Equal(t, c.watcher.Watches(c.e, c.parent), c.want, c.name)
	}
}

// Guards against a false verdict that the owner cannot override, and against an R8 rejoin without a verdict.
func TestRefute(t *testing.T) {
	own := entry("n", "d1", endpoint.Alive)
	own.Rejoined = 2
	cases := []struct {
		name                 string
		seen                 endpoint.Key
		refute, declaredDead bool
	}{
		{"own value", own.Key, false, false},
		{"answered death", endpoint.Key{Incarnation: 7, Revision: 1, State: endpoint.Dead}, false, false},
		{"death under an older revision", endpoint.Key{Incarnation: 7, Revision: 2, State: endpoint.Dead}, true, true},
		{"older suspicion", endpoint.Key{Incarnation: 7, Revision: 2, State: endpoint.Suspect}, false, false},
		{"suspect", endpoint.Key{Incarnation: 7, Revision: 3, State: endpoint.Suspect}, true, false},
		{"dead", endpoint.Key{Incarnation: 7, Revision: 3, State: endpoint.Dead}, true, true},
		{"previous process, dead", endpoint.Key{Incarnation: 6, Revision: 9, State: endpoint.Dead}, false, false},
		{"previous process with a fast clock", endpoint.Key{Incarnation: 8, Revision: 1, State: endpoint.Dead}, true, false},
	}
	for _, c := range cases {
		got := Refute(own, &endpoint.Entry{Node: "n", Key: c.seen})
		assert.Equal(t, got.Refute, c.refute, c.name)
		assert.Equal(t, got.DeclaredDead, c.declaredDead, c.name)
		assert.Assert(t, got.Key.Compare(c.seen) > 0 || c.seen == own.Key, c.name)
		assert.Equal(t, got.Key.Compare(own.Key) > 0, c.refute, c.name)
		assert.Equal(t, got.Key.State, own.State, c.name)
	}
}

// Guards against a paused process that takes a late reply for a recent contact, or declares others dead for polls
// that it could not hear.
func TestPause(t *testing.T) {
	const held = time.Second
	contact := ContactTime(start, held, 200*time.Millisecond)
	assert.Assert(t, !Fenced(start.Add(held).Sub(contact), rules))
	assert.Assert(t, Fenced(start.Add(time.Minute).Sub(contact), rules))

	const tick = 200 * time.Millisecond
	assert.Equal(t, PauseCompensation(start, start.Add(tick), tick), time.Duration(0))
	w := Watcher{Node: "p", FailureDomain: "d1"}
	woken := start.Add(time.Minute)
	signs := Observation{LastHeard: start.Add(PauseCompensation(start, woken, tick))}
	assert.Equal(t, w.Evaluate(entry("n", "d1", endpoint.Alive), signs, woken, rules), endpoint.Alive)
}

// Guards against a restarted process that its predecessor's entry outranks.
func TestIncarnation(t *testing.T) {
	assert.Equal(t, Incarnation(100, 50), int64(100))
	assert.Equal(t, Incarnation(100, 100), int64(101))
	assert.Equal(t, Incarnation(100, 900), int64(901))
}
