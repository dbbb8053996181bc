package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/follow"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

const (
	// restoreGrace is how long a node that has read its first configuration from the store waits for the rest of the state that
	// it needs from there. A store that is down in part must not keep the node from serving.
	restoreGrace = 2 * time.Second
	// rolloutGrace is how long rollouts are not decided while their records are not known.
	rolloutGrace = time.Second
)

// restore reads what earlier processes of all nodes left in the store, however long the store is away: which requests crash
// targets, and which versions of a service may serve.
func (h *Hosted) restore(ctx context.Context) {
	var reads sync.WaitGroup
	reads.Go(func() { h.restoreCrashes(ctx) })
	if h.settings.Rollout.Restore {
		reads.Go(func() { h.rollouts.Restore(ctx) })
	}
	h.work.Go(func() {
		select {
		case <-h.restored:
		case <-time.After(rolloutGrace):
		case <-ctx.Done():
		}
		h.rollouts.Run(ctx)
	})
	reads.Wait()
	if ctx.Err() == nil {
		close(h.restored)
	}
}

// restoreCrashes takes over the crash counts that the store holds, and keeps those of this node there from then on.
func (h *Hosted) restoreCrashes(ctx context.Context) {
	records, ok := h.crashRecords.Restore(ctx)
	if !ok {
		return
	}
	var own, others []endpoint.CrashCount
	for _, r := range records {
		if r.Node == h.settings.Node.Name {
			own = append(own, r.Crashes...)
		} else {
			others = append(others, r.Crashes...)
		}
	}
	h.executor.RestoreCrashes(own, others)
	if len(records) > 0 {
		log.WithFields(log.Fields{"event": "crash_counts_restored", "own": len(own), "others": len(others)}).
			Info("crash counts restored from the store")
	}
	h.work.Go(func() { h.crashRecords.Run(ctx) })
}

// restoredSink delays the first configuration that this node reads until the state is known that it needs to serve, which comes
// from the same store. A configuration from another node is not delayed: that node's entry brings the state with it.
type restoredSink struct {
	follow.SourceSink
	restored <-chan struct{}
}

// InstallWhole installs a configuration.
func (s *restoredSink) InstallWhole(w *config.Whole) error {
	if s.Offset() == 0 {
		select {
		case <-s.restored:
		case <-time.After(restoreGrace):
			log.WithField("event", "state_not_restored").
				Warn("the store answers in part; serving without the crash counts and rollout records that it holds")
		}
	}
	return s.SourceSink.InstallWhole(w)
}

// rewriteSpread is the time over which the nodes write their records again after the store was restored. 810 records in 2 s
// are within the several hundred appends a second that the store takes.
const rewriteSpread = 2 * time.Second

// storeRestored writes the records of this node again, since those written after the copy are lost. The configuration in
// force stays; its source is read from the beginning by the follower.
func (h *Hosted) storeRestored(from, to uint64) {
	log.WithFields(log.Fields{"event": "store_restored", "era": to, "era_before": from}).
		Warn("store was restored from a copy; the configuration in force stays, own records are written again")
	time.AfterFunc(rand.N(rewriteSpread), func() {
		h.republish.Store(true)
		h.crashRecords.Rewrite()
		h.keyHistory.Rewrite()
	})
}
