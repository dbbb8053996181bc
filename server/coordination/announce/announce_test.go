package announce

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/ut"
	"github.com/cloudwego/hertz/pkg/route"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/execute"
	"wagtailford.example/server/coordination/pause"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/endpoint"
)

const testLease = 5 * time.Second

// Guards against a lifecycle that takes or keeps work in a phase in which the target can't run it.
func TestLifecycle(t *testing.T) {
	at := func(kind EventKind, second int) Event {
		return Event{Kind: kind, At: time.Unix(int64(second), 0), Announcement: Announcement{Service: "s", Address: "a"}}
	}
	start := []Event{at(EventAnnounced, 0), at(EventConnected, 1)}
	cases := []struct {
		name   string
		events []Event
		phase  Phase
		state  endpoint.State
		refuse outcome.Reason
		effect Effect
	}{
		{"announced", start[:1], Starting, endpoint.NoTarget, outcome.ReasonNoTarget, EffectConnect},
		{"alive", start, Alive, endpoint.Alive, "", EffectJoin},
		{"starting expires", append(start[:1:1], at(EventTick, 5)), Unannounced, endpoint.NoTarget, outcome.ReasonNoTarget, 0},
		{"lease holds", append(start[:2:2], at(EventTick, 4)), Alive, endpoint.Alive, "", 0},
		{"expired", append(start[:2:2], at(EventTick, 5)), Down, endpoint.Alive, outcome.ReasonTargetDown, 0},
		{"crashed", append(start[:2:2], at(EventCrashed, 2)), Down, endpoint.Alive, outcome.ReasonTargetDown, 0},
		{
			"renewed after a crash", append(start[:2:2], at(EventCrashed, 2), at(EventAnnounced, 3)),
			Alive, endpoint.Alive, "", EffectPublish,
		},
		{"renewed", append(start[:2:2], at(EventAnnounced, 3), at(EventTick, 5)), Alive, endpoint.Alive, "", 0},
		{"draining spreads", append(start[:2:2], at(EventDrain, 2)), Draining, endpoint.Draining, "", EffectDrain},
		{
			"draining", append(start[:2:2], at(EventDrain, 2), at(EventClosed, 2)),
			Draining, endpoint.Draining, outcome.ReasonDraining, 0,
		},
		{
			"draining a target that is down", append(start[:2:2], at(EventCrashed, 2), at(EventDrain, 2)),
			Draining, endpoint.Draining, outcome.ReasonDraining, EffectDrain,
		},
		{
			"drained, still announced", append(start[:2:2], at(EventDrain, 2), at(EventDrained, 3), at(EventAnnounced, 4)),
			Left, endpoint.Left, outcome.ReasonDraining, 0,
		},
		{
			"undrained", append(start[:2:2], at(EventDrain, 2), at(EventDrained, 3), at(EventUndrain, 4)),
			Starting, endpoint.NoTarget, outcome.ReasonNoTarget, EffectPublish | EffectConnect,
		},
		{
			"undrained too early", append(start[:2:2], at(EventDrain, 2), at(EventUndrain, 3), at(EventDrained, 4)),
			Starting, endpoint.NoTarget, outcome.ReasonNoTarget, EffectPublish | EffectConnect,
		},
		{
			"target left", append(start[:2:2], at(EventWithdrawn, 2), at(EventDrained, 3)),
			Unannounced, endpoint.NoTarget, outcome.ReasonNoTarget, EffectPublish,
		},
		{
			"target left while drained", append(start[:2:2], at(EventDrain, 2), at(EventWithdrawn, 2), at(EventDrained, 3)),
			Left, endpoint.Left, outcome.ReasonDraining, EffectPublish,
		},
		{
			"shut down", append(start[:2:2], at(EventStop, 2), at(EventDrained, 3), at(EventUndrain, 4)),
			Left, endpoint.Left, outcome.ReasonShutdown, 0,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l Lifecycle
			var effect Effect
			for _, e := range c.events {
				l, effect = l.Step(e, testLease)
			}
			assert.Equal(t, l.Phase, c.phase)
			assert.Equal(t, l.State(), c.state)
			assert.Equal(t, l.Refuse(), c.refuse)
			assert.Equal(t, effect, c.effect)
		})
	}
}

// Guards against removing a target that answers requests because its health endpoint misleads.
func TestHints(t *testing.T) {
	poll := func(answered, lost int64) (down bool) {
		var h Hints
		for i := int64(0); i < 10; i++ {
			h, down = h.Next(false, answered*i, lost*i)
		}
		return down
	}
	assert.Assert(t, !poll(0, 0), "no requests")
	assert.Assert(t, !poll(1, 1), "some are answered")
	assert.Assert(t, poll(0, 1), "all are lost")
}

// Guards against announcements that are taken although they can't be used, and errors that don't name the field.
func TestParseAnnouncement(t *testing.T) {
	_, err := ParseAnnouncement([]byte(`{"service":"s","address":"127.0.0.1:80","slots":18,"labels":{"a":"b"},` +
		`"health_path":"/h","load_path":"/l","start":"1"}`))
	assert.NilError(t, err)
	for body, want := range map[string]string{
		``:                                    "not a valid announcement",
		`{"service":"s","addres":"x"}`:        "addres",
		`{"address":"127.0.0.1:80"}`:          "service",
		`{"service":"s","address":"x"}`:       "address",
		`{"service":"s","address":"host:80"}`: "IP address",
		`{"service":"s","address":"[::1]:0"}`: "port",
		`{"service":"s","address":"127.0.0.1:80","slots":-1}`:        "slots",
		`{"service":"s","address":"127.0.0.1:80","health_path":"h"}`: "health_path",
		`{"service":"s","address":"127.0.0.1:80"} x`:                 "after the announcement",
	} {
		_, err := ParseAnnouncement([]byte(body))
		assert.ErrorContains(t, err, want)
	}
}

// fixture records in order what an announcer does. Its target accepts connections.
type fixture struct {
	*Announcer
	mu      sync.Mutex
	events  []string
	target  execute.Target
	entry   endpoint.Entry
	busy    time.Duration
	leaving error
}

func (f *fixture) record(event string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, event)
}

func (f *fixture) SetTarget(t execute.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.target.Refuse != t.Refuse {
		f.events = append(f.events, "refuse "+string(t.Refuse))
	}
	f.target = t
}

func (f *fixture) WaitIdle(ctx context.Context) error {
	pause.For(ctx, f.busy)
	f.record("idle")
	return ctx.Err()
}

func (f *fixture) Results() (int64, int64) { return 0, 0 }

func (f *fixture) update(change func(*endpoint.Entry)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.entry)
	f.events = append(f.events, "state "+[]string{"no target", "alive", "draining", "", "", "left"}[f.entry.State])
}

func (f *fixture) log() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	log := strings.Join(f.events, ", ")
	f.events = nil
	return log
}

// listen returns the address of a listener outside of the bubble of a test.
func listen(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{busy: time.Second, target: execute.Target{Refuse: outcome.ReasonNoTarget}}
	a, err := New(Settings{
		Lease: testLease, DrainAnnounce: 300 * time.Millisecond, Slots: 18,
	}, Dependencies{
		Runner:     f,
		UpdateSelf: f.update,
		Join:       func(context.Context) error { f.record("join"); return nil },
		Leave:      func(context.Context) error { f.record("leave"); return f.leaving },
		Log:        &log.Logger{Handler: discard.New()},
	})
	assert.NilError(t, err)
	f.Announcer = a
	return f
}

// Guards against a drain, a leave or a shutdown that cuts requests off, hands keys over too early, or is not
// announced before new work is refused.
func TestDrainOrder(t *testing.T) {
	const drained = "state draining, refuse draining, leave, idle, "
	address := listen(t)
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.Close()
		announce := func() {
			_, err := f.Announce(Announcement{Service: "s", Address: address})
			assert.NilError(t, err)
		}
		announce()
		synctest.Wait()
		time.Sleep(time.Second)
		assert.Equal(t, f.log(), "refuse , state alive, join")
		assert.Equal(t, f.entry.Slots, 18)

		assert.Equal(t, f.Drain(false), endpoint.Draining)
		synctest.Wait()
		assert.Equal(t, f.log(), "state draining", "requests are taken until the state had time to spread")
		time.Sleep(2 * time.Second)
		announce()
		assert.Equal(t, f.log(), "refuse draining, leave, idle, state left")
		assert.Equal(t, f.Drain(false), endpoint.Left)

		f.Drain(true)
		time.Sleep(time.Second)
		assert.Equal(t, f.log(), "refuse no_target, state no target, refuse , state alive, join")

		assert.NilError(t, f.Withdraw(t.Context()))
		assert.Equal(t, f.log(), drained+"refuse no_target, state no target")
		assert.Equal(t, f.entry.Service, "")

		announce()
		time.Sleep(time.Second)
		f.log()
		assert.NilError(t, f.Shutdown(t.Context()))
		assert.Equal(t, f.log(), strings.ReplaceAll(drained, "refuse draining", "refuse shutdown")+"state left")
		_, err := f.Announce(Announcement{Service: "s", Address: address})
		assert.ErrorIs(t, err, ErrShutdown)
	})
}

// Guards against key records that are lost because a node says that it left without having handed them over.
func TestLeaveFails(t *testing.T) {
	address := listen(t)
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.Close()
		f.leaving = errors.New("next in rank is unreachable")
		f.Announce(Announcement{Service: "s", Address: address})
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		assert.ErrorIs(t, f.Shutdown(ctx), context.DeadlineExceeded)
		assert.Equal(t, f.entry.State, endpoint.Draining)
	})
}

// Guards against work for a target that stopped renewing, and against a node that stops owning its keys then.
func TestLeaseExpires(t *testing.T) {
	address := listen(t)
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.Close()
		an := Announcement{Service: "s", Address: address}
		f.Announce(an)
		time.Sleep(testLease - time.Second)
		f.Announce(an)
		time.Sleep(testLease - time.Second)
		assert.Equal(t, f.Lifecycle().Phase, Alive)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, f.target.Refuse, outcome.ReasonTargetDown)
		assert.Equal(t, f.entry.State, endpoint.Alive)
		_, err := f.Announce(Announcement{Service: "other", Address: address})
		var change *ServiceChangeError
		assert.Assert(t, errors.As(err, &change))
		f.Announce(an)
		assert.Equal(t, f.target.Refuse, outcome.ReasonNone)
		assert.Equal(t, f.target.Started, time.Now(), "a target that was down is cold")
	})
}

// Guards against statuses and bodies that don't tell a target what to do.
func TestHTTP(t *testing.T) {
	f := newFixture(t)
	defer f.Close()
	f.busy = 0
	router := route.NewEngine(config.NewOptions(nil))
	f.Register(router)
	valid := `{"service":"s","address":"` + listen(t) + `"}`
	for _, c := range []struct {
		method, body string
		status       int
		want         string
	}{
		{"PUT", `{"service":""}`, 400, "service has 0 bytes"},
		{"PUT", strings.Repeat(" ", AnnouncementMaxBytes+1), 413, "too large"},
		{"PUT", valid, 200, `"lease_ms":5000`},
		{"PUT", strings.Replace(valid, `"s"`, `"other"`, 1), 409, "has to leave"},
		{"DELETE", "", 200, "unannounced"},
	} {
		body := &ut.Body{Body: bytes.NewBufferString(c.body), Len: len(c.body)}
		answer := ut.PerformRequest(router, c.method, PathTarget, body).Result()
		assert.Equal(t, answer.StatusCode(), c.status)
		assert.Assert(t, strings.Contains(string(answer.Body()), c.want), "%s", answer.Body())
	}
}
