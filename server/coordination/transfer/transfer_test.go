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

// narrowMbps is a link of which 60 KB need about 69 ms.
const narrowMbps = 7

// Guards against more bodies at a time than a narrow link carries, and against a wide link that is left idle.
func TestConcurrencyFollowsLink(t *testing.T) {
	assert.Equal(t, NewSchedule(narrowMbps).concurrent, concurrentMin)
	assert.Equal(t, NewSchedule(1000).concurrent, concurrentMax)
	assert.Equal(t, NewSchedule(0).concurrent, concurrentMax)
}

// Guards against bodies that are fetched although they would arrive too late, and against admitted ones that later ones
// overtake until they are late.
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
	backlog := s.Wait(0)
	s.Progress(1, 30_000)
	assert.Assert(t, s.Wait(0) < backlog)
	assert.DeepEqual(t, s.End(1), []uint64{3})
	assert.Assert(t, len(s.End(4)) == 0, "one that waits leaves without a place for others")
	assert.DeepEqual(t, s.End(2), []uint64{5})
	assert.Assert(t, len(s.End(5)) == 0 && len(s.End(3)) == 0)
	assert.Equal(t, s.Wait(0), time.Duration(0))
}

// link is a narrow link in virtual time: messages arrive one after the other.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// carry returns when a message of some bytes has arrived.
func (l *link) carry(bytes int) {
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

// replay sends bodies of 60 KB from many nodes at 0.9 of a narrow link in clumps of eight, with a small message every 20 ms,
// and returns the longest wait of a small message and the bodies that arrived within a second. fetch brings one body.
func replay(l *link, fetch func(id uint64, due time.Time) bool) (longest time.Duration, inTime int) {
	const bodies, clump, bodyBytes, objective = 160, 8, 60_000, time.Second
	clumpSeconds := clump * bodyBytes * 8 / (0.9 * narrowMbps * bitsPerMbit)
	gap := time.Duration(clumpSeconds * float64(time.Second))
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(gap * bodies / clump)
	wg.Go(func() {
		for time.Now().Before(end) {
			wg.Go(func() {
				sent := time.Now()
				l.carry(500)
				mu.Lock()
				longest = max(longest, time.Since(sent))
				mu.Unlock()
			})
			time.Sleep(20 * time.Millisecond)
		}
	})
	for i := range bodies {
		if i%clump == 0 && i > 0 {
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

// Guards against small messages that wait behind the bodies of many senders on a narrow link: calls with a short time
// limit fail there and with them the requests that made them. Sent at will, the same bodies delay them by more than half
// a second.
func TestSmallMessagesPassBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bodyBytes = 60_000
		body := make([]byte, bodyBytes)
		plain := new(link)
		atWill, _ := replay(plain, func(uint64, time.Time) bool {
			plain.carry(bodyBytes)
			return true
		})
		assert.Assert(t, atWill > 400*time.Millisecond, "%v", atWill)
		var outbox BodyStore
		l := new(link)
		inbox := NewFetcher(func(_ context.Context, _, _ string, args, reply any) error {
			out := reply.(*wire.BodyReply)
			if err := outbox.Receiver().Read(args.(*wire.BodyArgs), out); err != nil {
				return err
			}
			l.carry(len(out.Body))
			return nil
		}, narrowMbps, 1<<20)
		longest, inTime := replay(l, func(id uint64, due time.Time) bool {
			defer outbox.Add(id, body)()
			got, reason, err := inbox.Fetch(t.Context(), &wire.Request{ID: id, BodyBytes: bodyBytes}, due)
			return reason == outcome.ReasonNone && err == nil && bytes.Equal(got, body)
		})
		assert.Assert(t, longest < 100*time.Millisecond, "%v", longest)
		assert.Assert(t, inTime >= 150, "%d of 160 in time", inTime)
	})
}

// Guards against a part of a body that is taken for the whole, bodies beyond the limit, and a fetch that goes on when
// nobody waits for it.
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
			inbox := NewFetcher(func(_ context.Context, _, _ string, args, reply any) error {
				piece, err := c.piece(args.(*wire.BodyArgs).Offset)
				reply.(*wire.BodyReply).Body = piece
				return err
			}, narrowMbps, 1<<20)
			got, reason, _ := inbox.Fetch(t.Context(), &wire.Request{BodyBytes: c.bytes}, time.Now().Add(time.Hour))
			assert.Equal(t, reason, c.reason)
			if reason == outcome.ReasonNone {
				assert.Assert(t, bytes.Equal(got, body))
			} else {
				assert.Assert(t, got == nil)
			}
			assert.Equal(t, inbox.EstimateDelay(0), time.Duration(0))
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	inbox := NewFetcher(func(ctx context.Context, _, _ string, _, _ any) error { return ctx.Err() }, narrowMbps, 1<<20)
	_, reason, _ := inbox.Fetch(ctx, &wire.Request{BodyBytes: 10}, time.Now().Add(time.Hour))
	assert.Equal(t, reason, outcome.ReasonCanceled)
}

// Guards against a body that stays readable, and in memory, after its attempt has ended.
func TestOutboxForgets(t *testing.T) {
	var o BodyStore
	remove := o.Add(7, []byte("body"))
	var reply wire.BodyReply
	assert.NilError(t, o.Receiver().Read(&wire.BodyArgs{ID: 7, Offset: 2}, &reply))
	assert.Equal(t, string(reply.Body), "dy")
	assert.Assert(t, o.Receiver().Read(&wire.BodyArgs{ID: 7, Offset: 5}, &reply) != nil)
	assert.Assert(t, remove())
	assert.Assert(t, o.Receiver().Read(&wire.BodyArgs{ID: 7}, &reply) != nil)
}

// Guards against a request that is called not run although its whole body was handed out, and against one whose body
// never left that counts as one that may have run.
func TestOutboxKnowsWhatWasRead(t *testing.T) {
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
