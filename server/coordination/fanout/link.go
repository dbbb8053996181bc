package fanout

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"wagtailford.example/server/coordination/pause"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
)

// maxLinks limits the peers whose sync positions are kept. A node syncs with far fewer peers at a time.
const maxLinks = 128

// link is the sync position between this node and a peer.
type link struct {
	mu sync.Mutex
	// instance and sequence identify the peer's process and the position in its table that this node has received.
	instance int64
	sequence uint64
	// acknowledged is the sequence number of the local table up to which the peer has received what this node sends it.
	acknowledged uint64
}

// linkKey identifies a link. Polls between failure domains and probes forward only the entries of dead nodes, so their
// position is tracked separately.
type linkKey struct {
	peer Peer
	// limited is true for polls between failure domains, for probes and for polls of failover peers.
	limited bool
}

// link returns the sync position for a peer. Positions are kept when roles change, so that a return to a former parent
// does not transfer the whole table again.
func (s *Syncer) link(p Peer, relation Relation) *link {
	key := linkKey{peer: p, limited: isLimited(relation)}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[key]
	if l == nil {
		if len(s.links) >= maxLinks {
			clear(s.links)
		}
		l = &link{}
		s.links[key] = l
	}
	return l
}

func (l *link) position() (instance int64, sequence, acknowledged uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instance, l.sequence, l.acknowledged
}

// advance updates the position from a reply. The call delivered the changes of the local table after sequence number
// base up to pushed.
func (l *link) advance(args *wire.SyncArgs, reply *wire.SyncReply, base, pushed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply.ParentInstance != l.instance {
		l.instance = reply.ParentInstance
		l.sequence = 0
		l.acknowledged = 0
	}
	if !args.PushOnly {
		l.sequence = max(l.sequence, reply.TableSequence)
	}
	switch {
	case !reply.EntryAcknowledged:
		l.acknowledged = 0
	case base <= l.acknowledged:
		l.acknowledged = max(l.acknowledged, pushed)
	}
}

// sync sends one poll and passes the reply to the sink.
func (s *Syncer) sync(
	ctx context.Context, l *link, peer Peer, relation Relation, hold time.Duration,
) (*wire.SyncReply, error) {
	instance, sequence, acknowledged := l.position()
	out, err := s.sink.LocalState(acknowledged)
	if err != nil {
		return nil, err
	}
	args := newArgs(out, relation)
	args.Rejected = out.Rejected[cmp.Or(peer.Node, peer.Address)]
	args.ParentInstance = instance
	args.TableSequence = sequence
	args.HoldMS = hold.Milliseconds()
	return s.call(ctx, l, peer, relation, args, acknowledged, out.Sequence)
}

// push sends the entries that the peer has not acknowledged. It makes no call if there are none.
func (s *Syncer) push(ctx context.Context, l *link, peer Peer, relation Relation) (*wire.SyncReply, error) {
	instance, _, acknowledged := l.position()
	out, err := s.sink.LocalState(acknowledged)
	if err != nil {
		return nil, err
	}
	if !out.EntryChanged && len(out.Entries) == 0 {
		return nil, nil
	}
	args := newArgs(out, relation)
	args.ParentInstance = instance
	args.PushOnly = true
	return s.call(ctx, l, peer, relation, args, acknowledged, out.Sequence)
}

// isLimited reports whether a sync forwards no entries, or only those of dead nodes.
func isLimited(r Relation) bool { return r == ToRemote || r == ToProbe || r == ToFailover }

func newArgs(out LocalState, relation Relation) *wire.SyncArgs {
	args := &wire.SyncArgs{
		Node:        out.Node,
		Incarnation: out.Incarnation,
		Offset:      out.Offset,
		Sequence:    out.Number,
		StoreEra:    out.StoreEra,
		FleetSize:   out.FleetSize,
		KeyHistory:  out.KeyHistory,
		Version:     out.Version,
		Ready:       out.Ready,
		Reads:       out.Reads,
		Peer:        isLimited(relation),
	}
	if relation == ToFailover {
		args.StateOnly = true
		return args
	}
	if out.EntryChanged {
		args.Entry = &out.Entry
	}
	// A remote follower polls this failure domain itself, so it only needs the entries of dead nodes. Without them it
	// could keep choosing dead nodes to poll.
	args.Entries = out.Entries
	if args.Peer {
		args.Entries = slices.DeleteFunc(out.Entries, func(e endpoint.Entry) bool { return e.State != endpoint.Dead })
	}
	return args
}

func (s *Syncer) call(
	ctx context.Context, l *link, peer Peer, relation Relation, args *wire.SyncArgs, base, pushed uint64,
) (*wire.SyncReply, error) {
	hold := time.Duration(args.HoldMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, hold+s.settings.CallTimeoutMargin)
	defer cancel()
	sent := time.Now()
	reply := &wire.SyncReply{}
	if err := s.caller.Call(ctx, peer.Address, methodSync, args, reply); err != nil {
		return nil, err
	}
	if reply.RetryAfterMS > 0 {
		return reply, nil
	}
	// The sink must receive the entries before the position advances past them.
	s.sink.HandleSyncResult(SyncResult{From: peer, Relation: relation, PushOnly: args.PushOnly, Reply: reply, Sent: sent})
	if args.StateOnly {
		return reply, nil
	}
	l.advance(args, reply, base, pushed)
	return reply, nil
}

// probeLoop contacts the seeds while no other node is known, the peers that the sink wants probed, and the peers given
// to Pull. Without probes, groups of nodes that started from different seeds would stay separate, and so would the
// sides of a network partition in a failure domain that declared each other dead.
func (s *Syncer) probeLoop(ctx context.Context) {
	pause.For(ctx, s.settings.Jitter(s.settings.ReconnectJitter))
	for ctx.Err() == nil {
		if s.sink.KnowsNoPeer() {
			s.contactSeeds(ctx)
		} else if probes := s.sink.ProbePeers(s.seedAddresses().Addresses); len(probes) > 0 {
			s.probe(ctx, probes[int(s.settings.Jitter(time.Duration(len(probes))))])
		}
		wait := s.settings.ProbeInterval/2 + s.settings.Jitter(s.settings.ProbeInterval)
		if s.sink.KnowsNoPeer() {
			wait = s.settings.ReconnectJitter/2 + s.settings.Jitter(s.settings.ReconnectJitter)
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case p := <-s.pulls:
			s.probe(ctx, p)
			// Limits the rate of syncs with a peer that remains ahead.
			pause.For(ctx, s.settings.Jitter(s.settings.ReconnectJitter))
		}
		timer.Stop()
	}
}

// contactSeeds contacts the seeds in turn until one responds, starting at a random one of the preferred seeds.
func (s *Syncer) contactSeeds(ctx context.Context) {
	seedAddresses := s.seedAddresses()
	seeds := seedAddresses.Addresses
	if len(seeds) == 0 {
		return
	}
	first := cmp.Or(seedAddresses.PreferredCount, len(seeds))
	start := int(s.settings.Jitter(time.Duration(first)))
	for i := range seeds {
		at := i
		if i < first {
			at = (start + i) % first
		}
		if ctx.Err() != nil || s.probe(ctx, Peer{Address: seeds[at]}) {
			return
		}
	}
}

func (s *Syncer) seedAddresses() SeedAddresses {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SeedAddresses{Addresses: slices.Clone(s.seeds.Addresses), PreferredCount: s.seeds.PreferredCount}
}

// probe syncs once, without a long poll, and reports whether the peer responded.
func (s *Syncer) probe(ctx context.Context, peer Peer) bool {
	reply, err := s.sync(ctx, s.link(peer, ToProbe), peer, ToProbe, 0)
	if err != nil {
		return false
	}
	if reply.RetryAfterMS > 0 {
		pause.For(ctx, time.Duration(reply.RetryAfterMS)*time.Millisecond)
		return false
	}
	return true
}
