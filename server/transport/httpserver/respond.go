package httpserver

import (
	"bufio"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"wagtailford.example/server/transport/account"
)

// responseOverhead is what a response holds beside its body.
const responseOverhead = 512

// handle runs a request and writes the responses that are ready.
func (c *conn) handle(l loop, e *transaction) {
	defer c.handlers.Done()
	// A request of a caller that has left is dropped, because its response would be lost.
	if c.isGone() {
		c.Close()
		c.complete(l, e)
		return
	}
	r := e.request
	ctx := c.ctx
	if e.stream != nil {
		ctx = e.stream.ctx
	}
	l.core.ServeHTTP(ctx, r)
	if !r.IsGet() && r.IsHead() {
		r.Response.SkipBody = true
	}
	r.Request.ResetBody()
	unread := e.stream != nil && !e.stream.close()
	c.listener.account.Set(&e.entry, account.Responding, e.head)
	size := int64(len(r.Response.BodyBytes()) + responseOverhead)
	if !c.listener.account.Reserve(&e.entry, account.Responding, size) {
		c.Close()
	}
	c.mu.Lock()
	e.closes, e.response = e.closes || unread || r.Response.ConnectionClose(), size
	c.draining = c.draining || !l.core.IsRunning()
	c.mu.Unlock()
	c.complete(l, e)
}

// complete marks a request as done and writes the responses at the front of the queue, unless another goroutine does.
func (c *conn) complete(l loop, e *transaction) {
	c.mu.Lock()
	e.done = true
	c.waitingBytes += e.response
	if c.writing {
		c.mu.Unlock()
		return
	}
	c.writing = true
	for len(c.queue) > 0 && c.queue[0].done {
		first := c.queue[0]
		first.closes = first.closes || c.closesAfter(first)
		ended := c.ended || c.ctx.Err() != nil
		c.mu.Unlock()
		if !ended {
			ended = c.write(first) != nil
		}
		c.mu.Lock()
		c.queue = slices.Delete(c.queue, 0, 1)
		c.waitingBytes -= first.response
		if !c.ended && (ended || first.closes) {
			c.finish(ended)
		}
		c.mu.Unlock()
		c.drop(l, first)
		c.mu.Lock()
	}
	c.writing = false
	idle := c.isIdle()
	if idle {
		c.waitingSince = time.Now()
		if until := c.readDeadline(); !until.IsZero() && (c.armed.IsZero() || c.armed.After(until)) {
			c.arm(until)
		}
	}
	closes := c.ended && !c.lingers || idle && c.listener.stopping.Load()
	c.mu.Unlock()
	if closes {
		c.Close()
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// finish ends the output. A connection on which more has arrived is closed by the goroutine that reads. It is called with
// the lock held.
func (c *conn) finish(failed bool) {
	c.lingers = !failed && (c.arrived || c.receiving != nil || c.streaming != nil || len(c.queue) > 0)
	c.ended = true
	c.interrupt()
	c.cancel()
}

// closesAfter reports whether the connection closes after the response to a request because none follows. It is called with
// the lock held.
func (c *conn) closesAfter(e *transaction) bool {
	if len(c.queue) > 1 {
		return false
	}
	return c.draining || e.closesIfLast && !c.arrived && c.receiving == nil
}

// CloseAfterPending makes the connection of a request close once all of its requests that have been read are answered. No
// more are read. Response.SetConnectionClose cancels the requests behind it instead.
func CloseAfterPending(r *app.RequestContext) {
	c, ok := r.GetConn().(*conn)
	if !ok {
		r.SetConnectionClose()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// CloseWithoutResponse closes the connection of a request at once.
func CloseWithoutResponse(r *app.RequestContext) {
	if conn := r.GetConn(); conn != nil {
		// A connection that is closed already needs nothing more.
		_ = conn.Close()
	}
}

// CloseIfLast makes the connection of a request close after its response, unless another request has arrived by then.
func CloseIfLast(r *app.RequestContext) {
	c, ok := r.GetConn().(*conn)
	if !ok {
		r.SetConnectionClose()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.queue {
		e.closesIfLast = e.closesIfLast || e.request == r
	}
}

// write writes one response.
func (c *conn) write(e *transaction) error {
	if e.closes {
		e.request.Response.Header.SetCanonical([]byte("Connection"), []byte("close"))
	} else if !e.request.Request.Header.IsHTTP11() {
		e.request.Response.Header.SetCanonical([]byte("Connection"), []byte("keep-alive"))
	}
	buffer := writers.Get().(*bufio.Writer)
	buffer.Reset(socketWriter{c})
	w := &writer{Writer: buffer}
	err := resp.Write(&e.request.Response, w)
	if err == nil {
		err = w.Flush()
	}
	buffer.Reset(nil)
	writers.Put(buffer)
	return err
}

// end closes the connection after the last request has been read.
func (c *conn) end() {
	c.mu.Lock()
	c.ended = true
	lingers := c.lingers
	c.mu.Unlock()
	c.cancel()
	if lingers {
		c.linger()
	}
	c.Close()
}
