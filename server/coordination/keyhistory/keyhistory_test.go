package keyhistory

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/config"
)

// fakeStore is a store whose calls may fail, and the history that the node knows.
type fakeStore struct {
	mu           sync.Mutex
	marked, away bool
	reads, marks int
	history      config.KeyHistory
}

var errAway = errors.New("away")

func (s *fakeStore) IsMarked(context.Context) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.away {
		return false, errAway
	}
	return s.marked, nil
}

func (s *fakeStore) Mark(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marks++
	if s.away {
		return errAway
	}
	s.marked = true
	return nil
}

func (s *fakeStore) known() config.KeyHistory {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history
}

func (s *fakeStore) state(h config.KeyHistory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = max(s.history, h)
}

// play runs a keeper in virtual time. steps are called one after the other, with a time between two that covers several reviews.
func play(t *testing.T, s *fakeStore, steps ...func(k *Keeper)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		k := NewKeeper(Dependencies{Store: s, History: s.known, State: s.state, Log: &log.Logger{Handler: discard.New()}})
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { k.Run(ctx); close(done) }()
		for _, step := range steps {
			time.Sleep(3 * reviewInterval)
			synctest.Wait()
			s.mu.Lock()
			step(k)
			s.mu.Unlock()
		}
		stop()
		<-done
	})
}

// Guards against a failed read that is taken for a store without the mark, which would open a platform whose keys are withdrawn.
func TestHistoryIsUnknownUntilTheStoreHasStatedIt(t *testing.T) {
	for _, marked := range []bool{false, true} {
		s := &fakeStore{marked: marked, away: true}
		play(t, s, func(*Keeper) {
			assert.Equal(t, s.history, config.KeyHistoryUnknown)
			s.away = false
		}, func(*Keeper) {
			assert.Equal(t, s.history, historyOf(marked))
			assert.Equal(t, s.marks, 0)
		})
	}
}

// Guards against a mark that is not written, or written again and again: keys are issued while the store is away, or a store that
// was restored from a copy lacks the mark.
func TestMarkIsWrittenOnce(t *testing.T) {
	s := &fakeStore{}
	play(t, s, func(*Keeper) {
		s.away = true
		s.history = config.KeysIssued
	}, func(*Keeper) {
		assert.Assert(t, !s.marked)
		s.away = false
	}, func(*Keeper) {
		assert.Assert(t, s.marked)
		s.marks, s.reads = 0, 0
	}, func(k *Keeper) {
		assert.Equal(t, s.marks+s.reads, 0)
		s.marked = false
		k.Rewrite()
	}, func(*Keeper) {
		assert.Assert(t, s.marked)
		assert.Equal(t, s.marks, 1)
		assert.Equal(t, s.history, config.KeysIssued)
	})
}
