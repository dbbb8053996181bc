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

// HandleSync answers a poll: at once if there is anything newer than what the poller has, otherwise when there is, and
// at the latest after the hold time.
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
	l.awaitUpdates(ctx, args)
	err := l.do(context.Background(), func() { l.endPoll(c, args, reply, received) })
	return reply, err
}

// awaitUpdates returns when there is something newer to forward, and at the latest after the hold time.
func (l *Loop) awaitUpdates(ctx context.Context, args *wire.SyncArgs) {
	if args.PushOnly {
		return
	}
	timer := time.NewTimer(min(time.Duration(args.HoldMS)*time.Millisecond, l.settings.SyncHold))
	defer timer.Stop()
	for {
		news := l.updates.wait()
		newer := false
		if err := l.do(ctx, func() { newer = l.hasUpdates(args) }); err != nil || newer {
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

// beginPoll admits a poller and merges the entries that it sent. It returns nil if admission is refused.
func (l *Loop) beginPoll(args *wire.SyncArgs, reply *wire.SyncReply, now time.Time) *client {
	c := l.clients[args.Node]
	if c == nil {
		if len(l.clients) >= clientsMax || !l.admission.AllowN(now, 1) {
			l.counter.refused.Add(1)
			reply.RetryAfterMS = l.retryAfter().Milliseconds()
			return nil
		}
		c = &client{peerOnly: true}
		l.clients[args.Node] = c
	}
	if args.PushOnly {
		l.counter.pushes.Add(1)
	} else {
		l.counter.syncs.Add(1)
	}
	c.openPolls++
	c.lastHeard = now
	c.connectionClosed = false
	c.peerOnly = c.peerOnly && args.Peer
	c.status = wire.NodeStatus{
		Node: args.Node, Offset: args.Offset, Version: args.Version, Ready: args.Ready, Sequence: args.Sequence,
	}
	if l.isUnreachable(args.Node) {
		delete(l.unreachableUntil, args.Node)
		l.rolesStale = true
	}
	if args.Entry != nil {
		l.mergeEntry(*args.Entry, args.Node, now)
	}
	for _, e := range args.Entries {
		l.mergeEntry(e, args.Node, now)
	}
	l.pullFromAhead(args)
	l.heardOfEra(args.StoreEra)
	l.heardOfFleet(args.FleetSize)
	l.heardOfKeys(args.KeyHistory, args.Node)
	return c
}

// retryAfter spreads pollers that were refused over one to two times ReconnectJitter.
func (l *Loop) retryAfter() time.Duration {
	base := max(l.settings.ReconnectJitter, time.Millisecond)
	return base + l.settings.Jitter(base)
}

// pollerOrder returns the place of the poller's state in the order.
func pollerOrder(args *wire.SyncArgs) config.Order {
	return config.Order{Sequence: args.Sequence, Offset: args.Offset}
}

// pullFromAhead requests a sync in the other direction if the poller has a higher state.
func (l *Loop) pullFromAhead(args *wire.SyncArgs) {
	order := pollerOrder(args)
	l.heardOf(order)
	if !order.Above(l.state.Load().Order()) {
		return
	}
	e := l.table.Get(args.Node)
	if e == nil {
		return
	}
	peer := fanout.Peer{Node: e.Node, Address: e.Address}
	if l.settings.SourceGrace > 0 && l.state.Load().Offset() > 0 {
		time.AfterFunc(l.settings.SourceGrace, func() { l.pullIfBehind(peer, order) })
		return
	}
	l.notify.post(func() { l.notify.ahead = &peer })
}

// pullIfBehind requests a sync if this node has not reached a state by itself.
func (l *Loop) pullIfBehind(peer fanout.Peer, order config.Order) {
	if order.Above(l.state.Load().Order()) {
		l.notify.post(func() { l.notify.ahead = &peer })
	}
}

// replyBounds limit the entries in one message.
var replyBounds = endpoint.Bounds{Entries: replyEntriesMax, Bytes: replyEntryBytes}

// delta returns the entries that the poller lacks, up to a sequence number of the table.
func (l *Loop) delta(args *wire.SyncArgs, upTo uint64) endpoint.Delta {
	sequence := args.TableSequence
	if args.ParentInstance != l.instance {
		sequence = 0
	}
	notFrom := func(origin string) bool { return origin != args.Node }
	return l.table.Select(sequence, upTo, replyBounds, notFrom)
}

// hasUpdates reports whether the poller lacks anything that may be forwarded to it already.
func (l *Loop) hasUpdates(args *wire.SyncArgs) bool {
	passable := l.publishedOrder
	if !waitsForSource(args) {
		passable = l.state.Load().Order()
	}
	newer := passable.Above(pollerOrder(args)) && args.Rejected < passable.Offset
	if args.StateOnly {
		return newer
	}
	return newer || len(l.delta(args, l.publishedSequence).Entries) > 0
}

// waitsForSource reports whether a poller is given time to read a new state from the source itself. A poller
// without any state is not: after a restart of the whole fleet the source is slow to serve all nodes.
func waitsForSource(args *wire.SyncArgs) bool { return args.Reads && args.Offset > 0 }

// fillReply adds everything that the poller lacks to the reply, including entries that are still being coalesced: a
// reply proves contact, so it must include any liveness decision on the poller that this node knows of.
func (l *Loop) fillReply(args *wire.SyncArgs, reply *wire.SyncReply) {
	if !args.StateOnly {
		delta := l.delta(args, l.table.Sequence())
		reply.Entries = delta.Entries
		reply.TableSequence = delta.Sequence
		// A bounded delta may leave out the entry of the poller, which holds the decision on it.
		if e := l.table.Get(args.Node); e != nil && delta.Sequence < l.table.Sequence() {
			reply.Entries = append(reply.Entries, *e)
		}
	}
	if args.Rejected >= l.state.Load().Offset() {
		return
	}
	order := pollerOrder(args)
	if !waitsForSource(args) || l.forwardableOrder(time.Now()).Above(order) {
		l.fillRecords(order, reply)
	}
}

// fillRecords adds the records after a state, or a snapshot if the window does not reach back that far. A configuration that
// was installed whole has no records, and the state that it replaced may have a higher offset.
func (l *Loop) fillRecords(order config.Order, reply *wire.SyncReply) {
	state := l.state.Load()
	if !state.Order().Above(order) {
		return
	}
	if records, ok := l.window.after(order.Offset); ok && state.Sequence() == 0 {
		reply.Records = records
		return
	}
	snapshot, err := l.snapshot(state)
	if err != nil {
		return
	}
	l.counter.snapshots.Add(1)
	l.counter.snapshotBytesSent.Add(int64(len(snapshot)))
	reply.Snapshot = snapshot
}

// snapshot encodes the state, and caches the result for other children that need the same snapshot.
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

// endPoll completes the reply. The poller counts as silent from this time on.
func (l *Loop) endPoll(c *client, args *wire.SyncArgs, reply *wire.SyncReply, received time.Time) {
	now := time.Now()
	if !args.PushOnly {
		l.fillReply(args, reply)
	}
	c.openPolls--
	c.lastHeard = now
	reply.ParentInstance = l.instance
	highest, uninstallable := l.highest(), *l.uninstallable.Load()
	reply.HighestOffset, reply.HighestSequence = highest.Offset, highest.Sequence
	reply.Uninstallable, reply.UninstallableSequence = uninstallable.Offset, uninstallable.Sequence
	reply.StoreEra = l.storeEra()
	reply.FleetSize = l.fleet.statement()
	reply.KeyHistory = l.keyHistory
	reply.Ready = l.ready
	reply.ContactAgeMS = l.ContactAge().Milliseconds()
	reply.HeldMS = now.Sub(received).Milliseconds()
	e := l.table.Get(args.Node)
	reply.EntryAcknowledged = e != nil && e.Incarnation >= args.Incarnation
}

// LocalState returns what this node sends to a peer that has acknowledged the table up to a sequence number.
func (l *Loop) LocalState(acknowledged uint64) (fanout.LocalState, error) {
	var out fanout.LocalState
	err := l.do(context.Background(), func() {
		state := l.state.Load()
		out = fanout.LocalState{
			Node:        l.self.Node,
			Incarnation: l.self.Incarnation,
			Offset:      state.Offset(),
			Number:      state.Sequence(),
			Version:     state.Version(),
			StoreEra:    l.storeEra(),
			FleetSize:   l.fleet.statement(),
			KeyHistory:  l.keyHistory,
			Ready:       l.ready,
			Reads:       l.roles.Load().ReadsLog,
			Rejected:    l.rejections.offsets(time.Now()),
			Entry:       l.self,
		}
		delta := l.table.Select(acknowledged, l.publishedSequence, replyBounds, l.forwardsToParent)
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

// forwardsToParent reports whether entries of an origin are forwarded to a parent: own entries, liveness decisions, and
// entries that a child sent. Entries from a parent or a remote follower reach other nodes through their own parents.
func (l *Loop) forwardsToParent(origin string) bool {
	if origin == "" {
		return true
	}
	c := l.clients[origin]
	return c != nil && !c.peerOnly
}

// HandleSyncResult applies the reply to a poll of this node.
func (l *Loop) HandleSyncResult(in fanout.SyncResult) {
	_ = l.do(context.Background(), func() { l.applyReply(in, time.Now()) })
}

func (l *Loop) applyReply(in fanout.SyncResult, now time.Time) {
	reply := in.Reply
	from := cmp.Or(in.From.Node, in.From.Address)
	for _, e := range reply.Entries {
		l.mergeEntry(e, from, now)
	}
	l.heardOf(config.Order{Sequence: reply.HighestSequence, Offset: reply.HighestOffset})
	l.heardOfUninstallable(config.Order{Sequence: reply.UninstallableSequence, Offset: reply.Uninstallable})
	l.heardOfEra(reply.StoreEra)
	l.heardOfFleet(reply.FleetSize)
	l.heardOfKeys(reply.KeyHistory, from)
	if len(reply.Snapshot) > 0 && l.installSnapshot(reply, from, now) {
		l.reportSnapshotInstall(from, now)
	}
	l.applyRecords(reply.Records, from)
	if l.blockedAt != 0 && len(reply.Records) > 0 {
		l.rejections.add(from, reply.HighestOffset, now)
	}
	// A parent that is not ready may itself have missed versions.
	if reply.Ready {
		l.contacted = true
	}
	l.updateReady()
	if !in.PushOnly {
		l.recordReplyContact(in, now)
	}
}

// installSnapshot decodes and installs a snapshot that a parent sent, and reports whether it was above the
// current one in the order. One that cannot be decoded is counted, reported and otherwise ignored; polls request it again after
// rejectedRetryInterval.
func (l *Loop) installSnapshot(reply *wire.SyncReply, from string, now time.Time) bool {
	received := reply.Snapshot
	l.counter.snapshotsReceived.Add(1)
	l.counter.snapshotBytesReceived.Add(int64(len(received)))
	data, err := decompress(received)
	if err != nil {
		l.rejectSnapshot(SnapshotRejection{From: from, Bytes: len(received), Error: err.Error()}, reply.HighestOffset, now)
		return false
	}
	state, err := config.DecodeSnapshot(data)
	if err != nil {
		l.rejectSnapshot(SnapshotRejection{
			From: from, Offset: offsetOfRejected(data), Bytes: len(received), DecompressedBytes: len(data), Error: err.Error(),
		}, reply.HighestOffset, now)
		return false
	}
	if state.Sequence() < l.state.Load().Sequence() {
		l.skip(state.Offset())
		l.rejections.add(from, state.Offset(), now)
		return false
	}
	return l.install(state, from)
}

// recordReplyContact records the contact that a reply proves, and the parent that sent it.
func (l *Loop) recordReplyContact(in fanout.SyncResult, now time.Time) {
	l.updateAlone(now)
	held := time.Duration(in.Reply.HeldMS) * time.Millisecond
	age := time.Duration(in.Reply.ContactAgeMS) * time.Millisecond
	roles := l.roles.Load()
	switch in.Relation {
	case fanout.ToRemote:
		l.recordContact(membership.ContactTime(in.Sent, held, 0))
	case fanout.ToRing:
		if l.inDomainMajority() {
			l.recordContact(membership.ContactTime(in.Sent, held, 0))
		}
	case fanout.ToParent:
		l.recordContact(membership.ContactTime(in.Sent, held, age))
		if !roles.Follower && l.self.Parent != in.From.Node {
			l.setParent(in.From.Node, now)
		}
	}
}

// SyncFailed excludes a peer that did not answer from this node's choice of roles for a limited time.
func (l *Loop) SyncFailed(peer fanout.Peer, _ fanout.Relation) {
	_ = l.do(context.Background(), func() {
		l.counter.syncsFailed.Add(1)
		l.unreachableUntil[peer.Node] = time.Now().Add(unreachableFactor * l.settings.Timeouts.DeadAfter)
		l.rolesStale = true
		l.updateRoles(time.Now())
	})
}

// TableChanged returns a channel that is closed when there are new updates to forward.
func (l *Loop) TableChanged() <-chan struct{} { return l.updates.wait() }

// FailoverPeers lists the nodes of other failure domains that this node polls while no parent answers.
func (l *Loop) FailoverPeers() []fanout.Peer {
	var peers []fanout.Peer
	_ = l.do(context.Background(), func() {
		self := l.self
		peers = fanout.FailoverPeers(&self, max(0, l.Roles().Rank), l.table.All(), l.isUnreachable, l.settings.Shape)
	})
	return peers
}

// ProbePeers lists the nodes that a follower probes from time to time although it does not sync with them.
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

// misplaced reports whether a live node acts on other roles than this node would assign to it, or syncs with a node
// that is not known to be live. It may belong to a tree of nodes that do not know this one.
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
