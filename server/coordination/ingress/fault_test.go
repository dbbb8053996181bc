package ingress

import (
	"context"
	"net/rpc"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
	"wagtailford.example/server/transport/peer"
)

func deadMember(node string) *endpoint.Entry {
	e := member(node)
	e.State = endpoint.Dead
	e.DiedMS = 1
	return e
}

func fenced(*wire.Request) (*wire.Response, error) { return refuse(outcome.ReasonFenced), nil }

func ranBefore(*wire.Request) (*wire.Response, error) { return answered("recorded").response, nil }

// faults lists the expected outcome and number of requests sent for each fault. want is "outcome/reason".
var faults = []struct {
	name    string
	request *Request
	view    *view.View
	// newest is the offset of the newest configuration that is known to exist.
	newest  uint64
	react   []reply
	resolve func(*wire.Request) (*wire.Response, error)
	want    string
	status  int
	sent    int
}{
	{name: "answered", request: request("POST"), react: []reply{answered("ok")}, want: "answered/", status: 200, sent: 1},
	{name: "mesh key not sent", request: request("POST"), react: []reply{{err: errNotSent}, answered("ok")}, want: "answered/", status: 200, sent: 2},
	{name: "mesh key never sent", request: request("POST"), react: []reply{{err: errNotSent}}, want: "refused-not-run/connect_failed", status: 503, sent: 4},
	{name: "caller key never sent", request: request("POST", "Idempotency-Key", "k1"), react: []reply{{err: errNotSent}}, want: "unknown/connect_failed", status: 504, sent: 4},
	{name: "caller key queue full", request: request("POST", "Idempotency-Key", "k1"), react: []reply{refused(outcome.ReasonQueueFull)}, want: "unknown/queue_full", status: 504, sent: 4},
	{name: "caller key has no record", request: request("POST", "Idempotency-Key", "k1"), react: []reply{refused(outcome.ReasonRecordsFull)}, want: "refused-not-run/records_full", status: 503, sent: 4},
	{name: "caller key, no route", request: &Request{Method: "POST", RoutePath: "/none", Path: "/none", Headers: []wire.Header{{Name: "idempotency-key", Value: "k1"}}}, want: "unknown/no_route", status: 404},
	{name: "lost and fenced", request: request("POST"), react: []reply{{err: errLost}, answered("ok")}, resolve: fenced, want: "answered/", status: 200, sent: 2},
	{name: "lost and ran", request: request("POST"), react: []reply{{err: errLost}}, resolve: ranBefore, want: "answered/", status: 200, sent: 1},
	{name: "lost and owner dead", request: request("POST"), react: []reply{{err: errLost}}, want: "unknown/owner_unreachable", status: 504, sent: 1},
	{name: "method error may have run", request: request("POST"), react: []reply{{err: rpc.ServerError("boom")}}, want: "unknown/owner_unreachable", status: 504, sent: 1},
	{name: "idempotent lost", request: request("GET"), react: []reply{{err: errLost}, answered("ok")}, want: "answered/", status: 200, sent: 2},
	{name: "idempotent always silent", request: request("GET"), react: []reply{{err: errLost}}, want: "unknown/connection_silent", status: 504, sent: 4},
	{name: "idempotent silent then refused", request: request("GET"), react: []reply{{err: errLost}, refused(outcome.ReasonQueueFull)}, want: "unknown/queue_full", status: 504, sent: 4},
	{name: "unknown is not retried", request: request("POST"), react: []reply{{response: unknown(outcome.ReasonTargetCrashed)}}, want: "unknown/target_crashed", status: 504, sent: 1},
	{name: "redirect", request: request("POST", "Idempotency-Key", "k1"), react: []reply{redirected("c"), answered("ok")}, want: "answered/", status: 200, sent: 2},
	{name: "redirect loop, mesh key", request: request("POST", "Wagtail-Attempts", "1"), react: []reply{redirected("c")}, want: "refused-not-run/not_owner", status: 503, sent: 4},
	{name: "redirect loop, caller key", request: request("POST", "Idempotency-Key", "k1", "Wagtail-Attempts", "1"), react: []reply{redirected("c")}, want: "unknown/not_owner", status: 504, sent: 4},
	{name: "owner of caller key dead", request: request("POST", "Idempotency-Key", "k1"), view: testView(deadMember("a")), want: "unknown/owner_died", status: 504},
	{name: "mesh key avoids the dead", request: request("POST"), view: testView(deadMember("a"), member("b"), member("c")), react: []reply{answered("ok")}, want: "answered/", status: 200, sent: 1},
	{name: "no target", request: request("GET"), view: testView(), want: "refused-not-run/no_target", status: 503},
	{name: "key reused", request: request("POST", "Idempotency-Key", "k1"), react: []reply{refused(outcome.ReasonKeyReused)}, want: "refused-not-run/key_reused", status: 400, sent: 1},
	{name: "invalid answer", request: request("POST"), react: []reply{{response: &wire.Response{Outcome: outcome.Answered}}}, want: "unknown/answer_cut", status: 504, sent: 1},
	{name: "answer with an invalid field name", request: request("POST"), react: []reply{{response: &wire.Response{Outcome: outcome.Answered, Status: 200, Headers: []wire.Header{{Name: "X A", Value: "b"}}}}}, want: "unknown/answer_cut", status: 504, sent: 1},
	{name: "answer with a line end in a value", request: request("POST"), react: []reply{{response: &wire.Response{Outcome: outcome.Answered, Status: 200, Headers: []wire.Header{{Name: "X-A", Value: "b\r\nc"}}}}}, want: "unknown/answer_cut", status: 504, sent: 1},
	{name: "malformed deadline", request: request("GET", "Wagtail-Deadline-Ms", "soon"), want: "refused-not-run/malformed", status: 400},
	{name: "malformed key", request: request("POST", "Idempotency-Key", "a b"), want: "refused-not-run/malformed", status: 400},
	{name: "two keys", request: request("POST", "Idempotency-Key", "a", "idempotency-key", "b"), want: "refused-not-run/malformed", status: 400},
	{name: "malformed issue time", request: request("POST", "Idempotency-Key", "a", "Idempotency-Key-Issued", "-1"), want: "refused-not-run/malformed", status: 400},
	{name: "oversized header", request: request("GET", "X", strings.Repeat("x", 20<<10)), want: "refused-not-run/header_too_large", status: 431},
	{name: "oversized body", request: &Request{Method: "PUT", RoutePath: "/shop", Path: "/shop", Body: make([]byte, 2<<20)}, want: "refused-not-run/too_large", status: 413},
	{name: "unknown route", request: &Request{Method: "GET", RoutePath: "/shopping", Path: "/shopping"}, want: "refused-not-run/no_route", status: 404},
	{name: "no route in an outdated configuration", request: &Request{Method: "GET", RoutePath: "/shopping", Path: "/shopping"}, newest: 99, want: "refused-not-run/configuration_behind", status: 503},
	{name: "caller key, no route in an outdated configuration", request: &Request{Method: "POST", RoutePath: "/none", Path: "/none", Headers: []wire.Header{{Name: "idempotency-key", Value: "k1"}}}, newest: 99, want: "unknown/configuration_behind", status: 504},
	{name: "deadline passed", request: request("POST", "Wagtail-Deadline-Ms", "0"), want: "refused-not-run/deadline", status: 503},
	{name: "depth exceeded", request: request("GET", "Wagtail-Depth", "16"), want: "refused-not-run/depth_exceeded", status: 503},
	{name: "no attempt left", request: request("GET", "Wagtail-Attempts", "0"), want: "refused-not-run/attempts_exhausted", status: 503},
	{name: "not ready", request: request("GET"), view: &view.View{}, want: "refused-not-run/not_ready", status: 503},
}

// TestFaults guards the outcome, the HTTP status and the number of attempts for each fault.
func TestFaults(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeNet{view: fault.view, react: replySequence(fault.react...), resolve: fault.resolve}
				h := newTestHandler(t, f, func(_ *Settings, d *Dependencies) {
					d.IsBehind = func(offset uint64) bool { return offset < fault.newest }
				})
				defer h.Shutdown(context.Background())
				result := h.Do(t.Context(), fault.request)
				assert.Equal(t, describe(result), fault.want)
				assert.Equal(t, outcome.HTTPStatus(result.Outcome, result.Reason, result.Status), fault.status)
				assert.Equal(t, len(f.sent), fault.sent)
				seen := make(map[uint64]bool)
				for _, r := range f.sent {
					assert.Assert(t, !seen[r.ID], "attempt id %d sent twice", r.ID)
					seen[r.ID] = true
				}
			})
		})
	}
}

// TestGeneratedKeyBelongsToItsTarget guards against generated keys whose owner is not the node that receives the
// request, since every such request would be redirected, and against a repeat with the key reaching another service.
func TestGeneratedKeyBelongsToItsTarget(t *testing.T) {
	f := &fakeNet{react: replySequence(answered("ok")), view: threeMembers()}
	route := &f.view.Content.Routes[0]
	route.Destinations = append(route.Destinations, config.Destination{Service: "atelier", Weight: 1})
	for _, node := range []string{"x", "y"} {
		e := member(node)
		e.Service = "atelier"
		f.view.ByService["atelier"] = append(f.view.ByService["atelier"], e)
	}
	h := newTestHandler(t, f, nil)
	for range 200 {
		result := h.Do(t.Context(), request("POST"))
		assert.Equal(t, describe(result), "answered/")
	}
	services := make(map[string]bool)
	for i, r := range f.sent {
		again := &job{h: h, view: f.view, route: route, keyFromCaller: true, request: wire.Request{Key: r.Key, KeyIssuedMS: r.KeyIssuedMS}}
		owner, _ := again.ownerOfKey(t.Context())
		assert.Equal(t, f.to[i], owner.Address)
		assert.Equal(t, r.Service, owner.Service)
		assert.Assert(t, r.KeyFromMesh && r.KeyIssuedMS > 0)
		services[r.Service] = true
	}
	assert.Equal(t, len(services), 2)
	assert.Equal(t, h.Counters().KeyMissed.Load(), int64(0))
	assert.NilError(t, h.Shutdown(t.Context()))
}

// TestAttemptsShrinkAlongTheChain guards that each retry passes fewer attempts on to the rest of the call chain.
func TestAttemptsShrinkAlongTheChain(t *testing.T) {
	f := &fakeNet{react: replySequence(refused(outcome.ReasonQueueFull))}
	h := newTestHandler(t, f, nil)
	h.Do(t.Context(), request("GET", "Wagtail-Depth", "4", "Wagtail-Attempts", "9"))
	assert.Equal(t, len(f.sent), 4)
	for i, r := range f.sent {
		assert.Equal(t, r.Attempts, 9-i)
		assert.Equal(t, r.Depth, 5)
	}
	assert.NilError(t, h.Shutdown(t.Context()))
}

// TestSilence guards that a request on an unresponsive connection ends shortly after its deadline with an unknown
// outcome.
func TestSilence(t *testing.T) {
	for method, want := range map[string]string{"GET": "unknown/deadline", "POST": "unknown/owner_unreachable"} {
		synctest.Test(t, func(t *testing.T) {
			h := newTestHandler(t, &fakeNet{}, func(_ *Settings, deps *Dependencies) {
				deps.Call = func(ctx context.Context, _, _ string, _, _ any) error {
					<-ctx.Done()
					return &peer.LostError{Cause: ctx.Err()}
				}
			})
			defer h.Shutdown(context.Background())
			start := time.Now()
			result := h.Do(context.Background(), request(method, "Wagtail-Deadline-Ms", "2000"))
			assert.Equal(t, describe(result), want)
			assert.Equal(t, time.Since(start), 2*time.Second+replyGracePeriod)
		})
	}
}

// TestLabels guards that a request with a generated key stays within the labels of its route, also after a redirect,
// and that the target attached to this node is called directly.
func TestLabels(t *testing.T) {
	a, self := member("a"), member("self")
	self.Labels = map[string]string{"tier": "gold"}
	v := testView(a, member("b"), self)
	v.Content.Routes[0].Destinations[0].Labels = self.Labels
	f := &fakeNet{view: v}
	local := 0
	h := newTestHandler(t, f, func(_ *Settings, deps *Dependencies) {
		deps.Local = func(context.Context, *wire.Request) *wire.Response {
			local++
			return redirected("a").response
		}
	})
	defer h.Shutdown(context.Background())
	result := h.Do(t.Context(), request("POST"))
	assert.Equal(t, describe(result), "refused-not-run/not_owner")
	assert.Equal(t, local, 4)
	assert.Equal(t, len(f.sent), 0)
}
