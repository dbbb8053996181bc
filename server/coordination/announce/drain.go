package announce

import (
	"context"
	"fmt"

	"wagtailford.example/server/coordination/pause"
	"wagtailford.example/server/state/endpoint"
)

// Drain starts or reverts a drain of the target that an operator requested. It returns the state after the call, which is
// Draining until the drain has ended. An undrain during a drain takes effect when the drain has ended.
func (a *Announcer) Drain(undrain bool) endpoint.State {
	kind := EventDrain
	if undrain {
		kind = EventUndrain
	}
	return a.event(kind).State()
}

// Withdraw drains a target that leaves, and returns when no request is in flight.
func (a *Announcer) Withdraw(ctx context.Context) error {
	return a.drainAndWait(ctx, EventWithdrawn)
}

// Shutdown drains the target and returns when no request is in flight and the key records were transferred. If ctx ends
// first, the entry of the node stays draining, so that its key records do not count as transferred.
func (a *Announcer) Shutdown(ctx context.Context) error {
	return a.drainAndWait(ctx, EventStop)
}

func (a *Announcer) drainAndWait(ctx context.Context, kind EventKind) error {
	a.event(kind)
	a.mu.Lock()
	drained := a.drained
	a.mu.Unlock()
	if drained == nil {
		return nil
	}
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain of the target: %w", ctx.Err())
	case <-a.stopped.Done():
		return fmt.Errorf("drain of the target: %w", ErrShutdown)
	}
}

// startDrain drains in the background. The caller holds the lock.
func (a *Announcer) startDrain() {
	drained := make(chan struct{})
	a.drained = drained
	leaveJoin := a.leaveJoin
	a.leaveJoin = nil
	closed := a.life.Closed
	a.work.Go(func() {
		a.publishIf(true)
		if leaveJoin != nil {
			leaveJoin()
		}
		if a.drain(closed) != nil {
			return
		}
		a.finishDrain(drained)
	})
}

// drain refuses new requests once the draining state has reached the other nodes, transfers the key records and waits for
// the requests in flight. It returns an error if the announcer was closed.
func (a *Announcer) drain(closed bool) error {
	if !closed && !pause.For(a.stopped, a.settings.DrainAnnounce) {
		return ErrShutdown
	}
	a.event(EventClosed)
	if err := a.retry(a.stopped, "leave", a.deps.Leave); err != nil {
		return err
	}
	return a.deps.Runner.WaitIdle(a.stopped)
}

// finishDrain publishes the state after the drain and then notifies the callers that wait for its end.
func (a *Announcer) finishDrain(drained chan struct{}) {
	a.mu.Lock()
	if a.stopped.Err() != nil {
		// The drain has not ended; callers that wait are notified through stopped.
		a.mu.Unlock()
		return
	}
	a.drained = nil
	publish := a.step(Event{Kind: EventDrained})
	a.mu.Unlock()
	a.publishIf(publish)
	close(drained)
}
