package httpserver

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	errs "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	"wagtailford.example/server/transport/account"
	"wagtailford.example/server/transport/socket"
)

const (
	// readAheadMax limits the requests of a connection without a written response, and readAheadBytesMax the responses that
	// wait for their turn while more are read.
	readAheadMax      = 16
	readAheadBytesMax = 256 << 10
	// leftInterval is the interval at which a connection that is not read, because too many of its requests are in
	// progress, is asked whether the caller has left.
	leftInterval = 100 * time.Millisecond
	// smallHeadMax is what the header of an ordinary request needs at most, see headCost.
	smallHeadMax = 32 << 10
)

// chunkedLength and noLength are the content lengths that the library states for chunked bodies and without a length.
const (
	chunkedLength = -1
	noLength      = -2
)

var errEnded = errors.New("no more responses are written")

// transaction is one request and its response.
type transaction struct {
	entry   account.Entry
	request *app.RequestContext
	// head and response are the bytes that the request holds without its body, and those of the response.
	head, bodyBytes, response int64
	// repeatable means that requests behind this one may run before its response is written.
	repeatable bool
	// done means that the response is ready, closes that the connection ends after it, closesIfLast that it does if no other
	// request has arrived.
	done, closes, closesIfLast bool
	// stream is the rest of the body if the handler reads it; nil otherwise.
	stream *stream
	// shed is true after the account has given up the request.
	shed bool
}

// loop serves connections in place of the loop of the library, which handles one request after the other.
type loop struct {
	core     suite.Core
	hertz    *server.Hertz
	listener *listener
	// large holds requests whose headers are large.
	large *sync.Pool
}

// New implements suite.ServerFactory.
func (l loop) New(core suite.Core) (protocol.Server, error) {
	l.core = core
	l.large = &sync.Pool{New: core.GetCtxPool().New}
	return l, nil
}

// Serve serves a connection until it ends.
func (l loop) Serve(_ context.Context, accepted network.Conn) error {
	c, ok := accepted.(*conn)
	if !ok {
		return errEnded
	}
	for c.serveNext(l) {
	}
	c.end()
	c.handlers.Wait()
	return nil
}

// limits returns the limits of the next request.
func (l loop) limits() RequestLimits {
	options := l.hertz.GetOptions()
	limits := RequestLimits{
		HeaderMaxBytes: options.MaxHeaderBytes, BodyMaxBytes: options.MaxRequestBodySize, HeaderTimeout: l.listener.limits.HeaderTimeout,
	}
	if l.listener.limits.Requests == nil {
		return limits
	}
	own := l.listener.limits.Requests()
	if own.HeaderMaxBytes > 0 {
		limits.HeaderMaxBytes = own.HeaderMaxBytes
	}
	if own.BodyMaxBytes > 0 {
		limits.BodyMaxBytes = own.BodyMaxBytes
	}
	if own.HeaderTimeout > 0 {
		limits.HeaderTimeout = own.HeaderTimeout
	}
	return limits
}

// serveNext reads one request and starts it. It reports false at the end of the connection.
func (c *conn) serveNext(l loop) bool {
	if _, err := c.buffer.Peek(1); err != nil {
		return false
	}
	e := c.beginRequest()
	if !c.await(c.mayReadAhead) {
		return false
	}
	if err := c.receive(l, e); err != nil {
		c.refuse(l, e, err)
		return false
	}
	c.mu.Lock()
	c.receiving, c.arrived = nil, e.stream != nil || c.buffer.Buffered() > 0
	if e.stream != nil {
		c.streaming = e
		if e.shed {
			e.stream.cancel()
		}
	}
	c.queue = append(c.queue, e)
	c.mu.Unlock()
	c.handlers.Add(1)
	go c.handle(l, e)
	// While the handler reads the rest of the body, nothing else reads the connection.
	return e.stream == nil || c.await(c.isNotStreaming)
}

// beginRequest starts a request whose first byte has been read.
func (c *conn) beginRequest() *transaction {
	e := &transaction{}
	e.entry.Shed = func() { c.shed(e) }
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = e
	return e
}

// shed gives up a request: one that is being read is refused, for others the connection is closed.
func (c *conn) shed(e *transaction) {
	c.mu.Lock()
	e.shed = true
	streams := c.streaming == e
	if c.receiving == e || streams {
		c.interrupt()
	}
	if streams {
		e.stream.cancel()
	}
	closes := slices.Contains(c.queue, e) && !streams
	c.mu.Unlock()
	if closes {
		c.Close()
	}
}

// await waits until a condition on the queue holds. It reports false if the connection ends before.
func (c *conn) await(holds func() bool) bool {
	for {
		c.mu.Lock()
		ready, ended := holds(), c.ended
		c.mu.Unlock()
		if ended || ready {
			return !ended
		}
		select {
		case <-c.changed:
		case <-c.ctx.Done():
			return false
		case <-time.After(leftInterval):
			if c.raw != nil && socket.HasHungUp(c.raw) {
				return false
			}
		}
	}
}

func (c *conn) isQueueEmpty() bool { return len(c.queue) == 0 }

// mayReadAhead reports whether another request may be read. Any request may run after repeatable ones without a body, but
// only a repeatable one may run beside them.
func (c *conn) mayReadAhead() bool {
	if len(c.queue) >= readAheadMax || c.waitingBytes > readAheadBytesMax || c.draining && len(c.queue) > 0 {
		return false
	}
	return !slices.ContainsFunc(c.queue, func(e *transaction) bool { return !e.repeatable || e.closes })
}

// receive reads a request.
func (c *conn) receive(l loop, e *transaction) error {
	limits := l.limits()
	now := time.Now()
	if c.requests++; c.requests > 1 {
		c.setDeadline(deadlineAfter(now, c.listener.limits.ReadTimeout))
	}
	whole := c.deadline
	if byHead := deadlineAfter(now, limits.HeaderTimeout); !byHead.IsZero() && (whole.IsZero() || byHead.Before(whole)) {
		c.setDeadline(byHead)
	}
	if err := c.readHead(e, limits.HeaderMaxBytes); err != nil {
		return err
	}
	c.setDeadline(whole)
	e.request = l.newRequest(c, e.head)
	header := &e.request.Request.Header
	if err := req.ReadHeaderWithLimit(header, c, limits.HeaderMaxBytes); err != nil {
		return err
	}
	e.closes = header.ConnectionClose()
	e.repeatable = isRepeatable(header)
	if !e.repeatable {
		if !c.await(c.isQueueEmpty) {
			return errEnded
		}
		if c.requests > 1 {
			// The wait for earlier requests is not the caller's.
			c.setDeadline(deadlineAfter(time.Now(), c.listener.limits.ReadTimeout))
		}
	}
	// A repeatable request has no body to wait for, and an earlier response may be being written.
	if !e.repeatable && e.request.Request.MayContinue() {
		if _, err := (socketWriter{c}).Write(continueText); err != nil {
			return errEnded
		}
	}
	if err := c.readBody(e, limits.BodyMaxBytes); err != nil {
		return err
	}
	if e.stream != nil {
		return nil
	}
	c.resize(readBufferBytes)
	c.listener.account.Set(&e.entry, account.Running, e.head+e.bodyBytes+c.largeBuffer())
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.shed {
		return errNoRoom
	}
	return nil
}

func (c *conn) setDeadline(t time.Time) {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
}

var continueText = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// isRepeatable reports whether a request may be sent twice by its method and has no body.
func isRepeatable(h *protocol.RequestHeader) bool {
	switch string(h.Method()) {
	case "GET", "HEAD", "OPTIONS":
		return h.ContentLength() == noLength || h.ContentLength() == 0
	}
	return false
}

// readHead reads until the buffer holds a whole header or as much as is allowed. The parser of the library starts anew
// after each read, so that it is called once.
func (c *conn) readHead(e *transaction, headerMax int) error {
	if held := c.largeBuffer(); held > 0 && !c.listener.account.Reserve(&e.entry, account.Receiving, held) {
		return errNoRoom
	}
	for searched := 0; ; {
		read, _ := c.buffer.Peek(c.buffer.Buffered())
		if length := headLength(read, searched); length > 0 || len(read) >= headerMax {
			return c.reserveHead(e, read[:length])
		}
		searched = len(read)
		if searched == c.buffer.Size() {
			size := min(2*searched, headerMax)
			if !c.listener.account.Reserve(&e.entry, account.Receiving, int64(size)) {
				return errNoRoom
			}
			c.resize(size)
		}
		if _, err := c.buffer.Peek(searched + 1); err != nil {
			return err
		}
	}
}

// largeBuffer returns the size of the read buffer if a header has made it grow; 0 otherwise.
func (c *conn) largeBuffer() int64 {
	if size := c.buffer.Size(); size > readBufferBytes {
		return int64(size)
	}
	return 0
}

// reserveHead reserves what the parser and the handler need for a header.
func (c *conn) reserveHead(e *transaction, head []byte) error {
	e.head = headCost(head)
	if !c.listener.account.Reserve(&e.entry, account.Receiving, e.head) {
		return errNoRoom
	}
	return nil
}

// pool returns the pool for requests whose headers need some bytes. Those of large ones are kept apart, so that their
// buffers are used again, but not for ordinary requests, which are not counted with them.
func (l loop) pool(head int64) *sync.Pool {
	if head > smallHeadMax {
		return l.large
	}
	return l.core.GetCtxPool()
}

func (l loop) newRequest(c *conn, head int64) *app.RequestContext {
	options := l.hertz.GetOptions()
	r := l.pool(head).Get().(*app.RequestContext)
	r.SetConn(c)
	r.Response.Header.SetNoDefaultDate(options.NoDefaultDate)
	r.Response.Header.SetNoDefaultContentType(options.NoDefaultContentType)
	if options.DisableHeaderNamesNormalizing {
		r.Request.Header.DisableNormalizing()
		r.Response.Header.DisableNormalizing()
	}
	if !options.NoDefaultServerHeader {
		r.Response.Header.SetServerBytes(l.hertz.GetServerName())
	}
	return r
}

// refuse answers a request that could not be read, after the responses to those before it.
func (c *conn) refuse(l loop, e *transaction, err error) {
	fault, answers := c.faultOf(e, err)
	c.drop(l, e)
	if !answers || !c.await(c.isQueueEmpty) {
		return
	}
	c.mu.Lock()
	c.ended, c.lingers = true, true
	c.mu.Unlock()
	_, _ = socketWriter{c}.Write((*c.listener.answer.Load())(fault).text())
}

// faultOf returns the fault of a request that could not be read. answers is false if the caller has left.
func (c *conn) faultOf(e *transaction, err error) (fault Fault, answers bool) {
	c.mu.Lock()
	ended, shed := c.ended, e.shed
	c.mu.Unlock()
	switch {
	case ended || errors.Is(err, errEnded):
		return 0, false
	case shed || errors.Is(err, errNoRoom) || isTimeout(c.readErr):
		return ReadTimeout, true
	case c.readErr != nil:
		return 0, false
	case errors.Is(err, errBodyTooLarge):
		return BodyTooLarge, true
	case errors.Is(err, errs.ErrHeaderTooLarge):
		return HeaderTooLarge, true
	}
	return Malformed, true
}

// drop gives up the memory of a request.
func (c *conn) drop(l loop, e *transaction) {
	c.listener.account.Release(&e.entry)
	r := e.request
	if r == nil || r.IsExiled() {
		return
	}
	e.request = nil
	r.Reset()
	l.pool(e.head).Put(r)
}
