package transfer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
)

const methodRead = wire.ServiceBody + ".Read"

// Call calls a net/rpc method of another node.
type Call func(ctx context.Context, address, method string, args, reply any) error

// errPiece means that the sender returned a piece that does not fit the announced size.
var errPiece = errors.New("piece does not fit the body")

// Fetcher fetches bodies for the target beside the node. It is safe for concurrent use.
type Fetcher struct {
	call     Call
	bytesMax int

	mu       sync.Mutex
	schedule *Schedule
	lastID   uint64
	waiting  map[uint64]chan struct{}
}

// NewFetcher returns an inbox for a node behind a link; linkMbps is 0 if its bandwidth is not known. bytesMax is the
// largest body.
func NewFetcher(call Call, linkMbps float64, bytesMax int) *Fetcher {
	return &Fetcher{call: call, bytesMax: bytesMax, schedule: NewSchedule(linkMbps), waiting: make(map[uint64]chan struct{})}
}

// EstimateDelay returns the time until a number of bytes that is announced now has arrived.
func (i *Fetcher) EstimateDelay(bytes int) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.schedule.Wait(bytes)
}

// Fetch returns the body of a request, or why it is not fetched. due is when the body has to be complete. The error says
// more about a body that could not be fetched.
func (i *Fetcher) Fetch(ctx context.Context, r *wire.Request, due time.Time) ([]byte, outcome.Reason, error) {
	if r.BodyBytes < 0 || r.BodyBytes > i.bytesMax {
		return nil, outcome.ReasonTooLarge, nil
	}
	id, turn := i.admit(Arrival{Bytes: r.BodyBytes, Due: due})
	if turn == nil {
		return nil, outcome.ReasonQueueFull, nil
	}
	defer i.end(id)
	select {
	case <-turn:
	case <-ctx.Done():
		return nil, contextReason(ctx), nil
	}
	body, err := i.read(ctx, id, r)
	switch {
	case err == nil:
		return body, outcome.ReasonNone, nil
	case ctx.Err() != nil:
		return nil, contextReason(ctx), nil
	}
	return nil, outcome.ReasonBodyNotReceived, fmt.Errorf("fetch body from %s: %w", r.From, err)
}

func (i *Fetcher) read(ctx context.Context, id uint64, r *wire.Request) ([]byte, error) {
	body := make([]byte, 0, r.BodyBytes)
	for len(body) < r.BodyBytes {
		var reply wire.BodyReply
		if err := i.call(ctx, r.FromAddress, methodRead, &wire.BodyArgs{ID: r.ID, Offset: len(body)}, &reply); err != nil {
			return nil, err
		}
		if len(reply.Body) == 0 || len(reply.Body) > r.BodyBytes-len(body) {
			return nil, errPiece
		}
		body = append(body, reply.Body...)
		i.progress(id, len(reply.Body))
	}
	return body, nil
}

// admit returns a channel that is closed when the body's turn has come; nil if it would arrive too late.
func (i *Fetcher) admit(a Arrival) (uint64, chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastID++
	a.ID = i.lastID
	admitted, start := i.schedule.Admit(time.Now(), a)
	if !admitted {
		return a.ID, nil
	}
	turn := make(chan struct{})
	if start {
		close(turn)
	} else {
		i.waiting[a.ID] = turn
	}
	return a.ID, turn
}

func (i *Fetcher) progress(id uint64, bytes int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.schedule.Progress(id, bytes)
}

func (i *Fetcher) end(id uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.waiting, id)
	for _, next := range i.schedule.End(id) {
		close(i.waiting[next])
		delete(i.waiting, next)
	}
}

// contextReason tells a cancellation from the end of the deadline.
func contextReason(ctx context.Context) outcome.Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonCanceled
}
