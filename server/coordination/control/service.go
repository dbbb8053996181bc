package control

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
)

// Service is the receiver for the net/rpc service wire.ServiceControl.
type Service struct {
	loop *Loop
	ctx  context.Context
}

// NewService returns the receiver. Open polls end with ctx.
func NewService(ctx context.Context, loop *Loop) *Service { return &Service{loop: loop, ctx: ctx} }

// Sync answers a poll.
func (s *Service) Sync(args *wire.SyncArgs, reply *wire.SyncReply) error {
	r, err := s.loop.HandleSync(s.ctx, args)
	if err != nil {
		return err
	}
	*reply = *r
	return nil
}

// Status reports this node and its children.
func (s *Service) Status(_ *wire.StatusArgs, reply *wire.StatusReply) error {
	*reply = s.loop.HandleStatus()
	return nil
}

// Drain drains the target on this node's VM, or ends the drain.
func (s *Service) Drain(args *wire.DrainArgs, reply *wire.DrainReply) error {
	r, err := s.loop.settings.Drain(*args)
	*reply = r
	return err
}

// Dump returns the state of the process.
func (s *Service) Dump(_ *wire.DumpArgs, reply *wire.DumpReply) error {
	data, err := s.loop.settings.DumpJSON()
	reply.JSON = data
	return err
}

// HandleStatus reports what this node and its children have in force, sorted by node.
func (l *Loop) HandleStatus() wire.StatusReply {
	v := l.View()
	reply := wire.StatusReply{Nodes: []wire.NodeStatus{{
		Node:     l.node,
		Offset:   v.Offset,
		Version:  v.Version,
		Ready:    v.Ready,
		Sequence: v.Sequence,
	}}}
	_ = l.do(context.Background(), func() {
		for _, c := range l.clients {
			if !c.peerOnly {
				reply.Nodes = append(reply.Nodes, c.status)
			}
		}
	})
	slices.SortFunc(reply.Nodes[1:], func(a, b wire.NodeStatus) int { return cmp.Compare(a.Node, b.Node) })
	return reply
}

// dumpEntryBytes bounds the entries in a dump, in bytes of indented JSON. It leaves half of a dump to everything else.
const dumpEntryBytes = 2 << 20

// DumpState is the state of the control goroutine for a dump.
type DumpState struct {
	Self     endpoint.Entry
	Instance int64
	Offset   uint64
	Version  uint64
	Sequence uint64
	// From is the peer that sent the version in force, or FromSource; Since is when it came into force here.
	From  string
	Since time.Time
	// HighestOffset is the highest offset that the source or any peer has stated, see Loop.HighestOffset.
	HighestOffset uint64
	// HighestSequence is the publisher's number of that state; 0 if it is not known.
	HighestSequence uint64
	// StoreEra is the highest era of the platform's store that this node knows of.
	StoreEra uint64
	// KeyHistory is what this node knows of keys in earlier configurations.
	KeyHistory string
	// LastRejected is the last complete state from a peer that could not be decoded; nil if there was none.
	LastRejected  *SnapshotRejection
	Ready         bool
	BlockedReason string
	ContactAge    time.Duration
	WindowBase    uint64
	WindowRecords int
	TableSequence uint64
	Roles         any
	Children      []wire.NodeStatus
	Unreachable   []string
	Entries       []*endpoint.Entry
	// EntriesOmitted is the number of entries beyond the bound of a dump.
	EntriesOmitted int
	Counters       CounterValues
}

// Dump returns the state of the control goroutine, bounded in size.
func (l *Loop) Dump() any {
	var d DumpState
	err := l.do(context.Background(), func() {
		state := l.state.Load()
		d = DumpState{
			Self:          l.self,
			Instance:      l.instance,
			Offset:        state.Offset(),
			Version:       state.Version(),
			Sequence:      state.Sequence(),
			From:          l.inForce.from,
			Since:         l.inForce.since,
			HighestOffset: l.HighestOffset(), HighestSequence: l.highest().Sequence, StoreEra: l.storeEra(),
			KeyHistory:    l.keyHistory.String(),
			LastRejected:  l.rejections.last,
			Ready:         l.ready,
			BlockedReason: state.BlockedReason(),
			ContactAge:    l.ContactAge(),
			WindowBase:    l.window.base,
			WindowRecords: len(l.window.records),
			TableSequence: l.table.Sequence(),
			Roles:         l.Roles(),
		}
		for _, c := range l.clients {
			d.Children = append(d.Children, c.status)
		}
		for node := range l.unreachableUntil {
			d.Unreachable = append(d.Unreachable, node)
		}
		d.Entries = l.table.All()
	})
	if err != nil {
		return map[string]string{"error": err.Error()}
	}
	kept := countWithin(d.Entries, dumpEntryBytes)
	d.EntriesOmitted = len(d.Entries) - kept
	d.Entries = d.Entries[:kept]
	d.Counters = l.Counters()
	return d
}

// countWithin returns how many of the first entries fit into a number of bytes of a dump.
func countWithin(entries []*endpoint.Entry, limit int) int {
	size := 0
	for i, e := range entries {
		// The entries of a dump are three levels deep.
		data, err := json.MarshalIndent(e, "      ", "  ")
		size += len(data)
		if err != nil || size > limit {
			return i
		}
	}
	return len(entries)
}

// ChildClosed records that the process of a child closed its connection, so that it is suspected at once.
func (l *Loop) ChildClosed(node string) {
	_ = l.do(context.Background(), func() {
		if c := l.clients[node]; c != nil {
			c.connectionClosed = true
		}
	})
}
