package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/quota"
	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

// entryQuota is the quota at a node that reaches no owner.
type entryQuota struct {
	entry *quota.Entry
	start time.Time
}

func newEntryQuota(list []config.Organisation) *entryQuota {
	q := &entryQuota{quota.NewEntry("entry", 1), time.Now()}
	q.entry.SetMembers(quota.Members{Known: 2, Owners: make([]quota.Peer, 8)}, quota.RatesOf(list), 1, 0)
	return q
}

func (q *entryQuota) Admit(o *config.Organisation, now time.Time) (bool, time.Duration) {
	return q.entry.Admit(o, now.Sub(q.start))
}

func (q *entryQuota) Preview(o *config.Organisation, now time.Time) quota.Preview {
	return q.entry.Preview(o, now.Sub(q.start))
}

func (q *entryQuota) Refund(o *config.Organisation, now time.Time) {
	q.entry.Refund(o, now.Sub(q.start))
}

// explainedView returns a view with two services, a rollout, an organisation with a quota, and targets in three failure domains
// and several states.
func explainedView(t *testing.T) *view.View {
	v := versionsView()
	for i := range 40 {
		e := &endpoint.Entry{
			Node: fmt.Sprintf("m%d", i), Address: fmt.Sprintf("m%d", i), Service: "s", Slots: 9, SoftwareVersion: "v1",
			FailureDomain: fmt.Sprintf("d%d", i%3), Key: endpoint.Key{State: endpoint.Alive, Revision: 1},
		}
		switch i {
		case 5:
			e.State = endpoint.Draining
		case 6:
			e.State, e.Withdrawn = endpoint.Dead, true
		}
		if i%8 == 7 {
			e.Service, e.SoftwareVersion = "t", ""
		}
		v.Nodes[e.Node] = e
		v.ByService[e.Service] = append(v.ByService[e.Service], e)
	}
	open := v.Content.Routes[0]
	open.Name, open.PathPrefix, open.Public = "open", "/o/", true
	open.Destinations = []config.Destination{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}}
	v.Content.Routes = append(v.Content.Routes, open)
	small := config.Organisation{Name: "small", RatePerSecond: 200, Burst: 10, Priority: 2}
	assert.NilError(t, small.AddKey("key of small"))
	v.Content.Organisations = []config.Organisation{small, {Name: "without a key"}}
	return v
}

// fullSeed is the seed of the run in which all targets of the new version become full, so that requests are moved to the old one.
const fullSeed = 2

// reportFull makes a node count as full for a kind of requests.
func reportFull(h *Handler, node string, kind uint32) {
	now := time.Now().UnixMilli()
	h.tracker.EndWithReport(h.tracker.Begin(node, now), routing.Succeeded, &routing.Report{Kind: kind, Full: true, Wait: 100 * time.Millisecond}, now)
}

// explainedRun is what became of the requests of a run.
type explainedRun struct {
	results []string
	state   State
	// rollouts are the counters of the rollouts.
	rollouts map[string]int64
}

// runExplained sends requests to a mesh that serves, refuses and fails at random, and calls explain before each.
func runExplained(t *testing.T, balance string, seed uint64, explain func(h *Handler, r *Request, organisation string) (check func(*Trace))) explainedRun {
	var run explainedRun
	synctest.Test(t, func(t *testing.T) {
		answers := rand.New(rand.NewPCG(seed, 5))
		m := newMesh(func(string) behaviour {
			return []behaviour{serves, serves, serves, serves, full, waits, sheds, fails, unreachable}[answers.IntN(9)]
		})
		v := explainedView(t)
		h, manager := newVersionsHandler(m, v, nil)
		h.policy, h.settings.Balance, h.domains.Backoff = routing.PolicyOf(balance), balance, balance == routing.BalanceEvenLoad
		h.deps.Quota = newEntryQuota(v.Content.Organisations)
		var last *Trace
		h.deps.Observe = func(trace *Trace) { last = trace }
		ctx, stop := context.WithCancel(t.Context())
		go manager.Run(ctx)
		for i := range 600 {
			r := &Request{ID: fmt.Sprint(i), Method: "POST", Host: "h", Path: []string{"/r/1", "/w/1", "/o/1"}[i%3]}
			organisation := ""
			if i%5 > 0 {
				organisation, r.Authorization = "small", []string{"Bearer key of small"}
			}
			if seed == fullSeed && i > 400 {
				for _, route := range v.Content.Routes {
					reportFull(h, "n3", requestKind(&route))
					reportFull(h, "n4", requestKind(&route))
				}
			}
			check := explain(h, r, organisation)
			h.Do(ctx, r)
			check(last)
			text := fmt.Sprint(last.Service, last.Result.Outcome, last.Result.Reason, last.Result.RetryAfter)
			for _, a := range last.Attempts {
				text += " " + a.String()
			}
			run.results = append(run.results, text)
			time.Sleep(time.Duration(1+i%13) * time.Millisecond)
		}
		run.state, run.rollouts = h.Dump().(State), manager.Counters()
		stop()
		time.Sleep(time.Second)
	})
	return run
}

// checkAgreement compares a placement with the explanation just before it.
func checkAgreement(t *testing.T, e *Explanation, trace *Trace) {
	t.Helper()
	if e.Refused != nil {
		assert.Equal(t, trace.Result.Reason, e.Refused.Reason)
		assert.Equal(t, trace.Result.RetryAfter > 0, e.Refused.RetryAfter > 0)
		assert.Equal(t, len(trace.Attempts), 0)
		return
	}
	if !e.ServiceDecided {
		return
	}
	assert.Equal(t, trace.Service, e.Service)
	var first []string
	for _, c := range e.Candidates {
		if c.Rating != nil && c.Rating.MayBeFirst {
			first = append(first, c.Entry.Node)
		}
	}
	assert.Assert(t, slices.Contains(first, e.Order[0]), "%s of %v", e.Order[0], first)
	assert.Assert(t, slices.Contains(first, trace.Attempts[0].Node), "%s of %v", trace.Attempts[0].Node, first)
}

// Guards against an explanation that takes a token, a turn of a service or version, or a draw of requests, or that changes what
// the node knows of others; and against one that the placement that follows contradicts.
func TestExplanationsChangeNothing(t *testing.T) {
	for _, balance := range []string{routing.BalanceLowestCost, routing.BalanceEvenLoad} {
		for seed := range uint64(3) {
			plain := runExplained(t, balance, seed, func(*Handler, *Request, string) func(*Trace) { return func(*Trace) {} })
			seen := make(map[string]int)
			explained := runExplained(t, balance, seed, func(h *Handler, r *Request, organisation string) func(*Trace) {
				var last *Explanation
				for _, o := range []string{"small", "without a key", organisation, organisation} {
					last = h.Explain(&ExplainRequest{Host: r.Host, Path: r.Path, Method: r.Method, Organisation: o})
				}
				switch {
				case last.Refused != nil:
					seen[string(last.Refused.Reason)]++
				case last.Rollout != nil && last.Rollout.Newer:
					seen["newer"]++
				case last.Service == "t":
					seen["t"]++
				}
				return func(trace *Trace) { checkAgreement(t, last, trace) }
			})
			assert.DeepEqual(t, explained.results, plain.results)
			assert.DeepEqual(t, explained.state, plain.state)
			assert.DeepEqual(t, explained.rollouts, plain.rollouts)
			for _, kind := range []string{"quota_exceeded", "unauthorized", "newer", "t"} {
				assert.Assert(t, seen[kind] > 0, "%s: %v", kind, seen)
			}
			assert.Equal(t, plain.rollouts["Fallbacks"] > 0, seed == fullSeed)
		}
	}
}

// Guards against an order of attempts that is not the one of requests.
func TestExplainedOrder(t *testing.T) {
	for _, balance := range []string{routing.BalanceLowestCost, routing.BalanceEvenLoad} {
		synctest.Test(t, func(t *testing.T) {
			v := testView()
			v.Nodes["n1"].State = endpoint.Draining
			h := newHandler(newMesh(script(unreachable, unreachable, unreachable, unreachable)), v, 1)
			h.policy = routing.PolicyOf(balance)
			var trace *Trace
			h.deps.Observe = func(done *Trace) { trace = done }
			kind := requestKind(&v.Content.Routes[0])
			for i, node := range []string{"n3", "n0", "n4", "n2"} {
				a := h.tracker.Begin(node, time.Now().UnixMilli())
				h.tracker.EndWithReport(a, routing.Succeeded, &routing.Report{
					Kind: kind, InUse: 2, ServiceTime: 20 * time.Millisecond << (2 * i), Served: true,
				}, time.Now().UnixMilli())
			}
			e := h.Explain(&ExplainRequest{Host: "h", Path: "/r/1", Method: "GET"})
			h.Do(t.Context(), &Request{Method: "GET", Host: "h", Path: "/r/1"})
			var attempts []string
			for _, a := range trace.Attempts {
				attempts = append(attempts, a.Node)
			}
			assert.DeepEqual(t, e.Order, []string{"n3", "n0", "n4", "n2"})
			assert.DeepEqual(t, attempts, e.Order)
			last := e.Candidates[len(e.Candidates)-1]
			assert.Equal(t, last.Entry.Node, "n1")
			assert.Equal(t, last.Excluded, excludedState)
			assert.Equal(t, e.Candidates[0].Rating.ReportAge, time.Duration(0))
			assert.Equal(t, e.Candidates[0].Rating.FreeSlots, 16.0)
		})
	}
}

// Guards against a rejection that is shown as a placement, or with another reason or delay than callers get.
func TestExplainedRejections(t *testing.T) {
	cases := []struct {
		name, path, organisation string
		change                   func(h *Handler, v *view.View)
		reason                   outcome.Reason
		retryAfter               time.Duration
	}{
		{"placed", "/r/1", "small", func(*Handler, *view.View) {}, outcome.ReasonNone, 0},
		{"public", "/o/1", "", func(*Handler, *view.View) {}, outcome.ReasonNone, 0},
		{"no configuration", "/r/1", "small", func(_ *Handler, v *view.View) { v.Version = 0 }, outcome.ReasonNotReady, notReadyRetryAfter},
		{"no route", "/x/1", "small", func(*Handler, *view.View) {}, outcome.ReasonNoRoute, 0},
		{"no route, behind", "/x/1", "small", func(h *Handler, _ *view.View) {
			h.deps.IsBehind = func(uint64) bool { return true }
		}, outcome.ReasonBehind, behindRetryAfter},
		{"unknown organisation", "/r/1", "other", func(*Handler, *view.View) {}, outcome.ReasonUnauthorized, 0},
		{"organisation without keys", "/r/1", "without a key", func(*Handler, *view.View) {}, outcome.ReasonUnauthorized, 0},
		{"empty list of organisations", "/r/1", "", func(_ *Handler, v *view.View) {
			v.Content.Authentication, v.Content.Organisations = config.KeysRequired, nil
		}, outcome.ReasonUnauthorized, 0},
		{"no list of organisations", "/r/1", "", func(_ *Handler, v *view.View) {
			v.Content.Authentication, v.Content.Organisations = config.KeysNotRequired, nil
		}, outcome.ReasonNone, 0},
		{"list of organisations gone", "/r/1", "small", func(_ *Handler, v *view.View) {
			v.Content.Authentication, v.Content.Organisations, v.KeyHistory = config.KeysNotRequired, nil, config.KeysIssued
		}, outcome.ReasonUnauthorized, 0},
		{"history of keys unknown", "/r/1", "small", func(_ *Handler, v *view.View) {
			v.Content.Authentication, v.Content.Organisations = config.KeysNotRequired, nil
		}, outcome.ReasonKeysUnknown, keysUnknownRetryAfter},
		{"stopping", "/r/1", "small", func(h *Handler, _ *view.View) { h.StopAccepting() }, outcome.ReasonShutdown, shutdownRetryAfter},
		{"quota", "/r/1", "small", func(h *Handler, v *view.View) {
			for range 120 {
				h.deps.Quota.Admit(&v.Content.Organisations[0], time.Now())
			}
		}, outcome.ReasonQuotaExceeded, time.Second},
		{"no target", "/r/1", "small", func(_ *Handler, v *view.View) { v.ByService["s"] = nil }, outcome.ReasonNoTarget, 125 * time.Millisecond},
		{"all full", "/r/1", "small", func(h *Handler, v *view.View) {
			for node := range v.Nodes {
				reportFull(h, node, requestKind(&v.Content.Routes[0]))
			}
		}, outcome.ReasonQueueFull, 125 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := explainedView(t)
				h, _ := newVersionsHandler(newMesh(script()), v, nil)
				h.deps.Quota = newEntryQuota(v.Content.Organisations)
				c.change(h, v)
				e := h.Explain(&ExplainRequest{Host: "h", Path: c.path, Method: "GET", Organisation: c.organisation})
				assert.Equal(t, e.Version, v.Version)
				assert.Equal(t, e.Behind, c.reason == outcome.ReasonBehind)
				if c.reason == outcome.ReasonNone {
					assert.Assert(t, e.Refused == nil && len(e.Order) == h.settings.MaxTargetsTried && e.Rollout != nil)
					return
				}
				assert.Equal(t, e.Refused.Outcome, outcome.RefusedNotRun)
				assert.Equal(t, e.Refused.Reason, c.reason)
				assert.Equal(t, e.Refused.RetryAfter, c.retryAfter)
				r := &Request{Method: "GET", Host: "h", Path: c.path}
				if c.organisation == "small" {
					r.Authorization = []string{"Bearer key of small"}
				}
				assert.Equal(t, h.Do(t.Context(), r).Reason, c.reason)
			})
		})
	}
}

// Guards against an explanation that holds up requests: while it rates hundreds of candidates, which takes a millisecond, requests
// must be able to choose targets. The lock of the sizes stops it between the two.
func TestExplanationsDoNotHoldUpRequests(t *testing.T) {
	h := newHandler(newMesh(script()), testView(), 1)
	h.sizes.mu.Lock()
	explained := make(chan struct{})
	go func() {
		defer close(explained)
		h.Explain(&ExplainRequest{Host: "h", Path: "/r/1", Method: "GET"})
	}()
	chosen := make(chan struct{})
	go func() {
		defer close(chosen)
		for range 100 {
			time.Sleep(time.Millisecond)
			h.tracker.Begin("n0", time.Now().UnixMilli())
		}
	}()
	select {
	case <-chosen:
	case <-time.After(10 * time.Second):
		t.Error("requests cannot choose targets during an explanation")
	}
	h.sizes.mu.Unlock()
	<-explained
}

// lockedQuota makes a quota safe for concurrent use.
type lockedQuota struct {
	mu    sync.Mutex
	quota Quota
}

func (q *lockedQuota) Admit(o *config.Organisation, now time.Time) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quota.Admit(o, now)
}

func (q *lockedQuota) Preview(o *config.Organisation, now time.Time) quota.Preview {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quota.Preview(o, now)
}

func (q *lockedQuota) Refund(o *config.Organisation, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quota.Refund(o, now)
}

// Guards against data races between explanations, requests and changes of the view (with -race), and against an explanation that
// mixes two of them.
func TestExplanationsBesideRequests(t *testing.T) {
	m := newMesh(func(node string) behaviour {
		return []behaviour{serves, serves, full, waits, unreachable}[rand.IntN(5)]
	})
	var views []*view.View
	for i := range 2 {
		v := explainedView(t)
		v.Version += config.Version(i)
		v.Offset += uint64(i)
		v.Content.Organisations[0].RatePerSecond, v.Content.Organisations[0].Burst = 1e6, 1e6
		views = append(views, v)
	}
	h, manager := newVersionsHandler(m, views[0], nil)
	h.policy, h.settings.Balance, h.domains.Backoff = routing.PolicyOf(routing.BalanceEvenLoad), routing.BalanceEvenLoad, true
	h.deps.Quota = &lockedQuota{quota: newEntryQuota(views[0].Content.Organisations)}
	var current atomic.Int64
	h.deps.View = func() *view.View { return views[current.Load()%2] }
	ctx, stop := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { manager.Run(ctx) })
	loops.Go(func() {
		for ctx.Err() == nil {
			current.Add(1)
			time.Sleep(time.Millisecond)
		}
	})
	paths := []string{"/r/1", "/w/1", "/o/1"}
	var senders sync.WaitGroup
	for range 4 {
		senders.Go(func() {
			for i := range 300 {
				h.Do(ctx, &Request{ID: "r", Method: "POST", Host: "h", Path: paths[i%3], Authorization: []string{"Bearer key of small"}})
			}
		})
		senders.Go(func() {
			for i := range 100 {
				e := h.Explain(&ExplainRequest{Host: "h", Path: paths[i%3], Method: "POST", Organisation: "small"})
				v := views[e.Version-views[0].Version]
				for _, c := range e.Candidates {
					assert.Check(t, v.Nodes[c.Entry.Node] == c.Entry)
				}
			}
		})
	}
	senders.Wait()
	stop()
	loops.Wait()
}
