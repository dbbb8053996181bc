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

// deathCases are about nodes that end without hand-over or are taken for dead. They start and end as faultCases do.
var deathCases = map[string]func(t *testing.T, c *cluster){
	"view has a falsely dead owner": func(t *testing.T, c *cluster) {
		key := keyFor("a", "b", "c")
		c.send("a", c.request(key), work)
		c.node("a").freeze()
		c.declare("a", endpoint.Dead)
		want(t, c.send("b", c.request(key), work), outcome.Unknown, outcome.ReasonOwnerDied)
		replayed(t, c.send("a", c.request(key), work))
	},
	"joiner restarts unseen after the only member that knew it left": func(t *testing.T, c *cluster) {
		c.leave("b")
		c.leave("c")
		d := c.add("d")
		c.node("a").freeze()
		assert.NilError(t, d.m.Join(t.Context()))
		key := keyFor("d", "e", "a")
		want(t, c.send("a", c.request(key), work), outcome.Answered, "")
		c.crash("d")
		e := c.add("e")
		e.frozen.Store(false)
		go e.m.Join(t.Context())
		time.Sleep(work)
		c.leave("a")
		c.add("d").frozen.Store(false)
		assert.NilError(t, c.node("d").m.Join(t.Context()))
		want(t, c.send("d", c.request(key), work), outcome.Unknown, outcome.ReasonOwnerDied)
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
		key := keyFor("d", "a", "b", "c")
		c.leave("c")
		c.send("a", c.request(key), work)
		c.crash("a")
		a := c.add("a")
		a.contact.Store(int64(time.Minute))
		go a.m.Join(withClose(t.Context(), a.m))
		time.Sleep(work)
		c.leave("b")
		d := c.join("d")
		want(t, c.send("d", c.request(key), work), outcome.Unknown, outcome.ReasonOwnerDied)
		assert.Assert(t, d.m.Eligible())
	},
	"restart alone is known from the seeds": func(t *testing.T, c *cluster) {
		c.leave("b")
		c.leave("c")
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
		replayed(t, c.send("a", c.request(key), work))
		want(t, c.send("b", c.request(before), work), outcome.Answered, "")
		time.Sleep(7 * time.Second)
		want(t, c.serve("a", issued(c, lost, time.Now()), work), outcome.Answered, "")
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
		args.Service = "other"
		assert.ErrorIs(t, d.m.Receiver().HandOver(args, &reply), ErrNotMember)
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
