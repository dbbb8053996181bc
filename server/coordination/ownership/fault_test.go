package ownership

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
)

const work = time.Second

// want asserts the outcome and reason of a response.
func want(t *testing.T, r *wire.Response, o outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	assert.Equal(t, r.Outcome, o, "reason %s", r.Reason)
	assert.Equal(t, r.Reason, reason)
}

// replayed asserts that a response is the recorded answer of an earlier run.
func replayed(t *testing.T, r *wire.Response) {
	t.Helper()
	want(t, r, outcome.Answered, "")
	assert.Assert(t, r.Replayed)
}

// issued returns an attempt whose key states its issue time.
func issued(c *cluster, key string, at time.Time) *wire.Request {
	r := c.request(key)
	r.KeyIssuedMS = at.UnixMilli()
	return r
}

// faultCases are about repeats, joins and leaves. They start with the eligible nodes a, b and c, and end with the check
// for double runs.
var faultCases = map[string]func(t *testing.T, c *cluster){
	"repeat at another node": func(t *testing.T, c *cluster) {
		key := keyFor("a", "b", "c")
		want(t, c.send("b", c.request(key), work), outcome.Answered, "")
		replayed(t, c.send("c", c.request(key), work))
	},
	"key used for another request": func(t *testing.T, c *cluster) {
		key := keyFor("a", "b", "c")
		c.send("a", c.request(key), work)
		other := c.request(key)
		other.Path = "/other"
		want(t, c.send("a", other, work), outcome.RefusedNotRun, outcome.ReasonKeyReused)
	},
	"view lacks the joiner": func(t *testing.T, c *cluster) {
		key := keyFor("d", "a", "b", "c")
		c.node("a").freeze()
		c.node("b").freeze()
		c.join("d")
		want(t, c.send("b", c.request(key), work), outcome.Answered, "")
		want(t, c.send("a", c.request(key), work), outcome.Answered, "")
		assert.Equal(t, c.runs[key][0].node, "d")
	},
	"joiner during a running request": func(t *testing.T, c *cluster) {
		key := keyFor("d", "a", "b", "c")
		go c.send("a", c.request(key), work)
		synctest.Wait()
		c.join("d")
		replayed(t, c.send("d", c.request(key), work))
	},
	"not-run end reaches a joiner": func(t *testing.T, c *cluster) {
		key := keyFor("d", "a", "b", "c")
		d := c.node("a").m.Begin(t.Context(), c.request(key))
		c.join("d")
		d.Finish(refuse(outcome.ReasonQueueFull))
		time.Sleep(work)
		want(t, c.send("a", c.request(key), work), outcome.Answered, "")
		assert.Equal(t, c.runs[key][0].node, "d")
	},
	"unreachable member": func(t *testing.T, c *cluster) {
		c.setCut("c", true)
		d := c.add("d")
		done := make(chan error, 1)
		go func() { done <- d.m.Join(t.Context()) }()
		time.Sleep(5 * time.Second)
		assert.Assert(t, !d.m.Eligible())
		key := keyFor("d", "a", "b", "c")
		want(t, c.send("a", c.request(key), work), outcome.Unknown, outcome.ReasonNotEligible)
		mesh := c.request(keyFor("d", "b", "a", "c"))
		mesh.KeyFromMesh = true
		want(t, c.send("a", mesh, work), outcome.RefusedNotRun, outcome.ReasonNotEligible)
		c.setCut("c", false)
		assert.NilError(t, <-done)
		want(t, c.send("a", c.request(key), work), outcome.Answered, "")
	},
	"joiner without contact": func(t *testing.T, c *cluster) {
		d := c.add("d")
		d.contact.Store(int64(time.Minute))
		done := make(chan error, 1)
		go func() { done <- d.m.Join(t.Context()) }()
		time.Sleep(work)
		assert.Assert(t, !d.m.Eligible())
		d.contact.Store(0)
		assert.NilError(t, <-done)
	},
	"leave while the view shows a node that has left": func(t *testing.T, c *cluster) {
		key := keyFor("a", "b", "c")
		c.send("a", c.request(key), work)
		c.leave("a")
		c.node("a").update(func(e *endpoint.Entry) { e.State = endpoint.Alive })
		assert.NilError(t, c.node("a").m.Join(t.Context()))
		c.node("b").freeze()
		c.leave("a")
		c.leave("b")
		want(t, c.send("c", c.request(key), work), outcome.Answered, "")
	},
	"joiner that only a node with an old view knows": func(t *testing.T, c *cluster) {
		c.leave("b")
		c.leave("c")
		c.node("a").freeze()
		c.add("d").frozen.Store(false)
		assert.NilError(t, c.node("d").m.Join(t.Context()))
		key := keyFor("e", "d", "a")
		c.send("d", c.request(key), work)
		c.leave("a")
		e := c.add("e")
		e.frozen.Store(false)
		assert.NilError(t, e.m.Join(t.Context()))
		replayed(t, c.send("e", c.request(key), work))
	},
	"lost TakeOver reply": func(t *testing.T, c *cluster) {
		keys := []string{keyFor("d", "a", "b", "c"), keyFor("d", "b", "a", "c"), keyFor("d", "c", "a", "b")}
		for _, key := range keys {
			c.send("a", c.request(key), work)
		}
		lost := 0
		c.fault = func(_, _, method string) (bool, bool) {
			lost++
			return false, method == methodTakeOver && lost <= 3
		}
		c.join("d")
		for _, key := range keys {
			replayed(t, c.send("d", c.request(key), work))
		}
	},
	"planned leave with a running request": func(t *testing.T, c *cluster) {
		key := keyFor("a", "b", "c")
		go c.send("a", c.request(key), work)
		synctest.Wait()
		a := c.node("a")
		assert.NilError(t, a.m.Leave(t.Context()))
		replayed(t, c.send("c", c.request(key), work))
		assert.NilError(t, a.m.Drained(t.Context()))
		c.declare("a", endpoint.Left)
		c.crash("a")
		want(t, c.send("c", c.request(key), work), outcome.Answered, "")
		c.add("a")
		assert.NilError(t, c.node("a").m.Join(t.Context()))
		want(t, c.send("c", c.request(key), work), outcome.Answered, "")
		want(t, c.send("c", c.request(keyFor("a", "c", "b")), work), outcome.Answered, "")
	},
	"hand-over to a node that acknowledged a joiner before": func(t *testing.T, c *cluster) {
		key := keyFor("d", "a", "b", "c")
		c.send("a", c.request(key), work)
		a := c.node("a")
		a.freeze()
		c.fault = func(from, to, _ string) (bool, bool) { return from == "d" && to == "a", false }
		d := c.add("d")
		d.frozen.Store(false)
		done := make(chan error, 1)
		go func() { done <- d.m.Join(t.Context()) }()
		time.Sleep(work)
		assert.NilError(t, a.m.Leave(t.Context()))
		c.declare("a", endpoint.Left)
		assert.NilError(t, <-done)
		replayed(t, c.send("d", c.request(key), work))
	},
	"joiner learns of another only from a reply": func(t *testing.T, c *cluster) {
		c.join("d")
		key := keyFor("e", "d", "a", "b", "c")
		c.send("d", c.request(key), work)
		e := c.add("e")
		e.lazy.Store(true)
		delete(e.table, "d")
		e.merge()
		assert.NilError(t, e.m.Join(t.Context()))
		replayed(t, c.send("e", c.request(key), work))
	},
	"all nodes leave and one joins": func(t *testing.T, c *cluster) {
		key := keyFor("d", "a", "b", "c")
		c.send("a", c.request(key), work)
		done := make(chan error, 3)
		for _, name := range []string{"a", "b", "c"} {
			go func() { done <- c.node(name).m.Leave(t.Context()) }()
		}
		orphaned := 0
		for range 3 {
			if err := <-done; err != nil {
				assert.ErrorIs(t, err, ErrNoSuccessor)
				orphaned++
			}
		}
		assert.Assert(t, orphaned > 0)
		for _, name := range []string{"a", "b", "c"} {
			c.node(name).update(func(e *endpoint.Entry) { e.State = endpoint.NoTarget })
		}
		c.join("d")
		replayed(t, c.send("d", c.request(key), work))
	},
	"two concurrent joiners": func(t *testing.T, c *cluster) {
		keys := []string{keyFor("e", "d", "a", "b", "c"), keyFor("d", "e", "a", "b", "c"), keyFor("e", "d", "b", "a", "c")}
		for _, key := range keys {
			c.send("a", c.request(key), work)
		}
		d, e := c.add("d"), c.add("e")
		done := make(chan error, 2)
		go func() { done <- d.m.Join(t.Context()) }()
		go func() { done <- e.m.Join(t.Context()) }()
		go c.send("a", c.request(keyFor("e", "d", "c", "a", "b")), work)
		assert.NilError(t, <-done)
		assert.NilError(t, <-done)
		for _, key := range keys {
			replayed(t, c.send("b", c.request(key), work))
		}
	},
	"fence against late arrival": func(t *testing.T, c *cluster) {
		key := keyFor("a", "b", "c")
		late := c.request(key)
		want(t, c.resolve(t.Context(), "b", "a", late), outcome.RefusedNotRun, outcome.ReasonFenced)
		want(t, c.send("a", late, work), outcome.RefusedNotRun, outcome.ReasonFenced)
		want(t, c.send("a", c.request(key), work), outcome.Answered, "")
	},
}

// TestFaults guards the promise that a key runs at most once within retention, and that an attempt that was told
// refused_not_run did not run, in each of the fault cases.
func TestFaults(t *testing.T) {
	cases := maps.Clone(faultCases)
	maps.Copy(cases, deathCases)
	for name, scenario := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				for _, n := range []string{"a", "b", "c"} {
					c.join(n)
				}
				scenario(t, c)
				time.Sleep(time.Minute)
				c.check()
				c.stop()
				synctest.Wait()
			})
		})
	}
}
