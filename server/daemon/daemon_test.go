package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/daemon/settings"
	"wagtailford.example/server/state/endpoint"
)

// Guards against a planned stop that cuts a request in flight, at the ingress of the stopping node or at another one,
// and against one that waits for an idle connection instead of closing it; idle_timeout is an hour here.
func TestGracefulStop(t *testing.T) {
	l := startLog(t)
	stopping := startNode(t, nodeSettings(l, "n1"))
	other := startNode(t, nodeSettings(l, "n2", stopping.settings.Listen.Peer))
	target := startTarget(t, stopping)
	stopping.publish(t)
	stopping.served(t)
	other.served(t)
	idle, err := net.Dial("tcp", stopping.settings.Listen.Ingress)
	assert.NilError(t, err)
	defer idle.Close()
	_, err = io.WriteString(idle, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	reader := bufio.NewReader(idle)
	first, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, first.Body)
	assert.NilError(t, err)

	answers := make(chan answer, 2)
	for _, n := range []*testNode{stopping, other} {
		go func() { answers <- get(&http.Client{}, n.ingressURL("/hold")) }()
	}
	eventually(t, "both requests run", func() bool { return target.held.Load() == 2 })
	stopping.stop()
	eventually(t, "the node drains", func() bool {
		e := other.control.View().Nodes["n1"]
		return e != nil && e.State == endpoint.Draining
	})
	refused := get(&http.Client{}, other.ingressURL("/x"))
	assert.Equal(t, refused.outcome, "refused-not-run", "%+v", refused)
	close(target.release)
	for range 2 {
		a := <-answers
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, 200)
		assert.Equal(t, a.body, "served /hold")
	}
	assert.NilError(t, stopping.waitEnd(t))
	assert.NilError(t, idle.SetReadDeadline(time.Now().Add(limit)))
	_, err = reader.ReadByte()
	assert.Equal(t, err, io.EOF, "the idle connection was left open")
	assert.Assert(t, !listening(stopping.settings.Listen.Ingress))
}

// Guards against a planned stop of an ingress that cuts a request which runs at another node.
func TestStopOfIngress(t *testing.T) {
	l := startLog(t)
	other := startNode(t, nodeSettings(l, "n2"))
	stopping := startNode(t, nodeSettings(l, "n1", other.settings.Listen.Peer))
	target := startTarget(t, other)
	other.publish(t)
	stopping.served(t)
	held := make(chan answer, 1)
	go func() { held <- get(&http.Client{}, stopping.ingressURL("/hold")) }()
	eventually(t, "the request runs", func() bool { return target.held.Load() == 1 })
	stopping.stop()
	eventually(t, "the ingress takes no more requests", func() bool {
		a := get(&http.Client{}, stopping.ingressURL("/x"))
		return a.err != nil || a.outcome == "refused-not-run"
	})
	close(target.release)
	a := <-held
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, "served /hold")
	assert.NilError(t, stopping.waitEnd(t))
}

// Guards against a second start that disturbs the running node, or that is not possible after its end.
func TestSecondStart(t *testing.T) {
	l := startLog(t)
	text := nodeSettings(l, "n1")
	first := startNode(t, text)
	s, err := settings.Parse("test", []byte(text))
	assert.NilError(t, err)
	for name, taken := range map[string]string{"peer": first.settings.Listen.Peer, "operator": first.settings.Listen.Operator} {
		again := *s
		if name == "operator" {
			again.Listen = settings.Listen{
				Peer: "127.0.0.1:0", Ingress: "127.0.0.1:0", Announce: "127.0.0.1:0", Admin: "127.0.0.1:0", Operator: taken,
			}
		}
		_, err = New(&again)
		assert.ErrorContains(t, err, "listen on "+name+" address: listen tcp "+taken)
	}
	startTarget(t, first)
	first.publish(t)
	first.served(t)
	first.stop()
	assert.NilError(t, first.waitEnd(t))
	second := startNode(t, text)
	startTarget(t, second)
	second.served(t)
}

// Guards against nodes of another cluster, or without the credential, that take part in the mesh.
func TestForeignNodes(t *testing.T) {
	l := startLog(t)
	own := startNode(t, nodeSettings(l, "own"))
	for name, change := range map[string][2]string{
		"cluster":    {"cluster = c", "cluster = other"},
		"credential": {"0123456789abcdef", "fedcba9876543210"},
	} {
		refusedBefore := own.peers.Counters().Values().Refused
		foreign := startNode(t, strings.Replace(nodeSettings(startLog(t), name, own.settings.Listen.Peer), change[0], change[1], 1))
		eventually(t, "the foreign node is refused", func() bool {
			return own.peers.Counters().Values().Refused > refusedBefore
		})
		assert.Assert(t, own.control.View().Nodes[name] == nil)
		assert.Assert(t, foreign.control.View().Nodes["own"] == nil)
	}
	friend := startNode(t, nodeSettings(l, "friend", own.settings.Listen.Peer))
	eventually(t, "a node of the cluster is accepted", func() bool {
		return own.control.View().Nodes["friend"] != nil && friend.control.View().Nodes["own"] != nil
	})
}
