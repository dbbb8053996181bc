package fanout

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"wagtailford.example/server/coordination/pause"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

// Caller sends net/rpc calls to other nodes.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// methodSync is the net/rpc method of a sync.
const methodSync = wire.ServiceControl + ".Sync"

// Relation is what the other end of a sync is to this node.
type Relation uint8

// Relations.
const (
	// ToParent is the sync of a node with its parent.
	ToParent Relation = iota
	// ToRing is the sync of a follower with the next follower of its failure domain.
	ToRing
	// ToRemote is the sync of a follower with a follower of another failure domain.
	ToRemote
	// ToProbe is a single sync with a seed, a node believed dead, or a node with a newer offset.
	ToProbe
)

// LocalState is what this node states in a sync.
type LocalState struct {
	Node        string
	Incarnation int64
	Offset      uint64
	Version     config.Version
	Ready       bool
	// Reads is true if the node reads the configuration from its source itself.
	Reads bool
	// Entry is the node's own entry.
	Entry endpoint.Entry
	// Entries are the entries to pass on that changed after the sequence number asked for, without the own entry.
	Entries []endpoint.Entry
	// EntryChanged is true if the own entry changed after that sequence number.
	EntryChanged bool
	// Sequence is the own table's sequence number up to which Entries and Entry are complete.
	Sequence uint64
}

// SyncResult is the result of a sync.
type SyncResult struct {
	From     Peer
	Relation Relation
	// PushOnly is true for the reply to a call that only delivered entries; it proves no contact.
	PushOnly bool
	Reply    *wire.SyncReply
	// Sent is the time at which the poll was sent.
	Sent time.Time
}

// Sink is the control state that syncs serve.
type Sink interface {
	// LocalState returns what to state to a peer that has acknowledged the own table up to a sequence number.
	LocalState(acknowledged uint64) (LocalState, error)
	HandleSyncResult(SyncResult)
	// SyncFailed reports that a peer did not answer.
	SyncFailed(peer Peer, relation Relation)
	// TableChanged returns a channel that is closed when the own table has changed.
	TableChanged() <-chan struct{}
	// KnowsNoPeer reports whether the node knows no other live node.
	KnowsNoPeer() bool
	// ProbePeers lists nodes outside this node's sync paths that it asks now and then: members that seem to belong to
	// another tree, or to be dead, and those of the seeds that it does not know. Empty unless it is a follower.
	ProbePeers(seeds []string) []Peer
}

// Settings are the times of the sync loops.
type Settings struct {
	// Hold is how long a parent may keep a poll open; FollowerHold and RelayHold apply to polls by followers and
	// relays. See HoldTimes.
	Hold, RelayHold, FollowerHold time.Duration
	// ReconnectJitter spreads reconnects over this time.
	ReconnectJitter time.Duration
	// CallTimeoutMargin is added to the hold time to get the time limit of a call.
	CallTimeoutMargin time.Duration
	// ProbeInterval is the mean time between probes.
	ProbeInterval time.Duration
	// RetryMax is the longest wait between attempts.
	RetryMax time.Duration
	// Jitter returns a random part of a duration; nil means an unseeded source.
	Jitter func(time.Duration) time.Duration
	// Seeds are addresses to ask while no other node is known.
	Seeds []string
}

// HoldTimes returns the hold times of nodes, relays and followers for the setting sync_hold. A node's contact age
// reaches the sum of the three, which must stay clearly below self_fence (in each).
func HoldTimes(hold, selfFence time.Duration) (node, relay, follower time.Duration) {
	const nodeShare, relayShare, followerShare = 2, 4, 7
	return min(hold, selfFence/nodeShare), min(hold, selfFence/relayShare), min(hold, selfFence/followerShare)
}

// Syncer runs the syncs that the roles of this node ask for.
type Syncer struct {
	caller   Caller
	sink     Sink
	settings Settings
	roles    chan Roles
	pulls    chan Peer

	mu    sync.Mutex
	seeds SeedAddresses
	links map[linkKey]*link
}

// NewSyncer returns a syncer without roles.
func NewSyncer(caller Caller, sink Sink, settings Settings) *Syncer {
	if settings.Jitter == nil {
		settings.Jitter = RandomJitter
	}
	return &Syncer{
		caller:   caller,
		sink:     sink,
		settings: settings,
		roles:    make(chan Roles, 1),
		pulls:    make(chan Peer, 1),
		seeds:    SeedAddresses{Addresses: settings.Seeds},
		links:    make(map[linkKey]*link),
	}
}

// SetRoles replaces the roles. It does not block.
func (s *Syncer) SetRoles(r Roles) {
	for {
		select {
		case s.roles <- r:
			return
		default:
		}
		select {
		case <-s.roles:
		default:
		}
	}
}

// Pull asks a node once, because it has a newer offset. It does not block; a request is dropped while another waits.
func (s *Syncer) Pull(p Peer) {
	select {
	case s.pulls <- p:
	default:
	}
}

// SetSeeds replaces the addresses to ask while no other node is known.
func (s *Syncer) SetSeeds(contacts SeedAddresses) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = contacts
}

// Run runs syncs until ctx ends and waits for them.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.probeLoop(ctx) })
	active := newTasks(ctx, &wg)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-s.roles:
			s.apply(active, r)
		}
	}
}

// apply starts and stops sync loops so that they match the roles.
func (s *Syncer) apply(active *tasks, r Roles) {
	wanted := make(map[task]func(context.Context))
	if r.Parent().Node != "" {
		hold := s.settings.Hold
		if r.Relay {
			hold = s.settings.RelayHold
		}
		wanted[task{ToParent, r.Parent(), hold}] = func(ctx context.Context) { s.follow(ctx, r.Parents, ToParent, hold) }
	}
	single := func(p Peer, relation Relation, hold time.Duration) {
		wanted[task{relation, p, hold}] = func(ctx context.Context) { s.follow(ctx, []Peer{p}, relation, hold) }
	}
	// One short hold time is enough for recent contact, so the many remote polls take it only if there is no ring.
	remoteHold := s.settings.FollowerHold
	if r.Ring.Node != "" {
		single(r.Ring, ToRing, s.settings.FollowerHold)
		remoteHold = s.settings.Hold
	}
	for _, p := range r.Remote {
		single(p, ToRemote, remoteHold)
	}
	active.set(wanted)
}

// task identifies a sync loop.
type task struct {
	relation Relation
	peer     Peer
	hold     time.Duration
}

// tasks are the running sync loops.
type tasks struct {
	ctx     context.Context
	wg      *sync.WaitGroup
	running map[task]context.CancelFunc
}

func newTasks(ctx context.Context, wg *sync.WaitGroup) *tasks {
	return &tasks{ctx: ctx, wg: wg, running: make(map[task]context.CancelFunc)}
}

func (t *tasks) set(wanted map[task]func(context.Context)) {
	for key, cancel := range t.running {
		if wanted[key] == nil {
			cancel()
			delete(t.running, key)
		}
	}
	for key, run := range wanted {
		if t.running[key] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(t.ctx)
		t.running[key] = cancel
		t.wg.Go(func() { run(ctx) })
	}
}

// follow polls the first peer that answers and moves to the next one when it fails. It waits a random part of
// ReconnectJitter before each connection, so that the children of a dead parent do not reach the next one together,
// and backs off after it has tried all.
func (s *Syncer) follow(ctx context.Context, peers []Peer, relation Relation, hold time.Duration) {
	waits := backoff.NewExponentialBackOff()
	waits.MaxInterval = s.settings.RetryMax
	pause.For(ctx, s.settings.Jitter(s.settings.ReconnectJitter))
	for i := 0; ctx.Err() == nil; i++ {
		peer := peers[i%len(peers)]
		if s.pollUntilFailure(ctx, peer, relation, hold) {
			waits.Reset()
		}
		if ctx.Err() != nil {
			return
		}
		s.sink.SyncFailed(peer, relation)
		wait := s.settings.Jitter(s.settings.ReconnectJitter)
		if i%len(peers) == len(peers)-1 {
			wait += waits.NextBackOff()
		}
		pause.For(ctx, wait)
	}
}

// pollUntilFailure polls one peer until a call fails, and reports whether any call succeeded.
func (s *Syncer) pollUntilFailure(ctx context.Context, peer Peer, relation Relation, hold time.Duration) bool {
	l := s.link(peer, relation)
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := false
	for {
		reply, err := s.sync(ctx, l, peer, relation, hold)
		if err != nil {
			return answered
		}
		if reply.RetryAfterMS > 0 {
			pause.For(ctx, time.Duration(reply.RetryAfterMS)*time.Millisecond)
			continue
		}
		if !answered && relation != ToRemote {
			wg.Go(func() { s.pushLoop(ctx, l, peer, relation) })
		}
		answered = true
	}
}

// pushLoop passes on changes of the own table at once, since the poll may stay open for the whole hold time.
func (s *Syncer) pushLoop(ctx context.Context, l *link, peer Peer, relation Relation) {
	for {
		news := s.sink.TableChanged()
		if _, err := s.push(ctx, l, peer, relation); err != nil {
			pause.For(ctx, s.settings.ReconnectJitter/2+s.settings.Jitter(s.settings.ReconnectJitter))
			if ctx.Err() != nil {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-news:
		}
	}
}

// RandomJitter returns a random part of d.
func RandomJitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}
