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

// maxLinks bounds the peers whose sync position is remembered; a node syncs with far fewer at a time.
const maxLinks = 128

// link is the sync position between this node and a peer.
type link struct {
	mu sync.Mutex
	// instance and sequence say what this node has seen of the peer's table.
	instance int64
	sequence uint64
	// acknowledged is the own table's sequence number up to which the peer has what this node passes on.
	acknowledged uint64
}

// linkKey identifies a link. Polls between failure domains and probes pass on no entries of others, so what they have
// delivered is counted apart.
type linkKey struct {
	peer Peer
	own  bool
}

// link returns the position for a peer. A position survives a change of roles, so that a return to an earlier parent
// does not transfer the whole table again.
func (s *Syncer) link(p Peer, relation Relation) *link {
	key := linkKey{peer: p, own: relation == ToRemote || relation == ToProbe}
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

// advance records a reply. pushed is the sequence number up to which the call delivered the own table, starting at
// base.
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

// sync sends one poll and hands the reply to the sink.
func (s *Syncer) sync(ctx context.Context, l *link, peer Peer, relation Relation, hold time.Duration) (*wire.SyncReply, error) {
	instance, sequence, acknowledged := l.position()
	out, err := s.sink.LocalState(acknowledged)
	if err != nil {
		return nil, err
	}
	args := newArgs(out, relation)
	args.ParentInstance = instance
	args.TableSequence = sequence
	args.HoldMS = hold.Milliseconds()
	return s.call(ctx, l, peer, relation, args, acknowledged, out.Sequence)
}

// push delivers entries that the peer has not acknowledged; it sends nothing if there are none.
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

func newArgs(out LocalState, relation Relation) *wire.SyncArgs {
	args := &wire.SyncArgs{
		Node:        out.Node,
		Incarnation: out.Incarnation,
		Offset:      out.Offset,
		Version:     out.Version,
		Ready:       out.Ready,
		Reads:       out.Reads,
		Peer:        relation == ToRemote || relation == ToProbe,
	}
	if out.EntryChanged {
		args.Entry = &out.Entry
	}
	// A remote follower polls this failure domain itself, so it is sent verdicts only. Without them it could keep
	// choosing dead nodes to poll.
	args.Entries = out.Entries
	if args.Peer {
		args.Entries = slices.DeleteFunc(out.Entries, func(e endpoint.Entry) bool { return e.State != endpoint.Dead })
	}
	return args
}

func (s *Syncer) call(ctx context.Context, l *link, peer Peer, relation Relation, args *wire.SyncArgs, base, pushed uint64) (*wire.SyncReply, error) {
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
	// The sink takes the entries before the position moves past them.
	s.sink.HandleSyncResult(SyncResult{From: peer, Relation: relation, PushOnly: args.PushOnly, Reply: reply, Sent: sent})
	l.advance(args, reply, base, pushed)
	return reply, nil
}

// probeLoop asks seeds while no other node is known, the nodes that the sink wants probed, and nodes that Pull names.
// Without probes, groups of nodes that started from different seeds would stay apart, and so would the sides of a
// failure domain that was split and declared each other dead.
func (s *Syncer) probeLoop(ctx context.Context) {
	pause.For(ctx, s.settings.Jitter(s.settings.ReconnectJitter))
	for ctx.Err() == nil {
		if s.sink.KnowsNoPeer() {
			s.askSeeds(ctx)
		} else if probes := s.sink.ProbePeers(s.contacts().Addresses); len(probes) > 0 {
			s.askOnce(ctx, probes[int(s.settings.Jitter(time.Duration(len(probes))))])
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
			s.askOnce(ctx, p)
			// A peer that stays ahead is asked again only after a pause.
			pause.For(ctx, s.settings.Jitter(s.settings.ReconnectJitter))
		}
		timer.Stop()
	}
}

// askSeeds asks the seeds until one answers, from a random one of the first on.
func (s *Syncer) askSeeds(ctx context.Context) {
	contacts := s.contacts()
	seeds := contacts.Addresses
	if len(seeds) == 0 {
		return
	}
	first := cmp.Or(contacts.First, len(seeds))
	start := int(s.settings.Jitter(time.Duration(first)))
	for i := range seeds {
		at := i
		if i < first {
			at = (start + i) % first
		}
		if ctx.Err() != nil || s.askOnce(ctx, Peer{Address: seeds[at]}) {
			return
		}
	}
}

func (s *Syncer) contacts() SeedAddresses {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SeedAddresses{Addresses: slices.Clone(s.seeds.Addresses), First: s.seeds.First}
}

// askOnce syncs once without waiting at the other end and reports whether it answered.
func (s *Syncer) askOnce(ctx context.Context, peer Peer) bool {
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
