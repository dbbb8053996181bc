package execute

import (
	"bufio"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/transport/httpclient"
)

// Guards against calls of the target that are refused because the request that makes them has been given up here, and against a target that counts as running requests for ever.
func TestTargetMayCallUntilItsRequestsAreOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var e Executor
		check := func(what string, want bool) {
			t.Helper()
			assert.Equal(t, e.MayRunRequest(time.Now()), want, what)
		}
		check("nothing ran", false)
		deadline := time.Now().Add(time.Minute)
		e.running.begin()
		e.running.begin()
		time.Sleep(30 * time.Second)
		check("two run", true)
		e.running.end(true, deadline)
		time.Sleep(time.Second)
		check("one runs", true)
		e.running.end(false, deadline)
		time.Sleep(time.Until(deadline) + CallMargin - time.Millisecond)
		check("given up, its time is not over", true)
		time.Sleep(time.Millisecond)
		check("its time is over", false)
		e.running.begin()
		e.running.end(true, time.Now().Add(time.Minute))
		time.Sleep(CallMargin - time.Millisecond)
		check("just answered", true)
		time.Sleep(time.Millisecond)
		check("answered", false)
	})
}

// Guards against a request that the target runs and that is not counted as one.
func TestTargetMayCallWhileItRunsARequest(t *testing.T) {
	var n *testNode
	during := make(chan bool, 1)
	target := newTarget(t, func(*http.Request, *bufio.Reader) string {
		during <- n.MayRunRequest(time.Now())
		return okAnswer
	})
	n = newNode(t, target.address, nil)
	assert.Assert(t, !n.MayRunRequest(time.Now()))
	n.Execute(t.Context(), request("/"))
	assert.Assert(t, <-during)
	later := time.Now().Add(2 * CallMargin)
	assert.Assert(t, !n.MayRunRequest(later))
}

// Guards against a request that counts as over although its connection broke after it had been sent.
func TestRequestIsOverOnceAnsweredOrNotSent(t *testing.T) {
	assert.Assert(t, isOver(nil, ResponseValid) && isOver(nil, ResponseShed) && isOver(nil, ResponseWrongInstance))
	assert.Assert(t, isOver(&httpclient.NotSentError{Cause: errUnanswered}, ResponseValid))
	assert.Assert(t, !isOver(nil, ResponseCorrupt) && !isOver(errUnanswered, ResponseValid))
}
