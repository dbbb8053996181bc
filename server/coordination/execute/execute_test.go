package execute

import (
	"bufio"
	"context"
	"net/http"
	"net/rpc"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/transfer"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/suspect"
	"wagtailford.example/server/state/view"
)

// Guards against target faults that are reported with a wrong outcome.
func TestFaults(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name, answer string
		want         outcome.Outcome
		reason       outcome.Reason
	}{
		{"whole", okAnswer, outcome.Answered, ""},
		{"error status", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", outcome.Answered, ""},
		{"closed before the status line", "", outcome.Unknown, outcome.ReasonAnswerCut},
		{"short body", ok + "Content-Length: 9\r\n\r\nx", outcome.Unknown, outcome.ReasonAnswerCut},
		{"truncated chunks", ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nx", outcome.Unknown, outcome.ReasonAnswerCut},
		{"body until close", ok + "\r\nx", outcome.Unknown, outcome.ReasonAnswerCut},
		{"too large", ok + "Content-Length: 65\r\n\r\n", outcome.Unknown, outcome.ReasonAnswerDropped},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := newTarget(t, func(*http.Request, *bufio.Reader) string { return c.answer })
			n := newNode(t, target.address, nil)
			r := n.Execute(t.Context(), request("/"))
			assert.Equal(t, r.Outcome, c.want)
			assert.Equal(t, r.Reason, c.reason)
			assert.Equal(t, target.ran("/"), 1)
			assert.Equal(t, len(n.crashCounts()), 0, "a target that still listens did not crash")
			assert.Equal(t, n.Gate.InUse.Load(), int64(0))
		})
	}
}

// Guards against running a request that must be refused, and against refusals without the right reason.
func TestRefusals(t *testing.T) {
	target := newTarget(t, func(*http.Request, *bufio.Reader) string { return okAnswer })
	down := newTarget(t, nil)
	down.crash()
	at := func(address string, reason outcome.Reason) func(*testNode) {
		return func(n *testNode) { n.SetTarget(Target{Service: testService, Address: address, Refuse: reason}) }
	}
	cases := []struct {
		reason  outcome.Reason
		prepare func(*testNode)
		change  func(*wire.Request)
	}{
		{outcome.ReasonNotReady, func(n *testNode) { n.deps.View = func() *view.View { return nil } }, nil},
		{outcome.ReasonTargetDown, at(target.address, outcome.ReasonTargetDown), nil},
		{outcome.ReasonDraining, at(target.address, outcome.ReasonDraining), nil},
		{outcome.ReasonShutdown, at(target.address, outcome.ReasonShutdown), nil},
		{outcome.ReasonTargetDown, at(down.address, ""), nil},
		{outcome.ReasonNoTarget, nil, func(r *wire.Request) { r.Service = "atelier" }},
		{outcome.ReasonDeadline, nil, func(r *wire.Request) { r.TimeoutMS = 0 }},
		{outcome.ReasonMalformed, nil, func(r *wire.Request) { r.Path = "/ HTTP/1.1\r\nA: b" }},
		{outcome.ReasonMalformed, nil, func(r *wire.Request) { r.Headers = []wire.Header{{Name: "A", Value: "b\r\nC: d"}} }},
	}
	for i, c := range cases {
		n := newNode(t, target.address, nil)
		r := request("/")
		if c.prepare != nil {
			c.prepare(n)
		}
		if c.change != nil {
			c.change(r)
		}
		answer := n.Execute(t.Context(), r)
		assert.Equal(t, answer.Outcome, outcome.RefusedNotRun, "case %d", i)
		assert.Equal(t, answer.Reason, c.reason, "case %d", i)
	}
	assert.Equal(t, target.ran("/"), 0)
}

// Guards against end-to-end headers that are lost and hop-by-hop headers that are forwarded.
func TestHeaders(t *testing.T) {
	var got http.Header
	target := newTarget(t, func(r *http.Request, _ *bufio.Reader) string {
		got = r.Header
		return okAnswer
	})
	r := request("/")
	r.Key = "k"
	r.Headers = []wire.Header{
		{Name: "x-caller", Value: "c"},
		{Name: "connection", Value: "X-Hop, close"},
		{Name: "x-hop", Value: "h"},
		{Name: "upgrade", Value: "u"},
		{Name: "wagtail-depth", Value: "99"},
	}
	n := newNode(t, target.address, func(_ *Settings, d *Dependencies) { d.Keys = &fakeKeys{run: true} })
	answer := n.Execute(t.Context(), r)
	assert.Equal(t, answer.Outcome, outcome.Answered)
	assert.Assert(t, got.Get(HeaderDeadline) != "")
	got.Del(HeaderDeadline)
	want := http.Header{
		"X-Caller": {"c"}, HeaderAttempts: {"2"}, HeaderDepth: {"3"}, HeaderKey: {"k"}, "Content-Length": {"1"},
	}
	assert.DeepEqual(t, got, want)
	assert.DeepEqual(t, answer.Headers, []wire.Header{{Name: "X-Answer", Value: "a"}})
}

// Guards against a key that reaches a target because the node that took the request had an earlier configuration, which did not
// require keys.
func TestKeysFromNodesBehindAreRemoved(t *testing.T) {
	var got []string
	target := newTarget(t, func(r *http.Request, _ *bufio.Reader) string {
		got = r.Header.Values(wire.HeaderAuthorization)
		return okAnswer
	})
	for _, c := range []struct {
		content *config.Content
		want    []string
	}{
		{nil, []string{"Bearer k", "Bearer l"}},
		{&config.Content{Authentication: config.KeysNotRequired}, []string{"Bearer k", "Bearer l"}},
		{&config.Content{Authentication: config.KeysRequired}, nil},
		{&config.Content{Organisations: []config.Organisation{{Name: "o"}}}, nil},
	} {
		n := newNode(t, target.address, func(_ *Settings, d *Dependencies) {
			d.View = func() *view.View { return &view.View{Ready: true, Content: c.content} }
		})
		r := request("/")
		r.Headers = []wire.Header{{Name: "Authorization", Value: "Bearer k"}, {Name: "authorization", Value: "Bearer l"}}
		assert.Equal(t, n.Execute(t.Context(), r).Outcome, outcome.Answered)
		assert.DeepEqual(t, got, c.want)
		assert.Equal(t, len(r.Headers), 2, "the request of the sender is unchanged")
	}
}

// blockingTarget returns a target that blocks requests to /hold until their connection closes.
func blockingTarget(t *testing.T) (*testTarget, chan struct{}, chan struct{}) {
	held := make(chan struct{}, 8)
	gone := make(chan struct{}, 8)
	target := newTarget(t, func(req *http.Request, r *bufio.Reader) string {
		if req.URL.Path == "/hold" {
			held <- struct{}{}
			r.ReadByte()
			gone <- struct{}{}
			return ""
		}
		return okAnswer
	})
	return target, held, gone
}

// Guards against a request that reaches the target long after its caller has left, because it was delayed on one connection
// and its cancellation came on another one.
func TestCancelOvertakesItsRequest(t *testing.T) {
	target, held, _ := blockingTarget(t)
	n := newNode(t, target.address, nil)
	for range 2 {
		assert.NilError(t, n.Receiver().Cancel(&wire.CancelArgs{From: "sender", ID: 1}, nil))
	}
	var reply wire.Response
	r := request("/hold")
	r.TimeoutMS = 500
	assert.NilError(t, n.Receiver().Execute(r, &reply))
	assert.Equal(t, reply.Outcome, outcome.RefusedNotRun)
	assert.Equal(t, reply.Reason, outcome.ReasonCanceled)
	assert.Equal(t, len(held), 0)
	assert.Equal(t, n.Counters.Overtaken.Load(), int64(1))

	other := request("/ok")
	other.From = "other"
	assert.NilError(t, n.Receiver().Execute(other, &reply))
	assert.Equal(t, reply.Outcome, outcome.Answered, "the same number of another sender is another attempt")
}

// Guards against memory that grows with the cancellations of attempts that never arrive.
func TestOvertakingCancellationsAreBounded(t *testing.T) {
	var a attempts
	now := time.Now()
	for id := range uint64(3 * overtakingMax) {
		a.cancel("sender", id, now)
	}
	assert.Equal(t, len(a.canceled), overtakingMax)
	assert.Equal(t, len(a.queue), overtakingMax)
	a.cancel("sender", 1, now.Add(2*overtakingTTL))
	assert.Equal(t, len(a.canceled), 1)
	assert.Equal(t, len(a.queue), 1)
}

// Guards against a request that continues at the target after it was cancelled or its deadline passed, and against
// a slot that is not released.
func TestCancelAndDeadline(t *testing.T) {
	target, held, gone := blockingTarget(t)
	n := newNode(t, target.address, nil)
	server := rpc.NewServer()
	assert.NilError(t, server.RegisterName(wire.ServiceNode, n.Receiver()))
	answers := make(chan *wire.Response)
	go func() {
		var reply wire.Response
		n.Receiver().Execute(request("/hold"), &reply)
		answers <- &reply
	}()
	<-held
	assert.NilError(t, n.Receiver().Cancel(&wire.CancelArgs{From: "sender", ID: 1}, nil))
	<-gone
	answer := <-answers
	assert.Equal(t, answer.Outcome, outcome.Unknown)
	assert.Equal(t, answer.Reason, outcome.ReasonCanceled)

	r := request("/hold")
	r.TimeoutMS = 50
	answer = n.Execute(t.Context(), r)
	<-gone
	assert.Equal(t, answer.Reason, outcome.ReasonTargetTimeout)
	assert.Equal(t, n.Gate.InUse.Load(), int64(0))
	assert.Equal(t, len(n.crashCounts()), 0, "a cancelled request crashed nothing")
}

// fakeKeys is a key manager that either lets every request run or replays a response.
type fakeKeys struct {
	run      bool
	begun    int
	finished []*wire.Response
}

func (k *fakeKeys) Begin(context.Context, *wire.Request) (bool, func(*wire.Response), *wire.Response) {
	k.begun++
	if !k.run {
		return false, nil, &wire.Response{Outcome: outcome.Answered, Replayed: true}
	}
	return true, func(r *wire.Response) { k.finished = append(k.finished, r) }, nil
}

// Guards against a key record left behind by a refusal, a result that is not recorded, and a slot that is not
// released after a replayed response.
func TestKeys(t *testing.T) {
	target, held, _ := blockingTarget(t)
	keys := &fakeKeys{run: true}
	n := newNode(t, target.address, func(s *Settings, d *Dependencies) {
		s.Admission.Slots = 1
		s.Admission.Queue = 0
		d.Keys = keys
	})
	keyed := request("/")
	keyed.Key = "k"
	assert.Equal(t, n.Execute(t.Context(), keyed).Outcome, outcome.Answered)
	assert.Equal(t, keys.finished[0].Outcome, outcome.Answered)

	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan *wire.Response)
	go func() { done <- n.Execute(ctx, request("/hold")) }()
	<-held
	answer := n.Execute(t.Context(), keyed)
	assert.Equal(t, answer.Reason, outcome.ReasonQueueFull)
	assert.Equal(t, answer.InUse, 1, "the answer carries the load")
	assert.Equal(t, keys.begun, 1, "a refused request must not begin")
	cancel()
	<-done
	assert.NilError(t, n.WaitIdle(t.Context()))

	drained := n.Target()
	drained.Refuse = outcome.ReasonDraining
	n.SetTarget(drained)
	assert.Equal(t, n.runKeyed(t.Context(), keyed, 0, false, nil).Reason, outcome.ReasonDraining)
	assert.Equal(t, keys.begun, 1, "a request that was queued when the drain began must not begin")
	drained.Refuse = outcome.ReasonNone
	n.SetTarget(drained)

	keys.run = false
	answer = n.Execute(t.Context(), keyed)
	assert.Assert(t, answer.Replayed)
	assert.Equal(t, target.ran("/"), 1)
	assert.Equal(t, n.Gate.InUse.Load(), int64(0))
}

// Guards against a full worker pool that blocks instead of refusing.
func TestFullPool(t *testing.T) {
	target, held, _ := blockingTarget(t)
	n := newNode(t, target.address, func(s *Settings, _ *Dependencies) { s.Workers = 1 })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan *wire.Response)
	go func() { done <- n.Execute(ctx, request("/hold")) }()
	<-held
	assert.Equal(t, n.Execute(t.Context(), request("/")).Reason, outcome.ReasonOverloaded)
	cancel()
	<-done
}

// Guards against a request that crashes its target repeatedly, and against a harmless concurrent request that
// remains a suspect.
func TestCrashingRequestIsStopped(t *testing.T) {
	held := make(chan struct{}, 1)
	var target *testTarget
	target = newTarget(t, func(req *http.Request, r *bufio.Reader) string {
		switch {
		case req.URL.Path == "/crash":
			target.crash()
			return ""
		case target.ran("/innocent") == 1:
			held <- struct{}{}
			r.ReadByte()
			return ""
		default:
			return okAnswer
		}
	})
	n := newNode(t, target.address, nil)
	innocent := make(chan *wire.Response)
	go func() { innocent <- n.Execute(t.Context(), request("/innocent")) }()
	<-held
	for i := range 10 {
		answer := n.Execute(t.Context(), request("/crash"))
		if i < 3 {
			assert.Equal(t, answer.Outcome, outcome.Unknown)
			assert.Equal(t, answer.Reason, outcome.ReasonTargetCrashed)
			target.start()
			continue
		}
		assert.Equal(t, answer.Outcome, outcome.RefusedNotRun)
		assert.Equal(t, answer.Reason, outcome.ReasonSuspect)
	}
	assert.Equal(t, target.ran("/crash"), 3)
	assert.Equal(t, n.Counters.Crashes.Load(), int64(3))
	assert.Equal(t, (<-innocent).Reason, outcome.ReasonTargetCrashed)

	r := request("/innocent")
	digest := suspect.Digest(r.Service, r.Method, r.Path, r.Body)
	assert.Equal(t, n.crashes.standing(digest), suspect.Suspected)
	assert.Equal(t, len(n.crashCounts()), 2)
	assert.Equal(t, n.Execute(t.Context(), r).Outcome, outcome.Answered)
	assert.Equal(t, n.crashes.standing(digest), suspect.Clear)
	ledger := n.crashes.ownLedger()
	assert.Equal(t, len(ledger.Cleared), 1)
	assert.Equal(t, ledger.Cleared[0].Digest, digest)
}

// Guards against a crash that is missed because the target restarted before it was probed, and against a crash
// that is counted twice.
func TestRestartMakesSuspects(t *testing.T) {
	target, held, _ := blockingTarget(t)
	n := newNode(t, target.address, nil)
	done := make(chan *wire.Response)
	go func() { done <- n.Execute(t.Context(), request("/hold")) }()
	<-held
	n.SetTarget(Target{Service: testService, Address: target.address, Start: "second"})
	assert.Equal(t, len(n.crashCounts()), 1)
	target.crash()
	assert.Equal(t, (<-done).Reason, outcome.ReasonTargetCrashed)
	assert.Equal(t, n.crashCounts()[0].Count, uint8(0), "the request did not run alone")
	assert.Equal(t, n.Counters.Crashes.Load(), int64(1))
}

// Guards against a request that waits for a slot while its target begins to drain, and reaches it long after the drain was
// acknowledged; and against one that the target would still have served in time and is refused.
func TestWaitingRequestReachesDrainedTarget(t *testing.T) {
	const window = 20 * time.Millisecond
	cases := []struct {
		name   string
		window time.Duration
		change func(*Target)
		want   outcome.Reason
	}{
		{"drain window passed", window, func(target *Target) { target.Refuse = outcome.ReasonDraining }, outcome.ReasonDraining},
		{"within the drain window", time.Hour, func(target *Target) { target.Refuse = outcome.ReasonDraining }, outcome.ReasonNone},
		{"another process", window, func(target *Target) { target.Start = "second" }, outcome.ReasonNone},
		{"another service", window, func(target *Target) { target.Start, target.Service = "second", "atelier" }, outcome.ReasonNoTarget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target, held, _ := blockingTarget(t)
			n := newNode(t, target.address, func(s *Settings, _ *Dependencies) {
				s.Admission.Slots = 1
				s.DrainWindow = c.window
			})
			ctx, release := context.WithCancel(t.Context())
			go n.Execute(ctx, request("/hold"))
			<-held
			waiting := make(chan *wire.Response)
			go func() {
				r := request("/")
				r.ID = 2
				waiting <- n.Execute(t.Context(), r)
			}()
			for n.Gate.Queued.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			changed := n.Target()
			c.change(&changed)
			n.SetTarget(changed)
			time.Sleep(2 * window)
			release()
			answer := <-waiting
			assert.Equal(t, answer.Reason, c.want)
			assert.Equal(t, target.ran("/") == 0, c.want != outcome.ReasonNone)
		})
	}
}

// Guards against a request that holds a slot, waits for its key or a connection meanwhile, and is sent to a target that has
// drained or was replaced.
func TestSendIsCheckedRightBeforeTheBytes(t *testing.T) {
	target := newTarget(t, func(*http.Request, *bufio.Reader) string { return okAnswer })
	for _, c := range []struct {
		change func(*Target)
		want   outcome.Reason
	}{
		{func(target *Target) { target.Refuse = outcome.ReasonDraining }, outcome.ReasonDraining},
		{func(target *Target) { target.Refuse = outcome.ReasonNoTarget }, outcome.ReasonNoTarget},
		{func(target *Target) { target.Start = "second" }, outcome.ReasonTargetReplaced},
		{func(target *Target) { target.Service = "atelier" }, outcome.ReasonNoTarget},
	} {
		n := newNode(t, target.address, nil)
		chosen := n.Target()
		changed := chosen
		c.change(&changed)
		n.SetTarget(changed)
		assert.Equal(t, n.checkSend(request("/"), chosen, 0), c.want)
	}
}

// Guards against new requests to a target that started to drain while the body of the request was being fetched.
func TestLeavingTargetGetsNoFetchedBody(t *testing.T) {
	target := newTarget(t, func(*http.Request, *bufio.Reader) string { return okAnswer })
	var n *testNode
	leave := false
	n = newNode(t, target.address, func(_ *Settings, d *Dependencies) {
		d.Bodies = transfer.NewFetcher(func(_ context.Context, _, _ string, _, reply any) error {
			if leave {
				leaving := n.Target()
				leaving.Refuse = outcome.ReasonDraining
				n.SetTarget(leaving)
			}
			reply.(*wire.BodyReply).Body = []byte("body")
			return nil
		}, 10, 1<<20)
	})
	announced := func() *wire.Request {
		r := request("/")
		r.Body, r.BodyBytes = nil, len("body")
		return r
	}
	assert.Equal(t, n.Execute(t.Context(), announced()).Outcome, outcome.Answered)
	leave = true
	answer := n.Execute(t.Context(), announced())
	assert.Equal(t, answer.Outcome, outcome.RefusedNotRun)
	assert.Equal(t, answer.Reason, outcome.ReasonDraining)
	assert.Equal(t, target.ran("/"), 1)
}
