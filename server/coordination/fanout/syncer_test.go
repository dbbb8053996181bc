package fanout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
)

// Guards against hold times whose sum lets the contact age exceed self_fence in a fleet without faults.
func TestHoldTimesStayBelowSelfFence(t *testing.T) {
	cases := []struct{ hold, selfFence time.Duration }{
		{time.Second, 4 * time.Second},
		{3 * time.Second, 7 * time.Second},
		{time.Minute, 2 * time.Second},
		{10 * time.Millisecond, 4 * time.Second},
	}
	for _, c := range cases {
		node, relay, follower := HoldTimes(c.hold, c.selfFence)
		assert.Assert(t, node+relay+follower <= c.selfFence*9/10, "%v", c)
		assert.Assert(t, max(node, relay, follower) <= c.hold, "%v", c)
	}
}

// Guards against remote followers that never learn which nodes of this failure domain are dead, and against polls
// between failure domains that transfer all entries twice.
func TestEntriesByRelation(t *testing.T) {
	out := LocalState{Entries: []endpoint.Entry{
		{Node: "a", Key: endpoint.Key{State: endpoint.Alive}},
		{Node: "b", Key: endpoint.Key{State: endpoint.Dead}},
	}}
	cases := []struct {
		relation Relation
		peer     bool
		entries  int
	}{{ToParent, false, 2}, {ToRing, false, 2}, {ToRemote, true, 1}, {ToProbe, true, 1}}
	for _, c := range cases {
		o := out
		o.Entries = append([]endpoint.Entry(nil), out.Entries...)
		args := newArgs(o, c.relation)
		assert.Equal(t, args.Peer, c.peer)
		assert.Equal(t, len(args.Entries), c.entries)
		assert.Equal(t, args.Entries[c.entries-1].Node, "b")
	}
}

// Guards against an acknowledgement that is kept after the parent process that sent it has restarted, or that advances
// past entries that another call is still sending.
func TestLinkAdvance(t *testing.T) {
	reply := func(instance int64, sequence uint64, acknowledged bool) *wire.SyncReply {
		return &wire.SyncReply{ParentInstance: instance, TableSequence: sequence, EntryAcknowledged: acknowledged}
	}
	cases := []struct {
		name                   string
		start                  *link
		push                   bool
		reply                  *wire.SyncReply
		base, pushed           uint64
		sequence, acknowledged uint64
	}{
		{"poll", &link{instance: 1, sequence: 4, acknowledged: 3}, false, reply(1, 6, true), 3, 8, 6, 8},
		{"push keeps the sequence", &link{instance: 1, sequence: 4, acknowledged: 3}, true, reply(1, 0, true), 3, 8, 4, 8},
		{"crossed reply", &link{instance: 1, sequence: 9, acknowledged: 8}, false, reply(1, 6, true), 3, 5, 9, 8},
		{"new process", &link{instance: 1, sequence: 90, acknowledged: 80}, false, reply(2, 6, true), 80, 85, 6, 0},
		{"entry not known", &link{instance: 1, sequence: 4, acknowledged: 3}, false, reply(1, 6, false), 3, 8, 6, 0},
	}
	for _, c := range cases {
		l := link{instance: c.start.instance, sequence: c.start.sequence, acknowledged: c.start.acknowledged}
		l.advance(&wire.SyncArgs{PushOnly: c.push}, c.reply, c.base, c.pushed)
		_, sequence, acknowledged := l.position()
		assert.Equal(t, sequence, c.sequence, c.name)
		assert.Equal(t, acknowledged, c.acknowledged, c.name)
	}
}
