package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/coordination/seeds"
	"wagtailford.example/server/state/endpoint"
)

const (
	// seedSample is the number of members of the own failure domain that one record of seeds names.
	seedSample = 16
	// seedRetry is the time between two attempts to read the seeds while no other node is known.
	seedRetry = time.Second
	// firstSeedDelay spreads the first records of nodes that know no other node, so that a whole fleet which starts at
	// once stays within the log's rate of appends.
	firstSeedDelay = 5 * time.Second
)

// rolesChanged starts and stops the log follower. The control loop calls it from one goroutine.
func (d *Daemon) rolesChanged(r fanout.Roles) {
	d.syncer.SetRoles(r)
	log.WithFields(log.Fields{
		"follower": r.Follower, "relay": r.Relay, "rank": r.Rank, "parent": r.Parent().Node,
	}).Info("roles changed")
	d.followingMu.Lock()
	defer d.followingMu.Unlock()
	switch {
	case r.ReadsLog && d.following == nil && !d.stopped:
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		d.following, d.followerEnded = cancel, ended
		go func() {
			defer close(ended)
			d.follower.Run(ctx)
		}()
	case !r.ReadsLog && d.following != nil:
		d.stopFollowing()
	}
}

// declaredDead joins the owners of keys again after other nodes declared this one dead.
func (d *Daemon) declaredDead() {
	log.Warn("this node was declared dead by others; joining again")
	d.keys.DeclaredDead()
	d.work.Go(d.announce.Rejoin)
}

// endFollowing ends the follower's run for good.
func (d *Daemon) endFollowing() {
	d.followingMu.Lock()
	defer d.followingMu.Unlock()
	d.stopped = true
	d.stopFollowing()
}

// stopFollowing ends the follower's run and waits for it, so that two runs never overlap. The lock is held.
func (d *Daemon) stopFollowing() {
	if d.following == nil {
		return
	}
	d.following()
	<-d.followerEnded
	d.following = nil
}

// findSeeds reads seed addresses from the log while this node knows no other node, and publishes them as a follower.
func (d *Daemon) findSeeds(ctx context.Context) {
	published := false
	first := time.After(time.Duration(rand.Int64N(int64(firstSeedDelay))))
	interval := time.NewTicker(d.settings.Fanout.SeedInterval)
	defer interval.Stop()
	retry := time.NewTicker(seedRetry)
	defer retry.Stop()
	d.readSeeds(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-retry.C:
			if d.control.KnowsNoPeer() {
				d.readSeeds(ctx)
			}
			continue
		case <-first:
			if !d.control.KnowsNoPeer() && !d.control.Roles().Follower {
				continue
			}
		case <-interval.C:
			if !d.control.Roles().Follower {
				continue
			}
		}
		if err := d.publishSeeds(ctx); err != nil {
			log.WithError(err).Warn("seed addresses were not published")
		} else if !published {
			published = true
			log.Info("seed addresses published")
		}
	}
}

func (d *Daemon) readSeeds(ctx context.Context) {
	result, err := seeds.ReadSeeds(ctx, d.log)
	if err != nil {
		return // The next attempt follows after seedRetry; the settings' seeds are tried meanwhile.
	}
	addresses := append([]string(nil), d.settings.Node.Seeds...)
	for _, s := range result.Seeds {
		if s.Node != d.settings.Node.Name {
			addresses = append(addresses, s.Address)
		}
	}
	d.syncer.SetSeeds(fanout.SeedAddresses{Addresses: addresses})
}

// publishSeeds appends this node and a sample of the other members of its failure domain.
func (d *Daemon) publishSeeds(ctx context.Context) error {
	var sample []seeds.Seed
	for _, e := range d.control.View().Nodes {
		own := e.Node == d.settings.Node.Name
		if own || (e.FailureDomain == d.settings.Node.FailureDomain && e.Live() && len(sample) < seedSample) {
			sample = append(sample, seedOf(e))
		}
	}
	return seeds.Append(ctx, d.log, sample)
}

func seedOf(e *endpoint.Entry) seeds.Seed {
	return seeds.Seed{Node: e.Node, Address: e.Address, FailureDomain: e.FailureDomain, Incarnation: e.Incarnation}
}

// errSeedsIncomplete means that the seeds stream does not reach back far enough to rule an earlier process out.
var errSeedsIncomplete = errors.New("the seeds stream does not cover the retention of keys")

// seenBefore reports whether an earlier process of this node may have run keys that are still remembered.
func (d *Daemon) seenBefore(ctx context.Context) (bool, error) {
	result, err := seeds.ReadSeeds(ctx, d.log)
	if err != nil {
		return false, err
	}
	oldest := time.Now().Add(-d.settings.Keys.KeyRetention)
	for _, s := range result.Seeds {
		if s.Node == d.settings.Node.Name && s.Incarnation < d.started.UnixNano() && s.StoredAt.After(oldest) {
			return true, nil
		}
	}
	if !result.Complete && result.CoveredSince.After(oldest) {
		return false, errSeedsIncomplete
	}
	return false, nil
}
