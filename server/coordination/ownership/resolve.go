package ownership

import (
	"context"
	"time"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
)

const (
	// resolveHops limits the redirects that an inquiry follows.
	resolveHops = 4
	// resolveTries limits the calls to one owner that cannot be reached.
	resolveTries = 3
)

// Resolve determines the result of an attempt that was sent to the node at address and got no definite response (rule R7).
// req is the request as it was sent, with the sender and number of the attempt. A response that is refused as not run
// also means that the attempt will be refused if it arrives later. Resolve returns within ctx.
func (m *Manager) Resolve(ctx context.Context, req *wire.Request, address string) *wire.Response {
	args := wire.InquireArgs{
		Service: req.Service,
		Key:     req.Key,
		Digest:  RequestDigest(req),
		From:    req.From,
		ID:      req.ID,
	}
	hops, tries := 0, 0
	for {
		reply, err := m.askOwner(ctx, address, &args)
		switch {
		case err != nil:
			tries++
			if tries >= resolveTries || pause(ctx, m.settings.RetryInterval) != nil {
				return unresolved(outcome.ReasonOwnerUnreachable)
			}
		case reply.State == wire.KeyMoved && reply.Owner != nil && hops < resolveHops:
			hops++
			tries = 0
			address = reply.Owner.Address
		case reply.State == wire.KeyRunning:
			if pause(ctx, m.settings.RetryInterval) != nil {
				return unresolved(outcome.ReasonDeadline)
			}
		case reply.Response != nil && reply.State != wire.KeyMoved:
			return reply.Response
		default:
			return unresolved(outcome.ReasonNotOwner)
		}
	}
}

// askOwner makes one inquiry. It waits at most half of the call timeout, so that the reply arrives before the timeout.
func (m *Manager) askOwner(ctx context.Context, address string, args *wire.InquireArgs) (*wire.InquireReply, error) {
	wait := m.settings.CallTimeout / 2
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, deadline.Sub(m.deps.Now())/2)
	}
	args.WaitMS = max(wait, time.Millisecond).Milliseconds()
	var reply wire.InquireReply
	if err := m.call(ctx, address, methodInquire, args, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

func unresolved(reason outcome.Reason) *wire.Response {
	return &wire.Response{Outcome: outcome.Unknown, Reason: reason}
}
