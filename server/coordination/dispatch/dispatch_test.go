package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/coordination/transfer"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
	"wagtailford.example/server/transport/peer"
)

// behaviour is how a fake node handles a request.
type behaviour int

const (
	serves behaviour = iota
	full
	// waits refuses requests with a limit on their wait and serves the others.
	waits
	sheds
	fails
	loses
	runsAndLoses
	unreachable
	cuts
	hangs
	// exceedsShare refuses a request because its organisation has its share, rateLimited because the target has its rate.
	exceedsShare
	rateLimited
)

// mesh simulates a set of nodes.
type mesh struct {
	mu sync.Mutex
	// next returns how a node handles its next request.
	next func(node string) behaviour
	// runs and arrivals are counted by request ID.
	runs, arrivals map[string]int
	canceled       chan wire.CancelArgs
}

func newMesh(next func(string) behaviour) *mesh {
	return &mesh{
		next: next, runs: make(map[string]int), arrivals: make(map[string]int),
		canceled: make(chan wire.CancelArgs, 100),
	}
}

func (m *mesh) call(ctx context.Context, address, method string, args, reply any) error {
	if method == methodCancel {
		m.canceled <- *args.(*wire.CancelArgs)
		return nil
	}
	r := args.(*wire.Request)
	m.mu.Lock()
	does := m.next(address)
	if does == waits && r.MaxWaitMS == 0 {
		does = serves
	}
	switch does {
	case serves, fails, runsAndLoses, cuts:
		m.runs[r.RequestID]++
		m.arrivals[r.RequestID]++
	case sheds:
		m.arrivals[r.RequestID]++
	}
	m.mu.Unlock()
	out := reply.(*wire.Response)
	switch does {
	case serves:
		*out = wire.Response{Outcome: outcome.Answered, Status: 200, Arrived: true, Body: []byte(address)}
	case fails:
		*out = wire.Response{Outcome: outcome.Answered, Status: 500, Arrived: true}
	case cuts:
		*out = wire.Response{Outcome: outcome.Unknown, Reason: outcome.ReasonAnswerCut, Arrived: true}
	case full:
		*out = wire.Response{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonQueueFull, WaitMS: 200}
	case waits:
		*out = wire.Response{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonWaitExceeded, InUse: 18, WaitMS: 100}
	case exceedsShare:
		*out = wire.Response{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonShareExceeded}
	case rateLimited:
		*out = wire.Response{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonRateLimited, WaitMS: 200}
	case sheds:
		*out = wire.Response{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonTargetFull, Arrived: true}
	case loses, runsAndLoses:
		return &peer.LostError{Cause: errors.New("silent")}
	case unreachable:
		return &peer.NotSentError{Cause: errors.New("refused")}
	case hangs:
		<-ctx.Done()
		return &peer.LostError{Cause: ctx.Err()}
	}
	return nil
}

const nodes = 5

func testView() *view.View {
	v := &view.View{
		Version: 3, Ready: true, FleetStated: true,
		ByService: make(map[string][]*endpoint.Entry), Nodes: make(map[string]*endpoint.Entry),
	}
	for i := range nodes {
		e := &endpoint.Entry{
			Node: fmt.Sprintf("n%d", i), Address: fmt.Sprintf("n%d", i), Service: "s", Slots: 18, FailureDomain: "d",
			Key: endpoint.Key{State: endpoint.Alive, Revision: 1},
		}
		v.Nodes[e.Node] = e
		v.ByService["s"] = append(v.ByService["s"], e)
	}
	route := config.Route{
		Host: "h", Timeout: time.Second, MaxAttempts: 3, LatencyObjective: 500 * time.Millisecond,
		Destinations: []config.Destination{{Service: "s", Weight: 1}},
	}
	read, write := route, route
	read.Name, read.PathPrefix, read.Repetition = "read", "/r/", config.Idempotent
	write.Name, write.PathPrefix, write.Repetition = "write", "/w/", config.NonIdempotent
	v.Content = &config.Content{Services: []config.Service{{Name: "s"}}, Routes: []config.Route{read, write}}
	return v
}

func newHandler(m *mesh, v *view.View, seed uint64) *Handler {
	random := rand.New(rand.NewPCG(seed, 3))
	var mu sync.Mutex
	return New(Settings{
		Node: "entry", Place: routing.Locality{FailureDomain: "d"}, MaxTargetsTried: 4, DefaultTimeout: time.Second,
		Routing:    routing.DefaultSettings(),
		RetryLimit: retry.FleetLimit{Ratio: 0.2, Slack: 1e6, Window: 10 * time.Second},
	}, Dependencies{
		View:          func() *view.View { return v },
		Call:          m.call,
		CallerService: func() string { return "s" },
		Random: func() uint64 {
			mu.Lock()
			defer mu.Unlock()
			return random.Uint64()
		},
	})
}

// script returns the given behaviours in order, and serves after the last one.
func script(list ...behaviour) func(string) behaviour {
	return func(string) behaviour {
		if len(list) == 0 {
			return serves
		}
		does := list[0]
		list = list[1:]
		return does
	}
}

// Guards against a retry budget that is divided by the nodes which a new process sees: itself, or others that have just started.
func TestNodesThatShareTheRetryBudget(t *testing.T) {
	for _, c := range []struct {
		stated            bool
		floor, live, dead int
		want              int
	}{
		{false, 0, 1, 0, 0},
		{false, 0, 3, 0, 0},
		{true, 10, 1, 0, 10},
		{true, 10, 7, 1, 10},
		{true, 0, 1, 0, 1},
		{true, 0, 7, 4, 7},
	} {
		v := &view.View{FleetStated: c.stated, FleetFloor: c.floor, Nodes: make(map[string]*endpoint.Entry)}
		for i := range c.live + c.dead {
			e := &endpoint.Entry{Node: fmt.Sprint("n", i), Key: endpoint.Key{State: endpoint.Alive}}
			if i >= c.live {
				e.State = endpoint.Dead
			}
			v.Nodes[e.Node] = e
		}
		assert.Check(t, sharingNodes(v) == c.want, "%+v: %d", c, sharingNodes(v))
	}
}

// Guards against a retry of a request that may have run and is not idempotent, against a missing retry of an
// idempotent one, and against a refusal of a request that may have run.
func TestAttempts(t *testing.T) {
	cases := []struct {
		name     string
		path     string
		script   []behaviour
		want     outcome.Outcome
		status   int
		arrivals int
	}{
		{"served", "/w/1", []behaviour{serves}, outcome.Answered, 200, 1},
		{"full nodes are no arrivals", "/w/1", []behaviour{full, unreachable, full, serves}, outcome.Answered, 200, 1},
		{"all full", "/w/1", []behaviour{full, full, full, full, full}, outcome.RefusedNotRun, 0, 0},
		{"waits exceeded, then served without a limit", "/w/1", []behaviour{waits, waits, waits}, outcome.Answered, 200, 1},
		{"wait exceeded, all others full", "/w/1", []behaviour{waits, full, full, full, serves}, outcome.RefusedNotRun, 0, 0},
		{"wait exceeded at one of two, the other full", "/w/1", []behaviour{waits, full, waits}, outcome.Answered, 200, 1},
		{"shed", "/w/1", []behaviour{sheds, sheds, serves}, outcome.Answered, 200, 3},
		{"shed beyond the attempts of the route", "/w/1", []behaviour{sheds, sheds, sheds, serves}, outcome.RefusedNotRun, 0, 3},
		{"lost, not repeatable", "/w/1", []behaviour{loses, serves}, outcome.Unknown, 0, 0},
		{"ran and lost, not repeatable", "/w/1", []behaviour{runsAndLoses, serves}, outcome.Unknown, 0, 1},
		{"cut, not repeatable", "/w/1", []behaviour{cuts, serves}, outcome.Unknown, 0, 1},
		{"failed, not repeatable", "/w/1", []behaviour{fails, serves}, outcome.Answered, 500, 1},
		{"lost, repeatable", "/r/1", []behaviour{loses, serves}, outcome.Answered, 200, 1},
		{"lost, then full", "/r/1", []behaviour{runsAndLoses, full, full, full}, outcome.Unknown, 0, 1},
		{"failed, repeatable", "/r/1", []behaviour{fails, serves}, outcome.Answered, 200, 2},
		{"failed, then full", "/r/1", []behaviour{fails, full, full, full}, outcome.Answered, 500, 1},
		{"failed everywhere", "/r/1", []behaviour{fails, fails, fails, serves}, outcome.Answered, 500, 3},
		{"no route", "/x/1", nil, outcome.RefusedNotRun, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newMesh(script(c.script...))
			result := newHandler(m, testView(), 1).Do(t.Context(), &Request{ID: "q", Method: "POST", Host: "h", Path: c.path})
			assert.Equal(t, result.Outcome, c.want)
			assert.Equal(t, result.Status, c.status)
			assert.Equal(t, m.arrivals["q"], c.arrivals)
			assert.Equal(t, result.RetryAfter > 0,
				result.Outcome == outcome.RefusedNotRun && result.Reason != outcome.ReasonNoRoute)
		})
	}
}

// Guards against refusals that report no_target when targets exist but are full.
func TestReasonOfRefusal(t *testing.T) {
	v := testView()
	v.ByService["s"] = v.ByService["s"][:2]
	result := newHandler(newMesh(func(string) behaviour { return full }), v, 1).
		Do(t.Context(), &Request{ID: "q", Host: "h", Path: "/w/1"})
	assert.Equal(t, result.Reason, outcome.ReasonQueueFull)
	for _, e := range v.ByService["s"] {
		e.FailureDomain = "elsewhere"
	}
	h := newHandler(newMesh(func(string) behaviour { return full }), v, 1)
	for range 3 {
		result = h.Do(t.Context(), &Request{ID: "q", Host: "h", Path: "/w/1"})
	}
	assert.Equal(t, result.Reason, outcome.ReasonQueueFull, "targets that are not asked again are full, not gone")
	v.ByService["s"] = nil
	result = newHandler(newMesh(script()), v, 1).Do(t.Context(), &Request{ID: "q", Host: "h", Path: "/w/1"})
	assert.Equal(t, result.Reason, outcome.ReasonNoTarget)
}

// Guards against requests that run twice, and against refusals of requests that have run, under random faults of
// the nodes.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 11))
		m := newMesh(func(string) behaviour { return behaviour(random.IntN(int(hangs))) })
		h := newHandler(m, testView(), seed)
		for i := range 20 {
			id, path := fmt.Sprintf("q%d", i), "/w/1"
			if i%2 == 1 {
				path = "/r/1"
			}
			result := h.Do(t.Context(), &Request{ID: id, Method: "GET", Host: "h", Path: path})
			runs, arrivals := m.runs[id], m.arrivals[id]
			assert.Assert(t, runs <= 1 || path == "/r/1", "seed %d: %s ran %d times", seed, id, runs)
			assert.Assert(t, arrivals <= 3, "seed %d: %s arrived %d times", seed, id, arrivals)
			assert.Assert(t, runs == 0 || result.Outcome != outcome.RefusedNotRun, "seed %d: %s ran and was refused", seed, id)
		}
	}
}

// Guards against a target that continues to work on a request after its caller disconnected.
func TestCallerLeaves(t *testing.T) {
	m := newMesh(script(hangs))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan *Result, 1)
	go func() {
		done <- newHandler(m, testView(), 1).Do(ctx, &Request{ID: "q", Method: "GET", Host: "h", Path: "/r/1"})
	}()
	cancel()
	result := <-done
	if m.arrivals["q"] == 0 && result.Outcome == outcome.RefusedNotRun {
		return // The context was cancelled before the first attempt.
	}
	assert.Equal(t, result.Outcome, outcome.Unknown)
	assert.Equal(t, (<-m.canceled).From, "entry")
}

// Guards against a 404 response from a node that has no configuration yet.
func TestNotReady(t *testing.T) {
	empty := &view.View{Ready: true, Content: &config.Content{}}
	unready := testView()
	unready.Ready = false
	for _, v := range []*view.View{nil, empty, unready} {
		m := newMesh(script())
		result := newHandler(m, v, 1).Do(t.Context(), &Request{ID: "q", Method: "GET", Host: "h", Path: "/r/1"})
		assert.Equal(t, result.Outcome, outcome.RefusedNotRun)
		assert.Equal(t, result.Reason, outcome.ReasonNotReady)
		assert.Assert(t, result.RetryAfter > 0)
	}
}

// Guards against requests that are held longer than the timeout of their caller or route, and against a retrying
// caller that is treated as new.
func TestLimits(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	route := &config.Route{Timeout: 1200 * time.Millisecond, LatencyObjective: 500 * time.Millisecond, MaxAttempts: 2}
	cases := []struct {
		caller, elapsed, deadline, objective time.Duration
	}{
		{2500 * time.Millisecond, 0, 1200 * time.Millisecond, 500 * time.Millisecond},
		{800 * time.Millisecond, 0, 800 * time.Millisecond, 500 * time.Millisecond},
		{0, 0, 1200 * time.Millisecond, 500 * time.Millisecond},
		{800 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond, 200 * time.Millisecond},
		{800 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond, 500 * time.Millisecond},
		{100 * time.Millisecond, 0, 100 * time.Millisecond, 100 * time.Millisecond},
	}
	for _, c := range cases {
		l := limitsOf(route, &Request{Timeout: c.caller}, now, time.Minute, c.elapsed)
		assert.Equal(t, l.deadline.Sub(now), c.deadline, "%+v", c)
		assert.Equal(t, l.objective.Sub(now), c.objective, "%+v", c)
		assert.Equal(t, l.attempts, 2)
	}
}

// Guards against requests that get no response when the node shuts down, and against a large request with the
// wrong outcome: unknown although its body was never fetched completely, or refused although a node has the
// complete body.
func TestStopEndsRequests(t *testing.T) {
	large := make([]byte, 2*transfer.ChunkBytes)
	cases := []struct {
		name string
		body []byte
		read int
		want outcome.Outcome
	}{
		{"small", []byte("b"), 0, outcome.Unknown},
		{"body not fetched", large, 0, outcome.RefusedNotRun},
		{"body fetched in part", large, 1, outcome.RefusedNotRun},
		{"body fetched whole", large, 2, outcome.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newMesh(script(hangs))
			h := newHandler(m, testView(), 1)
			h.deps.Call = func(ctx context.Context, address, method string, args, reply any) error {
				if r, ok := args.(*wire.Request); ok {
					assert.Equal(t, r.BodyBytes > 0, len(c.body) > transfer.MaxInlineBytes)
					for i := range c.read {
						err := h.Bodies().Receiver().Read(&wire.BodyArgs{ID: r.ID, Offset: i * transfer.ChunkBytes}, new(wire.BodyReply))
						assert.NilError(t, err)
					}
					go h.CancelInFlight()
				}
				return m.call(ctx, address, method, args, reply)
			}
			result := h.Do(t.Context(), &Request{ID: "q", Method: "POST", Host: "h", Path: "/w/1", Body: c.body})
			assert.Equal(t, result.Outcome, c.want)
			assert.Equal(t, result.Reason, outcome.ReasonShutdown)
			assert.NilError(t, h.WaitIdle(t.Context()))
		})
	}
}

// Guards against a request that is passed on although the node stops before its timeout ends, and against one that is
// refused although it ends in time.
func TestRequestsThatOutliveTheStopAreRefused(t *testing.T) {
	for _, c := range []struct {
		name string
		left time.Duration
		want outcome.Outcome
	}{{"ends in time", time.Minute, outcome.Answered}, {"may end too late", time.Second / 2, outcome.RefusedNotRun}} {
		t.Run(c.name, func(t *testing.T) {
			m := newMesh(script(serves))
			h := newHandler(m, testView(), 1)
			h.FinishBy(time.Now().Add(c.left))
			result := h.Do(t.Context(), &Request{ID: "q", Method: "POST", Host: "h", Path: "/w/1", Timeout: 10 * time.Second})
			assert.Equal(t, result.Outcome, c.want, "%s", result.Reason)
		})
	}
}

// Guards against a node of an older build that executes an announced request without its body.
func TestOlderNodesDoNotRunAnnouncedRequests(t *testing.T) {
	m := newMesh(script(serves))
	h := newHandler(m, testView(), 1)
	asked := 0
	h.deps.Call = func(ctx context.Context, address, method string, args, reply any) error {
		asked++
		if method != methodExecute && asked < 3 {
			return rpc.ServerError("rpc: can't find method " + method)
		}
		return m.call(ctx, address, method, args, reply)
	}
	result := h.Do(t.Context(), &Request{ID: "q", Host: "h", Path: "/w/1", Body: make([]byte, 2*transfer.ChunkBytes)})
	assert.Equal(t, asked, 3, "the request is offered to others")
	assert.Equal(t, result.Outcome, outcome.Answered)
}

// Guards against a target that counts as unreachable because callers left before their requests were sent.
func TestCallerThatLeavesEarlyIsNoConnectFailure(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	assert.Equal(t, notSentReason(ctx), outcome.ReasonConnectFailed)
	stopping, stop := context.WithCancelCause(ctx)
	stop(errStopping)
	assert.Equal(t, notSentReason(stopping), outcome.ReasonConnectFailed)
	cancel(context.Canceled)
	assert.Equal(t, notSentReason(ctx), outcome.ReasonCanceled)
}

// Guards against a setting of the policy that does not reach the selection, and a dump that does not show the policy and the
// load of the targets.
func TestBalanceIsTheOneOfTheSettings(t *testing.T) {
	v := testView()
	for _, name := range []string{"", routing.BalanceLowestCost, routing.BalanceEvenLoad} {
		h := New(Settings{
			Node: "entry", Place: routing.Locality{FailureDomain: "d"}, MaxTargetsTried: 4, DefaultTimeout: time.Second,
			Routing: routing.DefaultSettings(), Balance: name,
			RetryLimit: retry.FleetLimit{Ratio: 0.2, Slack: 1e6, Window: 10 * time.Second},
		}, Dependencies{
			View: func() *view.View { return v }, Call: newMesh(script()).call, CallerService: func() string { return "s" },
			Random: rand.Uint64,
		})
		result := h.Do(t.Context(), &Request{ID: "q", Method: "GET", Host: "h", Path: "/r/1"})
		assert.Equal(t, result.Outcome, outcome.Answered)
		state := h.Dump().(State)
		assert.Equal(t, state.Balance, name)
		assert.Equal(t, state.Load["s"].Reported, 1)
		assert.Equal(t, h.policy == routing.PolicyOf(routing.BalanceEvenLoad), name == routing.BalanceEvenLoad)
	}
}

// Guards against a request that is refused because its own earlier attempt, which said nothing of the failure domain, still
// marks the domain as full, and against other requests that are refused for that reason.
func TestOfferToAFullDomainEndsWithItsAttempt(t *testing.T) {
	cases := []struct {
		name string
		does behaviour
		want outcome.Outcome
	}{
		{"unreachable", unreachable, outcome.Answered},
		{"lost", loses, outcome.Unknown},
		{"canceled by the caller", hangs, outcome.Unknown},
		{"quota of the organisation at the node", exceedsShare, outcome.RefusedNotRun},
		{"limit of the target", rateLimited, outcome.Answered},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := testView()
				for _, e := range v.Nodes {
					e.FailureDomain = "other"
				}
				h := newHandler(newMesh(script(c.does)), v, 1)
				h.settings.Balance, h.domains.Backoff = routing.BalanceEvenLoad, true
				kind := requestKind(&v.Content.Routes[1])
				for range 2 {
					h.domains.Record("other", kind, true, 0, time.Now().UnixMilli())
				}
				time.Sleep(300 * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
				defer cancel()
				first := h.Do(ctx, &Request{Method: "POST", Host: "h", Path: "/w/1"})
				assert.Equal(t, first.Outcome, c.want)
				assert.Equal(t, h.Do(t.Context(), &Request{Method: "POST", Host: "h", Path: "/w/1"}).Outcome, outcome.Answered)
			})
		})
	}
}

// Guards against a field that no recipient accepts, or a status that is none, in an answer of a node of an older build that is
// passed on to a caller.
func TestInvalidAnswersOfNodesAreUnknown(t *testing.T) {
	field := func(name, value string) *wire.Response {
		return &wire.Response{Outcome: outcome.Answered, Status: 200, Headers: []wire.Header{{Name: name, Value: value}}}
	}
	for _, invalid := range []*wire.Response{
		nil, field("", "a"), field("X A", "a"), field("X-A ", "a"), field("X\x00A", "a"), field("X:A", "a"), field("X-A", "a\r\nB: c"),
		field("\nX-A", "a"), field("X-A", "a\nB: c"), field("X-A", "a\x00"), field("X-A", "a\x7f"),
		{Outcome: outcome.Answered},
		{Outcome: outcome.Answered, Status: 103},
		{Outcome: outcome.Answered, Status: 600},
		{Outcome: 9},
	} {
		got := validatedResponse(invalid)
		assert.Equal(t, got.Outcome, outcome.Unknown, "%+v", invalid)
		assert.Assert(t, got.Arrived)
	}
	valid := field("X-A", "a\tb \xe9")
	assert.Equal(t, validatedResponse(valid), valid)
}
