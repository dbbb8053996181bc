// Package crashrecords keeps the crash counts of a node in a store outside the mesh, so that they outlive a restart of all
// nodes at once.
package crashrecords

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/firstread"
	"wagtailford.example/server/state/endpoint"
)

// Record holds the crash counts of a node that apply, of all its processes.
type Record struct {
	Node    string                `json:"node"`
	Crashes []endpoint.CrashCount `json:"crashes"`
}

// Store keeps one record per node.
type Store interface {
	// Publish replaces the record of a node; a record without counts removes it.
	Publish(ctx context.Context, r Record) error
	List(ctx context.Context) ([]Record, error)
}

const (
	// callTimeout limits one write to the store. A slow store answers within some tenths of a second.
	callTimeout = time.Second
	// retryInterval is the time after a failed call.
	retryInterval = 100 * time.Millisecond
	// reviewInterval is the time between two comparisons while counts apply: they expire, and other nodes clear them.
	reviewInterval = time.Second
)

// Keeper writes the counts of one node to the store whenever they have changed.
type Keeper struct {
	node    string
	store   Store
	current func() []endpoint.CrashCount
	logger  log.Interface
	changed chan struct{}
	written []endpoint.CrashCount
	// wrote is true once the store has held a record of this node, which a restored store may hold again.
	wrote bool
	// rewrite is set when the store may have lost the record.
	rewrite atomic.Bool
}

// NewKeeper returns a keeper for a node. current returns the counts of the node that apply, sorted.
func NewKeeper(node string, store Store, current func() []endpoint.CrashCount, logger log.Interface) *Keeper {
	return &Keeper{node: node, store: store, current: current, logger: logger, changed: make(chan struct{}, 1)}
}

// Changed tells the keeper that the counts have changed. It does not block.
func (k *Keeper) Changed() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// Rewrite makes the keeper write the counts again, because the store was restored from a copy that may lack them or hold older
// ones. It does not block.
func (k *Keeper) Rewrite() {
	k.rewrite.Store(true)
	k.Changed()
}

// Restore reads the records of all nodes, for as long as it takes; ok is false if ctx has ended before. It must have succeeded
// before Run is called: Run replaces the record of this node, which may hold more than this process knows.
func (k *Keeper) Restore(ctx context.Context) (records []Record, ok bool) {
	records, ok = firstread.Until(ctx, k.store.List, func(err error) {
		k.logger.WithError(err).WithField("event", "crash_counts_not_restored").
			Warn("crash counts not restored from the store yet")
	})
	if ok {
		k.noteWritten(records)
	}
	return records, ok
}

// noteWritten takes over what the store holds for this node.
func (k *Keeper) noteWritten(records []Record) {
	for _, r := range records {
		if r.Node == k.node {
			k.written, k.wrote = r.Crashes, true
		}
	}
}

// Run writes the counts until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	lost := false
	for {
		counts := k.current()
		wait := time.Duration(0)
		if len(counts) > 0 {
			wait = reviewInterval
		}
		lost = k.rewrite.Swap(false) && (k.wrote || len(counts) > 0) || lost
		if lost || !slices.Equal(counts, k.written) {
			if k.write(ctx, counts) {
				k.written, k.wrote, lost = counts, true, false
			} else {
				wait = retryInterval
			}
		}
		if !k.pause(ctx, wait) {
			return
		}
	}
}

func (k *Keeper) write(ctx context.Context, counts []endpoint.CrashCount) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.store.Publish(ctx, Record{Node: k.node, Crashes: counts}) == nil
}

// pause waits for a change, or for at most wait if it is not 0, and returns false once ctx has ended.
func (k *Keeper) pause(ctx context.Context, wait time.Duration) bool {
	var due <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-k.changed:
	case <-due:
	}
	return true
}
