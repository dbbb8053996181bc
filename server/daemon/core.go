package daemon

import (
	"fmt"
	"net/rpc"
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/control"
	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/coordination/membership"
	"wagtailford.example/server/daemon/settings"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/transport/peer"
)

const (
	// dialTimeout limits a connection attempt inside the mesh and to the target.
	dialTimeout = time.Second
	// probeInterval is the mean time between syncs with nodes that are believed dead.
	probeInterval = 5 * time.Second
	// controlSlack is how much longer than the hold time a sync may take before its connection counts as silent.
	controlSlack = time.Second
)

// core is what a node has wherever it runs: the control loop and the connections to other nodes.
type core struct {
	settings *settings.Settings
	started  time.Time

	control *control.Loop
	syncer  *fanout.Syncer
	// controlPool carries syncs and status, trafficPool requests and key records, so that neither waits for the other.
	controlPool *peer.Pool
	trafficPool *peer.Pool
	peers       *peer.Server
}

// controlHooks connect the control loop with the rest of the node.
type controlHooks struct {
	// startGrace is how long a node that knows no other node waits before it takes roles.
	startGrace time.Duration
	// sourceGrace is how long peers are given to read a new state from its source themselves.
	sourceGrace time.Duration
	// lagLimit is the time after which a node reports that it lacks a configuration which it knows to exist; 0 means never.
	lagLimit time.Duration
	// probeGone makes the node look for others that are gone, probeInterval is the mean time between two looks.
	probeGone     bool
	probeInterval time.Duration
	// hold is how long a parent may keep a poll open, slack how much longer the poll may take before its connection
	// counts as silent.
	hold, slack time.Duration
	drain       func(wire.DrainArgs) (wire.DrainReply, error)
	dump        func() ([]byte, error)
	// storeEra is control.Settings.StoreEra.
	storeEra     func() uint64
	rolesChanged func(fanout.Roles)
	declaredDead func()
}

func (c *core) credential() peer.Credential {
	return peer.Credential{Cluster: c.settings.Node.Cluster, Secret: []byte(c.settings.Security.ClusterCredential)}
}

// messageMin holds a snapshot, which may not become smaller when it is compressed, and the entries of a sync reply. With less,
// a node could install a configuration that it cannot pass on.
const messageMin = config.MaxSnapshotBytes + 2<<20

func (c *core) trafficLimits() peer.Limits {
	l := peer.DefaultLimits()
	l.MaxMessageBytes = max(int(c.settings.Limits.MessageMax), messageMin)
	l.MaxConnections = c.settings.Limits.ConnectionsMax
	l.IdleTimeout = c.settings.Limits.IdleTimeout
	l.SilenceTimeout = c.settings.Limits.SilenceTimeout
	l.PingInterval = l.SilenceTimeout / 5
	l.PingTimeout = l.SilenceTimeout / 10
	return l
}

// controlLimits let a poll stay open for the hold time without pings, which would cost more bytes than the polls.
func (c *core) controlLimits() peer.Limits {
	l := c.trafficLimits()
	l.SilenceTimeout = c.settings.Fanout.SyncHold + controlSlack
	l.PingInterval = l.SilenceTimeout - controlSlack/2
	// A node has one poll at a time, which fails over to another node.
	l.PingTimeout = 0
	return l
}

func (c *core) membershipRules() membership.Timeouts {
	m := c.settings.Membership
	return membership.Timeouts{SuspectAfter: m.SuspectAfter, DeadAfter: m.DeadAfter, SelfFence: m.SelfFence}
}

func (c *core) shape() fanout.Topology {
	f := c.settings.Fanout
	return fanout.Topology{
		Mode: fanout.Mode(f.Mode), FollowersPerDomain: f.FollowersPerDomain, RelayChildren: f.RelayChildren,
	}
}

func (c *core) buildControl(hooks controlHooks) {
	s := c.settings
	c.controlPool = peer.NewPool(c.credential(), c.controlLimits())
	c.control = control.New(control.Settings{
		Timeouts:           c.membershipRules(),
		Shape:              c.shape(),
		SyncHold:           s.Fanout.SyncHold,
		CoalesceWindow:     s.Fanout.CoalesceWindow,
		SyncAdmissionRate:  float64(s.Fanout.SyncAdmissionRate),
		ReconnectJitter:    s.Fanout.ReconnectJitter,
		KeyRetention:       s.Keys.KeyRetention,
		DeltaWindowRecords: s.Log.DeltaWindowRecords,
		StartGrace:         hooks.startGrace,
		SourceGrace:        hooks.sourceGrace,
		LagLimit:           hooks.lagLimit,
		ProbeInactive:      hooks.probeGone,
		StoreEra:           hooks.storeEra,
		Drain:              hooks.drain,
		DumpJSON:           hooks.dump,
	}, endpoint.Entry{
		Node:          s.Node.Name,
		Key:           endpoint.Key{Incarnation: c.started.UnixNano(), Revision: 1},
		Address:       s.Listen.PeerAddress(),
		FailureDomain: s.Node.FailureDomain,
		Region:        s.Node.Region,
		LinkMbps:      uint32(s.Node.LinkMbps),
	})
	node, relay, follower := fanout.HoldTimes(hooks.hold, s.Membership.SelfFence)
	c.syncer = fanout.NewSyncer(c.controlPool, c.control, fanout.Settings{
		Hold: node, RelayHold: relay, FollowerHold: follower,
		ReconnectJitter:   s.Fanout.ReconnectJitter,
		CallTimeoutMargin: hooks.slack,
		ProbeInterval:     hooks.probeInterval,
		RetryMax:          s.Log.RetryMax,
		Seeds:             s.Node.Seeds,
	})
	c.control.OnRolesChanged(hooks.rolesChanged)
	c.control.OnPeerAhead(c.syncer.Pull)
	c.control.OnDeclaredDead(hooks.declaredDead)
	c.control.OnSnapshotRejected(logSnapshotRejection)
}

// logSnapshotRejection logs a configuration that a peer sent and that cannot be decoded. The follower logs those that
// this node reads itself.
func logSnapshotRejection(r control.SnapshotRejection) {
	log.WithFields(rejectionFields(r)).Warn("configuration from a peer rejected")
}

func rejectionFields(r control.SnapshotRejection) log.Fields {
	fields := log.Fields{
		"event": "configuration_rejected", "from": r.From, "bytes": r.Bytes, "decompressed_bytes": r.DecompressedBytes,
		"error": r.Error, "in_force": r.Version, "sequence_in_force": r.Sequence, "newest": r.HighestSeen,
	}
	if r.Offset != 0 {
		fields["version"] = r.Offset
	}
	return fields
}

// serveRPC sets up the server for other nodes with the receivers of its services.
func (c *core) serveRPC(services map[string]any) error {
	r := rpc.NewServer()
	for name, receiver := range services {
		if err := r.RegisterName(name, receiver); err != nil {
			return fmt.Errorf("register %s: %w", name, err)
		}
	}
	c.peers = peer.NewServer(r, c.credential(), c.trafficLimits())
	return nil
}
