package control

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/coordination/membership"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

// cluster is a set of loops that are connected in memory, with a log that followers read.
type cluster struct {
	t     *testing.T
	mu    sync.Mutex
	nodes map[string]*node
	log   []config.Record
	// logDown and cut control which connections are down.
	logDown bool
	cut     func(from, to *node) bool
	// deliver and received replace what a follower reads of the log and what a node gets from its parent; nil for
	// an undisturbed delivery.
	deliver  func(n *node, at uint64, log []config.Record)
	received func(n *node, reply *wire.SyncReply)
	wg       sync.WaitGroup
	random   *rand.Rand
	// loss is the share of messages that are lost and sent again.
	loss    float64
	profile profile
	shape   fanout.Topology
	// reconnectJitter and margin are the settings of the syncs; margin is how much longer than its hold a poll may take.
	reconnectJitter, margin time.Duration
	// linkMbps is the bandwidth of each node's link; nil if it is not known.
	linkMbps func(name string) uint32
}

// retransmission returns how long a message is delayed by losses: TCP sends it again after a timeout that doubles.
func (c *cluster) retransmission() time.Duration {
	const firstTimeout = 200 * time.Millisecond
	c.mu.Lock()
	defer c.mu.Unlock()
	var delay time.Duration
	for timeout := firstTimeout; c.random.Float64() < c.loss; timeout *= 2 {
		delay += timeout
	}
	return delay
}

type node struct {
	cluster      *cluster
	name, domain string
	loop         *Loop
	syncer       *fanout.Syncer
	cancel       context.CancelFunc
	rejoined     atomic.Int64
}

// profile holds the times in which the two profiles differ.
type profile struct {
	hold, coalesce      time.Duration
	suspect, dead, self time.Duration
}

var (
	convergenceFirst = profile{time.Second, 20 * time.Millisecond, time.Second, 5 * time.Second, 4 * time.Second}
	bytesFirst       = profile{3 * time.Second, 500 * time.Millisecond, 2 * time.Second, 9 * time.Second, 7 * time.Second}
)

// jitter is seeded, so that runs differ only in the order in which goroutines ask.
func (c *cluster) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Int64N(int64(d)))
}

func (c *cluster) settings() Settings {
	return Settings{
		Timeouts:           membership.Timeouts{SuspectAfter: c.profile.suspect, DeadAfter: c.profile.dead, SelfFence: c.profile.self},
		Shape:              c.shape,
		SyncHold:           c.profile.hold,
		CoalesceWindow:     c.profile.coalesce,
		SyncAdmissionRate:  50,
		ReconnectJitter:    c.reconnectJitter,
		KeyRetention:       10 * time.Minute,
		DeltaWindowRecords: 1024,
		Jitter:             c.jitter,
		StartGrace:         2 * time.Second,
	}
}

func newCluster(t *testing.T) *cluster {
	return &cluster{
		t:               t,
		nodes:           make(map[string]*node),
		cut:             connected,
		profile:         convergenceFirst,
		random:          rand.New(rand.NewPCG(1, 2)),
		shape:           fanout.Topology{Mode: fanout.ModeTree, FollowersPerDomain: 2, RelayChildren: 3},
		reconnectJitter: 500 * time.Millisecond,
		margin:          time.Second,
	}
}

// start runs members nodes in each failure domain.
func (c *cluster) start(domains, members int) {
	for d := range domains {
		for m := range members {
			c.startNode(fmt.Sprintf("d%d-n%d", d, m), fmt.Sprintf("d%d", d))
		}
	}
	c.wg.Go(func() { c.checkInvariants() })
}

func (c *cluster) startNode(name, domain string) *node {
	ctx, cancel := context.WithCancel(c.t.Context())
	self := endpoint.Entry{Node: name, Address: name, FailureDomain: domain, Service: "web", Eligible: true}
	self.Key = endpoint.Key{Incarnation: time.Now().UnixNano(), State: endpoint.Alive}
	if c.linkMbps != nil {
		self.LinkMbps = c.linkMbps(name)
	}
	n := &node{cluster: c, name: name, domain: domain, cancel: cancel}
	n.loop = New(c.settings(), self)
	hold, relay, follower := fanout.HoldTimes(c.profile.hold, c.profile.self)
	n.syncer = fanout.NewSyncer(n, n.loop, fanout.Settings{
		Hold: hold, RelayHold: relay, FollowerHold: follower,
		ReconnectJitter: c.reconnectJitter, CallTimeoutMargin: c.margin, ProbeInterval: time.Second,
		RetryMax: 5 * time.Second, Jitter: c.jitter, Seeds: []string{"d0-n0", "d0-n1", "d1-n0"},
	})
	n.loop.OnRolesChanged(n.syncer.SetRoles)
	n.loop.OnPeerAhead(n.syncer.Pull)
	n.loop.OnDeclaredDead(func() { n.rejoined.Add(1) })
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	c.wg.Go(func() { n.loop.Run(ctx) })
	c.wg.Go(func() { n.syncer.Run(ctx) })
	c.wg.Go(func() { n.followLog(ctx) })
	return n
}

func (c *cluster) kill(n *node) {
	c.mu.Lock()
	delete(c.nodes, n.name)
	c.mu.Unlock()
	n.cancel()
}

func (c *cluster) stop() {
	for _, n := range c.list() {
		c.kill(n)
	}
	c.wg.Wait()
}

func (c *cluster) list() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*node
	for _, n := range c.nodes {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b *node) int { return bytes.Compare([]byte(a.name), []byte(b.name)) })
	return list
}

func (c *cluster) get(name string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}

func (c *cluster) find(match func(*node) bool) *node {
	for _, n := range c.list() {
		if match(n) {
			return n
		}
	}
	c.t.Fatal("no such node")
	return nil
}

// followLog delivers the log to a node while its roles ask for it.
func (n *node) followLog(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(30 * time.Millisecond)
		n.cluster.mu.Lock()
		log, down, deliver := n.cluster.log, n.cluster.logDown, n.cluster.deliver
		n.cluster.mu.Unlock()
		if down || !n.loop.Roles().ReadsLog {
			continue
		}
		n.loop.HighestSeen(uint64(len(log)))
		at := n.loop.Offset()
		switch {
		case deliver != nil:
			deliver(n, at, log)
		case at < uint64(len(log)):
			n.loop.DeliverRecords(log[at:])
		}
	}
}

// Call passes a sync to another node through gob, as net/rpc does. A call over a cut link fails after a second.
func (n *node) Call(ctx context.Context, address, _ string, args, reply any) error {
	silent := errors.New("silent")
	time.Sleep(time.Millisecond + n.cluster.retransmission())
	n.cluster.mu.Lock()
	to, cut := n.cluster.nodes[address], n.cluster.cut
	n.cluster.mu.Unlock()
	if to == nil {
		return errors.New("connection refused")
	}
	if cut(n, to) {
		time.Sleep(time.Second)
		return silent
	}
	var received wire.SyncArgs
	transcode(n.cluster.t, args, &received)
	r, err := to.loop.HandleSync(ctx, &received)
	time.Sleep(time.Millisecond + n.cluster.retransmission())
	n.cluster.mu.Lock()
	cut, disturb := n.cluster.cut, n.cluster.received
	n.cluster.mu.Unlock()
	if err != nil || cut(to, n) {
		return errors.Join(err, silent)
	}
	transcode(n.cluster.t, r, reply)
	if disturb != nil {
		disturb(n, reply.(*wire.SyncReply))
	}
	return nil
}

func transcode(t *testing.T, from, to any) {
	var buffer bytes.Buffer
	if err := errors.Join(gob.NewEncoder(&buffer).Encode(from), gob.NewDecoder(&buffer).Decode(to)); err != nil {
		t.Error(err)
	}
}

// checkInvariants checks the invariants of every view: offsets never decrease, and every route and the services that
// it names are in the same view.
func (c *cluster) checkInvariants() {
	seen := make(map[*node]uint64)
	for c.t.Context().Err() == nil {
		list := c.list()
		if len(list) == 0 {
			return
		}
		for _, n := range list {
			v := n.loop.View()
			assert.Check(c.t, v.Offset >= seen[n], "%s went back from %d to %d", n.name, seen[n], v.Offset)
			seen[n] = v.Offset
			for _, route := range v.Content.Routes {
				for _, d := range route.Destinations {
					_, known := v.ByService[d.Service]
					assert.Check(c.t, known, "%s has a route to the unknown service %s", n.name, d.Service)
				}
			}
		}
		time.Sleep(7 * time.Millisecond)
	}
}

// waitUntil waits until a condition holds on every node and reports whether it did within a limit of virtual time.
func (c *cluster) waitUntil(limit time.Duration, ok func(*node) bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !slices.ContainsFunc(c.list(), func(n *node) bool { return !ok(n) }) {
			return true
		}
	}
	for i, n := range c.list() {
		if !ok(n) && i < 3 {
			c.t.Logf("%s: offset %d, ready %v, roles %+v, counters %+v", n.name, n.loop.Offset(), n.loop.View().Ready, n.loop.Roles(), n.loop.Counters())
		}
	}
	return false
}

// set changes which connections are down.
func (c *cluster) set(logDown bool, cut func(from, to *node) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logDown = logDown
	c.cut = cut
}

// connected is the network without cuts.
func connected(_, _ *node) bool { return false }

// append adds records to the log: services and routes to them, in turn.
func (c *cluster) append(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range count {
		c.log = append(c.log, record(uint64(len(c.log))+1))
	}
}

func record(offset uint64) config.Record {
	change := config.Change{Rule: config.RuleVersion, ID: fmt.Sprintf("00000000-0000-7000-8000-%012d", offset), Base: offset - 1}
	name := fmt.Sprintf("s%d", (offset+1)/2)
	if offset == 1 {
		name = "web"
	}
	change.Op, change.Service = config.OpPutService, &config.Service{Name: name}
	if offset > 2 && offset%2 == 0 {
		change.Op, change.Service = config.OpPutRoute, nil
		change.Route = &config.Route{
			Name: name, Caller: config.AnyCaller, PathPrefix: "/" + name + "/",
			Destinations: []config.Destination{{Service: name, Weight: 1}},
		}
	}
	data, err := config.EncodeChange(change)
	if err != nil {
		panic(err)
	}
	return config.Record{Offset: offset, Data: data}
}

// hasConverged returns a condition: the node is ready at offset and sees exactly live nodes as alive.
func hasConverged(offset uint64, live int) func(*node) bool {
	return func(n *node) bool {
		v := n.loop.View()
		return v.Ready && v.Offset == offset && n.count(endpoint.Alive) == live
	}
}

// count returns the number of entries in a state that a node sees.
func (n *node) count(state endpoint.State) int {
	count := 0
	for _, e := range n.loop.View().Nodes {
		if e.State == state {
			count++
		}
	}
	return count
}

// isChild reports whether a node is neither follower nor relay.
func isChild(n *node) bool { return !n.loop.Roles().Relay }
