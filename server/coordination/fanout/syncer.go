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

// Relation is the role of the peer of a sync relative to this node.
type Relation uint8

// Relations.
const (
	// ToParent is the sync of a node with its parent.
	ToParent Relation = iota
	// ToRing is the sync of a follower with the next follower of its failure domain.
	ToRing
	// ToRemote is the sync of a follower with a follower of another failure domain.
	ToRemote
	// ToProbe is a single sync with a seed, a node that is considered dead, or a node with a newer offset.
	ToProbe
	// ToFailover is the sync of a node whose parents do not answer with a follower of another failure domain. It carries
	// the configuration only.
	ToFailover
)

// LocalState is what this node sends in a sync.
type LocalState struct {
	Node        string
	Incarnation int64
	Offset      uint64
	// Number is the publisher's number of the configuration in force; 0 if it has none.
	Number  uint64
	Version config.Version
	// StoreEra is the highest era of the store that the node knows of.
	StoreEra uint64
	// FleetSize is the number of nodes, as the node knows it; 0 if no source has stated it.
	FleetSize int
	// KeyHistory is what the node knows of keys in earlier configurations.
	KeyHistory config.KeyHistory
	Ready      bool
	// Reads is true if the node reads the configuration from its source itself.
	Reads bool
	// Rejected are the offsets of states that the node could not use a short time ago, by the name or address of the peer
	// that sent them.
	Rejected map[string]uint64
	// Entry is the node's own entry.
	Entry endpoint.Entry
	// Entries are the entries to forward that changed after the requested sequence number, without the node's own
	// entry.
	Entries []endpoint.Entry
	// EntryChanged is true if the node's own entry changed after that sequence number.
	EntryChanged bool
	// Sequence is the sequence number of the local table up to which Entries and Entry are complete.
	Sequence uint64
}

// SyncResult is the result of a sync.
type SyncResult struct {
	From     Peer
	Relation Relation
	// PushOnly is true for the reply to a call that only delivered entries. Such a reply does not count as contact.
	PushOnly bool
	Reply    *wire.SyncReply
	// Sent is the time at which the poll was sent.
	Sent time.Time
}

// Sink is the control state that syncs read and update.
type Sink interface {
	// LocalState returns what to send to a peer that has acknowledged the local table up to a sequence number.
	LocalState(acknowledged uint64) (LocalState, error)
	HandleSyncResult(SyncResult)
	// SyncFailed reports that a sync with a peer failed.
	SyncFailed(peer Peer, relation Relation)
	// TableChanged returns a channel that is closed when the local table changes.
	TableChanged() <-chan struct{}
	// KnowsNoPeer reports whether this node knows no other live node.
	KnowsNoPeer() bool
	// FailoverPeers returns the nodes of other failure domains that this node polls while no parent answers.
	FailoverPeers() []Peer
	// ProbePeers returns nodes outside this node's sync paths that it contacts from time to time: members that seem to
	// belong to another tree or to be dead, and seeds that it does not know. Only followers have any.
	ProbePeers(seeds []string) []Peer
}

// Settings configure the sync loops.
type Settings struct {
	// Hold is how long a parent may keep a poll open; FollowerHold and RelayHold apply to polls by followers and
	// relays. See HoldTimes.
	Hold, RelayHold, FollowerHold time.Duration
	// ReconnectJitter is the time over which reconnects are spread at random.
	ReconnectJitter time.Duration
	// CallTimeoutMargin is added to the hold time to get the timeout of a call.
	CallTimeoutMargin time.Duration
	// ProbeInterval is the mean time between probes.
	ProbeInterval time.Duration
	// RetryMax is the maximum backoff between attempts.
	RetryMax time.Duration
	// Jitter returns a random duration below the given one; nil means RandomJitter.
	Jitter func(time.Duration) time.Duration
	// Seeds are the addresses to contact while no other node is known.
	Seeds []string
}

// HoldTimes returns the hold times of nodes, relays and followers for the setting sync_hold. The contact age of a node
// can reach the sum of the three, which must stay well below self_fence.
func HoldTimes(hold, selfFence time.Duration) (node, relay, follower time.Duration) {
	const nodeShare, relayShare, followerShare = 2, 4, 7
	return min(hold, selfFence/nodeShare), min(hold, selfFence/relayShare), min(hold, selfFence/followerShare)
}

// Syncer runs the syncs that the roles of this node require.
type Syncer struct {
	Counters Counters

	caller   Caller
	sink     Sink
	settings Settings
	roles    chan Roles
	pulls    chan Peer
	failover failover

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

// Pull requests one sync with a node that has a newer offset. It does not block; the request is dropped if another one
// is pending.
func (s *Syncer) Pull(p Peer) {
	select {
	case s.pulls <- p:
	default:
	}
}

// SetSeeds replaces the addresses to contact while no other node is known.
func (s *Syncer) SetSeeds(contacts SeedAddresses) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = contacts
}

// Run runs the syncs until ctx is done and waits for them to end.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.probeLoop(ctx) })
	wg.Go(func() { s.failoverLoop(ctx) })
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
	s.failover.setNeeded(r.Parent().Node != "", time.Now())
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
	// One poll with a short hold time is enough to keep the contact recent, so the many remote polls use the short one
	// only if there is no ring peer.
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

// follow polls the first peer that responds and moves to the next one when a call fails. It waits a random part of
// ReconnectJitter before each attempt, so that the children of a dead parent do not all contact the next one at once,
// and backs off exponentially after it has tried all peers.
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
		if relation == ToParent {
			s.failover.parentAnswered(time.Now())
		}
		if !answered && relation != ToRemote {
			wg.Go(func() { s.pushLoop(ctx, l, peer, relation) })
		}
		answered = true
	}
}

// pushLoop sends changes of the local table at once, since the poll may stay open for the whole hold time.
func (s *Syncer) pushLoop(ctx context.Context, l *link, peer Peer, relation Relation) {
	for {
		changed := s.sink.TableChanged()
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
		case <-changed:
		}
	}
}

// RandomJitter returns a random duration from 0 up to, but not including, d; 0 if d is not positive.
func RandomJitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}
