package execute

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/wire"
)

// statingCodec reads a limit from the field X-Limit and leaving from X-Leaving.
type statingCodec struct{ defaultCodec }

func (statingCodec) ReadNotice(resp *protocol.Response) Notice {
	n := Notice{Leaving: len(resp.Header.Peek("X-Leaving")) > 0}
	if value := resp.Header.Peek("X-Limit"); len(value) > 0 {
		perSecond, err := strconv.ParseFloat(string(value), 64)
		n.Limited, n.PerSecond = err == nil, perSecond
		if err != nil {
			n.Unreadable = string(value)
		}
	}
	return n
}

// newStatingNode returns a node whose target answers with the fields in head.
func newStatingNode(t *testing.T, left *atomic.Value) (*testNode, *atomic.Value) {
	head := new(atomic.Value)
	head.Store("")
	target := newTarget(t, func(*http.Request, *bufio.Reader) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + head.Load().(string) + "\r\nok"
	})
	// An end of the connection that the response does not announce would reach the next request.
	target.keepsOpen = true
	return newNode(t, target.address, func(s *Settings, d *Dependencies) {
		s.Codec = statingCodec{}
		d.OnLeaving = func(start, _ string) { left.Store(start) }
	}), head
}

// stated returns the limit in force as a response states it; -1 if there is none.
func stated(r *wire.Response) float64 {
	if r.TargetState == nil || !r.TargetState.Limited {
		return -1
	}
	return r.TargetState.PerSecond
}

// Guards against a limit that is lost when the node beside the target restarts, taken over for another process of the
// target, or believed against what the target itself says.
func TestLimitComesBackWithRequests(t *testing.T) {
	var left atomic.Value
	n, head := newStatingNode(t, &left)
	start := n.Target().Start
	send := func(known *wire.KnownLimit) float64 {
		r := request("/a")
		r.KnownLimit = known
		return stated(n.Execute(context.Background(), r))
	}
	head.Store("X-Limit: x\r\n")
	assert.Equal(t, send(nil), -1.0)
	assert.Equal(t, send(&wire.KnownLimit{Target: "another", PerSecond: 50}), -1.0)
	assert.Equal(t, send(&wire.KnownLimit{Target: start, PerSecond: -50}), -1.0)
	assert.Equal(t, send(&wire.KnownLimit{Target: start, PerSecond: 50, AgeMS: 900}), 50.0)
	assert.Equal(t, send(&wire.KnownLimit{Target: start, PerSecond: 70, AgeMS: 100}), 70.0, "the newer statement")
	assert.Equal(t, send(&wire.KnownLimit{Target: start, PerSecond: 40, AgeMS: 1 << 60}), 70.0, "an older statement")
	head.Store("X-Limit: 60\r\n")
	assert.Equal(t, send(nil), 60.0)
	assert.Equal(t, send(&wire.KnownLimit{Target: start, PerSecond: 30}), 60.0, "the target itself has stated its limit")
	head.Store("X-Limit: -\r\n")
	assert.Equal(t, send(nil), 60.0, "an unreadable limit changes nothing")
	head.Store("")
	assert.Equal(t, send(nil), -1.0)
	dump := n.Dump().(Dump).Condition
	assert.Assert(t, !dump.Limited && dump.FromTarget)
	assert.Equal(t, dump.LimitsAdopted, int64(2))
	assert.Assert(t, dump.LimitsUnreadable > 1)

	head.Store("X-Limit: 60\r\n")
	assert.Equal(t, send(nil), 60.0)
	restarted := n.Target()
	restarted.Start += "+"
	n.SetTarget(restarted)
	assert.Equal(t, n.Dump().(Dump).Condition.Limited, false, "another process has stated nothing yet")
}

// Guards against a target that says in a response that it leaves, and whose node does not hear of it before the response is
// passed on.
func TestLeavingIsReportedWithTheResponse(t *testing.T) {
	var left atomic.Value
	n, head := newStatingNode(t, &left)
	head.Store("X-Leaving: 1\r\n")
	response := n.Execute(context.Background(), request("/a"))
	assert.Equal(t, left.Load(), n.Target().Start)
	assert.Assert(t, response.TargetState != nil && response.TargetState.Leaving)
	assert.Equal(t, response.TargetState.Target, n.Target().Start)
}
