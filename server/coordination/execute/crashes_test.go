package execute

import (
	"bufio"
	"maps"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

// testMesh is a number of nodes, each with a target of its own, that know each other's entries.
type testMesh struct {
	nodes   []*testNode
	targets []*testTarget
	// held receives the path of each request with the field X-Hold, which is held until its connection ends.
	held chan string
}

func newMesh(t *testing.T, size int) *testMesh {
	m := &testMesh{held: make(chan string, 16)}
	for range size {
		target := newTarget(t, func(req *http.Request, r *bufio.Reader) string {
			if req.Header.Get("X-Hold") == "" {
				return okAnswer
			}
			m.held <- req.URL.Path
			r.ReadByte()
			return ""
		})
		n := newNode(t, target.address, func(_ *Settings, d *Dependencies) { d.View = m.view })
		m.nodes = append(m.nodes, n)
		m.targets = append(m.targets, target)
	}
	return m
}

// view returns a view with the current entry of every node.
func (m *testMesh) view() *view.View {
	entries := make(map[string]*endpoint.Entry)
	for i, n := range m.nodes {
		n.mu.Lock()
		e := n.entry
		n.mu.Unlock()
		e.Node = string(rune('a' + i))
		entries[e.Node] = &e
	}
	return &view.View{Ready: true, Nodes: maps.Clone(entries)}
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
