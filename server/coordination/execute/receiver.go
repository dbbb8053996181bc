package execute

import (
	"context"
	"sync"
	"time"

	"wagtailford.example/server/protocol/wire"
)

// Receiver implements the net/rpc service wire.ServiceNode.
type Receiver struct {
	executor *Executor
}

// Receiver returns the net/rpc receiver to register as wire.ServiceNode.
func (e *Executor) Receiver() *Receiver { return &Receiver{executor: e} }

// Execute runs a request. The error is always nil; reply contains the outcome.
func (r *Receiver) Execute(args *wire.Request, reply *wire.Response) error {
	*reply = *r.executor.Execute(context.Background(), args)
	return nil
}

// ExecuteAnnounced runs a request whose body is fetched from its sender.
func (r *Receiver) ExecuteAnnounced(args *wire.Request, reply *wire.Response) error {
	return r.Execute(args, reply)
}

// ExecuteStreamed runs a request whose body is read from its sender while the target takes it.
func (r *Receiver) ExecuteStreamed(args *wire.Request, reply *wire.Response) error {
	return r.Execute(args, reply)
}

// Cancel cancels an attempt. A queued request, or one that arrives only after its cancellation, is refused as not run; the
// connection of a running request is closed.
func (r *Receiver) Cancel(args *wire.CancelArgs, _ *wire.CancelReply) error {
	r.executor.attempts.cancel(args.From, args.ID, time.Now())
	return nil
}

// attempt identifies an attempt made by another node.
type attempt struct {
	from string
	id   uint64
}

// Cancellations of attempts that are not in progress: most of these attempts have ended, but a cancellation can also overtake
// its attempt if they travel on different connections.
const (
	// overtakingTTL is how long such a cancellation applies. A connection whose peer does not respond is given up much earlier.
	overtakingTTL = 10 * time.Second
	// overtakingMax bounds their number; the oldest one gives way.
	overtakingMax = 4096
)

// overtaking is a cancellation of an attempt that was not in progress when it arrived.
type overtaking struct {
	key     attempt
	expires time.Time
}

// attempts maps attempts in progress to their cancel functions. The zero value is ready to use.
type attempts struct {
	mu      sync.Mutex
	running map[attempt]*context.CancelFunc
	// canceled are attempts that were cancelled while not in progress, and queue their cancellations by time of arrival.
	canceled map[attempt]struct{}
	queue    []overtaking
}

// add registers an attempt until remove is called. canceled is true if it was cancelled before it arrived. Attempts without an
// ID can't be cancelled.
func (a *attempts) add(from string, id uint64, cancel context.CancelFunc) (canceled bool, remove func()) {
	if id == 0 {
		return false, func() {}
	}
	key := attempt{from: from, id: id}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, canceled := a.canceled[key]; canceled {
		return true, func() {}
	}
	if a.running == nil {
		a.running = make(map[attempt]*context.CancelFunc)
	}
	a.running[key] = &cancel
	return false, func() { a.remove(key, &cancel) }
}

func (a *attempts) remove(key attempt, cancel *context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[key] == cancel {
		delete(a.running, key)
	}
}

func (a *attempts) cancel(from string, id uint64, now time.Time) {
	key := attempt{from: from, id: id}
	a.mu.Lock()
	cancel := a.running[key]
	if cancel == nil {
		a.keep(key, now)
	}
	a.mu.Unlock()
	if cancel != nil {
		(*cancel)()
	}
}

// keep notes the cancellation of an attempt that is not in progress. The lock must be held.
func (a *attempts) keep(key attempt, now time.Time) {
	for len(a.queue) > 0 && (len(a.queue) >= overtakingMax || now.After(a.queue[0].expires)) {
		delete(a.canceled, a.queue[0].key)
		a.queue = a.queue[1:]
	}
	if _, known := a.canceled[key]; known {
		return
	}
	if a.canceled == nil {
		a.canceled = make(map[attempt]struct{})
	}
	a.canceled[key] = struct{}{}
	a.queue = append(a.queue, overtaking{key: key, expires: now.Add(overtakingTTL)})
}
