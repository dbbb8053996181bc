package transfer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"wagtailford.example/server/protocol/wire"
)

// MaxWholeBytes is the size above which a body is not buffered whole but streamed in pieces of ChunkBytes.
const MaxWholeBytes = 1 << 20

// ErrTooLarge means that a streamed body is longer than the limit of bodies.
var ErrTooLarge = errors.New("body too large")

// Stream is a body at the node that received it. Its first part is held; the rest is read from the caller when the
// executing node asks for it, and only once. It is safe for concurrent use.
type Stream struct {
	first     []byte
	rest      io.Reader
	restBytes int64
	// started is true once a piece beyond the first part has been asked for.
	started atomic.Bool

	// mu is held while rest is read.
	mu   sync.Mutex
	read int64
	err  error
}

// NewStream returns the stream of a body. restBytes is the length of rest, -1 if it is not known.
func NewStream(first []byte, rest io.Reader, restBytes int64) *Stream {
	return &Stream{first: first, rest: rest, restBytes: restBytes}
}

// Started reports whether a piece beyond the first part has been handed out, so that no other node can read the body.
func (s *Stream) Started() bool { return s.started.Load() }

// Bytes returns the length of the body, -1 if it is not known.
func (s *Stream) Bytes() int64 {
	if s.restBytes < 0 {
		return -1
	}
	return int64(len(s.first)) + s.restBytes
}

// piece returns the piece at an offset. end is true if the body ends with it.
func (s *Stream) piece(offset int) (piece []byte, end bool, err error) {
	if offset < len(s.first) {
		return s.first[offset:min(offset+ChunkBytes, len(s.first))], false, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil || int64(offset-len(s.first)) != s.read {
		return nil, false, errNoBody
	}
	piece = make([]byte, ChunkBytes)
	n := 0
	for n < len(piece) && s.err == nil {
		var got int
		got, s.err = s.rest.Read(piece[n:])
		n += got
	}
	s.read += int64(n)
	if s.err == io.EOF && s.restBytes >= 0 && s.read != s.restBytes {
		s.err = io.ErrUnexpectedEOF
	}
	if s.err != nil && s.err != io.EOF {
		return nil, false, fmt.Errorf("read body from the caller: %w", s.err)
	}
	return piece[:n], s.err == io.EOF, nil
}

// AddStream makes a streamed body available for one attempt until the returned function is called. That function reports
// whether any piece has been asked for; if not, no target has received or will receive a byte of the request.
func (s *BodyStore) AddStream(id uint64, body *Stream) (remove func() (asked bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams == nil {
		s.streams = make(map[uint64]*storedStream)
	}
	stored := &storedStream{body: body}
	s.streams[id] = stored
	s.counts.Attempts++
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.streams, id)
		return stored.asked
	}
}

// storedStream is a streamed body available to one attempt.
type storedStream struct {
	body  *Stream
	asked bool
}

// ask returns the streamed body of an attempt, and records that the piece at an offset is handed out; nil if there is none.
func (s *BodyStore) ask(id uint64, offset int) *Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.streams[id]
	if stored == nil || offset < 0 {
		return nil
	}
	stored.asked = true
	s.counts.Pieces++
	if offset >= len(stored.body.first) {
		stored.body.started.Store(true)
	}
	return stored.body
}

// StreamCounts are the counters of streamed bodies that this node sends.
type StreamCounts struct {
	// Open is the number of attempts in progress.
	Open             int
	Attempts, Pieces int64
}

// StreamCounts returns the counters of streamed bodies.
func (s *BodyStore) StreamCounts() StreamCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Open = len(s.streams)
	return counts
}

// SetLocal sets the function that reads the bodies of requests received by this node itself.
func (f *Fetcher) SetLocal(read func(args *wire.BodyArgs, reply *wire.BodyReply) error) {
	f.local = read
}

// StreamTime returns the time that a streamed body needs at least on the link of this node; 0 if that is not known.
func (f *Fetcher) StreamTime(bytes int64) time.Duration {
	return f.schedule.transferTime(int(max(bytes, 0)))
}

// AcceptsStream reports whether a body of a stated length, -1 if not known, is within the limit.
func (f *Fetcher) AcceptsStream(bytes int64) bool { return bytes <= int64(f.bytesMax()) }

// Pieces reads a streamed body at the executing node, one piece after the other. It is not safe for concurrent use.
type Pieces struct {
	fetcher *Fetcher
	request *wire.Request
	offset  int
	ended   bool
}

// Stream returns the pieces of the streamed body of a request.
func (f *Fetcher) Stream(r *wire.Request) *Pieces { return &Pieces{fetcher: f, request: r} }

// Next returns the next piece; io.EOF after the last one.
func (p *Pieces) Next(ctx context.Context) ([]byte, error) {
	if p.ended {
		return nil, io.EOF
	}
	var reply wire.BodyReply
	if err := p.fetcher.read(ctx, p.request.FromAddress, &wire.BodyArgs{ID: p.request.ID, Offset: p.offset}, &reply); err != nil {
		return nil, fmt.Errorf("read body piece from %s: %w", p.request.From, err)
	}
	p.offset += len(reply.Body)
	p.ended = reply.End
	total := p.request.Stream.Bytes
	switch {
	case len(reply.Body) == 0 && !p.ended, total >= 0 && int64(p.offset) > total, total >= 0 && p.ended != (int64(p.offset) == total):
		return nil, fmt.Errorf("%w: piece of %d bytes up to %d of %d, end %v", errChunkSize, len(reply.Body), p.offset, total, reply.End)
	case p.offset > p.fetcher.bytesMax():
		return nil, ErrTooLarge
	case len(reply.Body) == 0:
		return nil, io.EOF
	}
	return reply.Body, nil
}

// read reads a piece from another node, or from this one if there is no address. A read from this node may block on the
// caller's connection and is left behind when ctx ends; it ends with that connection.
func (f *Fetcher) read(ctx context.Context, address string, args *wire.BodyArgs, reply *wire.BodyReply) error {
	if address != "" {
		return f.call(ctx, address, methodRead, args, reply)
	}
	type result struct {
		reply wire.BodyReply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		var r result
		r.err = f.local(args, &r.reply)
		done <- r
	}()
	select {
	case r := <-done:
		*reply = r.reply
		return r.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
