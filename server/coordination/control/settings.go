// Package control runs the control goroutine of a node. It owns the configuration state and the endpoint table,
// answers syncs, gives liveness verdicts, chooses the roles of the node, and publishes views.
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
	// in use, so verdicts come at most that much late.
	tickInterval = 200 * time.Millisecond
	// viewInterval limits how often endpoint changes rebuild the view; a rebuild at 810 entries takes well below it.
	viewInterval = 20 * time.Millisecond
	// commandQueue is the number of commands that may wait for the control goroutine.
	commandQueue = 256
	// replyEntriesMax and replyRecordBytes bound a sync reply below message_max.
	replyEntriesMax  = 4096
	replyRecordBytes = 1 << 20
	// windowBytesMax bounds the records kept for deltas.
	windowBytesMax = 8 << 20
	// clientsMax bounds the nodes that may poll this node.
	clientsMax = 2048
	// unreachableShare times dead_after is how long a peer that did not answer takes no role in this node's view. It
	// must outlast dead_after, so that a silent follower can be declared dead by the node that steps in for it.
	unreachableShare = 2
)

// ErrStopped means that the control goroutine has ended.
var ErrStopped = errors.New("control loop stopped")

// errOwnPoll means that a node polled itself, for example because its own address is among the seeds.
var errOwnPoll = errors.New("poll from the node itself")

// Settings configure a Loop.
type Settings struct {
	Timeouts membership.Timeouts
	Shape    fanout.Topology
	// SyncHold limits how long a poll stays open, CoalesceWindow how long changes are held back.
	SyncHold       time.Duration
	CoalesceWindow time.Duration
	// SyncAdmissionRate limits new pollers per second; ReconnectJitter spreads those that were refused.
	SyncAdmissionRate float64
	ReconnectJitter   time.Duration
	// Jitter returns a random part of a duration; nil means an unseeded source.
	Jitter func(time.Duration) time.Duration
	// KeyRetention is how long dead and left entries are kept.
	KeyRetention time.Duration
	// DeltaWindowRecords is the number of recent records kept for children.
	DeltaWindowRecords int
	// StartGrace is how long a node that knows no other node waits before it takes roles. 0 if it has no seeds.
	StartGrace time.Duration
	// SourceGrace is how long peers are given to read a new state from the source themselves before it is passed on to
	// them; 0 passes it on at once. Where every node reads the source, peers need it only if they lost the source.
	SourceGrace time.Duration
	// ProbeInactive makes this node ask nodes that left, and dead ones of other failure domains, whether they are back. A
	// node that starts while the source and the directory are away is found that way only.
	ProbeInactive bool
	// Drain and DumpJSON serve the RPC methods of the same names.
	Drain    func(wire.DrainArgs) (wire.DrainReply, error)
	DumpJSON func() ([]byte, error)
}

// counters are the counters of a Loop.
type counters struct {
	syncs, pushes, snapshots, refused            atomic.Int64
	accepted, rejected, conflicted, repeated     atomic.Int64
	stale, blocked                               atomic.Int64
	suspected, declaredDead, refuted, parentMove atomic.Int64
	syncsFailed, views, expired                  atomic.Int64
}

// CounterValues is a copy of the counters; all but Blocked count events since the start.
type CounterValues struct {
	SyncsServed, PushesServed, SnapshotsServed, AdmissionRefused int64
	// Records by the result of the fold.
	RecordsAccepted, RecordsRejected, RecordsConflicted, RecordsRepeated, RecordsStale int64
	// Blocked is 1 while a record of an unknown rule version keeps the state from moving on.
	Blocked int64
	// Suspected and DeclaredDead are verdicts of this node, Refuted foreign verdicts on this node.
	Suspected, DeclaredDead, Refuted int64
	ParentChanges, SyncsFailed       int64
	ViewsPublished, EntriesExpired   int64
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
		ParentChanges:     c.parentMove.Load(),
		SyncsFailed:       c.syncsFailed.Load(),
		ViewsPublished:    c.views.Load(),
		EntriesExpired:    c.expired.Load(),
	}
}

// countResult counts the result of a fold.
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
