package httpclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a server whose bodies have no end, or are announced and never come, and that fills the memory of the process
// through all connections together.
func TestBodiesWithoutEndAreBoundedTogether(t *testing.T) {
	const (
		connections = 64
		headMax     = 16 << 10
		bodyMax     = 1 << 20
		large       = 8 << 20
		// headCopies is the memory of a head relative to its bytes: the shortest fields have 6 bytes and become objects of some
		// 70 bytes.
		headCopies = 12
		// bound holds the small bodies of all connections, each with its buffer, a body of up to twice its size and the head,
		// the large bodies, and what the test itself uses.
		bound = connections*(2*smallBodyBytes+bodyPartBytes+headCopies*headMax) + large + 4<<20
	)
	const ok = "HTTP/1.1 200 OK\r\n"
	// The bodies stop short of their end, so that the readers hold what they have.
	cases := map[string]string{
		"announced length":  ok + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyMax),
		"announced chunk":   ok + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", bodyMax),
		"length":            ok + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyMax) + strings.Repeat("x", bodyMax-1),
		"one chunk":         ok + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", bodyMax) + strings.Repeat("x", bodyMax-1),
		"chunks":            ok + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("8\r\nxxxxxxxx\r\n", bodyMax/8-1),
		"body until close":  ok + "\r\n" + strings.Repeat("x", bodyMax-1),
		"header fields":     ok + strings.Repeat("A: b\r\n", headMax/8),
		"trailer":           ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("A: b\r\n", headMax/8),
		"other informative": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", informationalMax) + ok + strings.Repeat("A: b\r\n", headMax/8),
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			address := serve(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					// Written in parts, so that the memory of the server does not count.
					for rest := raw; rest != ""; {
						n, err := io.WriteString(conn, rest[:min(len(rest), 16<<10)])
						written.Add(int64(n))
						if err != nil {
							return
						}
						rest = rest[n:]
					}
					io.Copy(io.Discard, conn)
				}
			})
			client, err := New(Limits{
				DialTimeout: testTimeout, ConnectionsPerHost: connections, IdleTimeout: time.Minute, HeaderMaxBytes: headMax, BodyMaxBytes: bodyMax,
				LargeBytesMax: large, UnframedBodies: true,
			})
			assert.NilError(t, err)
			t.Cleanup(client.CloseIdle)
			before := heapInUse()
			ctx, cancel := context.WithCancel(t.Context())
			var calls sync.WaitGroup
			for range connections {
				calls.Go(func() { _, _ = get(ctx, client, address, "GET") })
			}
			var most int64
			for last := int64(-1); written.Load() != last || last == 0; {
				last = written.Load()
				time.Sleep(100 * time.Millisecond)
				most = max(most, heapInUse()-before)
			}
			cancel()
			calls.Wait()
			assert.Assert(t, most <= bound, "%d bytes in use, the bound is %d", most, bound)
		})
	}
}

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against large bodies that wait for each other without end, and against small ones that wait for large ones.
func TestLargeBodiesTakeTurns(t *testing.T) {
	const size = 256 << 10
	release := make(chan struct{})
	address := serve(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			length := size
			if req.Method == http.MethodPost {
				length = smallBodyBytes
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
			io.WriteString(conn, strings.Repeat("x", length-1))
			if req.Method == http.MethodGet {
				<-release
			}
			io.WriteString(conn, "x")
		}
	})
	client, err := New(Limits{DialTimeout: testTimeout, IdleTimeout: time.Minute, BodyMaxBytes: size, LargeBytesMax: 1})
	assert.NilError(t, err)
	t.Cleanup(client.CloseIdle)
	var calls sync.WaitGroup
	var whole atomic.Int64
	for range 8 {
		calls.Go(func() {
			if resp, err := get(t.Context(), client, address, http.MethodGet); err == nil && len(resp.Body()) == size {
				whole.Add(1)
			}
		})
	}
	resp, err := get(t.Context(), client, address, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Body()), smallBodyBytes)
	close(release)
	calls.Wait()
	assert.Equal(t, whole.Load(), int64(8))
}
