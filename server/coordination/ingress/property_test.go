package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
)

// event is what happens to one attempt.
type event struct {
	kind   string
	reason outcome.Reason
	owner  string
	// ran says whether an attempt without a reply ran; resolved what an inquiry about it brings.
	ran      bool
	resolved string
}

func drawEvent(rt *rapid.T) event {
	return event{
		kind:     rapid.SampledFrom([]string{"answer", "refuse", "refuse", "redirect", "unknown", "invalid", "not sent", "lost", "lost", "error"}).Draw(rt, "kind"),
		reason:   rapid.SampledFrom(refusals).Draw(rt, "reason"),
		owner:    rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "owner"),
		ran:      rapid.Bool().Draw(rt, "ran"),
		resolved: rapid.SampledFrom([]string{"truth", "truth", "unreachable", "unknown"}).Draw(rt, "resolved"),
	}
}

var refusals = []outcome.Reason{
	outcome.ReasonQueueFull, outcome.ReasonDraining, outcome.ReasonNotEligible, outcome.ReasonTargetDown,
	outcome.ReasonDeadline, outcome.ReasonFenced, outcome.ReasonNotOwner, outcome.ReasonNoTarget,
	outcome.ReasonNotReady, outcome.ReasonRecordsFull, outcome.ReasonSelfFenced, outcome.ReasonConnectFailed,
	outcome.ReasonOverloaded, outcome.ReasonCanceled, outcome.ReasonSuspect,
}

// world plays events and keeps which attempts may have run as far as the ingress can know.
type world struct {
	events     []event
	current    event
	open       map[uint64]bool
	idempotent bool
	violation  string
}

func (w *world) react(n int, r *wire.Request) reply {
	if !w.idempotent && len(w.open) > 0 {
		w.violation = "second attempt while an earlier one may have run"
	}
	w.current = w.events[n%len(w.events)]
	switch w.current.kind {
	case "refuse":
		return refused(w.current.reason)
	case "redirect":
		return redirected(w.current.owner)
	case "not sent":
		return reply{err: errNotSent}
	}
	w.open[r.ID] = true
	switch w.current.kind {
	case "answer":
		return answered("ok")
	case "unknown":
		return reply{response: unknown(outcome.ReasonTargetTimeout)}
	case "invalid":
		return reply{response: &wire.Response{Outcome: 77}}
	case "error":
		return reply{err: rpc.ServerError("failed")}
	}
	return reply{err: errLost}
}

// resolve answers as the owner would: an attempt that did not run is fenced, so it never will.
func (w *world) resolve(r *wire.Request) (*wire.Response, error) {
	switch {
	case w.current.resolved == "unreachable":
		return nil, errors.New("unreachable")
	case w.current.resolved == "unknown":
		return unknown(outcome.ReasonOwnerDied), nil
	case w.current.ran:
		return answered("recorded").response, nil
	}
	delete(w.open, r.ID)
	return refuse(outcome.ReasonFenced), nil
}

// run handles one request in this world and returns the violation of a rule, if there is one.
func (w *world) run(t *testing.T, r *Request) string {
	f := &fakeNet{react: w.react, resolve: w.resolve}
	h := newTestHandler(t, f, func(s *Settings, _ *Dependencies) { s.MaxAttempts = 5 })
	result := h.Do(context.Background(), r)
	if err := h.Shutdown(context.Background()); err != nil {
		return err.Error()
	}
	if result.Outcome == outcome.RefusedNotRun && len(w.open) > 0 {
		return fmt.Sprintf("%s although attempts %v may have run", describe(result), w.open)
	}
	return w.violation
}

// TestAtMostOnce guards I5 and I6: whatever peers and connections do, a non-idempotent request is not sent again
// unless every earlier attempt certainly did not run, and refused_not_run is never said if one may have run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		method := rapid.SampledFrom([]string{"POST", "POST", "GET"}).Draw(rt, "method")
		r := request(method)
		if rapid.Bool().Draw(rt, "caller key") {
			r = request(method, "Idempotency-Key", "key")
		}
		w := &world{
			events:     rapid.SliceOfN(rapid.Custom(drawEvent), 20, 20).Draw(rt, "events"),
			open:       make(map[uint64]bool),
			idempotent: method == "GET",
		}
		violation := ""
		synctest.Test(t, func(t *testing.T) { violation = w.run(t, r) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}
