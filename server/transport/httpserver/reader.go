package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"
)

// readBufferBytes is the size of the buffer of a connection. Nearly every header fits.
const readBufferBytes = 4 << 10

// errShortSkip means that more bytes were to be skipped than have been read.
var errShortSkip = errors.New("not enough bytes to skip")

// reader is the buffered input of a connection. It implements network.Reader for the parser of the library. The buffer of
// the library itself is not used, because it keeps all bytes of a request, and a copy of each longer view of them, until
// the request has been answered.
type reader struct {
	source io.Reader
	buffer *bufio.Reader
}

func newReader(source io.Reader) reader {
	return reader{source: source, buffer: bufio.NewReaderSize(source, readBufferBytes)}
}

// Peek returns the next n bytes without advancing.
func (r *reader) Peek(n int) ([]byte, error) { return r.buffer.Peek(n) }

// Skip discards n bytes.
func (r *reader) Skip(n int) error {
	if n > r.buffer.Buffered() {
		return errShortSkip
	}
	_, err := r.buffer.Discard(n)
	return err
}

// Release does nothing, since the buffer is reused.
func (r *reader) Release() error { return nil }

// Len returns the number of bytes that have been read from the connection.
func (r *reader) Len() int { return r.buffer.Buffered() }

// ReadByte returns the next byte.
func (r *reader) ReadByte() (byte, error) { return r.buffer.ReadByte() }

// ReadBinary returns a copy of the next n bytes.
func (r *reader) ReadBinary(n int) ([]byte, error) {
	b := make([]byte, n)
	_, err := io.ReadFull(r.buffer, b)
	return b, err
}

// resize replaces the buffer by one of another size that holds what has been read.
func (r *reader) resize(size int) {
	read, _ := r.buffer.Peek(r.buffer.Buffered())
	if len(read) > size || size == r.buffer.Size() {
		return
	}
	next := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(read)), r.source), size)
	_, _ = next.Peek(len(read))
	r.buffer = next
}

// headLength returns the length of the header that b starts with; 0 if it is not complete. Bytes before from have been
// searched before.
func headLength(b []byte, from int) int {
	from = max(0, from-len("\r\n\r\n"))
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if at := bytes.Index(b[from:], []byte(end)); at >= 0 {
			return from + at + len(end)
		}
	}
	return 0
}

// writers holds the buffers that responses are written through.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// writer implements network.Writer for the library. Responses of usual size are written at once.
type writer struct {
	*bufio.Writer
	// pending is the buffer that Malloc has returned last. The library fills it later.
	pending []byte
}

// Malloc returns a buffer for the next n bytes.
func (w *writer) Malloc(n int) ([]byte, error) {
	if err := w.takePending(); err != nil {
		return nil, err
	}
	w.pending = make([]byte, n)
	return w.pending, nil
}

func (w *writer) takePending() error {
	pending := w.pending
	w.pending = nil
	_, err := w.Writer.Write(pending)
	return err
}

// WriteBinary writes b.
func (w *writer) WriteBinary(b []byte) (int, error) {
	if err := w.takePending(); err != nil {
		return 0, err
	}
	return w.Writer.Write(b)
}

// Write writes b.
func (w *writer) Write(b []byte) (int, error) { return w.WriteBinary(b) }

// Flush writes what is buffered.
func (w *writer) Flush() error {
	if err := w.takePending(); err != nil {
		return err
	}
	return w.Writer.Flush()
}

// fieldBytes is what the parser and the handler need for a header field beside its text, of which they make three copies.
const fieldBytes = 160

// headCost returns the bytes that a request with a header holds while it runs.
func headCost(head []byte) int64 {
	return int64(3*len(head) + fieldBytes*bytes.Count(head, []byte{'\n'}))
}
