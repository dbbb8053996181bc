package ingress

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
	"wagtailford.example/server/transport/peer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var (
	errNotSent = &peer.NotSentError{Cause: errors.New("connection refused")}
	errLost    = &peer.LostError{Cause: errors.New("silent")}
)

// reply is the scripted response or error of one call.
type reply struct {
	response *wire.Response
	err      error
}

func answered(body string) reply {
	return reply{response: &wire.Response{Outcome: outcome.Answered, Status: 200, Body: []byte(body)}}
}

func refused(reason outcome.Reason) reply { return reply{response: refuse(reason)} }

func redirected(node string) reply {
	response := refuse(outcome.ReasonNotOwner)
	response.Owner = member(node)
	return reply{response: response}
}

// fakeNet simulates the other nodes. react returns the reply to the nth request, counted from 0; resolve answers
// inquiries.
type fakeNet struct {
	viewMu sync.Mutex
	view   *view.View

	mu       sync.Mutex
	sent     []*wire.Request
	to       []string
	canceled []uint64
	react    func(n int, r *wire.Request) reply
	resolve  func(r *wire.Request) (*wire.Response, error)
}

func (f *fakeNet) call(_ context.Context, address, method string, args, result any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if method == methodCancel {
		f.canceled = append(f.canceled, args.(*wire.CancelArgs).ID)
		return nil
	}
	r := *args.(*wire.Request)
	f.sent = append(f.sent, &r)
	f.to = append(f.to, address)
	reaction := f.react(len(f.sent)-1, &r)
	if reaction.err != nil {
		return reaction.err
	}
	*result.(*wire.Response) = *reaction.response
	return nil
}

func (f *fakeNet) setView(v *view.View) {
	f.viewMu.Lock()
	defer f.viewMu.Unlock()
	f.view = v
}

func (f *fakeNet) viewInForce() *view.View {
	f.viewMu.Lock()
	defer f.viewMu.Unlock()
	return f.view
}

func (f *fakeNet) Resolve(_ context.Context, _ string, r *wire.Request) (*wire.Response, error) {
	if f.resolve == nil {
		return nil, errors.New("owner unreachable")
	}
	return f.resolve(r)
}

// replySequence returns a react function that gives the replies in order and repeats the last one.
func replySequence(replies ...reply) func(int, *wire.Request) reply {
	return func(n int, _ *wire.Request) reply { return replies[min(n, len(replies)-1)] }
}

func member(node string) *endpoint.Entry {
	return &endpoint.Entry{
		Node: node, Key: endpoint.Key{Incarnation: 1, Revision: 1, State: endpoint.Alive},
		Address: node + ":1", FailureDomain: "quimper", Region: "bretagne",
		Service: "vitrine", TargetAddress: node + ":2", Slots: 18, Eligible: true,
	}
}

func testView(entries ...*endpoint.Entry) *view.View {
	v := &view.View{
		Ready: true,
		Content: &config.Content{
			Services: []config.Service{{Name: "vitrine"}},
			Routes: []config.Route{{
				Name: "all", Caller: config.AnyCaller, PathPrefix: "/shop",
				Destinations: []config.Destination{{Service: "vitrine", Weight: 1}},
			}},
		},
		ByService: map[string][]*endpoint.Entry{"vitrine": entries},
		Nodes:     make(map[string]*endpoint.Entry),
	}
	for _, e := range entries {
		v.Nodes[e.Node] = e
	}
	return v
}

func threeMembers() *view.View { return testView(member("a"), member("b"), member("c")) }

// newTestHandler returns a handler that uses the fake network and a large, full retry budget.
func newTestHandler(t testing.TB, f *fakeNet, change func(*Settings, *Dependencies)) *Handler {
	settings := DefaultSettings()
	settings.Node = "self"
	settings.Locality.FailureDomain = "quimper"
	settings.Locality.Region = "bretagne"
	settings.Budget.FloorPerSecond = 1000
	settings.Budget.TokensMax = 1000
	if f.view == nil {
		f.view = threeMembers()
	}
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	deps := Dependencies{
		View:     f.viewInForce,
		Call:     f.call,
		Resolver: f,
		Random: func() uint64 {
			mu.Lock()
			defer mu.Unlock()
			return random.Uint64()
		},
		FirstAttemptID: 1000,
	}
	if change != nil {
		change(&settings, &deps)
	}
	h, err := New(settings, deps)
	assert.NilError(t, err)
	return h
}

func request(method string, headers ...string) *Request {
	r := &Request{Method: method, RoutePath: "/shop/cart", Path: "/shop/cart?x=1", Body: []byte("body")}
	r.Headers = append(r.Headers, wire.Header{Name: HeaderCaller, Value: "alice"})
	for i := 0; i+1 < len(headers); i += 2 {
		r.Headers = append(r.Headers, wire.Header{Name: headers[i], Value: headers[i+1]})
	}
	return r
}

func describe(r *Result) string {
	return fmt.Sprintf("%v/%v", r.Outcome, r.Reason)
}
