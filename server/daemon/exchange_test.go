package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/ingress"
	"wagtailford.example/server/coordination/ownership"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
)

// kinds of requests.
const (
	idempotentKind = "idempotent"
	generatedKind  = "generated key"
	callerKeyKind  = "caller's key"
)

// repeatsMax is how often a caller repeats a request of unknown outcome.
const repeatsMax = 40

// exchangeCall is a request, with the results of its first sending and its repeats.
type exchangeCall struct {
	kind, path, key string
	headers         []wire.Header
	results         []*ingress.Result
}

func (c *exchangeCall) method() string {
	if c.kind == idempotentKind {
		return "GET"
	}
	return "POST"
}

// send makes the request at a node. After an unknown outcome the caller repeats it with the key that it was told.
func (c *exchangeCall) send(ctx context.Context, n *exchangeNode) *ingress.Result {
	r := &ingress.Request{
		Method: c.method(), RoutePath: c.path, Path: c.path, Body: []byte("body of " + c.path),
		Headers: append([]wire.Header{{Name: ingress.HeaderCaller, Value: "alice"}}, c.headers...),
	}
	if c.key != "" {
		r.Headers = append(r.Headers, wire.Header{Name: ownership.HeaderKey, Value: c.key})
	}
	result := n.handler.Do(ctx, r)
	if c.kind == generatedKind && result.Outcome == outcome.Unknown {
		c.key = result.Key
	}
	c.results = append(c.results, result)
	return result
}

// repeat sends the request again, without limits of time, until its outcome is known.
func (c *exchangeCall) repeat(t *testing.T, at ...*exchangeNode) {
	c.headers = nil
	for i := 0; c.last().Outcome == outcome.Unknown && i < repeatsMax; i++ {
		c.send(t.Context(), at[i%len(at)])
	}
}

func (c *exchangeCall) last() *ingress.Result { return c.results[len(c.results)-1] }

// check compares what the caller was told with the runs at the targets. Nothing may run any more.
func (c *exchangeCall) check(t *testing.T, m *exchange) {
	t.Helper()
	runs := m.ran(c.path)
	if c.kind != idempotentKind {
		assert.Check(t, runs <= 1, "%s %s ran %d times: %s", c.kind, c.path, runs, c.told())
	}
	for i, r := range c.results {
		switch r.Outcome {
		case outcome.Answered:
			whole := string(r.Body) == answerTo(c.method(), c.path, "body of "+c.path)
			assert.Check(t, r.Status == 200 && whole && runs > 0, "%s %s: wrong answer %d of %d bytes", c.kind, c.path, r.Status, len(r.Body))
		case outcome.RefusedNotRun:
			first := c.kind != idempotentKind || i == 0
			assert.Check(t, !first || runs == 0, "%s %s refused as not run, ran %d times: %s", c.kind, c.path, runs, c.told())
		}
	}
}

func (c *exchangeCall) told() string {
	text := ""
	for _, r := range c.results {
		text += fmt.Sprintf(" %v/%v", r.Outcome, r.Reason)
	}
	return text
}

// keyOf returns a key that a node owns.
func (m *exchange) keyOf(node string) string {
	members := m.view(nil).ByService[exchangeService]
	for i := 0; ; i++ {
		key := fmt.Sprintf("key-%s-%d", node, i)
		if ownership.Place(members, key, 0, time.Now().UnixMilli(), ownership.DefaultSettings("").Rules).Owner.Node == node {
			return key
		}
	}
}

// connect opens the connections of a node to others.
func (n *exchangeNode) connect(to ...*exchangeNode) {
	for _, other := range to {
		args := &wire.CancelArgs{From: n.name, ID: 1}
		err := n.pool.Call(n.mesh.t.Context(), other.link.address, wire.ServiceNode+".Cancel", args, new(wire.CancelReply))
		assert.NilError(n.mesh.t, err)
	}
}

// TestExchangeFaults guards I4, I5 and I6 over real connections: for each fault of the connection between the entry
// node and the executing node, the caller gets its own whole answer or an honest outcome, and a repeat at another
// node never runs a key again.
func TestExchangeFaults(t *testing.T) {
	for name, fault := range linkFaults {
		for _, kind := range []string{idempotentKind, generatedKind, callerKeyKind} {
			for _, limit := range []string{"", "150"} {
				t.Run(name+"/"+kind+"/"+limit, func(t *testing.T) {
					deadline, _ := strconv.Atoi(limit)
					for !testExchangeFault(t, fault, kind, deadline) {
						// On a busy machine the target may need longer than the request has.
						deadline *= deadlineFactor
						assert.Assert(t, deadline <= deadlineMaxMS, "the outcome stays unknown at each deadline")
					}
				})
			}
		}
	}
}

// deadlineFactor and deadlineMaxMS bound the deadlines that follow one within which the target did not answer.
const deadlineFactor, deadlineMaxMS = 10, 15_000

// testExchangeFault plays a fault. deadline is in milliseconds, 0 for none. The result is false if the target did not answer
// within the deadline of a request that must not run twice, so that its outcome stays unknown.
func testExchangeFault(t *testing.T, fault linkFault, kind string, deadline int) bool {
	m := newExchange(t, "a", "b", "c")
	entry, b, c := m.nodes[0], m.nodes[1], m.nodes[2]
	entry.hidden.Store(&entry.name)
	entry.connect(b, c)
	call := &exchangeCall{kind: kind, path: "/faulty"}
	if kind == callerKeyKind {
		call.key = m.keyOf(b.name)
	}
	if deadline > 0 {
		call.headers = []wire.Header{{Name: "Wagtail-Deadline-Ms", Value: strconv.Itoa(deadline)}}
	}
	for _, n := range []*exchangeNode{b, c} {
		assert.Assert(t, n.link.arm(fault), "no connection to disturb")
	}
	first := call.send(t.Context(), entry)
	t.Logf("%v/%v after %d runs", first.Outcome, first.Reason, m.ran(call.path))
	assert.Assert(t, fault == noFault || b.link.hitCount()+c.link.hitCount() > 0, "the fault did not happen")
	b.link.release()
	c.link.release()
	call.repeat(t, c, b)
	if deadline > 0 && kind != idempotentKind && call.last().Reason == outcome.ReasonTargetTimeout {
		m.stop()
		call.check(t, m)
		return false
	}
	assert.Assert(t, call.last().Outcome != outcome.Unknown, "%s", call.told())
	other := &exchangeCall{kind: generatedKind, path: "/next"}
	other.send(t.Context(), entry)
	other.repeat(t, entry)
	assert.Equal(t, other.last().Outcome, outcome.Answered, "%s", other.told())
	m.stop()
	call.check(t, m)
	other.check(t, m)
	return true
}

func (m *exchange) stop() {
	for _, n := range m.nodes {
		n.stop()
	}
}

// TestLateReplyAfterCallerLeft guards I4: the reply to a caller that has gone arrives on a connection that other
// callers use, and none of them gets it.
func TestLateReplyAfterCallerLeft(t *testing.T) {
	for _, kind := range []string{idempotentKind, generatedKind} {
		t.Run(kind, func(t *testing.T) {
			m := newExchange(t, "a", "b")
			entry := m.nodes[0]
			entry.hidden.Store(&entry.name)
			release := make(chan struct{})
			m.hold["/gone"] = release
			gone := &exchangeCall{kind: kind, path: "/gone"}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var callers sync.WaitGroup
			callers.Go(func() { gone.send(ctx, entry) })
			assert.Equal(t, <-m.started, "/gone")
			calls := []*exchangeCall{gone}
			for i := range 20 {
				call := &exchangeCall{kind: kind, path: fmt.Sprintf("/other-%d", i)}
				calls = append(calls, call)
				callers.Go(func() { call.send(t.Context(), entry) })
				if i == 10 {
					cancel()
					close(release)
				}
			}
			callers.Wait()
			assert.Assert(t, gone.last().Outcome != outcome.RefusedNotRun, "%s", gone.told())
			m.stop()
			for _, call := range calls {
				call.check(t, m)
			}
		})
	}
}

const (
	// exchangeBatches times exchangeBatch requests are sent by TestExchangeSchedule.
	exchangeBatches = 50
	exchangeBatch   = 8
	exchangeSeed    = 20261204
)

// TestExchangeSchedule guards I4, I5 and I6 under a seeded schedule of faults on all connections, of lagging views,
// of callers that leave and of short deadlines, while requests of all kinds run at the same time.
func TestExchangeSchedule(t *testing.T) {
	random := rand.New(rand.NewPCG(exchangeSeed, 1))
	m := newExchange(t, "a", "b", "c")
	var calls []*exchangeCall
	for batch := range exchangeBatches {
		n := m.nodes[random.IntN(3)]
		n.link.arm(linkFault(random.IntN(int(refused) + 1)))
		entry := m.nodes[random.IntN(3)]
		entry.hidden.Store(&[]string{"", "a", "b", "c"}[random.IntN(4)])
		calls = append(calls, m.sendBatch(random, batch)...)
		for _, n := range m.nodes {
			n.link.release()
		}
	}
	outcomes := make(map[outcome.Outcome]int)
	for _, call := range calls {
		outcomes[call.results[0].Outcome]++
		if call.kind != idempotentKind {
			call.repeat(t, m.nodes...)
		}
	}
	hits := 0
	for _, n := range m.nodes {
		hits += n.link.hitCount()
	}
	t.Logf("%d requests, first outcomes %v, %d disturbed reads", len(calls), outcomes, hits)
	assert.Assert(t, hits > 0 && outcomes[outcome.Answered] > 0)
	m.stop()
	for _, call := range calls {
		call.check(t, m)
	}
}

// sendBatch sends requests at the same time and waits for their first outcomes.
func (m *exchange) sendBatch(random *rand.Rand, batch int) []*exchangeCall {
	var callers sync.WaitGroup
	var calls []*exchangeCall
	for i := range exchangeBatch {
		call := &exchangeCall{path: fmt.Sprintf("/%d-%d", batch, i)}
		call.kind = []string{idempotentKind, generatedKind, callerKeyKind}[random.IntN(3)]
		if call.kind == callerKeyKind {
			call.key = "key" + call.path
		}
		if random.IntN(6) == 0 {
			call.headers = []wire.Header{{Name: "Wagtail-Deadline-Ms", Value: "100"}}
		}
		ctx, cancel := context.WithCancel(m.t.Context())
		if random.IntN(6) == 0 {
			time.AfterFunc(time.Duration(random.IntN(20))*time.Millisecond, cancel)
		}
		entry := m.nodes[random.IntN(3)]
		calls = append(calls, call)
		callers.Go(func() {
			defer cancel()
			call.send(ctx, entry)
		})
	}
	callers.Wait()
	return calls
}

// Guards against a fixture whose nodes do not own keys, which would make the tests above pass without a run.
func TestExchangeFixture(t *testing.T) {
	m := newExchange(t, "a", "b", "c")
	for _, e := range m.view(nil).ByService[exchangeService] {
		assert.Assert(t, e.Eligible && e.State == endpoint.Alive, e.Node)
	}
	for _, n := range m.nodes {
		call := &exchangeCall{kind: callerKeyKind, path: "/" + n.name, key: m.keyOf(n.name)}
		call.send(t.Context(), m.nodes[0])
		again := call.send(t.Context(), m.nodes[1])
		assert.Assert(t, again.Replayed, "%s", call.told())
	}
	paths := []string{"/a", "/b", "/c"}
	assert.Assert(t, !slices.ContainsFunc(paths, func(path string) bool { return m.ran(path) != 1 }))
}
