package announce

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"wagtailford.example/server/coordination/execute"
	"wagtailford.example/server/coordination/pause"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/transport/httpclient"
)

// Settings configures an Announcer.
type Settings struct {
	// Lease is the time within which a target has to renew its announcement.
	Lease time.Duration
	// DrainAnnounce is the time in which the draining state reaches the other nodes, before new requests are refused.
	DrainAnnounce time.Duration
	// HealthInterval is the interval between polls of the health and load endpoints; 0 disables them.
	HealthInterval time.Duration
	// ConnectInterval is the interval between attempts to connect to a starting target; 0 means
	// DefaultConnectInterval.
	ConnectInterval time.Duration
	// RetryMax limits the delay between attempts to join or leave; 0 means DefaultRetryMax.
	RetryMax time.Duration
	// Slots is the number of slots of a target that announces none.
	Slots int
}

// Defaults of Settings.
const (
	DefaultConnectInterval = 100 * time.Millisecond
	DefaultRetryMax        = 5 * time.Second
)

// Runner runs requests at the target. *execute.Executor implements it.
type Runner interface {
	SetTarget(execute.Target)
	WaitIdle(context.Context) error
	// Results returns the number of requests that the target answered and the number of those that were lost.
	Results() (answered, lost int64)
}

// Dependencies are the functions of the node that an Announcer calls.
type Dependencies struct {
	Runner Runner
	// UpdateSelf changes the entry of this node.
	UpdateSelf func(func(*endpoint.Entry))
	// Join makes the node an owner of keys; it is repeated until it succeeds.
	Join func(context.Context) error
	// Leave transfers the key records to other nodes; it is repeated until it succeeds.
	Leave func(context.Context) error
	Log   log.Interface
}

// ErrShutdown means that the node shuts down and accepts no target.
var ErrShutdown = errors.New("the node shuts down")

// ServiceChangeError means that a target announced another service without leaving first.
type ServiceChangeError struct{ Current, Announced string }

// Error names both services.
func (e *ServiceChangeError) Error() string {
	return fmt.Sprintf("the target of service %q has to leave before one of service %q is announced", e.Current, e.Announced)
}

// Counters counts the events of the target.
type Counters struct {
	Announcements atomic.Int64
	Expired       atomic.Int64
	Crashes       atomic.Int64
	Drains        atomic.Int64
	HealthFailed  atomic.Int64
}

// Announcer manages the lifecycle of the local target.
type Announcer struct {
	Counters Counters

	settings Settings
	deps     Dependencies
	client   *httpclient.Client
	// current is the state that UpdateSelf publishes.
	current atomic.Pointer[Lifecycle]
	hints   atomic.Pointer[Hints]
	stopped context.Context
	stop    context.CancelFunc
	work    sync.WaitGroup

	mu    sync.Mutex
	life  Lifecycle
	lease *time.Timer
	// drained is closed at the end of the drain in progress; nil if there is none.
	drained chan struct{}
	// leaveStarting cancels the wait for a starting target, leaveJoin cancels the join and waits for its end.
	leaveStarting context.CancelFunc
	leaveJoin     func()
}

// New returns an announcer without a target.
func New(s Settings, d Dependencies) (*Announcer, error) {
	client, err := httpclient.New(httpclient.Limits{
		DialTimeout:        pollTimeout,
		ConnectionsPerHost: 2,
		HeaderMaxBytes:     pollMaxBytes,
		BodyMaxBytes:       pollMaxBytes,
	})
	if err != nil {
		return nil, fmt.Errorf("set up announcer: %w", err)
	}
	if s.ConnectInterval == 0 {
		s.ConnectInterval = DefaultConnectInterval
	}
	if s.RetryMax == 0 {
		s.RetryMax = DefaultRetryMax
	}
	a := &Announcer{settings: s, deps: d, client: client}
	a.stopped, a.stop = context.WithCancel(context.Background())
	a.current.Store(&Lifecycle{})
	a.hints.Store(&Hints{})
	if s.HealthInterval > 0 {
		a.work.Go(a.poll)
	}
	return a, nil
}

// Close stops the goroutines of the announcer.
func (a *Announcer) Close() {
	a.mu.Lock()
	a.stop()
	if a.lease != nil {
		a.lease.Stop()
	}
	a.mu.Unlock()
	a.work.Wait()
}

// Lifecycle returns the state of the target.
func (a *Announcer) Lifecycle() Lifecycle { return *a.current.Load() }

// Announce processes an announcement or its renewal. It returns the phase, ErrShutdown or a *ServiceChangeError.
func (a *Announcer) Announce(an Announcement) (Phase, error) {
	if an.Slots == 0 {
		an.Slots = a.settings.Slots
	}
	a.Counters.Announcements.Add(1)
	a.mu.Lock()
	if err := a.acceptable(an); err != nil {
		defer a.mu.Unlock()
		return a.life.Phase, err
	}
	publish := a.step(Event{Kind: EventAnnounced, Announcement: an})
	a.armLease()
	phase := a.life.Phase
	a.mu.Unlock()
	a.publishIf(publish)
	return phase, nil
}

// acceptable returns the error for an announcement that is refused; nil if it is accepted.
func (a *Announcer) acceptable(an Announcement) error {
	if a.life.Stopping {
		return ErrShutdown
	}
	current := a.life.Announcement.Service
	if a.life.Phase != Unannounced && current != "" && current != an.Service {
		return &ServiceChangeError{Current: current, Announced: an.Service}
	}
	return nil
}

// armLease sets the timer for the expiry of the announcement.
func (a *Announcer) armLease() {
	if a.lease != nil {
		a.lease.Stop()
	}
	a.lease = time.AfterFunc(time.Until(a.life.LeaseUntil), func() { a.event(EventTick) })
}

// TargetCrashed marks the target as down until it announces itself again.
func (a *Announcer) TargetCrashed() { a.event(EventCrashed) }

// event applies an event and returns the state after it.
func (a *Announcer) event(kind EventKind) Lifecycle {
	a.mu.Lock()
	publish := a.step(Event{Kind: kind})
	next := a.life
	a.mu.Unlock()
	a.publishIf(publish)
	return next
}

// step applies an event and starts its effects, except for the publication: it returns true if the caller has to publish
// after releasing the lock.
func (a *Announcer) step(e Event) bool {
	if a.stopped.Err() != nil {
		return false
	}
	e.At = time.Now()
	before := a.life
	next, effects := before.Step(e, a.settings.Lease)
	a.life = next
	a.current.Store(&next)
	if before.Phase != next.Phase {
		a.report(e.Kind, before.Phase, next)
	}
	a.deps.Runner.SetTarget(a.runnable(next))
	if next.Phase != Starting && a.leaveStarting != nil {
		a.leaveStarting()
		a.leaveStarting = nil
	}
	if effects&EffectConnect != 0 {
		a.startConnect(effects&EffectPublish != 0)
		return false
	}
	if effects&EffectJoin != 0 {
		a.startJoin()
	}
	if effects&EffectDrain != 0 {
		a.startDrain()
	}
	return effects&EffectPublish != 0
}

// report logs and counts a change of the phase.
func (a *Announcer) report(cause EventKind, from Phase, to Lifecycle) {
	a.deps.Log.WithFields(log.Fields{
		"from":    from.String(),
		"to":      to.Phase.String(),
		"service": to.Announcement.Service,
		"address": to.Announcement.Address,
	}).Info("target changed its phase")
	switch {
	case to.Phase == Draining:
		a.Counters.Drains.Add(1)
	case cause == EventTick:
		a.Counters.Expired.Add(1)
	case cause == EventCrashed:
		a.Counters.Crashes.Add(1)
	}
}

// runnable returns the target in the form that the Runner takes.
func (a *Announcer) runnable(l Lifecycle) execute.Target {
	return execute.Target{
		Service: l.Announcement.Service,
		Address: l.Announcement.Address,
		Slots:   l.Announcement.Slots,
		Started: l.Started,
		Start:   l.Announcement.Start,
		Refuse:  l.Refuse(),
	}
}

// publishIf writes the target into the entry of the node. It always writes the latest state, so the order of concurrent
// publications does not matter.
func (a *Announcer) publishIf(changed bool) {
	if changed {
		a.deps.UpdateSelf(func(e *endpoint.Entry) { fillEntry(e, a.Lifecycle()) })
	}
}

// fillEntry sets the fields of the entry that describe the target. The entry of a node without a target names no service,
// so the node is not a member of any.
func fillEntry(e *endpoint.Entry, l Lifecycle) {
	e.State = l.State()
	e.Withdrawn = e.State != endpoint.Alive
	if e.State == endpoint.NoTarget {
		e.Service = ""
		e.TargetAddress = ""
		e.Labels = nil
		e.Slots = 0
		e.StartedMS = 0
		return
	}
	e.Service = l.Announcement.Service
	e.TargetAddress = l.Announcement.Address
	e.Labels = l.Announcement.Labels
	e.Slots = l.Announcement.Slots
	e.StartedMS = 0
	if !l.Started.IsZero() {
		e.StartedMS = l.Started.UnixMilli()
	}
}

// startConnect waits in the background until the target accepts connections. It publishes first, so that the entry
// shows the phases in their order.
func (a *Announcer) startConnect(publish bool) {
	ctx, cancel := context.WithCancel(a.stopped)
	a.leaveStarting = cancel
	a.work.Go(func() {
		a.publishIf(publish)
		dialer := net.Dialer{Timeout: pollTimeout}
		for {
			conn, err := dialer.DialContext(ctx, "tcp", a.Lifecycle().Announcement.Address)
			if err == nil {
				conn.Close()
				a.connected(ctx)
				return
			}
			if !pause.For(ctx, a.settings.ConnectInterval) {
				return
			}
		}
	})
}

// connected reports a connection unless the wait for it was canceled.
func (a *Announcer) connected(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ctx.Err() == nil {
		a.step(Event{Kind: EventConnected})
	}
}

// Rejoin joins again after the node learned that it was declared dead.
func (a *Announcer) Rejoin() {
	a.mu.Lock()
	leaveJoin := a.leaveJoin
	a.leaveJoin = nil
	a.mu.Unlock()
	if leaveJoin == nil {
		return
	}
	leaveJoin()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaveJoin == nil && a.life.Phase == Alive {
		a.startJoin()
	}
}

// startJoin joins in the background.
func (a *Announcer) startJoin() {
	ctx, cancel := context.WithCancel(a.stopped)
	done := make(chan struct{})
	a.leaveJoin = func() {
		cancel()
		<-done
	}
	a.work.Go(func() {
		defer close(done)
		// The other members receive the entry with the request to join, so it must name the service by then.
		a.publishIf(true)
		a.retry(ctx, "join", a.deps.Join)
	})
}

// retry repeats an operation with an exponential delay until it succeeds or ctx ends.
func (a *Announcer) retry(ctx context.Context, name string, op func(context.Context) error) error {
	waits := backoff.NewExponentialBackOff()
	waits.MaxInterval = a.settings.RetryMax
	for {
		err := op(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		a.deps.Log.WithError(err).WithField("operation", name).Warn("operation failed; it is repeated")
		if !pause.For(ctx, waits.NextBackOff()) {
			return ctx.Err()
		}
	}
}
