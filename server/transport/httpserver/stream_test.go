package httpserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/transport/account"
)

// Guards against streamed bodies that are changed, a request behind one that is lost, the bytes of one that stay counted, and
// a connection that goes on after a body which the handler has not read to its end.
func TestStreamedBody(t *testing.T) {
	const whole = 8 << 10
	rest := make(chan int64, 16)
	l := limits()
	l.BodyMaxBytes, l.WholeBodyMaxBytes, l.Account = 1<<20, whole, account.New(1<<20)
	address, _ := start(t, l, func(_ context.Context, c *app.RequestContext) {
		body := BodyOf(c)
		text := string(body.First)
		c.SetStatusCode(http.StatusOK)
		c.Abort()
		length := int64(0)
		if body.Rest != nil {
			length = body.RestBytes
			if string(c.Path()) != "/unread" {
				more, err := io.ReadAll(body.Rest)
				if err != nil {
					c.SetStatusCode(http.StatusBadGateway)
				}
				text += string(more)
			}
		}
		rest <- length
		c.Response.SetBodyString(fmt.Sprint(len(text), text[len(text)-3:]))
	})
	conn, r := dial(t, address)
	head := "POST %s HTTP/1.1\r\nHost: a\r\n"
	long := strings.Repeat("x", 300<<10) + "end"
	length := fmt.Sprintf(head+"Content-Length: %d\r\n\r\n%s", "/", len(long), long)
	chunked := fmt.Sprintf(head+"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", "/", len(long), long)
	short := fmt.Sprintf(head+"Content-Length: %d\r\n\r\n%s", "/", whole, long[len(long)-whole:])
	for _, c := range []struct {
		text  string
		known bool
		want  int
	}{{length, true, len(long)}, {chunked, false, len(long)}, {short, true, whole}, {length + short, true, len(long)}} {
		resp, body := exchange(t, conn, r, c.text)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, body, fmt.Sprint(c.want, "end"))
		left := <-rest
		assert.Equal(t, left == -1, !c.known)
		assert.Equal(t, left == 0, c.want == whole)
		assert.Equal(t, left > 0, c.known && c.want > whole)
		assert.Assert(t, left <= 0 || left == int64(c.want-whole-1), "the first part depends on how the bytes arrived")
	}
	resp, body := exchange(t, conn, r, "")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, fmt.Sprint(whole, "end"))
	assert.Equal(t, l.Account.Values().Receiving, int64(0))
	tooLong := fmt.Sprintf(head+"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", "/", 1<<20+1, strings.Repeat("x", 1<<20+1))
	resp, _ = exchange(t, conn, r, tooLong)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assertClosed(t, r)
	conn, r = dial(t, address)
	resp, _ = exchange(t, conn, r, fmt.Sprintf(head+"Content-Length: %d\r\n\r\n%s", "/unread", 1<<19, long)+short)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assertClosed(t, r)
}

// Guards against callers that stop within streamed bodies and keep their memory and their handlers when others need room.
func TestStreamedBodyIsShed(t *testing.T) {
	const whole = 8 << 10
	started := make(chan struct{}, 2)
	// The handlers end in any order.
	ended := map[string]chan error{"/stopped": make(chan error, 1), "/whole": make(chan error, 1)}
	l := limits()
	// There is room for one stream.
	l.BodyMaxBytes, l.WholeBodyMaxBytes, l.Account = 1<<20, whole, account.New(2*streamBytes)
	address, _ := start(t, l, func(ctx context.Context, c *app.RequestContext) {
		c.SetStatusCode(http.StatusOK)
		c.Abort()
		started <- struct{}{}
		_, err := io.Copy(io.Discard, BodyOf(c).Rest)
		if err != nil {
			<-ctx.Done()
		}
		ended[string(c.Path())] <- err
	})
	conn, r := dial(t, address)
	head := fmt.Sprintf("POST %%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 4*whole)
	_, err := fmt.Fprintf(conn, head+strings.Repeat("x", 2*whole), "/stopped")
	assert.NilError(t, err)
	<-started
	other, otherReader := dial(t, address)
	resp, _ := exchange(t, other, otherReader, fmt.Sprintf(head, "/whole")+strings.Repeat("x", 4*whole))
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, <-ended["/stopped"] != nil, "the first stream was not shed")
	assert.NilError(t, <-ended["/whole"])
	assertClosed(t, r)
	assert.Equal(t, l.Account.Values().ShedReceiving, int64(1))
}

// Guards against callers that stop, or send next to nothing, within streamed bodies and keep a slot of a target until their
// deadline, and against a minimum rate that a slow handler, a pause or a slow but steady caller falls below.
func TestMinimumUploadRate(t *testing.T) {
	const (
		whole = 8 << 10
		size  = 3 * whole
		// window leaves room for pauses of a busy machine.
		window = 2 * time.Second
	)
	l := limits()
	l.ConnectionsMax, l.BodyMaxBytes, l.WholeBodyMaxBytes, l.Account = 16, 1<<20, whole, account.New(8<<20)
	l.UploadRateMin, l.UploadWindow = 4<<10, window
	address, _ := start(t, l, func(_ context.Context, c *app.RequestContext) {
		c.Abort()
		body := BodyOf(c)
		if string(c.Path()) == "/slow" {
			time.Sleep(3 * window / 2)
		}
		_, err := io.Copy(io.Discard, body.Rest)
		assert.Check(t, errors.Is(err, ErrTooSlow) == body.IsTooSlow())
		c.SetStatusCode(http.StatusOK)
		if body.IsTooSlow() {
			CloseWithoutResponse(c)
		}
	})
	var callers sync.WaitGroup
	// What a caller sends after the first part: pieces of some bytes with a pause before each.
	for _, c := range []struct {
		name, path string
		piece      int
		pause      time.Duration
		slow       bool
	}{
		{"stops", "/", 0, 0, true},
		{"a byte now and then", "/", 1, 10 * time.Millisecond, true},
		{"pauses for less than the window", "/", size - whole - 1, window / 4, false},
		{"steady above the rate", "/", 1 << 10, 50 * time.Millisecond, false},
		{"the handler is slow", "/slow", size - whole - 1, 0, false},
	} {
		for _, chunked := range []bool{false, true} {
			conn, r := dial(t, address)
			framing, text := fmt.Sprintf("Content-Length: %d", size), func(part string) string { return part }
			if chunked {
				framing, text = "Transfer-Encoding: chunked", func(part string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(part), part) }
			}
			_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n%s", c.path, framing, text(strings.Repeat("x", whole+1)))
			assert.NilError(t, err)
			go func() {
				for left := size - whole - 1; left > 0 && c.piece > 0; left -= c.piece {
					time.Sleep(c.pause)
					assert.Check(t, !c.slow || time.Duration(size-whole-left)*c.pause < 3*window, "%s, chunked %v: not ended", c.name, chunked)
					if _, err := io.WriteString(conn, text(strings.Repeat("x", min(left, c.piece)))); err != nil {
						return
					}
				}
				if chunked && c.piece > 0 {
					_, _ = io.WriteString(conn, "0\r\n\r\n")
				}
			}()
			callers.Go(func() {
				resp, err := http.ReadResponse(r, nil)
				assert.Check(t, !isTimeout(err), "%s, chunked %v: not within %v", c.name, chunked, waitMax)
				assert.Check(t, (err != nil) == c.slow, "%s, chunked %v: %v", c.name, chunked, err)
				assert.Check(t, err != nil || resp.StatusCode == http.StatusOK)
			})
		}
	}
	callers.Wait()
	assert.Equal(t, l.Account.Values().TooSlow, int64(4))
}

// Guards against a read whose time passes between two readings of the clock: it was given up without the last chance, as a
// caller that has left instead of one that is too slow.
func TestEndOfReadIsExtendedAtEachInstant(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	l := newListener(nil, limits())
	c := newConn(near, l)
	defer near.Close()
	e := &transaction{}
	e.stream = &stream{c: c, e: e}
	c.streaming = e
	given := 0
	for range 20_000 {
		e.stream.readUntil, e.stream.extended = time.Now().Add(5*time.Microsecond), false
		for !e.stream.extended {
			if !c.rearm() {
				given++
				break
			}
		}
	}
	assert.Equal(t, given, 0)
}
