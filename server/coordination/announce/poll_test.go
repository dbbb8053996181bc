package announce

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a malformed response to a poll that counts as healthy, or whose body counts as the load.
func TestMalformedPollFails(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: x\r\nContent-Length: 3\r\n\r\n0.5",
		"HTTP/1.1 200 OK\r\nX A: a\r\nContent-Length: 3\r\n\r\n0.5",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\n0.5",
		"HTTP/1.1 200 OK\r\nX-A: a\nContent-Length: 3\r\n\r\n0.5",
		"HTTP/1.1 200 OK\r\nContent-Length:  1\r\n\r\n0.5",
		"HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\n0.5",
	} {
		t.Run(raw, func(t *testing.T) {
			f := newFixture(t)
			defer f.Close()
			an := Announcement{Service: "s", Address: answerAll(t, raw), HealthPath: "/health", LoadPath: "/load"}
			f.pollHealth(an)
			f.pollLoad(an)
			assert.Equal(t, f.hints.Load().Failed, 1)
			assert.Equal(t, f.hints.Load().Load, 0.0)
			assert.Equal(t, f.Counters.HealthFailed.Load(), int64(1))
		})
	}
}

// answerAll answers the first request on each connection with the same bytes and keeps the connection open.
func answerAll(t *testing.T, raw string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, raw)
				_, _ = io.Copy(io.Discard, r)
			}()
		}
	}()
	return l.Addr().String()
}
