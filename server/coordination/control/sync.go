package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/coordination/membership"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

// HandleSync answers a poll: at once if there is something newer than what the poller has, otherwise after the hold
// time.
func (l *Loop) HandleSync(ctx context.Context, args *wire.SyncArgs) (*wire.SyncReply, error) {
	if args.Node == l.node {
		return nil, errOwnPoll
	}
	received := time.Now()
	reply := &wire.SyncReply{}
	var c *client
	if err := l.do(ctx, func() { c = l.beginPoll(args, reply, time.Now()) }); err != nil || c == nil {
		return reply, err
	}
	l.hold(ctx, args)
	err := l.do(context.Background(), func() { l.endPoll(c, args, reply, received) })
	return reply, err
}

// hold returns when there is something newer to pass on, and at the latest after the hold time.
func (l *Loop) hold(ctx context.Context, args *wire.SyncArgs) {
	if args.PushOnly {
		return
	}
	timer := time.NewTimer(min(time.Duration(args.HoldMS)*time.Millisecond, l.settings.SyncHold))
	defer timer.Stop()
	for {
		news := l.news.wait()
		newer := false
		if err := l.do(ctx, func() { newer = l.hasNews(args) }); err != nil || newer {
			return
		}
		select {
		case <-news:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-l.stopped:
			return
		}
	}
}

// beginPoll admits a poller and takes what it brings. It returns nil if admission is refused.
func (l *Loop) beginPoll(args *wire.SyncArgs, reply *wire.SyncReply, now time.Time) *client {
	c := l.clients[args.Node]
	if c == nil {
		if len(l.clients) >= clientsMax || !l.admission.AllowN(now, 1) {
			l.counter.refused.Add(1)
			reply.RetryAfterMS = l.retryAfter().Milliseconds()
			return nil
		}
		c = &client{peer: true}
		l.clients[args.Node] = c
	}
	if args.PushOnly {
		l.counter.pushes.Add(1)
	} else {
		l.counter.syncs.Add(1)
	}
	c.open++
	c.heard = now
	c.closed = false
	c.peer = c.peer && args.Peer
	c.status = wire.NodeStatus{Node: args.Node, Offset: args.Offset, Version: args.Version, Ready: args.Ready}
	if l.isUnreachable(args.Node) {
		delete(l.unreachable, args.Node)
		l.rolesStale = true
	}
	if args.Entry != nil {
		l.merge(*args.Entry, args.Node, now)
	}
	for _, e := range args.Entries {
		l.merge(e, args.Node, now)
	}
	l.noteAhead(args)
	return c
}

// retryAfter spreads pollers that were refused over one to two times ReconnectJitter.
func (l *Loop) retryAfter() time.Duration {
	base := max(l.settings.ReconnectJitter, time.Millisecond)
	return base + l.settings.Jitter(base)
}

// noteAhead asks for a sync in the other direction if the poller has a higher offset.
func (l *Loop) noteAhead(args *wire.SyncArgs) {
	l.highest = max(l.highest, args.Offset)
	if args.Offset <= l.state.Load().Offset() {
		return
	}
	e := l.table.Get(args.Node)
	if e == nil {
		return
	}
	peer := fanout.Peer{Node: e.Node, Address: e.Address}
	if l.settings.SourceGrace > 0 && l.state.Load().Offset() > 0 {
		time.AfterFunc(l.settings.SourceGrace, func() { l.pullIfBehind(peer, args.Offset) })
		return
	}
	l.notify.post(func() { l.notify.ahead = &peer })
}

// pullIfBehind asks for a sync if this node has not reached an offset by itself.
func (l *Loop) pullIfBehind(peer fanout.Peer, offset uint64) {
	if l.state.Load().Offset() < offset {
		l.notify.post(func() { l.notify.ahead = &peer })
	}
}

// delta returns the entries that the poller lacks, up to a sequence number of the table.
func (l *Loop) delta(args *wire.SyncArgs, upTo uint64) endpoint.Delta {
	sequence := args.TableSequence
	if args.ParentInstance != l.instance {
		sequence = 0
	}
	notFrom := func(origin string) bool { return origin != args.Node }
	return l.table.Select(sequence, upTo, replyEntriesMax, notFrom)
}

// hasNews reports whether something that the poller lacks has been held back long enough.
func (l *Loop) hasNews(args *wire.SyncArgs) bool {
	passable := l.passableOffset
	if !waitsForSource(args) {
		passable = l.state.Load().Offset()
	}
	return args.Offset < passable || len(l.delta(args, l.passable).Entries) > 0
}

// waitsForSource reports whether a poller is given time to read a new state from the source itself. One that has none
// is not: after a restart of the whole fleet the source is slow to answer all nodes.
func waitsForSource(args *wire.SyncArgs) bool { return args.Reads && args.Offset > 0 }

// fill puts everything that the poller lacks into the reply, including what is still held back: a reply proves
// contact, so it must not lack a verdict on the poller that this node knows of.
func (l *Loop) fill(args *wire.SyncArgs, reply *wire.SyncReply) {
	delta := l.delta(args, l.table.Sequence())
	reply.Entries = delta.Entries
	reply.TableSequence = delta.Sequence
	if !waitsForSource(args) || args.Offset < l.passableUpTo(time.Now()) {
		l.fillRecords(args.Offset, reply)
	}
}

// fillRecords adds the records after an offset, or a snapshot if the window does not reach back that far.
func (l *Loop) fillRecords(offset uint64, reply *wire.SyncReply) {
	state := l.state.Load()
	if offset >= state.Offset() {
		return
	}
	records, ok := l.window.after(offset)
	if ok {
		reply.Records = records
		return
	}
	snapshot, err := l.snapshot(state)
	if err != nil {
		return
	}
	l.counter.snapshots.Add(1)
	reply.Snapshot = snapshot
}

// snapshot encodes the state, and keeps the result for the other children that need the same one.
func (l *Loop) snapshot(state *config.State) ([]byte, error) {
	if l.snapshotOf == state {
		return l.snapshotData, nil
	}
	data, err := state.EncodeSnapshot()
	if err != nil {
		return nil, err
	}
	if data, err = compress(data); err != nil {
		return nil, err
	}
	l.snapshotOf = state
	l.snapshotData = data
	return data, nil
}

// endPoll completes the reply. The poller's silence counts from now.
func (l *Loop) endPoll(c *client, args *wire.SyncArgs, reply *wire.SyncReply, received time.Time) {
	now := time.Now()
	if !args.PushOnly {
		l.fill(args, reply)
	}
	c.open--
	c.heard = now
	reply.ParentInstance = l.instance
	reply.HighestOffset = l.highest
	reply.Ready = l.ready
	reply.ContactAgeMS = l.ContactAge().Milliseconds()
	reply.HeldMS = now.Sub(received).Milliseconds()
	e := l.table.Get(args.Node)
	reply.EntryAcknowledged = e != nil && e.Incarnation >= args.Incarnation
}

// LocalState returns what this node states to a peer that has acknowledged the table up to a sequence number.
func (l *Loop) LocalState(acknowledged uint64) (fanout.LocalState, error) {
	var out fanout.LocalState
	err := l.do(context.Background(), func() {
		state := l.state.Load()
		out = fanout.LocalState{
			Node:        l.self.Node,
			Incarnation: l.self.Incarnation,
			Offset:      state.Offset(),
			Version:     state.Version(),
			Ready:       l.ready,
			Reads:       l.roles.Load().ReadsLog,
			Entry:       l.self,
		}
		delta := l.table.Select(acknowledged, l.passable, replyEntriesMax, l.passesUp)
		out.Sequence = delta.Sequence
		for _, e := range delta.Entries {
			if e.Node == l.self.Node {
				out.EntryChanged = true
				continue
			}
			out.Entries = append(out.Entries, e)
		}
	})
	return out, err
}

// passesUp reports whether entries of an origin are passed on to a parent: own ones, verdicts, and those that a child
// delivered. What came from a parent or a remote follower reaches the others by their own parents.
func (l *Loop) passesUp(origin string) bool {
	if origin == "" {
		return true
	}
	c := l.clients[origin]
	return c != nil && !c.peer
}

// HandleSyncResult takes the reply to a poll of this node.
func (l *Loop) HandleSyncResult(in fanout.SyncResult) {
	_ = l.do(context.Background(), func() { l.takeReply(in, time.Now()) })
}

func (l *Loop) takeReply(in fanout.SyncResult, now time.Time) {
	reply := in.Reply
	for _, e := range reply.Entries {
		l.merge(e, cmp.Or(in.From.Node, in.From.Address), now)
	}
	l.highest = max(l.highest, reply.HighestOffset)
	if len(reply.Snapshot) > 0 {
		l.installEncoded(reply.Snapshot)
	}
	l.fold(reply.Records)
	// A parent that is not ready may itself have missed versions.
	if reply.Ready {
		l.contacted = true
	}
	l.updateReady()
	if !in.PushOnly {
		l.takeContact(in, now)
	}
}

// installEncoded decodes and installs a snapshot that a parent sent. One that does not decode is ignored; the offset
// stays behind, so the next poll asks again.
func (l *Loop) installEncoded(data []byte) {
	data, err := decompress(data)
	if err != nil {
		l.counter.syncsFailed.Add(1)
		return
	}
	state, err := config.DecodeSnapshot(data)
	if err != nil {
		l.counter.syncsFailed.Add(1)
		return
	}
	l.install(state)
}

// takeContact notes the contact that a reply proves, and the parent that gave it.
func (l *Loop) takeContact(in fanout.SyncResult, now time.Time) {
	l.updateAlone(now)
	held := time.Duration(in.Reply.HeldMS) * time.Millisecond
	age := time.Duration(in.Reply.ContactAgeMS) * time.Millisecond
	roles := l.roles.Load()
	switch in.Relation {
	case fanout.ToRemote:
		l.noteContact(membership.ContactTime(in.Sent, held, 0))
	case fanout.ToRing:
		if l.inMajority() {
			l.noteContact(membership.ContactTime(in.Sent, held, 0))
		}
	case fanout.ToParent:
		l.noteContact(membership.ContactTime(in.Sent, held, age))
		if !roles.Follower && l.self.Parent != in.From.Node {
			l.setParent(in.From.Node, now)
		}
	}
}

// SyncFailed takes a peer that did not answer out of this node's choice of roles for a while.
func (l *Loop) SyncFailed(peer fanout.Peer, _ fanout.Relation) {
	_ = l.do(context.Background(), func() {
		l.counter.syncsFailed.Add(1)
		l.unreachable[peer.Node] = time.Now().Add(unreachableShare * l.settings.Timeouts.DeadAfter)
		l.rolesStale = true
		l.updateRoles(time.Now())
	})
}

// TableChanged returns a channel that is closed when there is something new to pass on.
func (l *Loop) TableChanged() <-chan struct{} { return l.news.wait() }

// ProbePeers lists the nodes that a follower asks now and then although it does not sync with them.
func (l *Loop) ProbePeers(seeds []string) []fanout.Peer {
	roles := l.roles.Load()
	if !roles.Follower {
		return nil
	}
	nodes := l.view.Load().Nodes
	known := map[string]bool{nodes[l.node].Address: true}
	var peers []fanout.Peer
	for _, e := range nodes {
		if e.Live() {
			known[e.Address] = true
		}
		if e.Node != l.node && (l.settings.ProbeInactive && !e.Live() ||
			e.FailureDomain == l.domain && (e.State == endpoint.Dead || misplaced(e, nodes, roles))) {
			peers = append(peers, fanout.Peer{Node: e.Node, Address: e.Address})
		}
	}
	for _, address := range seeds {
		if !known[address] {
			peers = append(peers, fanout.Peer{Address: address})
		}
	}
	return peers
}

// misplaced reports whether a live node acts on other roles than this node would give it, or syncs with a node that
// is not known to live. It may belong to a tree of nodes that do not know this one.
func misplaced(e *endpoint.Entry, nodes map[string]*endpoint.Entry, roles *fanout.Roles) bool {
	if !e.Live() {
		return false
	}
	if e.Parent == "" || slices.Contains(roles.Followers, e.Node) {
		return (e.Parent == "") != slices.Contains(roles.Followers, e.Node)
	}
	parent := nodes[e.Parent]
	return parent == nil || !parent.Live()
}
