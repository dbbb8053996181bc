package httpserver

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"

	"wagtailford.example/server/transport/account"
)

const (
	// streamKey is the key of the rest of a body in the context of its request.
	streamKey = "httpserver.stream"
	// streamBytes is what a streamed body holds beside its first part: the piece that is being read, the one on its way to
	// the target, and its encoded copies.
	streamBytes = 128 << 10
	// unknownLength is the length of the rest of a chunked body.
	unknownLength = -1
)

// ErrTooSlow is the error of a body whose caller sends below the minimum rate.
var ErrTooSlow = errors.New("the caller sends the body too slowly")

// stream is the rest of a body, which the handler reads from the connection while it runs.
type stream struct {
	c      *conn
	e      *transaction
	source io.Reader
	// restBytes is the length, unknownLength if it is not known. left are the bytes that may still follow.
	restBytes, left int64
	// ctx is the context of the request. It ends also when the account has given up the request.
	ctx    context.Context
	cancel context.CancelFunc

	// mu is held while the connection is read.
	mu  sync.Mutex
	err error
	// behind is how much longer the caller has let the handler wait than its bytes take at the minimum rate.
	behind time.Duration

	// readUntil is the end of the time for the read in progress, zero for none; extended is true after it has been put off
	// at the limit.
	// They are guarded by the lock of the connection.
	readUntil time.Time
	extended  bool
	// closed is true after the handler has ended. It is guarded by the lock of the connection.
	closed bool
}

// startStream passes the rest of a body to the handler.
func (c *conn) startStream(e *transaction, read *segments, source io.Reader, length, bodyMax int) error {
	s := &stream{c: c, e: e, source: source, restBytes: unknownLength, left: int64(bodyMax - read.total)}
	if length >= 0 {
		s.restBytes = int64(length - read.total)
		s.left = s.restBytes
	}
	first, err := read.join()
	if err != nil {
		return err
	}
	if !c.listener.account.Reserve(&e.entry, account.Receiving, streamBytes) {
		return errNoRoom
	}
	e.bodyBytes = int64(cap(first))
	c.listener.account.Set(&e.entry, account.Receiving, e.head+e.bodyBytes+streamBytes)
	s.ctx, s.cancel = context.WithCancel(c.ctx)
	e.stream = s
	e.request.Request.SetBodyRaw(first)
	e.request.Set(streamKey, s)
	return nil
}

// Read reads what the caller has sent. It returns io.EOF only at the end of the body.
func (s *stream) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil && s.isClosed() {
		s.err = errEnded
	}
	if s.err != nil {
		return 0, s.err
	}
	began := s.beginRead()
	n, err := s.source.Read(p)
	s.left -= int64(n)
	s.endRead(began, n)
	if n > 0 {
		s.c.listener.account.Progress(&s.e.entry)
	}
	switch {
	case s.left < 0:
		s.err = errBodyTooLarge
		return 0, s.err
	case s.restBytes >= 0 && s.left == 0, err == io.EOF && s.restBytes < 0:
		s.err = s.finish()
	case err == io.EOF:
		s.err = io.ErrUnexpectedEOF
	default:
		s.err = err
	}
	if s.err != nil && s.isOverdue() {
		s.err = ErrTooSlow
		s.c.listener.account.RecordTooSlow()
	}
	if s.err != nil && !errors.Is(s.err, io.EOF) && s.c.readErr != nil && !isTimeout(s.c.readErr) {
		// The caller has left.
		s.c.cancel()
	}
	return n, s.err
}

// lastChance is added to the time for a read when the caller reaches the limit, and again only after it has caught up. What
// arrived while the process was stalled can then still be read.
const lastChance = 100 * time.Millisecond

// beginRead sets the time for a read. Only this time counts against the caller: the handler reads when the target has taken
// what came before.
func (s *stream) beginRead() time.Time {
	now := time.Now()
	limits := &s.c.listener.limits
	if limits.UploadRateMin <= 0 {
		return now
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.readUntil = now.Add(limits.UploadWindow - s.behind)
	s.extended = s.extended && s.behind == limits.UploadWindow
	return now
}

// endRead counts the time and the bytes of a read.
func (s *stream) endRead(began time.Time, n int) {
	limits := &s.c.listener.limits
	if limits.UploadRateMin <= 0 {
		return
	}
	needed := time.Duration(float64(n) / float64(limits.UploadRateMin) * float64(time.Second))
	s.behind = min(max(0, s.behind+time.Since(began)-needed), limits.UploadWindow)
}

// isOverdue reports whether the last read ended because the caller is too slow.
func (s *stream) isOverdue() bool {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return isTimeout(s.c.readErr) && s.extended && !s.c.interrupted() && !s.closed
}

// extend puts off the end of a read that has passed now, once. The caller decides by the same now whether the time is over. It
// is called with the lock of the connection held.
func (s *stream) extend(now time.Time) {
	if !s.readUntil.IsZero() && !s.extended && !s.readUntil.After(now) {
		s.readUntil, s.extended = now.Add(lastChance), true
	}
}

// finish ends a body that has been read whole, and returns io.EOF. The connection is read for the next request from then on.
func (s *stream) finish() error {
	c := s.c
	if s.restBytes < 0 {
		if err := ext.ReadTrailer(&protocol.Trailer{}, c); err != nil && err != io.EOF {
			return err
		}
	}
	c.listener.account.Set(&s.e.entry, account.Running, s.e.head+s.e.bodyBytes)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.closed || c.ended {
		return io.EOF
	}
	c.resize(readBufferBytes)
	c.streaming, c.arrived = nil, c.buffer.Buffered() > 0
	select {
	case c.changed <- struct{}{}:
	default:
	}
	return io.EOF
}

func (s *stream) isClosed() bool {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.closed
}

// close ends the use of the body by the handler, and reports whether it has been read whole. If not, the connection has to be
// closed.
func (s *stream) close() (whole bool) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.closed = true
	s.cancel()
	return s.c.streaming != s.e
}

func (c *conn) isNotStreaming() bool { return c.streaming == nil }
