package ownership

import (
	"context"
	"sync"
	"time"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/idempotency"
	"wagtailford.example/server/state/view"
)

// Settings configure a Manager.
type Settings struct {
	// Node is the name of this node.
	Node  string
	Rules Rules
	// DeadAfter is the shortest time between the last contact and a death verdict. A node whose contact is younger
	// certainly still owns its keys. 0 means that it is not known.
	DeadAfter time.Duration
	// RecordsMax and AnswerBytesMax bound the key records in number and in bytes of answers.
	RecordsMax     int
	AnswerBytesMax int
	// PageRecords and PageBytes bound one message of a transfer. PageBytes and the largest answer together must
	// stay below the largest message of the transport.
	PageRecords int
	PageBytes   int
	// CallTimeout limits one call to another node.
	CallTimeout time.Duration
	// RetryInterval is the pause before a failed call is repeated.
	RetryInterval time.Duration
	// JoinWait limits how long a request waits for a join to complete.
	JoinWait time.Duration
}

// DefaultSettings returns the defaults of the settings page for a node.
func DefaultSettings(node string) Settings {
	return Settings{
		Node:           node,
		Rules:          Rules{KeyRetention: 10 * time.Minute, ClockSkewMax: 2 * time.Second, SelfFence: 4 * time.Second},
		DeadAfter:      5 * time.Second,
		RecordsMax:     50_000,
		AnswerBytesMax: 8 << 20,
		PageRecords:    1000,
		PageBytes:      1 << 20,
		CallTimeout:    2 * time.Second,
		RetryInterval:  200 * time.Millisecond,
		JoinWait:       time.Second,
	}
}

// Deps are what a Manager needs from the rest of the node. All functions must be safe for concurrent use.
type Deps struct {
	// View returns the view in force.
	View func() *view.View
	// ContactAge returns the age of the last contact in the sense of rule R6, by a monotonic clock; 0 for a node
	// that knows no other live node.
	ContactAge func() time.Duration
	// UpdateSelf changes the node's own entry under a new revision. It must not call the Manager.
	UpdateSelf func(func(*endpoint.Entry))
	// Call calls a method of another node and returns a *peer.NotSentError, a *peer.LostError or an
	// rpc.ServerError if it fails.
	Call func(ctx context.Context, address, method string, args, reply any) error
	Now  func() time.Time
	// MergeEntries passes on entries learnt from other nodes. It must not call the Manager.
	MergeEntries func([]endpoint.Entry)
	// SeenBefore reports whether the stream of seed addresses has a record of this node that is younger than the
	// retention of keys and older than this process.
	SeenBefore func(ctx context.Context) (bool, error)
}

// phase is the state of this node as an owner of keys.
type phase uint8

const (
	phaseIdle phase = iota
	phaseJoining
	phaseEligible
	phaseLeaving
	phaseLeft
)

func (p phase) String() string {
	return [...]string{"idle", "joining", "eligible", "leaving", "left"}[p]
}

// Manager decides whether this node may run a key and moves key records between nodes. It is safe for concurrent
// use.
type Manager struct {
	settings Settings
	deps     Deps
	started  time.Time
	counters counters
	// transferLock serializes Join and Leave; it holds one value while one of them runs.
	transferLock chan struct{}

	mu    sync.Mutex
	phase phase
	// rejoined is the newest value of the own Entry.Rejoined that was taken into account.
	rejoined uint64
	service  string
	// changed is closed when the phase changes.
	changed chan struct{}
	store   *idempotency.Store
	// waiters holds channels that are closed when the run of the key ends or its record is transferred.
	waiters map[string]chan struct{}
	// recipients holds the nodes that received a record while the key was running, by key and node.
	recipients map[string]map[string]endpoint.Entry
	// cancelJoin stops the current Join.
	cancelJoin context.CancelFunc
	// unfinished counts the keys that run here and the results that are being sent to other nodes.
	unfinished int
	// closed ends when the Manager is closed.
	closed context.Context
	close  context.CancelFunc
	memberKnowledge
}

// New returns a Manager for a node that has no target yet.
func New(settings Settings, deps Deps) *Manager {
	closed, closeAll := context.WithCancel(context.Background())
	return &Manager{
		closed:       closed,
		close:        closeAll,
		settings:     settings,
		deps:         deps,
		started:      deps.Now(),
		changed:      make(chan struct{}),
		transferLock: make(chan struct{}, 1),
		store: idempotency.New(idempotency.Limits{
			Retention:      settings.Rules.KeyRetention,
			RecordsMax:     settings.RecordsMax,
			AnswerBytesMax: settings.AnswerBytesMax,
		}),
		waiters:         make(map[string]chan struct{}),
		recipients:      make(map[string]map[string]endpoint.Entry),
		memberKnowledge: newKnowledge(settings.Node, settings.Rules),
	}
}

// Close stops sending results to other nodes. Drained waits for them.
func (m *Manager) Close() { m.close() }

// acquireTransfer waits until no Join or Leave runs.
func (m *Manager) acquireTransfer(ctx context.Context) error {
	select {
	case m.transferLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// setPhase changes the phase and notifies the requests that wait for a change. The caller holds the lock.
func (m *Manager) setPhase(p phase) {
	m.phase = p
	close(m.changed)
	m.changed = make(chan struct{})
}

// observe takes the newest view into account and returns the time. The caller holds the lock.
func (m *Manager) observe() time.Time {
	now := m.deps.Now()
	m.memberKnowledge.observe(m.deps.View(), m.service, now)
	m.observeOwnVerdict(now)
	return now
}

// observeOwnVerdict applies rule R8 as soon as the view shows that this node refuted a death verdict. Until DeclaredDead
// is called, a key could start. The caller holds the lock.
func (m *Manager) observeOwnVerdict(now time.Time) {
	if m.view == nil {
		return
	}
	own := m.view.Nodes[m.node]
	if own == nil || own.Rejoined <= m.rejoined {
		return
	}
	m.rejoined = own.Rejoined
	m.markLost(m.node, now.UnixMilli(), now)
	if m.phase == phaseEligible {
		m.setPhase(phaseJoining)
	}
}

// Observe takes the newest view into account. It must be called whenever a view is published or at least every
// second, so that no incarnation of a member goes unnoticed and runs that another node never finished become unknown.
func (m *Manager) Observe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	for _, key := range m.store.Abandon(now, string(outcome.ReasonOwnerDied), m.executorGone) {
		m.notifyWaiters(key)
	}
}

// executorGone reports whether a node that ran a key cannot report its end any more.
func (m *Manager) executorGone(node string) bool {
	if node == m.settings.Node {
		return false
	}
	if _, ok := m.lost[node]; ok {
		return true
	}
	e := m.entry(node)
	return e == nil || e.State == endpoint.Dead || e.State == endpoint.Left
}

// DeclaredDead applies rule R8: the node learnt that others declared it dead. Until Join has been run again no new
// key is started, and afterwards keys that may have been run elsewhere in the meantime are answered unknown. Other
// nodes learn from Entry.Rejoined that records of this node may be missing.
func (m *Manager) DeclaredDead() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	m.markLost(m.settings.Node, now.UnixMilli(), now)
	if m.phase == phaseEligible {
		m.setPhase(phaseJoining)
	}
}

// MayStart reports whether a key whose run was permitted may still be sent to the target (rule R6). It must be
// asked when a request has waited in a queue since Begin.
func (m *Manager) MayStart() bool {
	return m.deps.ContactAge() <= m.settings.Rules.SelfFence
}

// notifyWaiters ends the wait for a key. The caller holds the lock.
func (m *Manager) notifyWaiters(key string) {
	if ch, ok := m.waiters[key]; ok {
		close(ch)
		delete(m.waiters, key)
	}
}

// waiter returns a channel that is closed when the run of a key ends. The caller holds the lock.
func (m *Manager) waiter(key string) chan struct{} {
	ch, ok := m.waiters[key]
	if !ok {
		ch = make(chan struct{})
		m.waiters[key] = ch
	}
	return ch
}

// refuseMaybeRun returns the response to a request that must not start here although its key may have run elsewhere.
func refuseMaybeRun(req *wire.Request, reason outcome.Reason) *wire.Response {
	if req.KeyFromMesh {
		return &wire.Response{Outcome: outcome.RefusedNotRun, Reason: reason}
	}
	return &wire.Response{Outcome: outcome.Unknown, Reason: reason}
}

func refuse(reason outcome.Reason) *wire.Response {
	return &wire.Response{Outcome: outcome.RefusedNotRun, Reason: reason}
}
