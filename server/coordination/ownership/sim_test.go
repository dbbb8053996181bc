package ownership

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
	"wagtailford.example/server/transport/peer"
)

const service = "ledger"

// cluster wires Managers in memory. Its target counts the runs of every key.
type cluster struct {
	t  testing.TB
	mu sync.Mutex
	// nodes are the current processes; a restart replaces one.
	nodes map[string]*simNode
	// runs lists the attempts that ran, by key.
	runs map[string][]run
	// notRun are the attempts that were told refused_not_run.
	notRun map[attemptID]bool
	ids    uint64
	// fault decides the fate of a call: lost before, lost after, or delayed.
	fault func(from, to, method string) (before, after bool)
	cut   map[string]bool
}

type attemptID struct {
	key string
	id  uint64
}

type run struct {
	node  string
	id    uint64
	start time.Time
	end   time.Time
}

type simNode struct {
	c    *cluster
	name string
	m    *Manager
	up   atomic.Bool
	// frozen nodes get no entries of others, for any length of time.
	frozen  atomic.Bool
	contact atomic.Int64
	// lazy nodes do not take entries from replies into their view.
	lazy  atomic.Bool
	seen  bool
	mu    sync.Mutex
	table map[string]endpoint.Entry
	view  atomic.Pointer[view.View]
}

func newCluster(t testing.TB) *cluster {
	return &cluster{
		t: t, nodes: map[string]*simNode{}, runs: map[string][]run{},
		notRun: map[attemptID]bool{}, cut: map[string]bool{},
	}
}

func testSettings(name string) Settings {
	s := DefaultSettings(name)
	s.PageRecords = 2
	return s
}

// add starts a process with a target. Its table is that of another live node, as after a first sync, however old.
func (c *cluster) add(name string) *simNode {
	n := &simNode{c: c, name: name, table: map[string]endpoint.Entry{}}
	entry := endpoint.Entry{
		Node: name, Address: name, Service: service,
		Key: endpoint.Key{Incarnation: time.Now().UnixNano(), State: endpoint.Alive},
	}
	n.m = New(testSettings(name), Deps{
		View:       n.view.Load,
		ContactAge: func() time.Duration { return time.Duration(n.contact.Load()) },
		UpdateSelf: n.update,
		Call:       n.call,
		Now:        time.Now,
		MergeEntries: func(es []endpoint.Entry) {
			if !n.lazy.Load() {
				n.merge(es...)
			}
		},
		SeenBefore: func(context.Context) (bool, error) { return n.seen, nil },
	})
	n.up.Store(true)
	c.mu.Lock()
	for _, o := range slices.Sorted(maps.Keys(c.nodes)) {
		if source := c.nodes[o]; source.up.Load() && o != name && !c.cut[o] {
			source.mu.Lock()
			maps.Copy(n.table, source.table)
			source.mu.Unlock()
			n.frozen.Store(source.frozen.Load())
			break
		}
	}
	c.nodes[name] = n
	c.mu.Unlock()
	c.publish(entry)
	return n
}

// join adds a node and waits until it is eligible.
func (c *cluster) join(name string) *simNode {
	n := c.add(name)
	if err := n.m.Join(c.t.Context()); err != nil {
		c.t.Fatalf("join of %s: %v", name, err)
	}
	return n
}

// publish passes an entry to every node that is up and whose view is not frozen.
func (c *cluster) publish(e endpoint.Entry) {
	c.mu.Lock()
	nodes := slices.Collect(maps.Values(c.nodes))
	c.mu.Unlock()
	for _, n := range nodes {
		if n.up.Load() && (n.name == e.Node || (!n.frozen.Load() && !c.isCut(n.name, e.Node))) {
			n.merge(e)
		}
	}
}

// declare publishes a verdict or state of a node under its last revision.
func (c *cluster) declare(name string, state endpoint.State) {
	n := c.node(name)
	n.mu.Lock()
	e := n.table[name]
	n.mu.Unlock()
	e.State = state
	if state == endpoint.Dead {
		e.DiedMS = time.Now().UnixMilli()
	}
	c.publish(e)
}

func (c *cluster) node(name string) *simNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}

func (c *cluster) isCut(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return a != b && (c.cut[a] || c.cut[b])
}

// setCut cuts a node off from all others, or ends that.
func (c *cluster) setCut(name string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[name] = cut
}

func (n *simNode) merge(entries ...endpoint.Entry) {
	n.mu.Lock()
	for _, e := range entries {
		old, ok := n.table[e.Node]
		if !ok || older(&old, &e) || (!older(&e, &old) && e.State > old.State) {
			n.table[e.Node] = e
		}
	}
	v := &view.View{Nodes: map[string]*endpoint.Entry{}, Ready: true}
	for name, e := range n.table {
		v.Nodes[name] = &e
	}
	n.view.Store(v)
	n.mu.Unlock()
}

// freeze stops the distribution of entries to a node.
func (n *simNode) freeze() { n.frozen.Store(true) }

func (n *simNode) update(change func(*endpoint.Entry)) {
	n.mu.Lock()
	e := n.table[n.name]
	n.mu.Unlock()
	change(&e)
	e.Revision++
	n.c.publish(e)
}

func (n *simNode) call(ctx context.Context, address, method string, args, reply any) error {
	to := n.c.node(address)
	if !n.up.Load() || to == nil || !to.up.Load() || n.c.isCut(n.name, address) {
		return &peer.NotSentError{Cause: errors.New("refused")}
	}
	before, after := false, false
	if n.c.fault != nil {
		before, after = n.c.fault(n.name, address, method)
	}
	if before {
		return &peer.NotSentError{Cause: errors.New("fault")}
	}
	time.Sleep(time.Millisecond)
	var err error
	r := to.m.Receiver()
	switch a := args.(type) {
	case *wire.TakeOverArgs:
		err = r.TakeOver(*a, reply.(*wire.TakeOverReply))
	case *wire.HandOverArgs:
		err = r.HandOver(*a, reply.(*wire.HandOverReply))
	case *wire.InquireArgs:
		err = r.Inquire(*a, reply.(*wire.InquireReply))
	}
	time.Sleep(time.Millisecond)
	if after || !to.up.Load() || n.c.isCut(n.name, address) || ctx.Err() != nil {
		return &peer.LostError{Cause: errors.New("reply lost")}
	}
	if err != nil {
		return rpc.ServerError(err.Error())
	}
	return nil
}

// sync gives a node the entries of all others.
func (c *cluster) sync(n *simNode) {
	c.mu.Lock()
	nodes := slices.Collect(maps.Values(c.nodes))
	c.mu.Unlock()
	for _, o := range nodes {
		if o == n || !o.up.Load() {
			continue
		}
		o.mu.Lock()
		entries := slices.Collect(maps.Values(o.table))
		o.mu.Unlock()
		n.merge(entries...)
	}
}

// leave ends the target of a node in a planned way.
func (c *cluster) leave(name string) {
	c.t.Helper()
	n := c.node(name)
	n.update(func(e *endpoint.Entry) { e.State = endpoint.Draining })
	if err := n.m.Leave(c.t.Context()); err != nil {
		c.t.Fatalf("leave of %s: %v", name, err)
	}
	n.update(func(e *endpoint.Entry) { e.State = endpoint.Left })
}

// crash ends a process without hand-over.
func (c *cluster) crash(name string) {
	n := c.node(name)
	n.up.Store(false)
	n.m.Close()
}

// request builds an attempt of a key.
func (c *cluster) request(key string) *wire.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids++
	return &wire.Request{
		From: "ingress", ID: c.ids, Service: service, Method: "POST", Path: "/pay",
		Body: []byte(key), Key: key, TimeoutMS: 10_000,
	}
}

// serve executes an attempt at a node as coordination/execute does; work is the time at the target.
func (c *cluster) serve(name string, req *wire.Request, work time.Duration) *wire.Response {
	n := c.node(name)
	if n == nil || !n.up.Load() {
		return &wire.Response{Outcome: outcome.Unknown, Reason: outcome.ReasonOwnerUnreachable}
	}
	d := n.m.Begin(context.Background(), req)
	resp := d.Response
	if d.Run() {
		resp = &wire.Response{Outcome: outcome.Answered, Status: 200, Body: []byte(req.Key + " by " + name)}
		if n.up.Load() {
			r := run{node: name, id: req.ID, start: time.Now(), end: time.Now().Add(work)}
			c.mu.Lock()
			c.runs[req.Key] = append(c.runs[req.Key], r)
			c.mu.Unlock()
		}
		time.Sleep(work)
		d.Finish(resp)
	}
	if !n.up.Load() {
		return &wire.Response{Outcome: outcome.Unknown, Reason: outcome.ReasonOwnerUnreachable}
	}
	c.heard(req, resp)
	return resp
}

// heard notes what a sender was told. A refusal that names no other owner says that the key did not run.
func (c *cluster) heard(req *wire.Request, resp *wire.Response) {
	if resp.Outcome != outcome.RefusedNotRun {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notRun[attemptID{req.Key, req.ID}] = true
	about := resp.Owner == nil && resp.Reason != outcome.ReasonKeyReused && resp.Reason != outcome.ReasonFenced
	if runs := c.runs[req.Key]; about && len(runs) > 0 && !req.KeyFromMesh {
		if time.Since(runs[len(runs)-1].end) < testSettings("").Rules.KeyRetention {
			c.t.Errorf("key %s was called not run (%s) after a run at %s", req.Key, resp.Reason, runs[0].node)
		}
	}
}

// resolve asks a node's manager what became of an attempt that was sent to the node to.
func (c *cluster) resolve(ctx context.Context, asker, to string, req *wire.Request) *wire.Response {
	before := c.count(req.Key)
	resp := c.node(asker).m.Resolve(ctx, req, to)
	c.heard(req, resp)
	if resp.Reason == outcome.ReasonFenced && before > 0 {
		last := c.runs[req.Key][before-1]
		if time.Since(last.end) < testSettings("").Rules.KeyRetention {
			c.t.Errorf("key %s was fenced as never seen after a run at %s", req.Key, last.node)
		}
	}
	return resp
}

// send sends an attempt to a node and follows redirects, with a new attempt number for each node.
func (c *cluster) send(name string, req *wire.Request, work time.Duration) *wire.Response {
	for hop := 0; ; hop++ {
		resp := c.serve(name, req, work)
		if resp.Owner == nil || hop == 4 {
			return resp
		}
		name = resp.Owner.Node
		next := *req
		next.ID = c.request(req.Key).ID
		req = &next
	}
}

// check asserts that no key ran twice within retention and that no attempt ran that was told refused_not_run.
func (c *cluster) check() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, runs := range c.runs {
		for i, r := range runs {
			if c.notRun[attemptID{key, r.id}] {
				c.t.Errorf("key %s: attempt %d ran at %s although it was told refused_not_run", key, r.id, r.node)
			}
			if i > 0 && r.start.Sub(runs[i-1].end) < testSettings("").Rules.KeyRetention {
				c.t.Errorf("key %s ran at %s and again at %s within retention", key, runs[i-1].node, r.node)
			}
		}
	}
}

// stop ends all background work.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.m.Close()
	}
}

func (c *cluster) count(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs[key])
}

// keyFor returns a key for which the nodes rank in the given order.
func keyFor(order ...string) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("key-%d", i)
		ok := true
		for j := 1; j < len(order); j++ {
			ok = ok && outranks(key, order[j-1], order[j])
		}
		if ok {
			return key
		}
	}
}

// randomFault loses calls and replies at random.
func randomFault(r *rand.Rand, mu *sync.Mutex) func(from, to, method string) (bool, bool) {
	return func(string, string, string) (bool, bool) {
		mu.Lock()
		defer mu.Unlock()
		return r.Intn(10) == 0, r.Intn(10) == 0
	}
}
