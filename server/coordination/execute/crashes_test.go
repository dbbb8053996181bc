package execute

import (
	"bufio"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/suspect"
	"wagtailford.example/server/state/view"
)

// testMesh is a number of nodes, each with a target of its own, that share a table of their entries.
type testMesh struct {
	mu      sync.Mutex
	table   *endpoint.Table
	nodes   []*testNode
	targets []*testTarget
	// held receives the path of each request with the field X-Hold, which is held until its connection ends.
	held chan string
}

func newMesh(t *testing.T, size int) *testMesh {
	m := &testMesh{table: endpoint.NewTable(time.Hour), held: make(chan string, 16)}
	for i := range size {
		var target *testTarget
		target = newTarget(t, func(req *http.Request, r *bufio.Reader) string {
			switch {
			case req.URL.Path == "/crash":
				target.crash()
				return ""
			case req.Header.Get("X-Hold") == "":
				return okAnswer
			}
			m.held <- req.URL.Path
			r.ReadByte()
			return ""
		})
		m.targets = append(m.targets, target)
		m.nodes = append(m.nodes, nil)
		m.start(t, i, 1)
	}
	return m
}

// start starts the process of a node, which knows nothing of an earlier one.
func (m *testMesh) start(t *testing.T, i int, incarnation int64) {
	name := string(rune('a' + i))
	entry := endpoint.Entry{Node: name, Key: endpoint.Key{Incarnation: incarnation, Revision: 1}}
	m.mu.Lock()
	m.table.Merge(entry, "", time.Now())
	m.mu.Unlock()
	m.nodes[i] = newNode(t, m.targets[i].address, func(s *Settings, d *Dependencies) {
		s.Node = name
		d.View = m.view
		d.UpdateSelf = func(change func(*endpoint.Entry)) {
			m.mu.Lock()
			defer m.mu.Unlock()
			change(&entry)
			entry.Revision++
			m.table.Merge(entry, "", time.Now())
		}
	})
}

// view returns a view with the current entry of every node.
func (m *testMesh) view() *view.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := &view.View{Ready: true, Nodes: make(map[string]*endpoint.Entry)}
	for _, e := range m.table.All() {
		v.Nodes[e.Node] = e
	}
	return v
}

// Guards against a request that every caller sends and that is refused everywhere once a few targets have ended together
// while it ran there beside others, and against one that stays suspect after a target has run it to its end.
func TestPopularRequestIsRefusedAfterTargetsEndTogether(t *testing.T) {
	m := newMesh(t, 5)
	answers := make(chan outcome.Outcome, 8)
	send := func(n *testNode, path, hold string) {
		r := request(path)
		if hold != "" {
			r.Headers = append(r.Headers, wire.Header{Name: "X-Hold", Value: hold})
		}
		answers <- n.Execute(t.Context(), r).Outcome
	}
	for _, n := range m.nodes[:3] {
		go send(n, "/page", "1")
		go send(n, "/other", "1")
		<-m.held
		<-m.held
	}
	for _, target := range m.targets[:3] {
		target.crash()
	}
	for range 6 {
		assert.Equal(t, <-answers, outcome.Unknown)
	}
	for _, n := range m.nodes[3:] {
		send(n, "/page", "")
		assert.Equal(t, <-answers, outcome.Answered)
	}
	// The page may run beside others again, also where the targets ended.
	m.targets[0].start()
	for _, n := range []*testNode{m.nodes[0], m.nodes[4]} {
		go send(n, "/third", "1")
		<-m.held
		send(n, "/page", "")
		assert.Equal(t, <-answers, outcome.Answered)
	}
}

// Guards against a request that is refused for good because several targets ended for another reason while it ran alone there.
func TestTrialAcquitsARefusedRequest(t *testing.T) {
	m := newMesh(t, 3)
	for _, n := range m.nodes {
		n.crashes.limits.TrialAfter = 0
	}
	var held sync.WaitGroup
	end := func(i int) {
		held.Go(func() {
			r := request("/page")
			r.Headers = []wire.Header{{Name: "X-Hold", Value: "1"}}
			m.nodes[i].Execute(t.Context(), r)
		})
		<-m.held
		m.targets[i].crash()
		held.Wait()
	}
	for _, i := range []int{0, 0, 1} {
		end(i)
		m.targets[i].start()
		time.Sleep(2 * time.Millisecond) // The counts differ in their times, which have milliseconds.
	}
	for _, i := range []int{0, 2} {
		assert.Equal(t, m.nodes[i].Execute(t.Context(), request("/page")).Reason, outcome.ReasonSuspect)
	}
	// The node with the latest crash runs it once more.
	for _, n := range []*testNode{m.nodes[1], m.nodes[0], m.nodes[2]} {
		assert.Equal(t, n.Execute(t.Context(), request("/page")).Outcome, outcome.Answered)
	}
}

// Guards against nodes that forget with their restart which requests crash targets, so that such a request runs again after
// a roll of the mesh, and against a trial for each process.
func TestRestartsForgetRequestsThatCrashTargets(t *testing.T) {
	const size = 4
	m := newMesh(t, size)
	crashes, refusals := 0, 0
	send := func(i int) {
		switch answer := m.nodes[i].Execute(t.Context(), request("/crash")); answer.Outcome {
		case outcome.Unknown:
			crashes++
			m.targets[i].start()
		case outcome.RefusedNotRun:
			assert.Equal(t, answer.Reason, outcome.ReasonSuspect)
			refusals++
		}
	}
	for i := range size {
		send(i)
	}
	assert.Equal(t, crashes, 3)
	for round := range 2 {
		for restarted := range size {
			m.start(t, restarted, int64(round+2))
			for i := range size {
				send(i)
			}
		}
	}
	assert.Equal(t, crashes, 3)
	assert.Equal(t, refusals, 1+2*size*size)
}

// Guards against a restart of all nodes at once after which the counts are known to the store only, and are not used.
func TestRestoredCrashCounts(t *testing.T) {
	m := newMesh(t, 2)
	far := time.Now().Add(time.Hour).UnixMilli()
	own := []endpoint.CrashCount{{Digest: suspect.Digest(testService, "POST", "/crash", []byte("b")), Process: 1, Count: 1, ExpiresMS: far}}
	others := []endpoint.CrashCount{own[0]}
	others[0].Process, others[0].ExpiresMS = 2, far+1
	m.nodes[0].RestoreCrashes(own, others)
	assert.Equal(t, m.nodes[0].Execute(t.Context(), request("/crash")).Reason, outcome.ReasonSuspect)
	assert.DeepEqual(t, m.nodes[0].CrashCounts(), own)
	// Other nodes learn the counts of this node.
	assert.DeepEqual(t, m.view().Nodes["a"].Crashes, own)
	assert.Equal(t, m.targets[0].ran("/crash"), 0)
}

// Guards against a node that cannot read the store after a restart of all nodes and does not learn from another one which requests
// crash targets, also once that one has restarted; and against a trial at each of them.
func TestRecoveredCrashCountsReachOtherNodes(t *testing.T) {
	m := newMesh(t, 3)
	far := time.Now().Add(time.Hour).UnixMilli()
	count := endpoint.CrashCount{Digest: suspect.Digest(testService, "POST", "/crash", []byte("b")), Process: 1, Count: 1, ExpiresMS: far}
	others := []endpoint.CrashCount{count, count, count}
	for i := range others {
		others[i].Process = int64(i + 1)
	}
	for _, n := range m.nodes[:2] {
		n.crashes.limits.TrialAfter = 0
		n.RestoreCrashes(nil, others)
	}
	m.start(t, 0, 2)
	for i, n := range m.nodes {
		assert.Equal(t, n.Execute(t.Context(), request("/crash")).Reason, outcome.ReasonSuspect, "node %d", i)
		assert.Equal(t, len(n.CrashCounts()), 0, "a node keeps its own counts in the store, not those of others")
		assert.Equal(t, m.targets[i].ran("/crash"), 0)
	}
}

// Guards against evidence that is lost because the end of a target is noticed late, when other requests, also
// many, have been sent to it in vain; and against evidence from a run that a later response, or an earlier end, clears of the crash.
func TestEvidenceOfACrashThatIsNoticedLate(t *testing.T) {
	const suspectDigest, otherDigest = 1, 2
	send := func(c *crashTracker, digest uint64, exclusive bool) *inFlightRequest {
		return c.register(digest, exclusive)
	}
	breaks := func(c *crashTracker, f *inFlightRequest) {
		delete(c.flights, f)
		c.addBroken(f, time.Now())
	}
	breakMany := func(c *crashTracker, n int) {
		for range n {
			breaks(c, send(c, otherDigest, false))
		}
	}
	cases := []struct {
		name string
		play func(c *crashTracker)
		want uint8
	}{
		{"others were sent in vain", func(c *crashTracker) {
			c.noteResponse(send(c, otherDigest, false))
			breaks(c, send(c, suspectDigest, true))
			breaks(c, send(c, otherDigest, false))
		}, 1},
		{"another one got a response afterwards", func(c *crashTracker) {
			breaks(c, send(c, suspectDigest, true))
			c.noteResponse(send(c, otherDigest, false))
			breaks(c, send(c, otherDigest, false))
		}, 0},
		{"the target may have ended before", func(c *crashTracker) {
			breaks(c, send(c, otherDigest, false))
			breaks(c, send(c, suspectDigest, true))
		}, 0},
		{"an earlier connection broke, and another request got a response", func(c *crashTracker) {
			breaks(c, send(c, otherDigest, false))
			c.noteResponse(send(c, otherDigest, false))
			breaks(c, send(c, suspectDigest, true))
		}, 1},
		{"many were sent in vain", func(c *crashTracker) {
			c.noteResponse(send(c, otherDigest, false))
			breaks(c, send(c, suspectDigest, true))
			breakMany(c, 4*maxBroken)
		}, 1},
		{"many connections broke before, and another request got a response", func(c *crashTracker) {
			breakMany(c, 4*maxBroken)
			c.noteResponse(send(c, otherDigest, false))
			breaks(c, send(c, suspectDigest, true))
			breakMany(c, 4*maxBroken)
		}, 1},
		{"many connections broke long before", func(c *crashTracker) {
			breakMany(c, maxBroken)
			for _, f := range c.broken {
				f.brokenAt = f.brokenAt.Add(-crashWindow)
			}
			breaks(c, send(c, suspectDigest, true))
			breakMany(c, 4*maxBroken)
		}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			n := newNode(t, "127.0.0.1:1", nil)
			tc.play(n.crashes)
			assert.Assert(t, len(n.crashes.broken) <= maxBroken)
			assert.Assert(t, n.crashes.targetRestarted(false))
			counts := make(map[uint64]uint8)
			for _, c := range n.crashes.ownLedger().Crashes {
				counts[c.Digest] = c.Count
			}
			got, counted := counts[suspectDigest]
			assert.Assert(t, counted, "the request is no suspect")
			assert.Equal(t, got, tc.want)
		})
	}
}
