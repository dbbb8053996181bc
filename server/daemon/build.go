package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/admission"
	"wagtailford.example/server/coordination/announce"
	"wagtailford.example/server/coordination/control"
	"wagtailford.example/server/coordination/execute"
	"wagtailford.example/server/coordination/follow"
	"wagtailford.example/server/coordination/ingress"
	"wagtailford.example/server/coordination/ownership"
	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/daemon/settings"
	"wagtailford.example/server/protocol/platformlog"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/suspect"
	"wagtailford.example/server/transport/httpclient"
	"wagtailford.example/server/transport/peer"
)

const (
	// drainAnnounce is how long a draining target still takes work while the news spreads.
	drainAnnounce = 500 * time.Millisecond
	// leaveRetryMax limits the wait between two attempts to hand key records over.
	leaveRetryMax = 2 * time.Second
	// connectInterval is the time between two attempts to connect to a starting target.
	connectInterval = 200 * time.Millisecond
	// exclusiveWait limits how long slots stay empty for a suspect request.
	exclusiveWait = time.Second
	// targetIdleTimeout is below the shortest idle timeout that is common among HTTP servers, 5 s.
	targetIdleTimeout = 4 * time.Second
)

func (d *Daemon) buildLog() error {
	client, err := platformlog.New(d.settings.Log.URL, platformlog.Settings{
		DialTimeout:   dialTimeout,
		AppendTimeout: d.settings.Log.AppendTimeout,
	})
	d.log = client
	return err
}

func (d *Daemon) buildControl() error {
	s := d.settings
	d.core.buildControl(controlHooks{
		startGrace:    d.startGrace(),
		probeInterval: probeInterval,
		hold:          s.Fanout.SyncHold,
		slack:         controlSlack,
		drain:         d.drainForPeer,
		dump:          d.dump,
		rolesChanged:  d.rolesChanged,
		declaredDead:  d.declaredDead,
	})
	followSettings := follow.DefaultSettings()
	followSettings.PollWait = s.Log.PollWait
	followSettings.RetryMax = s.Log.RetryMax
	followSettings.Retention = s.Log.Retention
	followSettings.SnapshotRecords = uint64(s.Log.SnapshotRecords)
	rank := func() int { return d.control.Roles().Rank }
	d.follower = follow.New(followSink{d.control}, d.log, rank, followSettings, log.Log)
	return nil
}

// startGrace is how long a node that has seeds waits for them before it takes the role of a follower.
func (d *Daemon) startGrace() time.Duration {
	if len(d.settings.Node.Seeds) == 0 {
		return 0
	}
	return d.settings.Fanout.ReconnectJitter + dialTimeout
}

// followSink adapts the control loop to the log follower.
type followSink struct {
	*control.Loop
}

// RestoreSnapshot installs a snapshot; one that does not decode is logged and ignored.
func (s followSink) RestoreSnapshot(data []byte) {
	if err := s.Loop.RestoreSnapshot(data); err != nil {
		log.WithError(err).Error("snapshot from the log cannot be installed")
	}
}

func (d *Daemon) rules() ownership.Rules {
	return ownership.Rules{
		KeyRetention: d.settings.Keys.KeyRetention,
		ClockSkewMax: d.settings.Keys.ClockSkewMax,
		SelfFence:    d.settings.Membership.SelfFence,
	}
}

func (d *Daemon) buildTraffic() error {
	s := d.settings
	d.trafficPool = peer.NewPool(d.credential(), d.trafficLimits())
	keySettings := ownership.DefaultSettings(s.Node.Name)
	keySettings.Rules = d.rules()
	keySettings.DeadAfter = s.Membership.DeadAfter
	keySettings.RecordsMax = s.Keys.RecordsMax
	keySettings.AnswerBytesMax = int(s.Keys.AnswerBytesMax)
	d.keys = ownership.New(keySettings, ownership.Deps{
		View:         d.control.View,
		ContactAge:   d.control.ContactAge,
		UpdateSelf:   d.control.UpdateSelf,
		Call:         d.trafficPool.Call,
		Now:          time.Now,
		MergeEntries: d.control.MergeEntries,
		SeenBefore:   d.seenBefore,
	})
	if err := d.buildExecutor(); err != nil {
		return err
	}
	return d.buildIngress()
}

func (d *Daemon) buildExecutor() error {
	s := d.settings
	var err error
	d.executor, err = execute.New(execute.Settings{
		Node:    s.Node.Name,
		Workers: s.Admission.Workers,
		Admission: admission.Settings{
			Slots:          s.Admission.Slots,
			Queue:          s.Admission.Queue,
			ExclusiveQueue: s.Suspects.SuspectsMax,
			SlowStart:      s.Routing.SlowStart,
			ExclusiveWait:  exclusiveWait,
			HoldBroken:     s.Admission.HoldBroken,

			NestedWaitShare: s.Admission.NestedWaitShare,
		},
		Suspects:    suspectLimits(s.Suspects),
		DrainWindow: s.Target.DrainWindow,
		Client: httpclient.Limits{
			DialTimeout:        dialTimeout,
			ConnectionsPerHost: s.Target.ConnectionsMax,
			IdleTimeout:        targetIdleTimeout,
			BodyMaxBytes:       int(s.Limits.BodyMax),
			HeaderMaxBytes:     int(s.Limits.HeaderMax),
			LargeBytesMax:      s.Node.MemoryLimit / largeBodiesShare,
		},
	}, execute.Dependencies{
		View:       d.control.View,
		Keys:       keyAdapter{d.keys},
		UpdateSelf: d.control.UpdateSelf,
		OnCrash:    func() { d.announce.TargetCrashed() },
		Log:        log.Log,
	})
	if err != nil {
		return err
	}
	d.announce, err = announce.New(announce.Settings{
		Lease:           s.Target.AnnounceLease,
		DrainAnnounce:   drainAnnounce,
		HealthInterval:  s.Target.HealthInterval,
		ConnectInterval: connectInterval,
		RetryMax:        leaveRetryMax,
		Slots:           s.Admission.Slots,
	}, announce.Dependencies{
		Runner:     d.executor,
		UpdateSelf: d.updateFromTarget,
		Join:       d.keys.Join,
		Leave:      d.leaveKeys,
		Log:        log.Log,
	})
	return err
}

// keyAdapter adapts the key manager to the executor.
type keyAdapter struct {
	*ownership.Manager
}

// Begin decides whether to run a request that has a key.
func (k keyAdapter) Begin(ctx context.Context, r *wire.Request) (bool, func(*wire.Response), *wire.Response) {
	decision := k.Manager.Begin(ctx, r)
	return decision.Run(), decision.Finish, decision.Response
}

func (d *Daemon) buildIngress() error {
	s := d.settings
	in := ingress.DefaultSettings()
	in.Node = s.Node.Name
	in.Locality = routing.Locality{FailureDomain: s.Node.FailureDomain, Region: s.Node.Region}
	in.Workers = s.Admission.Workers
	in.BodyMaxBytes = int(s.Limits.BodyMax)
	in.HeaderMaxBytes = int(s.Limits.HeaderMax)
	in.DefaultTimeout = s.Routing.DefaultTimeout
	in.MaxAttempts = s.Routing.MaxAttempts
	in.ChainAttempts = s.Routing.ChainAttempts
	in.MaxDepth = s.Routing.MaxDepth
	in.Routing.EjectFailures = s.Routing.EjectFailures
	in.Routing.EjectTime = s.Routing.EjectTime
	in.Routing.SlowStart = s.Routing.SlowStart
	in.Routing.PanicFraction = s.Membership.PanicFraction
	in.Budget = retry.DefaultBudget()
	in.Budget.Fraction = s.Routing.RetryFraction
	in.Ownership = d.rules()
	var err error
	d.ingress, err = ingress.New(in, ingress.Dependencies{
		View:           d.control.View,
		IsBehind:       d.control.IsBehind,
		Call:           d.trafficPool.Call,
		Local:          d.executor.Execute,
		MergeEntries:   d.control.MergeEntries,
		Resolver:       resolver{d.keys},
		Random:         rand.Uint64,
		FirstAttemptID: uint64(d.started.UnixNano()),
	})
	return err
}

// resolver adapts the key manager to the ingress.
type resolver struct {
	keys *ownership.Manager
}

// Resolve finds out what became of an attempt whose reply was lost.
func (r resolver) Resolve(ctx context.Context, address string, req *wire.Request) (*wire.Response, error) {
	return r.keys.Resolve(ctx, req, address), nil
}

func (d *Daemon) buildServers() error {
	return d.serveRPC(map[string]any{
		wire.ServiceControl:   control.NewService(context.Background(), d.control),
		wire.ServiceNode:      d.executor.Receiver(),
		wire.ServiceOwnership: d.keys.Receiver(),
	})
}

// largeBodiesShare is the part of the memory limit for large bodies of the target that are read at the same time: one half.
const largeBodiesShare = 2

// suspectTrialAfter is longer than most targets take to come back after a crash, so that the trial of a blocked request has a
// target.
const suspectTrialAfter = 5 * time.Second

func suspectLimits(s settings.Suspects) suspect.Limits {
	return suspect.Limits{CrashLimit: s.CrashLimit, TTL: s.SuspectTTL, Max: s.SuspectsMax, TrialAfter: suspectTrialAfter}
}
