package httpclient

import (
	"bytes"
	"fmt"
	"io"
)

const (
	readBufferBytes = 4 << 10
	// readBufferKeepBytes is the largest buffer that an idle connection keeps.
	readBufferKeepBytes = 64 << 10
)

// reader buffers a connection and remembers the error that ended it.
type reader struct {
	src  io.Reader
	buf  []byte
	from int
	to   int
	// max limits the bytes that are buffered at a time.
	max int
	err error
	// large is called before a body grows beyond smallBodyBytes, and may wait; nil without a limit.
	large func() error
	// progress is called when bytes arrived; it may be nil.
	progress func()
}

func newReader(src io.Reader) *reader {
	return &reader{src: src, buf: make([]byte, readBufferBytes), max: readBufferBytes}
}

// Peek returns the next n bytes without consuming them, and an error if there are fewer.
func (r *reader) Peek(n int) ([]byte, error) {
	for r.Len() < n {
		if r.err != nil {
			return r.buf[r.from:r.to], r.err
		}
		if n > r.max {
			r.err = ErrTooLarge
			continue
		}
		r.fill(n)
	}
	return r.buf[r.from : r.from+n], nil
}

var (
	// errLineTooLong means that a line has no end within its limit.
	errLineTooLong = fmt.Errorf("%w: line", ErrTooLarge)
	// errBareLineEnd means that a line holds a CR without LF, or an LF without CR.
	errBareLineEnd = fmt.Errorf("%w: CR or LF alone in a line", ErrMalformed)
)

// lineEndBytes are the bytes of which a line may hold none but its end.
const lineEndBytes = "\r\n"

// readLine consumes a line of at most limit bytes, with the CRLF that ends it, and returns it without this end. It is valid until
// the next read. A CR or LF alone is ErrMalformed, as soon as it has arrived.
func (r *reader) readLine(limit int) ([]byte, error) {
	for searched := 0; ; {
		buffered := r.buf[r.from:r.to]
		window := buffered[:min(len(buffered), limit)]
		end := bytes.IndexAny(window[searched:], lineEndBytes)
		if end < 0 {
			end = len(window)
		} else {
			end += searched
		}
		switch rest := window[end:]; {
		case bytes.HasPrefix(rest, crlf):
			r.from += end + len(crlf)
			return window[:end], nil
		case len(rest) > 1 || len(rest) == 1 && rest[0] == '\n':
			return nil, errBareLineEnd
		case len(window) == limit:
			return nil, errLineTooLong
		}
		searched = end
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			return nil, err
		}
	}
}

// fill reads once into a buffer that has room for n bytes.
func (r *reader) fill(n int) {
	if len(r.buf)-r.from < n {
		r.grow(n)
	}
	got, err := r.src.Read(r.buf[r.to:])
	r.to += got
	if got > 0 && r.progress != nil {
		r.progress()
	}
	if err != nil {
		r.err = err
	}
}

func (r *reader) grow(n int) {
	buf := r.buf
	if n > len(buf) {
		buf = make([]byte, max(n, min(2*len(buf), r.max)))
	}
	r.to = copy(buf, r.buf[r.from:r.to])
	r.from = 0
	r.buf = buf
}

// Skip consumes n bytes that are buffered.
func (r *reader) Skip(n int) error {
	if n > r.Len() {
		return io.ErrUnexpectedEOF
	}
	r.from += n
	return nil
}

// Release drops a buffer that has become large. No returned slice may be used afterwards.
func (r *reader) Release() error {
	if r.Len() > 0 {
		return nil
	}
	r.from = 0
	r.to = 0
	if len(r.buf) > readBufferKeepBytes {
		r.buf = make([]byte, readBufferBytes)
	}
	return nil
}

// Len returns the number of buffered bytes.
func (r *reader) Len() int { return r.to - r.from }

// ReadByte consumes one byte.
func (r *reader) ReadByte() (byte, error) {
	b, err := r.Peek(1)
	if err != nil {
		return 0, err
	}
	r.from++
	return b[0], nil
}

// ReadBinary consumes n bytes and returns a copy.
func (r *reader) ReadBinary(n int) ([]byte, error) {
	b, err := r.Peek(n)
	if err != nil {
		return nil, err
	}
	out := append([]byte(nil), b...)
	r.from += n
	return out, nil
}
