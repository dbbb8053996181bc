// Package httpclient sends HTTP/1.1 requests over reused connections, never twice, and reports a response as whole
// only if its framing proves it.
//
// Requests are written by the HTTP/1.1 codec of hertz, on connections of the client's own, because the client of hertz keeps a
// request running after its context has ended. Responses are read here by the grammar of RFC 9112, and a malformed one is no
// response: the codec takes what a broken head leaves for a whole message.
package httpclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	reqI "github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"golang.org/x/sync/semaphore"
)

// Limits bound a client in size, number and time.
type Limits struct {
	DialTimeout time.Duration
	// ConnectionsPerHost limits the open connections to one host; 0 means the default.
	ConnectionsPerHost int
	// IdleTimeout is how long an idle connection is kept for reuse. It should be below the idle timeout of the
	// server, so that a connection is not reused in the moment in which the server closes it. With 0, every connection
	// serves one request.
	IdleTimeout time.Duration
	// HeaderMaxBytes and BodyMaxBytes limit a response; 0 means the defaults.
	HeaderMaxBytes int
	BodyMaxBytes   int
	// LargeBytesMax limits the memory of bodies beyond smallBodyBytes that are read at the same time; further ones wait. One is
	// read however low the limit is; 0 means no limit.
	LargeBytesMax int64
	// UnframedBodies accepts a body without length that ends with an orderly end of the connection. A reset is never
	// taken for its end.
	UnframedBodies bool
	// KeepAlive is the time without any bytes after which the other end of a connection is probed, and after which
	// bytes that are not acknowledged end it; 0 leaves both to the system.
	KeepAlive time.Duration
	// Stall is the time without a byte after which a response that has begun is given up. With it, the timeout of a call
	// bounds the time to the first byte, so that a large response on a narrow link is read whole. 0 lets the timeout bound
	// the whole response.
	Stall time.Duration
}

// stallTotalMax bounds a response with Limits.Stall beyond the timeout of its call, so that one which trickles ends.
const stallTotalMax = 10 * time.Second

const (
	defaultConnectionsPerHost = 512
	defaultHeaderMaxBytes     = 64 << 10
	defaultBodyMaxBytes       = 64 << 20
)

const (
	// smallBodyBytes is the size up to which a body is read without regard to Limits.LargeBytesMax.
	smallBodyBytes = 64 << 10
	// bodyCopies bounds the memory of a body relative to BodyMaxBytes: the buffer that it grows in, which is up to twice as
	// large, the smaller one that it is copied from, and the copy that the caller takes.
	bodyCopies = 4
)

// Errors of a response. They are wrapped in a *LostError.
var (
	// ErrCut means that a response ended before its framing said so, or that its framing cannot prove that it is
	// whole.
	ErrCut = errors.New("response cut off")
	// ErrTooLarge means that a response is larger than the limits.
	ErrTooLarge = errors.New("response too large")
)

// ErrStalled means that no byte of a response arrived for Limits.Stall, or none at all in time.
var ErrStalled = errors.New("response stalled")

// ErrNoConnection means that the limit of open connections to the host is reached. It is wrapped in a *NotSentError.
var ErrNoConnection = errors.New("too many connections to the host")

// NotSentError means that no byte of the request left this process.
type NotSentError struct{ Cause error }

// Error returns the cause.
func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError means that the request may have been sent and that no whole response arrived. The cause is the error of
// the context if it ended first.
type LostError struct{ Cause error }

// Error returns the cause.
func (e *LostError) Error() string { return fmt.Sprintf("no whole response: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Client sends requests over reused connections.
type Client struct {
	limits Limits
	pool   *pool
	// large has one unit for each body beyond smallBodyBytes that may be read at the same time; nil without a limit.
	large *semaphore.Weighted
}

// New returns a client with the given limits.
func New(limits Limits) (*Client, error) {
	if limits.ConnectionsPerHost < 0 || limits.HeaderMaxBytes < 0 || limits.BodyMaxBytes < 0 {
		return nil, fmt.Errorf("set up HTTP client: negative limit in %+v", limits)
	}
	if limits.ConnectionsPerHost == 0 {
		limits.ConnectionsPerHost = defaultConnectionsPerHost
	}
	if limits.HeaderMaxBytes == 0 {
		limits.HeaderMaxBytes = defaultHeaderMaxBytes
	}
	if limits.BodyMaxBytes == 0 {
		limits.BodyMaxBytes = defaultBodyMaxBytes
	}
	c := &Client{limits: limits, pool: newPool(limits)}
	if limits.LargeBytesMax > 0 {
		c.large = semaphore.NewWeighted(max(1, limits.LargeBytesMax/(bodyCopies*int64(limits.BodyMaxBytes))))
	}
	return c, nil
}

// Do sends the request once to the host of its URI, like DoAddress.
func (c *Client) Do(ctx context.Context, req *protocol.Request, resp *protocol.Response, timeout time.Duration) error {
	uri := req.URI()
	if scheme := string(uri.Scheme()); scheme != "http" {
		return &NotSentError{Cause: fmt.Errorf("scheme %q is not supported", scheme)}
	}
	return c.DoAddress(ctx, withPort(string(uri.Host())), req, resp, timeout)
}

// Match says whether a whole response belongs to the request that was sent.
type Match uint8

// Matches.
const (
	// Matched means that the response belongs to the request that was sent.
	Matched Match = iota
	// Unidentified means that the response does not say to which request it belongs. It is returned, and the connection is
	// not used again, because the response of the request may follow.
	Unidentified
	// Mismatched means that the response belongs to another request. It is passed over.
	Mismatched
)

// Matcher returns whether a whole response belongs to the request that was sent.
type Matcher func(*protocol.Response) Match

// skippedMax limits the responses that are passed over for one request.
const skippedMax = 4

// DoAddress is DoMatched that takes the first response for the answer.
func (c *Client) DoAddress(ctx context.Context, address string, req *protocol.Request, resp *protocol.Response,
	timeout time.Duration,
) error {
	return c.DoMatched(ctx, address, req, resp, timeout, func(*protocol.Response) Match { return Matched })
}

// DoMatched sends the request once to address (host:port) and reads the whole response within the timeout. Mismatched
// responses are passed over; the connection is not used again after one. It returns nil, a *NotSentError or a *LostError.
// The end of ctx closes the connection, and so does every error, so the server notices a cancellation and a late response
// is never taken for the answer to a later request.
func (c *Client) DoMatched(ctx context.Context, address string, req *protocol.Request, resp *protocol.Response,
	timeout time.Duration, matcher Matcher,
) error {
	return c.DoPrepared(ctx, address, req, resp, timeout, func() error { return nil }, matcher)
}

// DoPrepared is DoMatched that calls prepare once there is a connection, right before the first byte is written, with no wait in
// between. prepare may fill in the request; its error ends the call, wrapped in a *NotSentError.
func (c *Client) DoPrepared(ctx context.Context, address string, req *protocol.Request, resp *protocol.Response,
	timeout time.Duration, prepare func() error, matcher Matcher,
) error {
	return c.DoStreamed(ctx, address, req, nil, resp, timeout, prepare, matcher)
}

// DoStreamed is DoPrepared with a body that is read while it is sent; nil if it is that of the request. A response that
// arrives before the body has been sent ends the sending. The connection is not used again.
func (c *Client) DoStreamed(ctx context.Context, address string, req *protocol.Request, body *Body, resp *protocol.Response,
	timeout time.Duration, prepare func() error, matcher Matcher,
) error {
	ctx, progress, cancel := c.bound(ctx, timeout)
	defer cancel()
	cn, err := c.pool.get(ctx, address)
	if err != nil {
		return &NotSentError{Cause: preferContext(ctx, err)}
	}
	if err := prepare(); err != nil {
		c.pool.put(cn, false)
		return &NotSentError{Cause: err}
	}
	cn.reader.progress = withFirstByte(ctx, progress)
	release := c.limitLarge(ctx, cn.reader)
	defer release()
	stop := context.AfterFunc(ctx, cn.abort)
	reusable, err := false, error(nil)
	if body != nil {
		err = c.exchangeStreamed(ctx, cn, req, body, resp, matcher)
	} else {
		reusable, err = c.exchange(cn, req, resp, matcher)
	}
	if !stop() {
		// The context ended: the connection is closed, or about to be.
		reusable = false
	}
	if err == nil {
		c.pool.put(cn, reusable)
		return nil
	}
	c.pool.put(cn, false)
	if cn.written == 0 {
		return &NotSentError{Cause: preferContext(ctx, err)}
	}
	if errors.Is(err, ErrBody) {
		return &LostError{Cause: err}
	}
	return &LostError{Cause: preferContext(ctx, err)}
}

// limitLarge makes a reader wait for its turn before it reads a body beyond smallBodyBytes. release ends the turn.
func (c *Client) limitLarge(ctx context.Context, r *reader) (release func()) {
	if c.large == nil {
		return func() {}
	}
	held := false
	r.large = func() error {
		if held {
			return nil
		}
		err := c.large.Acquire(ctx, 1)
		held = err == nil
		return err
	}
	return func() {
		if held {
			c.large.Release(1)
		}
	}
}

// bound limits a call. progress is called for bytes that arrived; it is nil if they do not change the limit.
func (c *Client) bound(ctx context.Context, timeout time.Duration) (bounded context.Context, progress, cancel func()) {
	if c.limits.Stall <= 0 {
		bounded, stop := context.WithTimeout(ctx, timeout)
		return bounded, nil, stop
	}
	total, stopTotal := context.WithTimeout(ctx, timeout+stallTotalMax)
	bounded, stop := context.WithCancelCause(total)
	timer := time.AfterFunc(timeout, func() { stop(ErrStalled) })
	return bounded, func() { timer.Reset(c.limits.Stall) }, func() {
		timer.Stop()
		stop(nil)
		stopTotal()
	}
}

// preferContext returns the cause of the end of a context, since it explains the broken connection.
func preferContext(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// exchange writes the request and reads the response. The first result says whether the connection can be reused.
func (c *Client) exchange(
	cn *conn, req *protocol.Request, resp *protocol.Response, matcher Matcher,
) (bool, error) {
	cn.written = 0
	w := network.NewWriter(cn)
	if err := reqI.Write(req, w); err != nil {
		return false, err
	}
	if err := w.Flush(); err != nil {
		return false, err
	}
	return c.receive(cn, req, resp, matcher)
}

// receive reads responses until one belongs to the request. The first result says whether the connection can be reused.
func (c *Client) receive(
	cn *conn, req *protocol.Request, resp *protocol.Response, matcher Matcher,
) (bool, error) {
	for skipped := 0; skipped <= skippedMax; skipped++ {
		framed, err := c.readResponse(cn, req, resp)
		if err != nil {
			return false, err
		}
		match := matcher(resp)
		if match == Mismatched {
			continue
		}
		reusable := framed && match == Matched && skipped == 0 && !req.ConnectionClose() && !resp.ConnectionClose() &&
			cn.reader.Len() == 0 && !mayHaveUnreadBody(req, resp)
		cn.noteIdleTimeout(resp, c.limits.IdleTimeout)
		return reusable, cn.reader.Release()
	}
	return false, fmt.Errorf("%w: %d responses to other requests", ErrCut, skippedMax+1)
}

// readWithHead is the size of a request body, in bytes, that servers commonly read together with the head.
const readWithHead = 4 << 10

// mayHaveUnreadBody reports whether the server may have responded before it has read the request body. The next request on the
// connection would wait, and could not be recalled, until the server has read the rest. A success needs the whole body.
func mayHaveUnreadBody(req *protocol.Request, resp *protocol.Response) bool {
	success := resp.StatusCode() >= 200 && resp.StatusCode() < 300
	return !success && len(req.Body()) > readWithHead
}

// readResponse reads one whole response. framed is false if its body ended with the connection, or had to.
func (c *Client) readResponse(cn *conn, req *protocol.Request, resp *protocol.Response) (framed bool, err error) {
	resp.Reset()
	resp.Header.SetNoDefaultContentType(true)
	if req.Header.IsHead() {
		resp.SkipBody = true
	}
	cn.reader.max = c.limits.HeaderMaxBytes
	headNeedsEnd, err := c.readHeads(resp, cn.reader)
	if err != nil {
		return false, err
	}
	if resp.MustSkipBody() {
		return true, nil
	}
	unframed := resp.Header.ContentLength() == bodyUntilClose
	bodyNeedsEnd, err := c.readBody(resp, cn.reader)
	if err != nil {
		return false, err
	}
	if headNeedsEnd || bodyNeedsEnd {
		return false, cn.expectEnd()
	}
	return !unframed, nil
}

// expectEnd reads the orderly end of the connection. It closes the sending half, so that a server which waits for the next request
// ends the connection too.
func (c *conn) expectEnd() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	switch _, err := c.reader.Peek(1); {
	case err == nil:
		return fmt.Errorf("%w: bytes after a body whose length has an unusual form", ErrMalformed)
	case errors.Is(err, io.EOF):
		return nil
	default:
		return cut(c.reader, err)
	}
}

// informationalMax limits the informational responses before a final one. A server in trouble sends them without end.
const informationalMax = 8

// readHeads reads the head of the final response and skips informational ones. needsEnd is that of readHead.
func (c *Client) readHeads(resp *protocol.Response, r *reader) (needsEnd bool, err error) {
	for range informationalMax + 1 {
		needsEnd, err := readHead(&resp.Header, r, c.limits.HeaderMaxBytes)
		if err != nil {
			return false, cut(r, err)
		}
		switch status := resp.StatusCode(); {
		case status >= 200:
			return needsEnd, nil
		case status == 101:
			return false, fmt.Errorf("unexpected status %d: %w", status, ErrCut)
		}
	}
	return false, fmt.Errorf("more than %d informational responses: %w", informationalMax, ErrCut)
}

// cut maps an error of a reader to ErrTooLarge, ErrMalformed, ErrCut, or the error of the connection.
func cut(r *reader, err error) error {
	switch {
	case errors.Is(err, ErrMalformed):
		return err
	case errors.Is(err, ErrTooLarge), errors.Is(r.err, ErrTooLarge):
		return ErrTooLarge
	case r.err != nil && !errors.Is(r.err, io.EOF):
		return fmt.Errorf("%w: %w", ErrCut, r.err)
	default:
		return fmt.Errorf("%w: %v", ErrCut, err)
	}
}

// CloseIdle closes the connections that no request uses.
func (c *Client) CloseIdle() {
	c.pool.closeIdle()
}
