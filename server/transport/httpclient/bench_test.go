package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"gotest.tools/v3/assert"
)

// benchServer answers every request of every connection with a short body.
func benchServer(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerAll(conn)
		}
	}()
	return l.Addr().String()
}

func answerAll(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"); err != nil {
			return
		}
	}
}

// benchRequests sends requests one after the other; without an idle timeout each has a connection of its own.
func benchRequests(b *testing.B, idle time.Duration) {
	address := benchServer(b)
	c, err := New(Limits{DialTimeout: testTimeout, IdleTimeout: idle})
	assert.NilError(b, err)
	b.Cleanup(c.CloseIdle)
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	req.Header.SetHost(address)
	req.Header.SetRequestURI("/")
	b.ReportAllocs()
	for b.Loop() {
		if err := c.DoAddress(context.Background(), address, req, resp, testTimeout); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRequestReused sends requests on one connection.
func BenchmarkRequestReused(b *testing.B) { benchRequests(b, time.Minute) }

// BenchmarkRequestNewConnection opens a connection for each request.
func BenchmarkRequestNewConnection(b *testing.B) { benchRequests(b, 0) }
