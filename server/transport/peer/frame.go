package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Kinds of frames on a connection.
const (
	frameData byte = iota + 1
	framePing
	framePong
)

// frameHeaderBytes is the size of a frame header: one byte kind, four bytes payload length.
const frameHeaderBytes = 5

// ErrFrame means that the other end sent bytes that are not a valid frame.
var ErrFrame = errors.New("invalid frame")

// readFrame reads one frame into buf, or into new memory if buf is too small. It refuses a payload above maxBytes
// before it allocates memory for it.
func readFrame(r *bufio.Reader, buf []byte, maxBytes int) (kind byte, payload []byte, err error) {
	header, err := r.Peek(frameHeaderBytes)
	if err != nil {
		return 0, nil, err
	}
	kind = header[0]
	size := binary.BigEndian.Uint32(header[1:])
	if kind < frameData || kind > framePong {
		return 0, nil, fmt.Errorf("%w: kind %d", ErrFrame, kind)
	}
	if uint64(size) > uint64(maxBytes) {
		return 0, nil, fmt.Errorf("%w: %d bytes, the limit is %d", ErrFrame, size, maxBytes)
	}
	if kind != frameData && size != 0 {
		return 0, nil, fmt.Errorf("%w: payload in a frame of kind %d", ErrFrame, kind)
	}
	if _, err := r.Discard(frameHeaderBytes); err != nil {
		return 0, nil, err
	}
	if int(size) > cap(buf) {
		buf = make([]byte, size)
	}
	payload = buf[:size]
	if _, err := io.ReadFull(r, payload); err != nil {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return kind, payload, nil
}

// frameWriter writes frames to a connection; it is safe for concurrent use.
type frameWriter struct {
	mu      sync.Mutex
	conn    net.Conn
	timeout time.Duration
	max     int
	counter *Counters
	// partBytes is how much has to be written within the timeout; 0 for the whole frame.
	partBytes int
}

// write sends one frame. The payload must start with frameHeaderBytes spare bytes.
func (w *frameWriter) write(kind byte, frame []byte) error {
	size := len(frame) - frameHeaderBytes
	if size > w.max {
		return &NotSentError{Cause: fmt.Errorf("%w: message of %d bytes, the limit is %d", ErrFrame, size, w.max)}
	}
	frame[0] = kind
	binary.BigEndian.PutUint32(frame[1:], uint32(size))
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(frame) > 0 {
		part := frame
		if w.partBytes > 0 {
			part = frame[:min(w.partBytes, len(frame))]
		}
		if err := w.writePart(part); err != nil {
			// The other end never acts on a partial frame, so a failed write is a request that was not sent.
			w.conn.Close()
			return &NotSentError{Cause: err}
		}
		frame = frame[len(part):]
	}
	return nil
}

func (w *frameWriter) writePart(part []byte) error {
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return err
	}
	n, err := w.conn.Write(part)
	w.counter.bytesSent.Add(int64(n))
	return err
}

// control sends a frame without payload.
func (w *frameWriter) control(kind byte) error {
	return w.write(kind, make([]byte, frameHeaderBytes))
}
