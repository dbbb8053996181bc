package transfer

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
)

// narrowMbps is a bandwidth at which 60 KB take about 69 ms.
const narrowMbps = 7

// Guards against more concurrent transfers than a narrow link can carry, and against too few on a wide link.
func TestConcurrencyFollowsLink(t *testing.T) {
	assert.Equal(t, NewSchedule(narrowMbps).concurrent, minConcurrent)
	assert.Equal(t, NewSchedule(1000).concurrent, maxConcurrent)
	assert.Equal(t, NewSchedule(0).concurrent, maxConcurrent)
}

// Guards against fetching bodies that would arrive too late, and against admitted bodies that are delayed by later
// ones until they are late.
func TestScheduleOrder(t *testing.T) {
	now := time.Unix(0, 0)
	in := func(d time.Duration) time.Time { return now.Add(d) }
	s := NewSchedule(narrowMbps)
	for id := uint64(1); id <= 2; id++ {
		admitted, start := s.Admit(now, Arrival{ID: id, Bytes: 60_000, Due: in(time.Second)})
		assert.Assert(t, admitted && start)
	}
	for id, due := range []time.Duration{900, 400, 600} {
		admitted, start := s.Admit(now, Arrival{ID: uint64(3 + id), Bytes: 60_000, Due: in(due * time.Millisecond)})
		assert.Assert(t, admitted && !start)
	}
	admitted, _ := s.Admit(now, Arrival{ID: 6, Bytes: 60_000, Due: in(400 * time.Millisecond)})
	assert.Assert(t, !admitted, "five bodies come before it")
	backlog := s.EstimateDelay(0)
	s.Progress(1, 30_000)
	assert.Assert(t, s.EstimateDelay(0) < backlog)
	assert.DeepEqual(t, s.End(1), []uint64{3})
	assert.Assert(t, len(s.End(4)) == 0, "one that waits leaves without a place for others")
	assert.DeepEqual(t, s.End(2), []uint64{5})
	assert.Assert(t, len(s.End(5)) == 0 && len(s.End(3)) == 0)
	assert.Equal(t, s.EstimateDelay(0), time.Duration(0))
}

// link simulates a narrow link in virtual time; messages are transmitted one after the other.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// transmit blocks until a message of the given size has been transmitted.
func (l *link) transmit(bytes int) {
	l.mu.Lock()
	start := time.Now()
	if l.free.After(start) {
		start = l.free
	}
	l.free = start.Add(time.Duration(float64(bytes) * 8 / (narrowMbps * bitsPerMbit) * float64(time.Second)))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// replay sends bodies of 60 KB from many nodes at 0.9 of the bandwidth of a narrow link in bursts of eight, and a
// small message every 20 ms. It returns the longest delay of a small message and the number of bodies received
// within a second. fetch transfers one body.
func replay(l *link, fetch func(id uint64, due time.Time) bool) (longest time.Duration, inTime int) {
	const bodies, burst, bodyBytes, objective = 160, 8, 60_000, time.Second
	burstSeconds := burst * bodyBytes * 8 / (0.9 * narrowMbps * bitsPerMbit)
	gap := time.Duration(burstSeconds * float64(time.Second))
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(gap * bodies / burst)
	wg.Go(func() {
		for time.Now().Before(end) {
			wg.Go(func() {
				sent := time.Now()
				l.transmit(500)
				mu.Lock()
				longest = max(longest, time.Since(sent))
				mu.Unlock()
			})
			time.Sleep(20 * time.Millisecond)
		}
	})
	for i := range bodies {
		if i%burst == 0 && i > 0 {
			time.Sleep(gap)
		}
		wg.Go(func() {
			due := time.Now().Add(objective)
			if fetch(uint64(i+1), due) && !time.Now().After(due) {
				mu.Lock()
				inTime++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return longest, inTime
}

// Guards against small messages that are delayed by large bodies from many senders on a narrow link, where calls
// with a short timeout then fail, and with them the requests that made the calls. Without scheduling the same
// bodies delay small messages by more than half a second.
func TestSmallMessagesPassBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bodyBytes = 60_000
		body := make([]byte, bodyBytes)
		unscheduledLink := new(link)
		unscheduled, _ := replay(unscheduledLink, func(uint64, time.Time) bool {
			unscheduledLink.transmit(bodyBytes)
			return true
		})
		assert.Assert(t, unscheduled > 400*time.Millisecond, "%v", unscheduled)
		var store BodyStore
		l := new(link)
		fetcher := NewFetcher(func(_ context.Context, _, _ string, args, reply any) error {
			out := reply.(*wire.BodyReply)
			if err := store.Receiver().Read(args.(*wire.BodyArgs), out); err != nil {
				return err
			}
			l.transmit(len(out.Body))
			return nil
		}, narrowMbps, 1<<20)
		longest, inTime := replay(l, func(id uint64, due time.Time) bool {
			defer store.Add(id, body)()
			got, reason, err := fetcher.Fetch(t.Context(), &wire.Request{ID: id, BodyBytes: bodyBytes}, due)
			return reason == outcome.ReasonNone && err == nil && bytes.Equal(got, body)
		})
		assert.Assert(t, longest < 100*time.Millisecond, "%v", longest)
		assert.Assert(t, inTime >= 150, "%d of 160 in time", inTime)
	})
}

// Guards against a partial body that is treated as complete, bodies above the size limit, and a fetch that
// continues after cancellation.
func TestFetchIsWholeOrNothing(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789"), 10_000)
	lost := errors.New("connection lost")
	cases := []struct {
		name   string
		bytes  int
		piece  func(offset int) ([]byte, error)
		reason outcome.Reason
	}{
		{"whole", len(body), func(o int) ([]byte, error) { return body[o:min(o+ChunkBytes, len(body))], nil }, outcome.ReasonNone},
		{"lost midway", len(body), func(o int) ([]byte, error) {
			if o > 0 {
				return nil, lost
			}
			return body[:ChunkBytes], nil
		}, outcome.ReasonBodyNotReceived},
		{"empty piece", len(body), func(int) ([]byte, error) { return nil, nil }, outcome.ReasonBodyNotReceived},
		{"longer than announced", 100, func(int) ([]byte, error) { return body[:ChunkBytes], nil }, outcome.ReasonBodyNotReceived},
		{"beyond the limit", 1<<20 + 1, nil, outcome.ReasonTooLarge},
		{"negative size", -1, nil, outcome.ReasonTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fetcher := NewFetcher(func(_ context.Context, _, _ string, args, reply any) error {
				piece, err := c.piece(args.(*wire.BodyArgs).Offset)
				reply.(*wire.BodyReply).Body = piece
				return err
			}, narrowMbps, 1<<20)
			got, reason, _ := fetcher.Fetch(t.Context(), &wire.Request{BodyBytes: c.bytes}, time.Now().Add(time.Hour))
			assert.Equal(t, reason, c.reason)
			if reason == outcome.ReasonNone {
				assert.Assert(t, bytes.Equal(got, body))
			} else {
				assert.Assert(t, got == nil)
			}
			assert.Equal(t, fetcher.EstimateDelay(0), time.Duration(0))
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	fetcher := NewFetcher(func(ctx context.Context, _, _ string, _, _ any) error { return ctx.Err() }, narrowMbps, 1<<20)
	_, reason, _ := fetcher.Fetch(ctx, &wire.Request{BodyBytes: 10}, time.Now().Add(time.Hour))
	assert.Equal(t, reason, outcome.ReasonCanceled)
}

// Guards against a body that stays readable and in memory after its attempt has ended.
func TestBodyStoreRemovesBodies(t *testing.T) {
	var o BodyStore
	remove := o.Add(7, []byte("body"))
	var reply wire.BodyReply
	assert.NilError(t, o.Receiver().Read(&wire.BodyArgs{ID: 7, Offset: 2}, &reply))
	assert.Equal(t, string(reply.Body), "dy")
	assert.Assert(t, o.Receiver().Read(&wire.BodyArgs{ID: 7, Offset: 5}, &reply) != nil)
	assert.Assert(t, remove())
	assert.Assert(t, o.Receiver().Read(&wire.BodyArgs{ID: 7}, &reply) != nil)
}

// Guards against a request that is reported as not run although its complete body was sent, and against one that
// is reported as possibly run although its body was not sent completely.
func TestBodyStoreReportsCompleteReads(t *testing.T) {
	var o BodyStore
	body := make([]byte, 2*ChunkBytes)
	var reply wire.BodyReply
	remove := o.Add(1, body)
	assert.Assert(t, !remove())
	remove = o.Add(2, body)
	assert.NilError(t, o.Receiver().Read(&wire.BodyArgs{ID: 2}, &reply))
	assert.Assert(t, !remove())
	remove = o.Add(3, body)
	assert.NilError(t, o.Receiver().Read(&wire.BodyArgs{ID: 3, Offset: ChunkBytes}, &reply))
	assert.Assert(t, remove())
}
