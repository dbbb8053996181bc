// Package control runs the control goroutine of a node. It owns the configuration state and the endpoint table,
// answers syncs, decides on the liveness of other nodes, chooses the roles of the node, and publishes views.
package control

import (
	"errors"
	"sync/atomic"
	"time"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/coordination/membership"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
)

const (
	// tickInterval is the time between two checks of liveness and roles. It is a fifth of the shortest suspect_after
	// in use, so liveness decisions are delayed by at most that much.
	tickInterval = 200 * time.Millisecond
	// viewInterval limits how often endpoint changes rebuild the view; a rebuild with 810 entries takes far less time.
	viewInterval = 20 * time.Millisecond
	// commandQueue is the number of commands that may be queued for the control goroutine.
	commandQueue = 256
	// replyEntriesMax, replyEntryBytes and replyRecordBytes keep a sync reply below message_max.
	replyEntriesMax  = 4096
	replyEntryBytes  = 1 << 20
	replyRecordBytes = 1 << 20
	// windowBytesMax bounds the records kept for deltas.
	windowBytesMax = 8 << 20
	// clientsMax bounds the nodes that may poll this node.
	clientsMax = 2048
	// unreachableFactor times dead_after is how long this node assigns no role to a peer that did not answer. It must
	// be longer than dead_after, so that the node that replaces a silent follower can declare it dead.
	unreachableFactor = 2
)

// ErrStopped means that the control goroutine has ended.
var ErrStopped = errors.New("control loop stopped")

// errOwnPoll means that a node polled itself, for example because its own address is among the seeds.
var errOwnPoll = errors.New("poll from the node itself")

// Settings configure a Loop.
type Settings struct {
	Timeouts membership.Timeouts
	Shape    fanout.Topology
	// SyncHold limits how long a poll stays open, CoalesceWindow is how long changes are collected.
	SyncHold       time.Duration
	CoalesceWindow time.Duration
	// SyncAdmissionRate limits new pollers per second; ReconnectJitter spreads those that were refused.
	SyncAdmissionRate float64
	ReconnectJitter   time.Duration
	// Jitter returns a random duration below its argument; nil means a randomly seeded generator.
	Jitter func(time.Duration) time.Duration
	// KeyRetention is how long dead and left entries are kept.
	KeyRetention time.Duration
	// DeltaWindowRecords is the number of recent records kept for children.
	DeltaWindowRecords int
	// StartGrace is how long a node that knows no other node waits before it assumes roles; 0 if it has no seeds.
	StartGrace time.Duration
	// SourceGrace is how long peers have to read a new state from the source themselves before it is forwarded to
	// them; 0 forwards it at once. Where every node reads the source, peers need it only if they lost the source.
	SourceGrace time.Duration
	// LagLimit is the time after which a node that lacks a configuration which it knows to exist reports that it lags; 0
	// means never.
	LagLimit time.Duration
	// ProbeInactive makes this node probe nodes that left, and dead nodes of other failure domains, to detect their
	// return. A node that starts while the source and the directory are unavailable is found only that way.
	ProbeInactive bool
	// StoreEra returns the highest era of the store that this node knows of; nil if it has no store. It must not block.
	StoreEra func() uint64
	// Drain and DumpJSON implement the RPC methods Drain and Dump.
	Drain    func(wire.DrainArgs) (wire.DrainReply, error)
	DumpJSON func() ([]byte, error)
}

// counters are the counters of a Loop.
type counters struct {
	syncs, pushes, snapshots, refused               atomic.Int64
	accepted, rejected, conflicted, repeated        atomic.Int64
	stale, blocked                                  atomic.Int64
	suspected, declaredDead, refuted, parentChanges atomic.Int64
	syncsFailed, views, expired                     atomic.Int64
	snapshotsReceived, snapshotsRejected            atomic.Int64
	snapshotBytesReceived, snapshotBytesSent        atomic.Int64
}

// CounterValues is a copy of the counters; all but Blocked count events since the start.
type CounterValues struct {
	SyncsServed, PushesServed, SnapshotsServed, AdmissionRefused int64
	// Records by the result of applying them.
	RecordsAccepted, RecordsRejected, RecordsConflicted, RecordsRepeated, RecordsStale int64
	// Blocked is 1 while a record of an unknown rule version blocks further records.
	Blocked int64
	// Suspected and DeclaredDead count decisions of this node; Refuted counts decisions of others on this node.
	Suspected, DeclaredDead, Refuted int64
	ParentChanges, SyncsFailed       int64
	ViewsPublished, EntriesExpired   int64
	// SnapshotsReceived counts complete states in replies to polls of this node, SnapshotsRejected those of them that
	// could not be decoded; the latter are also among SyncsFailed.
	SnapshotsReceived, SnapshotsRejected int64
	// SnapshotBytesReceived and SnapshotBytesSent are bytes of compressed states in SnapshotsReceived and SnapshotsServed.
	SnapshotBytesReceived, SnapshotBytesSent int64
}

// Counters returns the current values.
func (l *Loop) Counters() CounterValues {
	c := &l.counter
	return CounterValues{
		SyncsServed:       c.syncs.Load(),
		PushesServed:      c.pushes.Load(),
		SnapshotsServed:   c.snapshots.Load(),
		AdmissionRefused:  c.refused.Load(),
		RecordsAccepted:   c.accepted.Load(),
		RecordsRejected:   c.rejected.Load(),
		RecordsConflicted: c.conflicted.Load(),
		RecordsRepeated:   c.repeated.Load(),
		RecordsStale:      c.stale.Load(),
		Blocked:           c.blocked.Load(),
		Suspected:         c.suspected.Load(),
		DeclaredDead:      c.declaredDead.Load(),
		Refuted:           c.refuted.Load(),
		ParentChanges:     c.parentChanges.Load(),
		SyncsFailed:       c.syncsFailed.Load(),
		ViewsPublished:    c.views.Load(),
		EntriesExpired:    c.expired.Load(),

		SnapshotsReceived:     c.snapshotsReceived.Load(),
		SnapshotsRejected:     c.snapshotsRejected.Load(),
		SnapshotBytesReceived: c.snapshotBytesReceived.Load(),
		SnapshotBytesSent:     c.snapshotBytesSent.Load(),
	}
}

// countResult counts the result of applying a record.
func (c *counters) countResult(r config.Result) {
	switch r {
	case config.Accepted:
		c.accepted.Add(1)
	case config.Rejected:
		c.rejected.Add(1)
	case config.Conflicted:
		c.conflicted.Add(1)
	case config.Repeated:
		c.repeated.Add(1)
	case config.Stale:
		c.stale.Add(1)
	case config.Blocked:
		c.blocked.Store(1)
	}
}
