package daemon

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/endpoint"
)

// Guards against a node that announces a planned leave although its drain ran out of time: others would take the keys
// of the request that is still running for handed over and could run them again.
func TestIncompleteStopIsNoLeave(t *testing.T) {
	l := startLog(t)
	text := nodeSettings(l, "n1")
	text = strings.Replace(text, "shutdown_timeout = 5m", "shutdown_timeout = 1s", 1)
	stopping := startNode(t, text)
	other := startNode(t, nodeSettings(l, "n2", stopping.settings.Listen.Peer))
	target := startTarget(t, stopping)
	stopping.publish(t)
	other.served(t)
	go get(&http.Client{}, other.ingressURL("/hold"))
	eventually(t, "the request runs", func() bool { return target.held.Load() == 1 })
	stopping.stop()
	assert.ErrorContains(t, stopping.waitEnd(t), "drain")
	eventually(t, "the end of the node is noticed", func() bool {
		e := other.control.View().Nodes["n1"]
		assert.Assert(t, e == nil || e.State != endpoint.Left, "an incomplete stop was announced as a leave")
		return e != nil && (e.State == endpoint.Suspect || e.State == endpoint.Dead)
	})
	close(target.release)
}
