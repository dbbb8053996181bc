package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/transport/httpserver"
	"wagtailford.example/server/transport/peer"
)

// serve starts a handler behind a hertz server on loopback and returns the server's URL.
func serve(t *testing.T, call func(ctx context.Context, r *wire.Request, reply *wire.Response) error, canceled func()) (string, *Handler) {
	f := &fakeNet{}
	h := newTestHandler(t, f, func(_ *Settings, deps *Dependencies) {
		deps.Call = func(ctx context.Context, _, method string, args, reply any) error {
			if method == methodCancel {
				canceled()
				return nil
			}
			return call(ctx, args.(*wire.Request), reply.(*wire.Response))
		}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := httpserver.New(l, httpserver.Limits{
		BodyMaxBytes: 1 << 20, HeaderMaxBytes: 16 << 10, ConnectionsMax: 256,
		ReadTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute, ShutdownTimeout: time.Second,
	})
	h.Register(s)
	go s.Run()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		httpserver.Shutdown(s, 5*time.Second)
	})
	return "http://" + l.Addr().String(), h
}

// TestCallersGetTheirOwnAnswers guards against a caller receiving the response to another request (invariant I4), with
// many concurrent callers and responses that are decoded after their call was abandoned.
func TestCallersGetTheirOwnAnswers(t *testing.T) {
	var late sync.WaitGroup
	url, _ := serve(t, func(_ context.Context, r *wire.Request, reply *wire.Response) error {
		if r.Method == "GET" && r.ID%3 == 0 {
			late.Go(func() {
				*reply = wire.Response{Outcome: outcome.Answered, Status: 200, Body: []byte("late")}
			})
			return &peer.LostError{Cause: io.ErrUnexpectedEOF}
		}
		body := []byte(r.Path + string(r.Body))
		*reply = wire.Response{Outcome: outcome.Answered, Status: 201, Body: body, Headers: []wire.Header{{Name: "Set-Cookie", Value: "a=1"}, {Name: "Connection", Value: "X-Hop"}, {Name: "X-Hop", Value: "1"}}}
		return nil
	}, nil)
	var callers sync.WaitGroup
	for i := range 32 {
		callers.Go(func() {
			for n := range 10 {
				method := []string{"GET", "POST"}[n%2]
				path := fmt.Sprintf("/shop/%d-%d", i, n)
				req, _ := http.NewRequest(method, url+path, strings.NewReader("+"+path))
				resp, err := http.DefaultClient.Do(req)
				if !assert.Check(t, err) {
					return
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				assert.Check(t, err)
				if resp.Header.Get(outcome.HeaderOutcome) == "unknown" {
					continue
				}
				assert.Check(t, string(body) == path+"+"+path, "%s got %q", path, body)
				assert.Check(t, resp.StatusCode == 201 && resp.Header.Get("Set-Cookie") == "a=1" && resp.Header.Get("X-Hop") == "")
			}
		})
	}
	callers.Wait()
	late.Wait()
}

// TestHTTPOutcomes guards the status code and the headers of each outcome (section 3.4 of the design), in particular
// that an unknown outcome carries its key.
func TestHTTPOutcomes(t *testing.T) {
	url, h := serve(t, func(_ context.Context, r *wire.Request, reply *wire.Response) error {
		if r.Method == "GET" {
			*reply = wire.Response{Outcome: outcome.RefusedNotRun, Reason: outcome.ReasonQueueFull}
			return nil
		}
		return &peer.LostError{Cause: io.ErrUnexpectedEOF}
	}, nil)
	for _, c := range []struct {
		method, path, status, outcome, reason, retryAfter string
	}{
		{"GET", "/shop", "503", "refused-not-run", "queue_full", "1"},
		{"GET", "/none", "404", "refused-not-run", "no_route", ""},
		{"PATCH", "/none", "404", "unknown", "no_route", "1"},
		{"POST", "/shop", "504", "unknown", "owner_unreachable", ""},
		{"PUT", "/shop", "413", "refused-not-run", "too_large", ""},
		{"GET", "/shop?" + strings.Repeat("x", 20<<10), "431", "refused-not-run", "header_too_large", ""},
	} {
		req, _ := http.NewRequest(c.method, url+c.path, nil)
		if c.method == "PUT" {
			req.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 3<<19)))
		}
		if c.method == "PATCH" {
			req.Header.Set("Idempotency-Key", "k1")
		}
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.Status[:3], c.status)
		assert.Equal(t, resp.Header.Get("Wagtail-Outcome"), c.outcome)
		assert.Equal(t, resp.Header.Get("Wagtail-Reason"), c.reason)
		assert.Equal(t, resp.Header.Get("Retry-After"), c.retryAfter)
		assert.Equal(t, resp.Header.Get("Idempotency-Key") != "", c.outcome == "unknown")
	}
	values := h.Dump().(State).Counters
	assert.Equal(t, values.ByReason["refused-not-run/no_route"], int64(1))
	assert.Equal(t, values.Unknown, int64(2))
}

// TestServerFaults guards that requests rejected by the server before they reach the handler get an outcome. A request
// interrupted by the read timeout may repeat a key, so its outcome must be unknown.
func TestServerFaults(t *testing.T) {
	url, h := serve(t, nil, nil)
	for _, c := range []struct {
		text, status, outcome, reason string
	}{
		{"NONSENSE\r\n\r\n", "400", "refused-not-run", "malformed"},
		{"POST /shop HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n", "413", "refused-not-run", "too_large"},
		{"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 40<<10) + "\r\n\r\n", "431", "refused-not-run", "header_too_large"},
	} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		assert.NilError(t, err)
		_, err = io.WriteString(conn, c.text)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.Status[:3], c.status)
		assert.Equal(t, resp.Header.Get("Wagtail-Outcome"), c.outcome)
		assert.Equal(t, resp.Header.Get("Wagtail-Reason"), c.reason)
		assert.Assert(t, resp.Close)
		assert.NilError(t, conn.Close())
	}
	assert.Equal(t, h.Counters().Refused.Load(), int64(3))
	late := h.faultResponse(httpserver.ReadTimeout)
	assert.Equal(t, late.Status, http.StatusRequestTimeout)
	assert.Equal(t, late.Headers.Get("Wagtail-Outcome"), "unknown")
}

// TestBodiesPassUnchanged guards against the HTTP library changing bodies: by default it re-encodes multipart bodies,
// replaces an empty body of status 404 with its own text, and sends Content-Length 0 in a response to HEAD.
func TestBodiesPassUnchanged(t *testing.T) {
	url, _ := serve(t, func(_ context.Context, r *wire.Request, reply *wire.Response) error {
		*reply = wire.Response{Outcome: outcome.Answered, Status: 404, Body: r.Body, Headers: []wire.Header{{Name: "Content-Length", Value: "17"}}}
		return nil
	}, nil)
	multipart := "--b\r\nX-Order: 1\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n1\r\n--b--\r\n"
	for _, c := range []struct {
		method, contentType, body string
		length                    int64
	}{
		{"POST", "multipart/form-data; boundary=b", multipart, int64(len(multipart))},
		{"PUT", "", "", 0},
		{"PURGE", "", "", 0},
		{"HEAD", "", "", 17},
	} {
		req, _ := http.NewRequest(c.method, url+"/shop", strings.NewReader(c.body))
		req.Header.Set("Content-Type", c.contentType)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		assert.NilError(t, err)
		assert.Equal(t, string(body), c.body)
		assert.Equal(t, resp.ContentLength, c.length, c.method)
		assert.Equal(t, resp.Header.Get("Wagtail-Outcome"), "answered")
	}
}

// TestDisconnectCancels guards that the request is cancelled at the executing node when the caller disconnects.
func TestDisconnectCancels(t *testing.T) {
	canceled := make(chan struct{})
	started := make(chan struct{})
	url, _ := serve(t, func(ctx context.Context, _ *wire.Request, _ *wire.Response) error {
		close(started)
		<-ctx.Done()
		return &peer.LostError{Cause: ctx.Err()}
	}, func() { close(canceled) })
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	req, _ := http.NewRequestWithContext(ctx, "POST", url+"/shop", nil)
	_, err := http.DefaultClient.Do(req)
	assert.ErrorIs(t, err, context.Canceled)
	<-canceled
}

// TestShutdown guards that requests in flight finish during a shutdown and that later ones are refused as not run
// (invariant I8), as they are when the worker pool is full.
func TestShutdown(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{})
	f := &fakeNet{react: func(int, *wire.Request) reply {
		close(started)
		<-release
		return answered("ok")
	}}
	h := newTestHandler(t, f, func(s *Settings, _ *Dependencies) { s.Workers = 1 })
	result := make(chan *Result)
	go func() { result <- h.Do(context.Background(), request("POST")) }()
	<-started
	assert.Equal(t, describe(h.Do(t.Context(), request("POST"))), "refused-not-run/overloaded")
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, h.Shutdown(ended), context.Canceled)
	assert.Equal(t, describe(h.Do(t.Context(), request("POST"))), "refused-not-run/shutdown")
	close(release)
	assert.Equal(t, describe(<-result), "answered/")
	assert.NilError(t, h.Shutdown(t.Context()))
}
