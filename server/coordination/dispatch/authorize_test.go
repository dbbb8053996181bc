package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
)

// Guards against requests that run with a key which no configuration allows, and against callers that are refused for want of a key
// where none is needed: each form of a configuration with each history of keys.
func TestAuthorization(t *testing.T) {
	organisation := config.Organisation{Name: "first"}
	assert.NilError(t, organisation.AddKey("k"))
	full := &config.Content{Authentication: config.KeysRequired, Organisations: []config.Organisation{organisation}}
	empty := &config.Content{Authentication: config.KeysRequired}
	absent := &config.Content{Authentication: config.KeysNotRequired}
	valid, unknown, basic := []string{"Bearer k"}, []string{"bearer  other"}, []string{"Basic k"}
	const (
		unauthorized = outcome.ReasonUnauthorized
		undecided    = outcome.ReasonKeysUnknown
		runs         = outcome.ReasonNone
	)
	for _, c := range []struct {
		content *config.Content
		history config.KeyHistory
		field   []string
		route   config.Route
		want    outcome.Reason
		// organisation is that of a request that runs, passed the number of values that are forwarded.
		organisation string
		passed       int
	}{
		{full, config.KeysIssued, valid, config.Route{}, runs, "first", 0},
		{full, config.KeysIssued, unknown, config.Route{}, unauthorized, "", 0},
		{full, config.KeysIssued, basic, config.Route{}, unauthorized, "", 0},
		{full, config.KeysIssued, nil, config.Route{}, unauthorized, "", 0},
		{full, config.KeysIssued, unknown, config.Route{Public: true}, runs, "", 0},
		{empty, config.KeysIssued, valid, config.Route{}, unauthorized, "", 0},
		{empty, config.KeysIssued, nil, config.Route{}, unauthorized, "", 0},

		{absent, config.KeysIssued, valid, config.Route{}, unauthorized, "", 0},
		{absent, config.KeysIssued, append(basic[:1:1], unknown...), config.Route{}, unauthorized, "", 0},
		{absent, config.KeysIssued, []string{"\tBEARER\tother"}, config.Route{}, unauthorized, "", 0},
		{absent, config.KeysIssued, []string{"Bearer"}, config.Route{}, unauthorized, "", 0},
		{absent, config.KeysIssued, unknown, config.Route{Public: true}, runs, "", 0},
		{absent, config.KeysIssued, basic, config.Route{}, runs, "", 1},
		{absent, config.KeysIssued, nil, config.Route{}, runs, "", 0},

		{absent, config.KeysNeverIssued, valid, config.Route{}, runs, "", 1},
		{absent, config.KeysNeverIssued, append(basic[:1:1], unknown...), config.Route{}, runs, "", 2},
		{absent, config.KeysNeverIssued, nil, config.Route{}, runs, "", 0},

		{absent, config.KeyHistoryUnknown, valid, config.Route{}, undecided, "", 0},
		{absent, config.KeyHistoryUnknown, unknown, config.Route{Public: true}, undecided, "", 0},
		{absent, config.KeyHistoryUnknown, basic, config.Route{}, runs, "", 1},
		{absent, config.KeyHistoryUnknown, nil, config.Route{}, runs, "", 0},
	} {
		v := testView()
		v.Content, v.KeyHistory = c.content, c.history
		h := newHandler(&mesh{}, v, 1)
		r := &Request{Authorization: c.field}
		o, refused := h.authorize(v, &c.route, r)
		reason, name := runs, ""
		if refused != nil {
			reason = refused.Reason
			assert.Check(t, refused.Outcome == outcome.RefusedNotRun && (reason != undecided || refused.RetryAfter > 0), "%+v", refused)
		}
		if o != nil {
			name = o.Name
		}
		assert.Check(t, reason == c.want && name == c.organisation && len(r.Headers) == c.passed,
			"%+v: got %s, organisation %q, %d values", c, reason, name, len(r.Headers))
		for _, f := range r.Headers {
			assert.Check(t, f.Name == wire.HeaderAuthorization)
		}
	}
}

// Guards against callers on the host of the target that need no key while the target runs nothing for which it could make calls.
func TestRequestWithoutKeyIsACallOnlyWhileTheTargetMayCall(t *testing.T) {
	v := testView()
	v.Content, v.KeyHistory = &config.Content{Authentication: config.KeysRequired}, config.KeysIssued
	h := newHandler(&mesh{}, v, 1)
	for _, c := range []struct{ fromTarget, mayCall, refused bool }{
		{false, false, true}, {false, true, true}, {true, false, true}, {true, true, false},
	} {
		h.deps.MayTargetCall = func() bool { return c.mayCall }
		_, refused := h.authorize(v, &config.Route{Timeout: time.Second}, &Request{FromTarget: c.fromTarget})
		assert.Check(t, (refused != nil) == c.refused, "%+v", c)
	}
}
