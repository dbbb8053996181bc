// Package daemon assembles one node from its settings and runs it until it is told to stop.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/announce"
	"wagtailford.example/server/coordination/execute"
	"wagtailford.example/server/coordination/follow"
	"wagtailford.example/server/coordination/ingress"
	"wagtailford.example/server/coordination/ownership"
	"wagtailford.example/server/daemon/buildinfo"
	"wagtailford.example/server/daemon/settings"
	"wagtailford.example/server/protocol/platformlog"
	"wagtailford.example/server/state/endpoint"
)

// observeInterval is the interval at which the key manager looks at the view.
const observeInterval = 500 * time.Millisecond

// Daemon is one node.
type Daemon struct {
	core

	log      *platformlog.Client
	follower *follow.Follower
	keys     *ownership.Manager
	executor *execute.Executor
	announce *announce.Announcer
	ingress  *ingress.Handler

	listeners *listeners

	// keysKept is true while key records stay here because no other member of the service can take them.
	keysKept atomic.Bool

	// work are the goroutines that end with the daemon's context.
	work sync.WaitGroup
	// followingMu guards the fields below: roles may still change while the daemon stops.
	followingMu sync.Mutex
	// following ends the log follower's run; nil while this node does not follow the log.
	following     context.CancelFunc
	followerEnded chan struct{}
	// stopped is true when the node no longer follows the log, whatever its role.
	stopped bool
}

// New assembles a daemon and opens its listeners.
func New(s *settings.Settings) (*Daemon, error) {
	debug.SetMemoryLimit(s.Node.MemoryLimit)
	debug.SetGCPercent(collectPercentMin)
	d := &Daemon{core: core{settings: s, started: time.Now()}}
	steps := []func() error{
		d.openListeners, d.buildLog, d.buildControl, d.buildTraffic, d.buildServers, d.buildOperator,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			if d.listeners != nil {
				d.listeners.close()
			}
			return nil, err
		}
	}
	return d, nil
}

// Run serves until ctx ends, and then stops gracefully within the shutdown timeout.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	publishMetrics(d)
	d.work.Go(func() { d.control.Run(background) })
	d.work.Go(func() { d.syncer.Run(background) })
	d.work.Go(func() { d.findSeeds(background) })
	d.work.Go(func() { d.observeKeys(background) })
	d.work.Go(func() { paceCollector(background, d.settings.Node.MemoryLimit) })
	failed := d.serve(background)
	log.WithFields(log.Fields{
		"node": d.settings.Node.Name, "peer": d.settings.Listen.Peer, "ingress": d.settings.Listen.Ingress,
		"commit": buildinfo.Commit(),
	}).Info("node started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		log.WithError(err).Error("listener failed; stopping")
	}
	return errors.Join(err, d.stop(stop))
}

// stop drains the target, finishes the requests in flight, and then closes everything else.
func (d *Daemon) stop(stopBackground func()) error {
	limit := d.settings.Node.ShutdownTimeout
	log.WithField("timeout", limit.String()).Info("shutting down")
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var errs []error
	note := func(what string, err error) {
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", what, err))
		}
	}
	note("drain target", d.announce.Shutdown(ctx))
	note("finish callers' requests", d.ingress.Shutdown(ctx))
	note("finish the hand-over of key records", d.keys.Drained(ctx))
	// Without a complete hand-over the node must not leave as planned: others would take its keys for handed over.
	handedOver := len(errs) == 0
	note("finish operators' calls", d.listeners.finishOperators(ctx))
	if handedOver {
		note("announce the end of the node", d.announceLeft(ctx))
	}
	stopBackground()
	d.endFollowing()
	d.listeners.shutdown(ctx)
	if ctx.Err() != nil {
		// The requests that are left would hold the process beyond the limit; they end with it.
		err := errors.Join(errs...)
		log.WithError(err).Error("shutdown was not graceful")
		return err
	}
	d.announce.Close()
	d.peers.Close()
	d.controlPool.Close()
	d.trafficPool.Close()
	d.keys.Close()
	d.work.Wait()
	d.executor.Close()
	d.log.Close()
	err := errors.Join(errs...)
	if err != nil {
		log.WithError(err).Error("shutdown was not graceful")
		return err
	}
	log.Info("shutdown finished")
	return nil
}

// announceLeft publishes that the node has left and gives the parents time to hear it. A node whose key records
// nobody took over ends without a word, so that it is declared dead and its keys keep their place.
func (d *Daemon) announceLeft(ctx context.Context) error {
	if d.keysKept.Load() {
		log.Warn("key records end with this process; their keys are answered unknown until key_retention has passed")
		return nil
	}
	d.control.UpdateSelf(func(e *endpoint.Entry) {
		e.State = endpoint.Left
		e.Eligible = false
	})
	if d.control.KnowsNoPeer() {
		return nil
	}
	select {
	case <-time.After(leftAnnounceTime(d.settings)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// leftAnnounceTime is how long a leaving node stays for its last entry to reach a parent: two coalescing windows and
// a round trip.
func leftAnnounceTime(s *settings.Settings) time.Duration {
	const roundTrip = 100 * time.Millisecond
	return 2*s.Fanout.CoalesceWindow + roundTrip
}

// observeKeys lets the key manager take every view into account.
func (d *Daemon) observeKeys(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.keys.Observe()
		}
	}
}
