// Package keyhistory keeps in a store outside the mesh that a configuration has had a list of organisations, so that keys stay
// withdrawn after a restart of all nodes when the list is gone. Only the nodes that read configurations call the store.
package keyhistory

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/pause"
	"wagtailford.example/server/protocol/keyedstore"
	"wagtailford.example/server/state/config"
)

// Store keeps the mark.
type Store interface {
	// IsMarked reports whether the store states that keys were issued.
	IsMarked(ctx context.Context) (bool, error)
	// Mark makes the store state it.
	Mark(ctx context.Context) error
}

const (
	// callTimeout limits the calls of one review. Nothing else waits for them, so it covers a store that takes seconds to answer.
	callTimeout = 4 * time.Second
	// reviewInterval is the time between two reviews of the configuration in force, and after a failed call.
	reviewInterval = time.Second
)

// Dependencies are the functions of the node that a Keeper calls.
type Dependencies struct {
	Store Store
	// History returns what the node knows.
	History func() config.KeyHistory
	// State takes over what the store states.
	State func(config.KeyHistory)
	Log   log.Interface
}

// Keeper takes over the mark of the store, and sets it once keys were issued.
type Keeper struct {
	deps Dependencies
	// read is true once the store has stated whether it holds the mark, marked once it holds it.
	read, marked bool
	failing      bool
	// rewrite is set when the store may have lost the mark.
	rewrite atomic.Bool
}

// NewKeeper returns a keeper.
func NewKeeper(d Dependencies) *Keeper { return &Keeper{deps: d} }

// Rewrite makes the keeper set the mark again, because the store was restored from a copy that may lack it. It does not block.
func (k *Keeper) Rewrite() { k.rewrite.Store(true) }

// Run keeps the mark until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		if err := k.review(ctx); ctx.Err() == nil {
			k.report(err)
		}
		if !pause.For(ctx, reviewInterval) {
			return
		}
	}
}

// review makes the calls that are due.
func (k *Keeper) review(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if k.rewrite.Swap(false) {
		k.read, k.marked = false, false
	}
	if !k.read {
		marked, err := k.deps.Store.IsMarked(ctx)
		if err != nil {
			return err
		}
		k.read, k.marked = true, marked
		k.deps.State(historyOf(marked))
	}
	if k.marked || k.deps.History() != config.KeysIssued {
		return nil
	}
	if err := k.deps.Store.Mark(ctx); err != nil {
		return err
	}
	k.marked = true
	k.deps.Log.WithField("event", "keys_marked").Info("store states from now on that keys were issued")
	return nil
}

func historyOf(marked bool) config.KeyHistory {
	if marked {
		return config.KeysIssued
	}
	return config.KeysNeverIssued
}

func (k *Keeper) report(err error) {
	if (err != nil) == k.failing {
		return
	}
	if k.failing = err != nil; k.failing {
		k.deps.Log.WithError(err).WithField("event", "key_history_not_read").
			Warn("store does not state whether keys were issued, or does not take it")
	}
}

// TopicStore keeps the mark in a topic of a store: the record of one key, whatever its value.
type TopicStore struct{ topic keyedstore.Topic }

var _ Store = TopicStore{}

// NewTopicStore returns the store in a topic.
func NewTopicStore(topic keyedstore.Topic) TopicStore { return TopicStore{topic} }

// keyIssued is the key of the mark, valueIssued its value. An empty value would drop the key.
const (
	keyIssued   = "issued"
	valueIssued = "1"
)

// IsMarked reports whether the topic has the mark.
func (s TopicStore) IsMarked(ctx context.Context) (bool, error) {
	page, err := s.topic.Newest(ctx)
	if err != nil {
		return false, err
	}
	for _, r := range page.Present() {
		if r.Key == keyIssued {
			return true, nil
		}
	}
	return false, nil
}

// Mark writes the mark.
func (s TopicStore) Mark(ctx context.Context) error {
	return s.topic.Put(ctx, keyIssued, []byte(valueIssued))
}
