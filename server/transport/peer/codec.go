package peer

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// messageStream turns frames into gob messages. Each message is one frame, so the size limit holds for
// the whole message and a partial message is never decoded.
type messageStream struct {
	conn    net.Conn
	reader  *bufio.Reader
	writer  *frameWriter
	max     int
	counter *Counters

	// readTimeout limits the wait for the next frame; 0 means no limit.
	readTimeout time.Duration
	lastRead    atomic.Int64

	// payload is the message that incoming reads; its memory is used again for the next one unless a value owns it.
	payload  []byte
	incoming bytes.Reader
	decoder  *gob.Decoder

	encodeMu sync.Mutex
	outgoing bytes.Buffer
	encoder  *gob.Encoder
}

func newMessageStream(conn net.Conn, limits Limits, counter *Counters) *messageStream {
	s := &messageStream{
		conn:    conn,
		writer:  &frameWriter{conn: conn, timeout: limits.WriteTimeout, max: limits.MaxMessageBytes, counter: counter},
		max:     limits.MaxMessageBytes,
		counter: counter,
	}
	s.reader = bufio.NewReader(&progressReader{conn: conn, lastRead: &s.lastRead})
	s.decoder = gob.NewDecoder(&s.incoming)
	s.encoder = gob.NewEncoder(&s.outgoing)
	s.lastRead.Store(time.Now().UnixNano())
	return s
}

// progressReader notes when bytes arrive. A large frame on a narrow link takes longer than the silence timeout, while its
// bytes show that the other end is there.
type progressReader struct {
	conn     net.Conn
	lastRead *atomic.Int64
}

// Read reads from the connection.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n > 0 {
		r.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// nextMessage reads frames until a data frame arrives and makes its payload available to the decoder.
// It answers pings on the way.
func (s *messageStream) nextMessage() error {
	for {
		if s.readTimeout > 0 {
			if err := s.conn.SetReadDeadline(time.Now().Add(s.readTimeout)); err != nil {
				return err
			}
		}
		if cap(s.payload) > maxRetainedBuffer {
			s.payload = nil
		}
		kind, payload, err := readFrame(s.reader, s.payload, s.max)
		if err != nil {
			return err
		}
		s.counter.bytesReceived.Add(int64(len(payload) + frameHeaderBytes))
		switch kind {
		case framePing:
			if err := s.writer.control(framePong); err != nil {
				return err
			}
		case frameData:
			s.payload = payload
			s.incoming.Reset(payload)
			return nil
		}
	}
}

// send encodes the header of a call and its value as one message.
func (s *messageStream) send(header, value any) error {
	value, body := detach(value)
	s.encodeMu.Lock()
	defer s.encodeMu.Unlock()
	s.outgoing.Reset()
	s.outgoing.Write(emptyHeader[:])
	for _, v := range [...]any{header, value} {
		if err := s.encoder.Encode(v); err != nil {
			// The encoder may have recorded types that the other end never saw.
			s.conn.Close()
			return &NotSentError{Cause: err}
		}
	}
	s.outgoing.Write(body)
	err := s.writer.write(frameData, s.outgoing.Bytes())
	if err != nil {
		s.conn.Close()
	}
	if s.outgoing.Cap() > maxRetainedBuffer {
		s.outgoing = bytes.Buffer{}
	}
	return err
}

// maxRetainedBuffer is the largest buffer, in bytes, that each direction of a connection keeps between messages.
const maxRetainedBuffer = 64 << 10

// emptyHeader is the space for the header of a frame.
var emptyHeader [frameHeaderBytes]byte

// clientCodec is the client half of net/rpc on a message stream.
type clientCodec struct {
	*messageStream
	// ended is called when nothing more can be read.
	ended func()
}

// WriteRequest sends a request. A body above the limit is refused before it is encoded: afterwards the connection
// would have to be closed, since the encoder's state would differ from the decoder's at the other end.
func (c *clientCodec) WriteRequest(r *rpc.Request, args any) error {
	if _, body := detach(args); len(body) > c.max {
		return &NotSentError{Cause: fmt.Errorf("%w: body of %d bytes, the limit is %d", ErrMessageTooLarge, len(body), c.max)}
	}
	return c.send(r, args)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.nextMessage(); err != nil {
		c.ended()
		return err
	}
	return c.decoder.Decode(r)
}

func (c *clientCodec) ReadResponseBody(body any) error {
	return c.decodeValue(body)
}

func (c *clientCodec) Close() error {
	return c.conn.Close()
}

// serverCodec is the server half of net/rpc on a message stream.
type serverCodec struct {
	*messageStream
	// pending limits the requests of one connection that run at the same time.
	pending chan struct{}
}

// replyPartBytes is how much of a reply has to be written within Limits.WriteTimeout.
const replyPartBytes = 32 << 10

func newServerCodec(conn net.Conn, limits Limits, counter *Counters) *serverCodec {
	stream := newMessageStream(conn, limits, counter)
	// A client closes a connection that is idle for IdleTimeout, so twice that means that it is gone.
	stream.readTimeout = 2 * limits.IdleTimeout
	// A client takes arriving bytes for a sign of life. If the server asked for the whole frame in time, a large one would be sent
	// again and again on a narrow link. A request is given up sooner, since its caller waits while it is written.
	stream.writer.partBytes = replyPartBytes
	return &serverCodec{messageStream: stream, pending: make(chan struct{}, limits.MaxPending)}
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.nextMessage(); err != nil {
		return io.EOF
	}
	if err := c.decoder.Decode(r); err != nil {
		return io.EOF
	}
	c.pending <- struct{}{}
	return nil
}

func (c *serverCodec) ReadRequestBody(body any) error {
	return c.decodeValue(body)
}

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	<-c.pending
	return c.send(r, body)
}

func (c *serverCodec) Close() error {
	return c.conn.Close()
}
