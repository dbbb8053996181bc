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

// attemptEvent is the simulated result of one attempt.
type attemptEvent struct {
	kind   string
	reason outcome.Reason
	owner  string
	// ran is whether an attempt without a reply ran, resolved the kind of response to an inquiry about it.
	ran      bool
	resolved string
}

func drawEvent(rt *rapid.T) attemptEvent {
	return attemptEvent{
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

// attemptScenario replays events and tracks which attempts may have run, as far as the ingress can tell.
type attemptScenario struct {
	events     []attemptEvent
	current    attemptEvent
	mayHaveRun map[uint64]bool
	idempotent bool
	violation  string
}

func (w *attemptScenario) react(n int, r *wire.Request) reply {
	if !w.idempotent && len(w.mayHaveRun) > 0 {
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
	w.mayHaveRun[r.ID] = true
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

// resolve responds as the owner would: an attempt that did not run is fenced, so that it cannot run later.
func (w *attemptScenario) resolve(r *wire.Request) (*wire.Response, error) {
	switch {
	case w.current.resolved == "unreachable":
		return nil, errors.New("unreachable")
	case w.current.resolved == "unknown":
		return unknown(outcome.ReasonOwnerDied), nil
	case w.current.ran:
		return answered("recorded").response, nil
	}
	delete(w.mayHaveRun, r.ID)
	return refuse(outcome.ReasonFenced), nil
}

// run processes one request in this scenario and describes the violated invariant, or returns "".
func (w *attemptScenario) run(t *testing.T, r *Request) string {
	f := &fakeNet{react: w.react, resolve: w.resolve}
	h := newTestHandler(t, f, func(s *Settings, _ *Dependencies) { s.MaxAttempts = 5 })
	result := h.Do(context.Background(), r)
	if err := h.Shutdown(context.Background()); err != nil {
		return err.Error()
	}
	if result.Outcome == outcome.RefusedNotRun && len(w.mayHaveRun) > 0 {
		return fmt.Sprintf("%s although attempts %v may have run", describe(result), w.mayHaveRun)
	}
	return w.violation
}

// TestAtMostOnce guards invariants I5 and I6 against any behaviour of peers and connections: a request that is not
// idempotent is sent again only if no earlier attempt can have run, and the outcome is not refused_not_run if one may
// have run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		method := rapid.SampledFrom([]string{"POST", "POST", "GET"}).Draw(rt, "method")
		r := request(method)
		if rapid.Bool().Draw(rt, "caller key") {
			r = request(method, "Idempotency-Key", "key")
		}
		w := &attemptScenario{
			events:     rapid.SliceOfN(rapid.Custom(drawEvent), 20, 20).Draw(rt, "events"),
			mayHaveRun: make(map[uint64]bool),
			idempotent: method == "GET",
		}
		violation := ""
		synctest.Test(t, func(t *testing.T) { violation = w.run(t, r) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}
