package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

// Loop is the control goroutine of a node and the state that it owns. All methods may be called from any goroutine;
// those that change state wait for the control goroutine, and so return only once Run has started or ended.
type Loop struct {
	settings Settings
	instance int64
	// node and domain are the node's name and failure domain; they never change.
	node, domain string
	commands     chan func()
	stopped      chan struct{}
	counter      counters
	notify       notifier

	// The control goroutine writes these; any goroutine may read them.
	view    atomic.Pointer[view.View]
	state   atomic.Pointer[config.State]
	roles   atomic.Pointer[fanout.Roles]
	contact atomic.Pointer[contact]
	// highestOrder only grows, see HighestOffset.
	highestOrder atomic.Pointer[config.Order]
	// uninstallable only grows, see NewestOffset.
	uninstallable atomic.Pointer[config.Order]
	// skipped is the highest offset of a publication that was not installed for its number, see skip. It only grows.
	skipped atomic.Uint64
	// changed signals new views, updates signals changes that syncs may forward.
	changed broadcast
	updates broadcast

	// The control goroutine owns everything below.
	self             endpoint.Entry
	table            *endpoint.Table
	window           window
	installs         installs
	inForce          inForce
	rejections       rejections
	lag              lagTracker
	fleet            fleetSize
	keyHistory       config.KeyHistory
	clients          map[string]*client
	watchedSince     map[string]time.Time
	unreachableUntil map[string]time.Time
	admission        *rate.Limiter
	contacted        bool
	ready            bool
	started          time.Time
	lastTick         time.Time
	rolesStale       bool
	// snapshotData is the encoding of snapshotOf.
	snapshotOf   *config.State
	snapshotData []byte
	// publishedSequence and publishedOrder are the table's sequence number and the place of the state at the last coalesced
	// publication; an open poll is answered once the poller lacks something up to there.
	publishedSequence uint64
	publishedOrder    config.Order
	// delayed are the latest complete states that are not forwarded yet, with their times.
	delayed delayQueue
	// blockedAt is the offset of the record of an unknown rule version at which applying stopped; 0 if none.
	blockedAt                   uint64
	viewTimer, updatesTimer     *time.Timer
	viewPending, updatesPending bool
	// graceTimer forwards a state after SourceGrace.
	graceTimer *time.Timer
}

// contact is the time of the last contact in the sense of rule R6; alone is true if the node knows no other live node.
type contact struct {
	at    time.Time
	alone bool
}

// New returns a loop for a node. self is the node's own entry at its start.
func New(settings Settings, self endpoint.Entry) *Loop {
	now := time.Now()
	if settings.Jitter == nil {
		settings.Jitter = fanout.RandomJitter
	}
	l := &Loop{
		settings:         settings,
		instance:         now.UnixNano(),
		node:             self.Node,
		domain:           self.FailureDomain,
		commands:         make(chan func(), commandQueue),
		stopped:          make(chan struct{}),
		self:             self,
		table:            endpoint.NewTable(settings.KeyRetention),
		window:           window{limit: settings.DeltaWindowRecords},
		clients:          make(map[string]*client),
		watchedSince:     make(map[string]time.Time),
		unreachableUntil: make(map[string]time.Time),
		admission:        rate.NewLimiter(rate.Limit(settings.SyncAdmissionRate), max(1, int(settings.SyncAdmissionRate))),
		started:          now,
		lastTick:         now,
		rolesStale:       true,
	}
	l.notify.init()
	l.changed.init()
	l.updates.init()
	l.state.Store(config.New())
	l.highestOrder.Store(&config.Order{})
	l.uninstallable.Store(&config.Order{})
	l.roles.Store(&fanout.Roles{Rank: -1})
	l.contact.Store(&contact{at: now, alone: true})
	l.table.Merge(self, "", now)
	l.publishedSequence = l.table.Sequence()
	l.publishView()
	return l
}

// Run executes commands and periodic work until ctx ends. It must be called once.
func (l *Loop) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(l.stopped)
	wg.Go(func() { l.notify.run(ctx) })
	l.viewTimer = stoppedTimer()
	l.updatesTimer = stoppedTimer()
	l.graceTimer = stoppedTimer()
	l.delayed.delay = l.settings.SourceGrace
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	l.started = time.Now()
	l.lastTick = l.started
	l.updateRoles(l.started)
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-l.commands:
			command()
		case <-ticker.C:
			l.tick(time.Now())
		case <-l.viewTimer.C:
			l.publishView()
			l.updateRoles(time.Now())
		case <-l.updatesTimer.C:
			l.updatesPending = false
			l.publishUpdates()
		case <-l.graceTimer.C:
			l.publishUpdates()
		}
	}
}

func stoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// do runs a function on the control goroutine and waits for it.
func (l *Loop) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	command := func() {
		defer close(done)
		f()
	}
	select {
	case l.commands <- command:
	case <-l.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-l.stopped:
		return ErrStopped
	}
}

// View returns the configuration and the entries in force. It never blocks.
func (l *Loop) View() *view.View { return l.view.Load() }

// State returns the configuration state, which is immutable.
func (l *Loop) State() *config.State { return l.state.Load() }

// Roles returns the current roles of the node.
func (l *Loop) Roles() fanout.Roles { return *l.roles.Load() }

// Offset returns the offset of the last log record applied.
func (l *Loop) Offset() uint64 { return l.state.Load().Offset() }

// ContactAge returns how long ago this node had contact with a node that would know if this node had been
// declared dead; 0 if it knows no other node. It uses the monotonic clock.
func (l *Loop) ContactAge() time.Duration {
	c := l.contact.Load()
	if c.alone {
		return 0
	}
	return max(0, time.Since(c.at))
}

// KnowsNoPeer reports whether the node knows no other node that has not left; dead nodes count as known.
func (l *Loop) KnowsNoPeer() bool { return l.contact.Load().alone }

// OnRolesChanged sets the function that is called after the roles changed, with the newest roles. It must be set before
// Run.
func (l *Loop) OnRolesChanged(f func(fanout.Roles)) { l.notify.onRoles = f }

// OnDeclaredDead sets the function that is called after the node learned that it was declared dead (rule R8). Its
// entry has a higher revision by then. It must be set before Run.
func (l *Loop) OnDeclaredDead(f func()) { l.notify.onDeclaredDead = f }

// OnPeerAhead sets the function that is called with a poller that has a higher offset than this node. It must be set
// before Run.
func (l *Loop) OnPeerAhead(f func(fanout.Peer)) { l.notify.onAhead = f }

// OnSnapshotInstalled sets the function that is called after a complete state from a peer came into force. It must be set before
// Run.
func (l *Loop) OnSnapshotInstalled(f func(SnapshotInstall)) { l.notify.onSnapshotInstalled = f }

// OnSnapshotRejected sets the function that is called after a complete state from a peer could not be decoded: once for each
// peer and offset. It must be set before Run.
func (l *Loop) OnSnapshotRejected(f func(SnapshotRejection)) { l.notify.onSnapshotRejected = f }

// OnLag sets the function that is called when the node begins or ceases to lag, with the newest state. It must be set before
// Run.
func (l *Loop) OnLag(f func(Lag)) { l.notify.onLag = f }

// UpdateSelf changes the node's own entry on the control goroutine and raises its revision. Changes to the node name
// and the key are discarded, except for the state. Maps and slices must be replaced, not modified, since views share
// them. It has no effect if nothing changed or if the loop has stopped.
func (l *Loop) UpdateSelf(change func(*endpoint.Entry)) {
	_ = l.do(context.Background(), func() { l.updateOwnEntry(change, time.Now()) })
}

// MergeEntries merges entries that were not received in a sync, such as members named in a reply to a joiner.
func (l *Loop) MergeEntries(entries []endpoint.Entry) {
	_ = l.do(context.Background(), func() {
		now := time.Now()
		for _, e := range entries {
			l.mergeEntry(e, e.Node, now)
		}
	})
}

// DeliverRecords applies records that follow the current offset without a gap; records at or below it have no effect.
func (l *Loop) DeliverRecords(records []config.Record) {
	_ = l.do(context.Background(), func() {
		l.contacted = true
		l.applyRecords(records, FromSource)
		l.updateReady()
	})
}

// HighestSeen records that the log holds records up to an offset. It counts as a contact with the log.
func (l *Loop) HighestSeen(offset uint64) {
	_ = l.do(context.Background(), func() {
		l.contacted = true
		l.heardOf(config.Order{Offset: offset})
		l.updateReady()
	})
}

// RestoreSnapshot installs a snapshot if it is above the current state in the order.
func (l *Loop) RestoreSnapshot(data []byte) error {
	state, err := config.DecodeSnapshot(data)
	if err != nil {
		return err
	}
	return l.do(context.Background(), func() { _ = l.install(state, FromSource) })
}

// InstallWhole installs a configuration that was published as a complete document, if it is above the current one in the
// order: by the publisher's number, and for the same number by the position. The error is a *config.InvalidError or *config.OversizeError; no part of such a configuration is installed.
func (l *Loop) InstallWhole(w *config.Whole) error {
	state, err := config.FromWhole(w)
	if err != nil {
		_ = l.do(context.Background(), func() { l.heardOfUninstallable(w.Order()) })
		return err
	}
	return l.do(context.Background(), func() {
		l.contacted = true
		if !l.install(state, FromSource) {
			l.skip(w.Offset)
		}
		l.updateReady()
	})
}

// EncodeSnapshot returns the current offset and the encoded state at it.
func (l *Loop) EncodeSnapshot() (uint64, []byte, error) {
	state := l.state.Load()
	data, err := state.EncodeSnapshot()
	return state.Offset(), data, err
}

// WaitOffset waits until the view has reached an offset.
func (l *Loop) WaitOffset(ctx context.Context, offset uint64) error {
	for {
		changed := l.changed.wait()
		if l.view.Load().Offset >= offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-l.stopped:
			return ErrStopped
		}
	}
}
