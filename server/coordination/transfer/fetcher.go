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

// Call invokes a net/rpc method of another node.
type Call func(ctx context.Context, address, method string, args, reply any) error

// errChunkSize means that the sender returned an empty chunk or more bytes than it announced.
var errChunkSize = errors.New("chunk size does not match the announced body size")

// Fetcher fetches request bodies for the local target. It is safe for concurrent use.
type Fetcher struct {
	call     Call
	bytesMax func() int
	// local reads bodies of requests that this node received itself.
	local func(args *wire.BodyArgs, reply *wire.BodyReply) error

	mu       sync.Mutex
	schedule *Schedule
	lastID   uint64
	waiting  map[uint64]chan struct{}
}

// NewFetcher returns a Fetcher for a node with the given link bandwidth; linkMbps is 0 if it is unknown. bytesMax
// is the maximum size of a body.
func NewFetcher(call Call, linkMbps float64, bytesMax int) *Fetcher {
	return &Fetcher{
		call: call, bytesMax: func() int { return bytesMax }, schedule: NewSchedule(linkMbps), waiting: make(map[uint64]chan struct{}),
	}
}

// FollowLimit replaces the maximum size of a body by one that may change. It must be called before the first fetch.
func (f *Fetcher) FollowLimit(bytesMax func() int) { f.bytesMax = bytesMax }

// EstimateDelay returns the estimated time until the given number of bytes has arrived if announced now.
func (f *Fetcher) EstimateDelay(bytes int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.schedule.EstimateDelay(bytes)
}

// Fetch returns the body of a request, or the reason why it was not fetched. due is the time by which the body
// must be complete. The error describes a failed transfer.
func (f *Fetcher) Fetch(ctx context.Context, r *wire.Request, due time.Time) ([]byte, outcome.Reason, error) {
	if r.BodyBytes < 0 || r.BodyBytes > f.bytesMax() {
		return nil, outcome.ReasonTooLarge, nil
	}
	id, turn := f.admit(Arrival{Bytes: r.BodyBytes, Due: due})
	if turn == nil {
		return nil, outcome.ReasonQueueFull, nil
	}
	defer f.end(id)
	select {
	case <-turn:
	case <-ctx.Done():
		return nil, contextReason(ctx), nil
	}
	body, err := f.fetchChunks(ctx, id, r)
	switch {
	case err == nil:
		return body, outcome.ReasonNone, nil
	case ctx.Err() != nil:
		return nil, contextReason(ctx), nil
	}
	return nil, outcome.ReasonBodyNotReceived, fmt.Errorf("fetch body from %s: %w", r.From, err)
}

func (f *Fetcher) fetchChunks(ctx context.Context, id uint64, r *wire.Request) ([]byte, error) {
	body := make([]byte, 0, r.BodyBytes)
	for len(body) < r.BodyBytes {
		var reply wire.BodyReply
		if err := f.call(ctx, r.FromAddress, methodRead, &wire.BodyArgs{ID: r.ID, Offset: len(body)}, &reply); err != nil {
			return nil, err
		}
		if len(reply.Body) == 0 || len(reply.Body) > r.BodyBytes-len(body) {
			return nil, errChunkSize
		}
		body = append(body, reply.Body...)
		f.progress(id, len(reply.Body))
	}
	return body, nil
}

// admit returns a channel that is closed when the fetch may start; nil if the body would arrive too late.
func (f *Fetcher) admit(a Arrival) (uint64, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	a.ID = f.lastID
	admitted, start := f.schedule.Admit(time.Now(), a)
	if !admitted {
		return a.ID, nil
	}
	turn := make(chan struct{})
	if start {
		close(turn)
	} else {
		f.waiting[a.ID] = turn
	}
	return a.ID, turn
}

func (f *Fetcher) progress(id uint64, bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.schedule.Progress(id, bytes)
}

func (f *Fetcher) end(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiting, id)
	for _, next := range f.schedule.End(id) {
		close(f.waiting[next])
		delete(f.waiting, next)
	}
}

// contextReason distinguishes an expired deadline from a cancellation.
func contextReason(ctx context.Context) outcome.Reason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonCanceled
}
