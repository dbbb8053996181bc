package execute

import (
	"context"
	"sync"

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

// Cancel cancels an attempt in progress. A queued request is refused as not run; the connection of a running
// request is closed.
func (r *Receiver) Cancel(args *wire.CancelArgs, _ *wire.CancelReply) error {
	r.executor.attempts.cancel(args.From, args.ID)
	return nil
}

// attempt identifies an attempt made by another node.
type attempt struct {
	from string
	id   uint64
}

// attempts maps attempts in progress to their cancel functions. The zero value is ready to use.
type attempts struct {
	mu      sync.Mutex
	running map[attempt]*context.CancelFunc
}

// add registers an attempt until the returned function is called. Attempts without an ID can't be cancelled.
func (a *attempts) add(from string, id uint64, cancel context.CancelFunc) func() {
	if id == 0 {
		return func() {}
	}
	key := attempt{from: from, id: id}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running == nil {
		a.running = make(map[attempt]*context.CancelFunc)
	}
	a.running[key] = &cancel
	return func() { a.remove(key, &cancel) }
}

func (a *attempts) remove(key attempt, cancel *context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[key] == cancel {
		delete(a.running, key)
	}
}

func (a *attempts) cancel(from string, id uint64) {
	a.mu.Lock()
	cancel := a.running[attempt{from: from, id: id}]
	a.mu.Unlock()
	if cancel != nil {
		(*cancel)()
	}
}
