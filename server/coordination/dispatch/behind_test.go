package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/view"
)

// Guards against a final refusal of a route that a newer configuration may have, by a node that knows of it, and against a
// request for a route that does not exist and that callers repeat for ever.
func TestNodeThatIsBehindDoesNotDenyRoutes(t *testing.T) {
	v := &view.View{Version: 5, Offset: 5, Ready: true, Content: &config.Content{}}
	for _, c := range []struct {
		newest     uint64
		reason     outcome.Reason
		retryAfter time.Duration
	}{
		{4, outcome.ReasonNoRoute, 0},
		{5, outcome.ReasonNoRoute, 0},
		{6, outcome.ReasonBehind, behindRetryAfter},
	} {
		h := New(Settings{}, Dependencies{
			View: func() *view.View { return v }, NewestOffset: func() uint64 { return c.newest },
		})
		result := h.Do(t.Context(), &Request{ID: "q1", Method: "GET", Host: "shop.example", Path: "/new/"})
		assert.Equal(t, result.Outcome, outcome.RefusedNotRun)
		assert.Equal(t, result.Reason, c.reason, "newest %d", c.newest)
		assert.Equal(t, result.RetryAfter, c.retryAfter)
	}
}
