package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app/server"

	"wagtailford.example/server/coordination/admission"
	"wagtailford.example/server/coordination/announce"
	"wagtailford.example/server/coordination/control"
	"wagtailford.example/server/coordination/crashrecords"
	"wagtailford.example/server/coordination/dispatch"
	"wagtailford.example/server/coordination/execute"
	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/coordination/follow"
	"wagtailford.example/server/coordination/keyhistory"
	"wagtailford.example/server/coordination/quota"
	"wagtailford.example/server/coordination/rollout"
	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/coordination/seeds"
	"wagtailford.example/server/coordination/transfer"
	"wagtailford.example/server/daemon/buildinfo"
	"wagtailford.example/server/daemon/settings"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/transport/account"
	"wagtailford.example/server/transport/httpclient"
	"wagtailford.example/server/transport/peer"
)

// Platform translates between a platform and the node. It decides nothing.
type Platform interface {
	// Source is where operators publish configurations and orders of rollouts. inForce returns the state in force, on which an
	// order is based. Directory is where nodes find each other.
	Source(inForce func() *config.State) follow.Source
	Directory() seeds.Directory
	// CrashRecords is where the crash counts of the nodes outlive a restart of all nodes.
	CrashRecords() crashrecords.Store
	// Rollouts is where the state of rollouts outlives the node that decides, and where the operator reads it.
	Rollouts() rollout.Store
	// KeyHistory is where it outlives a restart of all nodes that keys of organisations were issued.
	KeyHistory() keyhistory.Store
	// Dialect encodes requests to targets and decodes their responses.
	Dialect() execute.Codec
	// ServeCallers, ServeTargets and ServeReady register the interfaces of the node on servers that do not run yet.
	ServeCallers(s *server.Hertz, h *dispatch.Handler, closing func() bool, isTargetHost func(ip string) bool)
	// CallerStatus is the status of a response to a caller.
	CallerStatus(r *dispatch.Result) int
	ServeTargets(s *server.Hertz, r *announce.Registrar)
	ServeReady(s *server.Hertz, ready func() bool)
	// StoreEra is the highest era of the store that is known: the number of its restores from a copy. Eras that other nodes
	// know of are passed to ObserveStoreEra. OnStoreRestored adds a function that is called after the era rose, when records of
	// this system may be missing in the store; it must not block.
	StoreEra() uint64
	ObserveStoreEra(era uint64)
	OnStoreRestored(f func(from, to uint64))
	// Counters are the totals of the calls to the platform.
	Counters() any
	Close()
}

const (
	// targetKeepAlive is the time after which a silent connection to the target is probed. The system takes whole
	// seconds.
	targetKeepAlive = time.Second
	// hostedTargetIdleTimeout is how long a connection to a target is kept that states no idle timeout of its own.
	hostedTargetIdleTimeout = 4 * time.Second
	// targetsTriedMax limits the nodes to which a request is sent. When the first few are full, the others usually are too.
	targetsTriedMax = 4
	// sourcePollWait is the wait of a long poll for a configuration. It is short enough that, after an outage in which the
	// store did not respond, the next change is in force within two seconds.
	sourcePollWait = 2 * time.Second
	// sourceRetryMin and sourceRetryMax bound the delay after a failed read, so that the end of an outage is noticed soon.
	sourceRetryMin = 50 * time.Millisecond
	sourceRetryMax = 500 * time.Millisecond
	// sourcePatientTimeout limits the reads beside the quick ones, for a store that answers later than they last.
	sourcePatientTimeout = 10 * time.Second
	// sourceGrace is the time within which other nodes are expected to read a new configuration themselves. It covers a
	// slow store. Nodes that are partitioned from the store get the configuration from peers after this time.
	sourceGrace = 800 * time.Millisecond
	// sourceLagLimit is the time after which a node that lacks a configuration which others have reads the store itself. A
	// node that reads the store gets it from peers after sourceGrace.
	sourceLagLimit = time.Second
	// goneProbeInterval is the mean interval at which a node probes members that are dead or left. All nodes probe, so a member
	// that has returned is found within some tenths of a second.
	goneProbeInterval = 250 * time.Millisecond
	// sourceCoalesceDelay is the minimum time between two reads when configurations follow each other quickly. Each one is
	// complete, so only the newest has to be installed.
	sourceCoalesceDelay = 700 * time.Millisecond
	// backupPollInterval replaces sourcePollWait at all readers of a failure domain except the first one. Changes do not depend on
	// them, so they can poll less often.
	backupPollInterval = 6 * time.Second
	// pollTimeoutMargin is how much longer than the hold time a poll may take. It bounds the time after which a node whose
	// parent has failed polls another one.
	pollTimeoutMargin = 500 * time.Millisecond
)

// Hosted is a node that runs on a platform. It has no key records, since each attempt of a caller enters at one node, and
// no log, since all durable data is in the platform's store.
type Hosted struct {
	core

	platform     Platform
	follower     *follow.SourceFollower
	sourceReader *sourceReader
	executor     *execute.Executor
	crashRecords *crashrecords.Keeper
	keyHistory   *keyhistory.Keeper
	registrar    *announce.Registrar
	dispatch     *dispatch.Handler
	rollouts     *rollout.Manager
	quota        *quota.Service
	listeners    *listeners
	observer     *observer
	// callerBytes counts the bytes that requests of callers hold.
	callerBytes *account.Shared

	// live holds the settings including those that were reloaded since the start.
	live    atomic.Pointer[settings.Settings]
	closing atomic.Bool
	// lagging is true while the node lacks a configuration that it knows to exist.
	lagging atomic.Bool
	// restored is closed once the state that earlier processes left in the store is known.
	restored chan struct{}
	// republish is set when the record in the directory has to be written again.
	republish atomic.Bool
	// work waits for the goroutines that end with the node's context.
	work sync.WaitGroup
}

// NewHosted assembles a node and opens its listeners.
func NewHosted(s *settings.Settings, p Platform) (*Hosted, error) {
	debug.SetMemoryLimit(s.Node.MemoryLimit)
	debug.SetGCPercent(collectPercentMin)
	h := &Hosted{core: core{settings: s, started: time.Now()}, platform: p, sourceReader: newSourceReader(), restored: make(chan struct{})}
	h.live.Store(s)
	h.observer = newObserver(log.Log, func() uint64 { return h.control.NewestOffset() })
	h.callerBytes = newCallerBytes(s.Limits.CallerBytesMax)
	h.listeners = &listeners{}
	steps := []func() error{
		func() error { return h.listeners.openAll(s.Listen) }, h.buildControl, h.buildExecutor, h.buildDispatch, h.buildServers,
		h.buildOperator,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			h.listeners.close()
			return nil, err
		}
	}
	return h, nil
}

func (h *Hosted) buildControl() error {
	h.core.buildControl(controlHooks{
		sourceGrace:   sourceGrace,
		lagLimit:      sourceLagLimit,
		probeGone:     true,
		probeInterval: goneProbeInterval,
		hold:          h.settings.Fanout.SyncHold,
		slack:         pollTimeoutMargin,
		drain:         h.drainForPeer,
		dump:          h.dump,
		storeEra:      h.platform.StoreEra,
		rolesChanged:  h.rolesChanged,
		declaredDead:  func() { log.WithField("event", "declared_dead").Warn("this node was declared dead by others") },
	})
	h.control.OnSnapshotInstalled(logSnapshotInstall)
	h.control.OnLag(h.lagChanged)
	h.control.OnStoreEra(h.platform.ObserveStoreEra)
	h.control.OnKeyHistory(logKeyHistory)
	h.keyHistory = keyhistory.NewKeeper(keyhistory.Dependencies{
		Store: h.platform.KeyHistory(), History: h.KeyHistory,
		State: h.control.StateKeyHistory, Log: log.Log,
	})
	h.platform.OnStoreRestored(h.storeRestored)
	h.buildFollower()
	return nil
}

func (h *Hosted) buildFollower() {
	source, patient := h.platform.Source(h.control.State), h.platform.Source(h.control.State)
	sink := &restoredSink{SourceSink: h.control, restored: h.restored}
	h.follower = follow.NewSourceFollower(source, patient, sink, follow.SourceFollowerSettings{
		PollWait: sourcePollWait, BackupPollInterval: backupPollInterval, RetryMin: sourceRetryMin, RetryMax: sourceRetryMax,
		CoalesceDelay: sourceCoalesceDelay, PatientTimeout: sourcePatientTimeout,
	}, log.Log)
}

func (h *Hosted) rolesChanged(r fanout.Roles) {
	h.syncer.SetRoles(r)
	h.sourceReader.setAssigned(r.ReadsLog)
	h.sourceRank()
	log.WithFields(log.Fields{
		"event": "roles", "follower": r.Follower, "relay": r.Relay, "rank": r.Rank, "parent": r.Parent().Node,
	}).Info("roles changed")
}

// lagChanged makes a node that lacks a configuration read the source itself until it has it, whatever keeps the peers from
// passing it on.
func (h *Hosted) lagChanged(l control.Lag) {
	h.lagging.Store(l.Active)
	h.sourceReader.setLagging(l.Active)
	h.sourceRank()
	entry := log.WithFields(log.Fields{
		"event": "configuration_lag", "active": l.Active, "version": l.Version, "newest": l.Target,
		"lag_ms": time.Since(l.Since).Milliseconds(),
	})
	if l.Active {
		entry.Warn("configuration known to exist has not arrived from peers; reading the source")
		return
	}
	entry.Info("configuration has caught up")
}

// sourceRank sets how the source is read: a node that lags reads like the first reader of its failure domain.
func (h *Hosted) sourceRank() {
	rank := h.control.Roles().Rank
	if h.lagging.Load() {
		rank = 0
	}
	h.follower.SetRank(rank)
}

// logSnapshotInstall logs a configuration that a peer sent. The follower logs those that this node reads itself.
func logSnapshotInstall(i control.SnapshotInstall) {
	log.WithFields(log.Fields{
		"event": "configuration", "version": i.Version, "sequence": i.Sequence, "routes": i.Routes, "from": i.From,
		"keys_required": i.KeysRequired,
		"age_ms":        i.AgeMS, "newest": i.HighestSeen, "contact_ms": i.ContactAge.Milliseconds(), "ready": i.Ready,
	}).Info("configuration in force")
}

// readSource reads configurations, and what the store states of earlier ones, until ctx ends.
func (h *Hosted) readSource(ctx context.Context) {
	var keeping sync.WaitGroup
	keeping.Go(func() { h.keyHistory.Run(ctx) })
	h.follower.Run(ctx)
	keeping.Wait()
}

func (h *Hosted) buildExecutor() error {
	s := h.settings
	h.trafficPool = peer.NewPool(h.credential(), h.trafficLimits())
	bodies := transfer.NewFetcher(h.trafficPool.Call, s.Node.LinkMbps, int(s.Limits.BodyMax))
	bodies.FollowLimit(h.bodyMaxBytes)
	// No request runs before the handler is built.
	bodies.SetLocal(func(args *wire.BodyArgs, reply *wire.BodyReply) error {
		return h.dispatch.Bodies().Receiver().Read(args, reply)
	})
	var err error
	h.executor, err = execute.New(execute.Settings{
		Node:    s.Node.Name,
		Workers: s.Admission.Workers,
		Admission: admission.Settings{
			Slots:          s.Admission.Slots,
			Queue:          s.Admission.Queue,
			ExclusiveQueue: s.Suspects.SuspectsMax,
			ExclusiveWait:  exclusiveWait,
			HoldBroken:     s.Admission.HoldBroken,

			NestedWaitShare: s.Admission.NestedWaitShare,
		},
		Suspects:    suspectLimits(s.Suspects),
		DrainWindow: s.Target.DrainWindow,
		Client: httpclient.Limits{
			DialTimeout:        dialTimeout,
			ConnectionsPerHost: s.Target.ConnectionsMax,
			IdleTimeout:        hostedTargetIdleTimeout,
			BodyMaxBytes:       int(s.Limits.BodyMax),
			HeaderMaxBytes:     int(s.Limits.HeaderMax),
			LargeBytesMax:      s.Node.MemoryLimit / largeBodiesShare,
			UnframedBodies:     true,
			KeepAlive:          targetKeepAlive,
		},
		Codec: h.platform.Dialect(),
	}, execute.Dependencies{
		View:       h.control.View,
		UpdateSelf: h.control.UpdateSelf,
		Bodies:     bodies,
		// No request runs before the handler is built.
		OnTargetError: func() { h.dispatch.TargetFailed() },
		OnLeaving:     func(start, request string) { h.registrar.LeaveStated(start, request) },
		OnCrashCounts: func() { h.crashRecords.Changed() },
		Log:           log.Log,
	})
	if err != nil {
		return err
	}
	h.crashRecords = crashrecords.NewKeeper(s.Node.Name, h.platform.CrashRecords(), h.executor.CrashCounts, log.Log)
	h.registrar = announce.NewRegistrar(announce.RegistrarSettings{
		Lease: s.Target.AnnounceLease, SlowStart: s.Routing.SlowStart, Identity: targetIdentity(s),
	}, h.executor, h.control.UpdateSelf, h.checkReportedTarget, h.lookUpService, log.Log)
	return nil
}

// configurationCheckInterval is the interval at which a node without a configuration checks whether one has arrived, which contains the
// health path of the target.
const configurationCheckInterval = 50 * time.Millisecond

// checkReportedTarget checks the health of the target that sent a report, once the configuration with its health path is known.
func (h *Hosted) checkReportedTarget(ctx context.Context, report announce.Report) bool {
	for {
		if path, known := h.healthPath(report.Service); known {
			return path == "" || h.executor.CheckHealth(ctx, report.Address, path, report.Instance, dialTimeout)
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(configurationCheckInterval):
		}
	}
}

func (h *Hosted) buildDispatch() error {
	s := h.settings
	rules := routing.DefaultSettings()
	rules.EjectFailures = s.Routing.EjectFailures
	rules.EjectTime = s.Routing.EjectTime
	rules.SlowStart = s.Routing.SlowStart
	rules.PanicFraction = s.Membership.PanicFraction
	h.rollouts = rollout.NewManager(rollout.Settings{
		ExposureShare: s.Rollout.ExposureShare, ExposureSlack: s.Rollout.ExposureSlack, RollbackTime: s.Rollout.RollbackTime,
	}, rollout.Dependencies{
		Node: s.Node.Name, Process: h.started.UnixNano(), View: h.control.View, Call: h.trafficPool.Call,
		Store: h.platform.Rollouts(), Random: rand.Uint64, Log: log.Log,
	})
	var err error
	h.quota, err = quota.NewService(quota.Settings{Node: s.Node.Name, Limit: quotaLimit(s), Started: h.started}, quota.Dependencies{
		View: h.control.View, HearFleetSize: h.control.HearFleetSize, Call: h.trafficPool.Call, Log: log.Log,
	})
	if err != nil {
		return err
	}
	h.dispatch = dispatch.New(dispatch.Settings{
		Node:            s.Node.Name,
		Address:         s.Listen.PeerAddress(),
		Place:           routing.Locality{FailureDomain: s.Node.FailureDomain, Region: s.Node.Region},
		MaxTargetsTried: targetsTriedMax,
		DefaultTimeout:  s.Routing.DefaultTimeout,
		Routing:         rules,
		Weights:         routing.CostWeights{DomainByteCost: s.Routing.DomainByteCost, RegionCost: s.Routing.RegionCost},
		Balance:         s.Routing.Balance,
		RetryLimit:      retryLimit(s),
	}, dispatch.Dependencies{
		View:           h.control.View,
		IsBehind:       h.control.IsBehind,
		Call:           h.trafficPool.Call,
		Local:          h.executor.Execute,
		MayTargetCall:  h.mayTargetCall,
		CallerService:  h.registrar.Service,
		Rollouts:       h.rollouts,
		Random:         rand.Uint64,
		Quota:          h.quota,
		Observe:        h.observer.request,
		FirstAttemptID: uint64(h.started.UnixNano()),
	})
	return nil
}

func (h *Hosted) buildServers() error {
	return h.serveRPC(map[string]any{
		wire.ServiceControl: control.NewService(context.Background(), h.control),
		wire.ServiceNode:    h.executor.Receiver(),
		wire.ServiceBody:    h.dispatch.Bodies().Receiver(),
		wire.ServiceRollout: h.rollouts.Receiver(),
		wire.ServiceQuota:   h.quota.Receiver(),
	})
}

// Ready reports whether callers should use the node.
func (h *Hosted) Ready() bool {
	v := h.control.View()
	return !h.closing.Load() && v.Ready && v.Version > 0
}

// Sequence returns the publisher's number of the configuration in force; 0 if there is none.
func (h *Hosted) Sequence() uint64 { return h.control.View().Sequence }

// Run serves until ctx ends, and then stops gracefully within the shutdown timeout.
func (h *Hosted) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	publishMetrics(h)
	h.work.Go(func() { h.control.Run(background) })
	h.work.Go(func() { h.syncer.Run(background) })
	h.work.Go(func() { h.restore(background) })
	h.work.Go(func() { h.sourceReader.run(background, h.readSource) })
	h.work.Go(func() { h.registrar.Run(background) })
	h.work.Go(func() { h.quota.Run(background) })
	h.work.Go(func() { h.discover(background) })
	h.work.Go(func() { paceCollector(background, h.settings.Node.MemoryLimit) })
	failed := h.serve(background)
	log.WithFields(log.Fields{
		"event": "start", "node": h.settings.Node.Name, "peer": h.settings.Listen.Peer, "ingress": h.settings.Listen.Ingress,
		"store": h.settings.Platform.Store, "balance": h.settings.Routing.Balance, "commit": buildinfo.Commit(),
	}).Info("node started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		log.WithError(err).WithField("event", "listener_failed").Error("listener failed; stopping")
	}
	return errors.Join(err, h.stop(stop))
}

// stop keeps serving callers and the target for the leave delay, finishes the requests in flight, and then closes all
// connections. The target may outlive the process, so its slots are used until the callers have left.
func (h *Hosted) stop(stopBackground func()) error {
	limit := h.live.Load().Node.ShutdownTimeout
	log.WithFields(log.Fields{"event": "stop", "timeout": limit.String(), "in_flight": h.dispatch.InFlight()}).Info("shutting down")
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	h.closing.Store(true)
	select {
	case <-time.After(min(h.live.Load().Platform.LeaveDelay, limit/2)):
	case <-ctx.Done():
	}
	h.registrar.Stop()
	err := h.finish(ctx, limit)
	h.leave()
	stopBackground()
	h.listeners.shutdown(ctx)
	if ctx.Err() == nil {
		h.peers.Close()
		h.controlPool.Close()
		h.trafficPool.Close()
		h.work.Wait()
		h.platform.Close()
	}
	log.WithFields(log.Fields{"event": "stopped", "in_flight": h.dispatch.InFlight()}).Info("shutdown finished")
	if err != nil {
		return fmt.Errorf("shutdown was not graceful: %w", err)
	}
	return nil
}

// finish serves the remaining callers until the rest of the limit is needed for the requests in flight, and then refuses
// new requests. Callers remain if the platform has no other node for them. Requests that may take longer than the rest of
// the limit are refused at once.
func (h *Hosted) finish(ctx context.Context, limit time.Duration) error {
	deadline, _ := ctx.Deadline()
	end := deadline.Add(-finalResponseMargin)
	h.dispatch.FinishBy(end)
	serving, stop := context.WithTimeout(ctx, limit-h.finishTime(limit)-h.live.Load().Platform.LeaveDelay)
	defer stop()
	if err := h.dispatch.WaitIdle(serving); err != nil {
		log.WithFields(log.Fields{"event": "refusing", "in_flight": h.dispatch.InFlight()}).
			Info("callers have not left; new requests are refused")
	}
	h.dispatch.StopAccepting()
	last := time.AfterFunc(time.Until(end), h.dispatch.CancelInFlight)
	defer last.Stop()
	return errors.Join(h.dispatch.WaitIdle(ctx), h.executor.WaitIdle(ctx))
}

// finalResponseMargin is the time before the end of a shutdown at which requests without an outcome are canceled, so that their
// callers still get a response.
const finalResponseMargin = 300 * time.Millisecond

// finishMargin is added to the longest timeout of a route to get the time in which requests in flight end.
const finishMargin = 500 * time.Millisecond

// finishTime returns the time that requests in flight may need, at most half of the limit.
func (h *Hosted) finishTime(limit time.Duration) time.Duration {
	return min(h.longestTimeout()+finishMargin, limit/2)
}

// longestTimeout returns the longest timeout of a route of the configuration in force.
func (h *Hosted) longestTimeout() time.Duration {
	var longest time.Duration
	routes := h.control.View().Content.Routes
	for i := range routes {
		longest = max(longest, routes[i].Timeout)
	}
	return longest
}

// leave publishes that this node has left. Its directory record is kept: most nodes that stop are restarted at the same
// address, and the records of the others expire.
func (h *Hosted) leave() {
	h.control.UpdateSelf(func(e *endpoint.Entry) { e.State = endpoint.Left })
}
