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

// obstacles are what can keep the entry node from sending a request.
var obstacles = []string{
	"", "", "", "", "no view", "not ready", "no route", "no destination", "no target", "dead owner", "workers",
	"deadline", "attempts", "depth", "canceled", "too large", "shutdown",
}

// fromRecords are the refusals that an owner gives only if it has no record of the key.
var fromRecords = map[outcome.Reason]bool{
	outcome.ReasonFenced: true, outcome.ReasonRecordsFull: true, outcome.ReasonSelfFenced: true,
	outcome.ReasonConnectFailed: true,
}

// keyWorld plays events around one key whose owner keeps a record of its run.
type keyWorld struct {
	events []event
	next   int
	ran    bool
}

func (w *keyWorld) react(int, *wire.Request) reply {
	e := w.events[w.next%len(w.events)]
	w.next++
	switch e.kind {
	case "refuse":
		if w.ran && fromRecords[e.reason] {
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

// resolve answers as the owner would. An attempt that is fenced never runs.
func (w *keyWorld) resolve(*wire.Request) (*wire.Response, error) {
	e := w.events[max(w.next-1, 0)%len(w.events)]
	switch {
	case e.resolved != "truth":
		return nil, errors.New("unreachable")
	case w.ran:
		return answered("recorded").response, nil
	}
	return refuse(outcome.ReasonFenced), nil
}

// obstruct prepares one attempt and returns its request, its context and what ends the obstacle.
func obstruct(obstacle, method string, f *fakeNet, h *Handler) (context.Context, *Request, func()) {
	r := request(method, "Idempotency-Key", "key")
	ctx, cancel := context.WithCancel(context.Background())
	v := threeMembers()
	end := cancel
	switch obstacle {
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

// requestAtFault are the reasons that depend on nothing but the request.
var requestAtFault = map[outcome.Reason]bool{outcome.ReasonTooLarge: true, outcome.ReasonDepthExceeded: true}

// playSequence sends requests with one key to one handler and returns the first wrong statement.
func playSequence(t *testing.T, w *keyWorld, method string, steps []string) string {
	f := &fakeNet{react: w.react, resolve: w.resolve}
	h := newTestHandler(t, f, func(s *Settings, _ *Dependencies) { s.Workers = 1 })
	defer h.Shutdown(context.Background())
	for i, obstacle := range steps {
		ranBefore := w.ran
		ctx, r, end := obstruct(obstacle, method, f, h)
		result := h.Do(ctx, r)
		end()
		// The worker of the request has to be back before the next one.
		synctest.Wait()
		if result.Outcome == outcome.RefusedNotRun && ranBefore && !requestAtFault[result.Reason] {
			return fmt.Sprintf("request %d %v: %s although an earlier one ran", i, steps[:i+1], describe(result))
		}
		if result.Outcome == outcome.Unknown && result.Key != "key" {
			return fmt.Sprintf("request %d %v: %s with key %q", i, steps[:i+1], describe(result), result.Key)
		}
	}
	return ""
}

// TestKeySequence guards I5 over the repeats of a key: a node that cannot know whether an earlier request with the
// key ran does not call a later one not run.
func TestKeySequence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		method := rapid.SampledFrom([]string{"POST", "POST", "PUT"}).Draw(rt, "method")
		steps := rapid.SliceOfN(rapid.SampledFrom(obstacles), 2, 5).Draw(rt, "steps")
		w := &keyWorld{events: rapid.SliceOfN(rapid.Custom(drawEvent), 20, 20).Draw(rt, "events")}
		violation := ""
		synctest.Test(t, func(t *testing.T) { violation = playSequence(t, w, method, steps) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}
