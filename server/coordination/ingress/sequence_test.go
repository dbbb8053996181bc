package ingress

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
)

// localFailures lists conditions that can prevent the ingress node from sending a request.
var localFailures = []string{
	"", "", "", "", "no view", "not ready", "no route", "no destination", "no target", "dead owner", "workers",
	"deadline", "attempts", "depth", "canceled", "too large", "shutdown",
}

// recordReasons are the reasons with which an owner refuses only if it has no record of the key.
var recordReasons = map[outcome.Reason]bool{
	outcome.ReasonFenced: true, outcome.ReasonRecordsFull: true, outcome.ReasonSelfFenced: true,
	outcome.ReasonConnectFailed: true,
}

// keyScenario replays events for one key whose owner records that it ran.
type keyScenario struct {
	events []attemptEvent
	next   int
	ran    bool
}

func (w *keyScenario) react(int, *wire.Request) reply {
	e := w.events[w.next%len(w.events)]
	w.next++
	switch e.kind {
	case "refuse":
		if w.ran && recordReasons[e.reason] {
			return answered("recorded")
		}
		return refused(e.reason)
	case "redirect":
		return redirected(e.owner)
	case "not sent":
		return reply{err: errNotSent}
	case "lost", "error", "unknown", "invalid":
		w.ran = w.ran || e.ran
		return reply{err: errLost}
	}
	w.ran = true
	return answered("ok")
}

// resolve responds as the owner would. A fenced attempt never runs.
func (w *keyScenario) resolve(*wire.Request) (*wire.Response, error) {
	e := w.events[max(w.next-1, 0)%len(w.events)]
	switch {
	case e.resolved != "truth":
		return nil, errors.New("unreachable")
	case w.ran:
		return answered("recorded").response, nil
	}
	return refuse(outcome.ReasonFenced), nil
}

// injectLocalFailure sets up one request under a local failure. It returns the context, the request and a function that
// ends the failure.
func injectLocalFailure(failure, method string, f *fakeNet, h *Handler) (context.Context, *Request, func()) {
	r := request(method, "Idempotency-Key", "key")
	ctx, cancel := context.WithCancel(context.Background())
	v := threeMembers()
	end := cancel
	switch failure {
	case "no view":
		v = nil
	case "not ready":
		v.Ready = false
	case "no route":
		v.Content = &config.Content{}
	case "no destination":
		v.Content.Routes[0].Destinations = nil
	case "no target":
		v = testView()
	case "dead owner":
		v = testView(deadMember("a"), deadMember("b"), deadMember("c"))
	case "workers":
		release := make(chan struct{})
		_ = h.pool.Submit(func() { <-release })
		end = func() { cancel(); close(release) }
	case "deadline":
		r = request(method, "Idempotency-Key", "key", "Wagtail-Deadline-Ms", "0")
	case "attempts":
		r = request(method, "Idempotency-Key", "key", "Wagtail-Attempts", "0")
	case "depth":
		r = request(method, "Idempotency-Key", "key", "Wagtail-Depth", "16")
	case "too large":
		r.Body = make([]byte, 2<<20)
	case "canceled":
		cancel()
	case "shutdown":
		_ = h.Shutdown(context.Background())
	}
	f.setView(v)
	return ctx, r, end
}

// invalidRequestReasons are the reasons that depend only on the request.
var invalidRequestReasons = map[outcome.Reason]bool{outcome.ReasonTooLarge: true, outcome.ReasonDepthExceeded: true}

// runSequence sends requests with one key to one handler and describes the first wrong outcome, or returns "".
func runSequence(t *testing.T, w *keyScenario, method string, steps []string) string {
	f := &fakeNet{react: w.react, resolve: w.resolve}
	h := newTestHandler(t, f, func(s *Settings, _ *Dependencies) { s.Workers = 1 })
	defer h.Shutdown(context.Background())
	for i, failure := range steps {
		ranBefore := w.ran
		ctx, r, end := injectLocalFailure(failure, method, f, h)
		result := h.Do(ctx, r)
		end()
		// The single worker must be free again before the next request.
		synctest.Wait()
		if result.Outcome == outcome.RefusedNotRun && ranBefore && !invalidRequestReasons[result.Reason] {
			return fmt.Sprintf("request %d %v: %s although an earlier one ran", i, steps[:i+1], describe(result))
		}
		if result.Outcome == outcome.Unknown && result.Key != "key" {
			return fmt.Sprintf("request %d %v: %s with key %q", i, steps[:i+1], describe(result), result.Key)
		}
	}
	return ""
}

// TestKeySequence guards invariant I5 over repeats of a key: a node that cannot know whether an earlier request with
// the key ran must not report a later one as not run.
func TestKeySequence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		method := rapid.SampledFrom([]string{"POST", "POST", "PUT"}).Draw(rt, "method")
		steps := rapid.SliceOfN(rapid.SampledFrom(localFailures), 2, 5).Draw(rt, "steps")
		w := &keyScenario{events: rapid.SliceOfN(rapid.Custom(drawEvent), 20, 20).Draw(rt, "events")}
		violation := ""
		synctest.Test(t, func(t *testing.T) { violation = runSequence(t, w, method, steps) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}
