package announce

import (
	"context"
	"fmt"

	"wagtailford.example/server/coordination/pause"
	"wagtailford.example/server/state/endpoint"
)

// Drain starts to drain the target, or undoes that, on behalf of an operator. It returns the state after the call,
// which is Draining until the drain has ended. An undrain during a drain takes effect when the drain has ended.
func (a *Announcer) Drain(undrain bool) endpoint.State {
	kind := EventDrain
	if undrain {
		kind = EventUndrain
	}
	return a.event(kind).State()
}

// Withdraw drains the target that leaves, and returns when nothing is in flight.
func (a *Announcer) Withdraw(ctx context.Context) error {
	return a.drainAndWait(ctx, EventWithdrawn)
}

// Shutdown drains the target and returns when nothing is in flight and the key records were handed over. If ctx ends
// first, the entry of the node stays draining, so that its keys are not taken for handed over.
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

// startDrain drains in the background. The lock is held.
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

// drain refuses new work when the draining state had time to spread, hands the key records over and waits for the
// requests in flight. It returns an error if the announcer was closed.
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

// finishDrain publishes the state after the drain before it wakes those who wait for it.
func (a *Announcer) finishDrain(drained chan struct{}) {
	a.mu.Lock()
	if a.stopped.Err() != nil {
		// Those who wait learn that from stopped; the drain is not over.
		a.mu.Unlock()
		return
	}
	a.drained = nil
	publish := a.step(Event{Kind: EventDrained})
	a.mu.Unlock()
	a.publishIf(publish)
	close(drained)
}
