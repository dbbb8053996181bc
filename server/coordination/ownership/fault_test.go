package ownership

import (
	"context"
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

// issued returns an attempt whose key states its issue time.
func issued(c *cluster, key string, at time.Time) *wire.Request {
	r := c.request(key)
	r.KeyIssuedMS = at.UnixMilli()
	return r
}

// faultCases start with the eligible nodes a, b and c. Every case ends with the check for double runs.
var faultCases = map[string]func(t *testing.T, c *cluster){
	"repeat at another node": func(t *testing.T, c *cluster) {
		key := keyFor("a", "b", "c")
		want(t, c.send("b", c.request(key), work), outcome.Answered, "")
		again := c.send("c", c.request(key), work)
		want(t, again, outcome.Answered, "")
		assert.Assert(t, again.Replayed)
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
		r := c.send("d", c.request(key), work)
		want(t, r, outcome.Answered, "")
		assert.Assert(t, r.Replayed)
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
	"view has a falsely dead owner": func(t *testing.T, c *cluster) {
		key := keyFor("a", "b", "c")
		c.send("a", c.request(key), work)
		c.node("a").freeze()
		c.declare("a", endpoint.Dead)
		want(t, c.send("b", c.request(key), work), outcome.Unknown, outcome.ReasonOwnerDied)
		r := c.send("a", c.request(key), work)
		want(t, r, outcome.Answered, "")
		assert.Assert(t, r.Replayed)
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
		b := c.node("b")
		assert.NilError(t, c.node("a").m.Leave(t.Context()))
		c.node("a").update(func(e *endpoint.Entry) { e.State = endpoint.Left })
		b.freeze()
		assert.NilError(t, c.node("a").m.Join(t.Context()))
		c.node("a").update(func(e *endpoint.Entry) { e.State = endpoint.Alive })
		b.frozen.Store(false)
		c.sync(b)
		b.freeze()
		assert.NilError(t, c.node("a").m.Leave(t.Context()))
		c.node("a").update(func(e *endpoint.Entry) { e.State = endpoint.Left })
		assert.NilError(t, b.m.Leave(t.Context()))
		c.node("b").update(func(e *endpoint.Entry) { e.State = endpoint.Left })
		want(t, c.send("c", c.request(key), work), outcome.Answered, "")
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
			r := c.send("d", c.request(key), work)
			want(t, r, outcome.Answered, "")
			assert.Assert(t, r.Replayed)
		}
	},
	"owner dies before the request": func(t *testing.T, c *cluster) {
		key := keyFor("a", "b", "c")
		c.crash("a")
		c.declare("a", endpoint.Dead)
		want(t, c.send("b", c.request(key), work), outcome.Unknown, outcome.ReasonOwnerDied)
		want(t, c.send("b", issued(c, key, time.Now()), work), outcome.Unknown, outcome.ReasonOwnerDied)
		time.Sleep(7 * time.Second)
		want(t, c.send("b", issued(c, key, time.Now()), work), outcome.Answered, "")
	},
	"owner dies during the request": func(t *testing.T, c *cluster) {
		key := keyFor("a", "b", "c")
		go c.send("a", c.request(key), work)
		synctest.Wait()
		c.crash("a")
		want(t, c.send("b", c.request(key), work), outcome.Unknown, outcome.ReasonOwnerUnreachable)
		c.declare("a", endpoint.Dead)
		want(t, c.send("b", c.request(key), work), outcome.Unknown, outcome.ReasonOwnerDied)
	},
	"owner dies after the request and a new node outranks it": func(t *testing.T, c *cluster) {
		key := keyFor("d", "a", "b", "c")
		c.send("a", c.request(key), work)
		c.crash("a")
		c.declare("a", endpoint.Dead)
		c.join("d")
		want(t, c.send("d", c.request(key), work), outcome.Unknown, outcome.ReasonOwnerDied)
		other := keyFor("d", "b", "a", "c")
		want(t, c.send("d", c.request(other), work), outcome.Answered, "")
		c.join("e")
		second := keyFor("e", "d", "a", "b", "c")
		want(t, c.send("d", c.request(second), work), outcome.Unknown, outcome.ReasonOwnerDied)
	},
	"joiner dies before its entry says eligible": func(t *testing.T, c *cluster) {
		key := keyFor("d", "a", "b", "c")
		d := c.add("d")
		for _, n := range c.nodes {
			n.freeze()
		}
		assert.NilError(t, d.m.Join(t.Context()))
		want(t, c.send("a", c.request(key), work), outcome.Answered, "")
		c.crash("d")
		e := d.table["d"]
		e.Revision, e.Eligible, e.State, e.DiedMS = 0, false, endpoint.Dead, time.Now().UnixMilli()
		for _, name := range []string{"a", "b", "c"} {
			c.node(name).merge(e)
		}
		want(t, c.send("a", c.request(key), work), outcome.Unknown, outcome.ReasonOwnerDied)
	},
	"restart replaces the entry of the dead owner": func(t *testing.T, c *cluster) {
		key := keyFor("a", "b", "c")
		c.send("a", c.request(key), work)
		c.crash("a")
		a := c.add("a")
		for _, name := range []string{"b", "c"} {
			c.node(name).m.Observe()
		}
		want(t, c.send("b", c.request(key), work), outcome.Unknown, outcome.ReasonOwnerDied)
		assert.NilError(t, a.m.Join(t.Context()))
		want(t, c.send("b", c.request(key), work), outcome.Unknown, outcome.ReasonOwnerDied)
		fresh := keyFor("a", "c", "b")
		want(t, c.send("b", issued(c, fresh, time.Now()), work), outcome.Unknown, outcome.ReasonOwnerDied)
		time.Sleep(7 * time.Second)
		want(t, c.send("b", issued(c, fresh, time.Now()), work), outcome.Answered, "")
		want(t, c.send("b", issued(c, key, time.Now().Add(-11*time.Minute)), work), outcome.Unknown, outcome.ReasonKeyExpired)
		time.Sleep(testSettings("").Rules.KeyRetention)
		want(t, c.send("b", c.request(key), work), outcome.Answered, "")
	},
	"joiner tells of its own loss before its join is complete": func(t *testing.T, c *cluster) {
		leave := func(name string) {
			assert.NilError(t, c.node(name).m.Leave(t.Context()))
			c.node(name).update(func(e *endpoint.Entry) { e.State = endpoint.Left })
		}
		key := keyFor("d", "a", "b", "c")
		leave("c")
		c.send("a", c.request(key), work)
		c.crash("a")
		a := c.add("a")
		a.contact.Store(int64(time.Minute))
		go a.m.Join(withClose(t.Context(), a.m))
		time.Sleep(work)
		leave("b")
		d := c.join("d")
		want(t, c.send("d", c.request(key), work), outcome.Unknown, outcome.ReasonOwnerDied)
		assert.Assert(t, d.m.Eligible())
	},
	"restart alone is known from the seeds": func(t *testing.T, c *cluster) {
		for _, name := range []string{"b", "c"} {
			assert.NilError(t, c.node(name).m.Leave(t.Context()))
			c.declare(name, endpoint.Left)
		}
		key := keyFor("a", "b", "c")
		c.send("a", c.request(key), work)
		c.crash("a")
		a := c.add("a")
		a.seen = true
		assert.NilError(t, a.m.Join(t.Context()))
		want(t, c.send("a", c.request(key), work), outcome.Unknown, outcome.ReasonOwnerDied)
	},
	"paused owner wakes after it was declared dead": func(t *testing.T, c *cluster) {
		key, before := keyFor("a", "b", "c"), keyFor("a", "c", "b")
		c.send("a", c.request(before), work)
		a := c.node("a")
		a.freeze()
		a.contact.Store(int64(time.Minute))
		c.declare("a", endpoint.Dead)
		time.Sleep(10 * time.Second)
		late := issued(c, key, time.Now())
		want(t, c.send("b", late, work), outcome.Answered, "")
		want(t, c.serve("a", c.request(key), work), outcome.Unknown, outcome.ReasonSelfFenced)
		a.contact.Store(int64(4500 * time.Millisecond))
		lost := keyFor("a", "b", "c", "x", "y")
		assert.Assert(t, lost != key)
		want(t, c.serve("a", c.request(lost), work), outcome.RefusedNotRun, outcome.ReasonSelfFenced)
		a.contact.Store(0)
		a.m.DeclaredDead()
		a.update(func(e *endpoint.Entry) { e.State = endpoint.Alive })
		a.frozen.Store(false)
		want(t, c.serve("a", issued(c, lost, time.Now()), work), outcome.Unknown, outcome.ReasonNotEligible)
		assert.NilError(t, a.m.Join(t.Context()))
		want(t, c.serve("a", issued(c, lost, time.Now()), work), outcome.Unknown, outcome.ReasonOwnerDied)
		again := c.send("a", c.request(key), work)
		want(t, again, outcome.Answered, "")
		assert.Assert(t, again.Replayed)
		want(t, c.send("b", c.request(before), work), outcome.Answered, "")
		time.Sleep(7 * time.Second)
		want(t, c.serve("a", issued(c, lost, time.Now()), work), outcome.Answered, "")
	},
	"planned leave with a running request": func(t *testing.T, c *cluster) {
		key := keyFor("a", "b", "c")
		go c.send("a", c.request(key), work)
		synctest.Wait()
		a := c.node("a")
		assert.NilError(t, a.m.Leave(t.Context()))
		r := c.send("c", c.request(key), work)
		want(t, r, outcome.Answered, "")
		assert.Assert(t, r.Replayed)
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
		r := c.send("d", c.request(key), work)
		want(t, r, outcome.Answered, "")
		assert.Assert(t, r.Replayed)
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
		r := c.send("e", c.request(key), work)
		want(t, r, outcome.Answered, "")
		assert.Assert(t, r.Replayed)
	},
	"member restarted and no view shows it": func(t *testing.T, c *cluster) {
		key := keyFor("d", "a", "b", "c")
		c.send("a", c.request(key), work)
		d := c.add("d")
		for _, name := range []string{"b", "c", "d"} {
			c.node(name).freeze()
		}
		c.crash("a")
		c.add("a")
		d.lazy.Store(true)
		assert.NilError(t, d.m.Join(t.Context()))
		want(t, c.send("d", c.request(key), work), outcome.Unknown, outcome.ReasonOwnerDied)
	},
	"not-run end overtakes the running record": func(t *testing.T, c *cluster) {
		c.setCut("c", true)
		d := c.add("d")
		done := make(chan error, 1)
		go func() { done <- d.m.Join(t.Context()) }()
		time.Sleep(work)
		args := wire.HandOverArgs{Leaver: "a", Service: service, Records: []wire.KeyRecord{
			{Key: "k", State: wire.KeyDone, Executor: "a", Response: refuse(outcome.ReasonQueueFull)},
		}}
		var reply wire.HandOverReply
		assert.NilError(t, d.m.Receiver().HandOver(args, &reply))
		assert.Assert(t, !reply.Accepted)
		c.setCut("c", false)
		assert.NilError(t, <-done)
		assert.NilError(t, d.m.Receiver().HandOver(args, &reply))
		assert.Assert(t, reply.Accepted)
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
		r := c.send("d", c.request(key), work)
		want(t, r, outcome.Answered, "")
		assert.Assert(t, r.Replayed)
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
			r := c.send("b", c.request(key), work)
			want(t, r, outcome.Answered, "")
			assert.Assert(t, r.Replayed)
		}
	},
	"fence against late arrival": func(t *testing.T, c *cluster) {
		key := keyFor("a", "b", "c")
		late := c.request(key)
		want(t, c.resolve(t.Context(), "b", "a", late), outcome.RefusedNotRun, outcome.ReasonFenced)
		want(t, c.send("a", late, work), outcome.RefusedNotRun, outcome.ReasonFenced)
		want(t, c.send("a", c.request(key), work), outcome.Answered, "")
	},
	"inquiry about a run, a moved key and a dead owner": func(t *testing.T, c *cluster) {
		key := keyFor("d", "a", "b", "c")
		req := c.request(key)
		go c.send("a", req, 3*work)
		synctest.Wait()
		c.join("d")
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		want(t, c.resolve(ctx, "b", "a", req), outcome.Answered, "")
		c.crash("d")
		want(t, c.resolve(ctx, "b", "d", req), outcome.Unknown, outcome.ReasonOwnerUnreachable)
	},
}

// TestFaults guards the promise that a key runs at most once within retention, and that an attempt that was told
// refused_not_run did not run, in each of the fault cases.
func TestFaults(t *testing.T) {
	for name, scenario := range faultCases {
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
