package peer

import (
	"context"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// benchServer serves the echo service with the limits of a node.
func benchServer(b *testing.B) string {
	b.Helper()
	r := rpc.NewServer()
	assert.NilError(b, r.RegisterName("Echo", &echo{}))
	s := NewServer(r, testCredential, DefaultLimits())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go s.Serve(l)
	b.Cleanup(func() {
		l.Close()
		s.Close()
	})
	return l.Addr().String()
}

func benchPool(b *testing.B) *Pool {
	b.Helper()
	p := NewPool(testCredential, DefaultLimits())
	b.Cleanup(p.Close)
	return p
}

func say(b *testing.B, p *Pool, address string) {
	args, reply := "a", ""
	if err := p.Call(context.Background(), address, "Echo.Say", &args, &reply); err != nil {
		b.Error(err)
	}
}

// BenchmarkCallReused makes calls on one connection.
func BenchmarkCallReused(b *testing.B) {
	address, pool := benchServer(b), benchPool(b)
	say(b, pool, address)
	b.ReportAllocs()
	for b.Loop() {
		say(b, pool, address)
	}
}

// BenchmarkCallNewConnection opens a connection, with its credential check, for each call.
func BenchmarkCallNewConnection(b *testing.B) {
	address, pool := benchServer(b), benchPool(b)
	b.ReportAllocs()
	for b.Loop() {
		say(b, pool, address)
		pool.Drop(address)
	}
}

// BenchmarkCallParallel makes calls of many goroutines on one connection.
func BenchmarkCallParallel(b *testing.B) {
	address, pool := benchServer(b), benchPool(b)
	say(b, pool, address)
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			say(b, pool, address)
		}
	})
}

// silentTargets is the number of connections that go silent at the same time.
const silentTargets = 64

// BenchmarkSilentConnections mutes every connection of a pool without closing it. wait-max is the longest wait of a
// call that was sent on a silent connection, recovery the time until a call on every connection succeeded.
func BenchmarkSilentConnections(b *testing.B) {
	pool := benchPool(b)
	addresses := make([]string, silentTargets)
	for i := range addresses {
		addresses[i] = benchServer(b)
	}
	var mu sync.Mutex
	var muted []*mutedConn
	direct := pool.dial
	pool.dial = func(ctx context.Context, a string) (net.Conn, error) {
		conn, err := direct(ctx, a)
		if err != nil {
			return nil, err
		}
		wrapped := &mutedConn{Conn: conn, muted: make(chan struct{})}
		mu.Lock()
		defer mu.Unlock()
		muted = append(muted, wrapped)
		return wrapped, nil
	}
	var waits []time.Duration
	var recovery time.Duration
	for b.Loop() {
		muted = nil
		for _, a := range addresses {
			pool.Drop(a)
			say(b, pool, a)
		}
		for _, conn := range muted {
			close(conn.muted)
		}
		start := time.Now()
		waits = append(waits, recoverAll(b, pool, addresses)...)
		recovery = max(recovery, time.Since(start))
	}
	b.ReportMetric(float64(slices.Max(waits).Microseconds())/1000, "wait-max-ms")
	b.ReportMetric(float64(recovery.Microseconds())/1000, "recovery-ms")
	b.ReportMetric(0, "ns/op")
}

// recoverAll calls every address until it answers and returns how long each failed call waited.
func recoverAll(b *testing.B, pool *Pool, addresses []string) []time.Duration {
	b.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var waits []time.Duration
	for _, a := range addresses {
		wg.Go(func() {
			for {
				start := time.Now()
				args, reply := "a", ""
				err := pool.Call(context.Background(), a, "Echo.Say", &args, &reply)
				if err == nil {
					return
				}
				mu.Lock()
				waits = append(waits, time.Since(start))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if len(waits) == 0 {
		b.Fatal("no call met a silent connection")
	}
	return waits
}
