package httpclient

import (
	"errors"
	"fmt"
	"io"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// bodyPartBytes is the size of the parts in which a body is moved from the buffer of the connection. Memory follows the bytes
// that have arrived, not those that the framing announces.
const bodyPartBytes = 32 << 10

// readBody reads the body of a response whose head was read. needsEnd reports that it counts only if the connection ends with it.
func (c *Client) readBody(resp *protocol.Response, r *reader) (needsEnd bool, err error) {
	b := body{response: resp, reader: r, max: c.limits.BodyMaxBytes, trailerMax: c.limits.HeaderMaxBytes}
	resp.BodyBuffer().Reset()
	r.max = max(c.limits.HeaderMaxBytes, bodyPartBytes)
	switch length := resp.Header.ContentLength(); {
	case length >= 0:
		err = b.take(length)
	case length == bodyUntilClose && !c.limits.UnframedBodies:
		return false, ErrCut
	case length == bodyUntilClose:
		err = b.takeUntilClose()
	default:
		err = b.takeChunks()
	}
	if err != nil {
		return false, cut(r, err)
	}
	resp.Header.SetContentLength(len(resp.BodyBuffer().B))
	return b.unusualChunks, nil
}

// body is the body of one response while it is read.
type body struct {
	response *protocol.Response
	reader   *reader
	max      int
	// trailerMax limits the bytes of the trailer, and those of all chunk extensions.
	trailerMax int
	// unusualChunks means that a chunk line is valid, but in a form that one changed byte could have made of another size.
	unusualChunks bool
}

// take moves the next n bytes into the body.
func (b *body) take(n int) error {
	buf := b.response.BodyBuffer()
	if n > b.max-len(buf.B) {
		return ErrTooLarge
	}
	for n > 0 {
		part, err := b.reader.Peek(min(n, bodyPartBytes))
		if err != nil {
			return err
		}
		if err := b.append(part); err != nil {
			return err
		}
		n -= len(part)
	}
	return nil
}

// append moves bytes that are buffered into the body.
func (b *body) append(part []byte) error {
	buf := b.response.BodyBuffer()
	if len(buf.B)+len(part) > smallBodyBytes && b.reader.large != nil {
		if err := b.reader.large(); err != nil {
			return err
		}
	}
	buf.B = append(buf.B, part...)
	return b.reader.Skip(len(part))
}

// takeUntilClose reads a body that ends with an orderly end of the connection. A response without Connection: close does not
// announce such an end, but nothing else can end it.
func (b *body) takeUntilClose() error {
	for {
		_, err := b.reader.Peek(1)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if b.reader.Len() > b.max-len(b.response.BodyBuffer().B) {
			return fmt.Errorf("%w: no end after %d bytes", ErrTooLarge, b.max)
		}
		part, err := b.reader.Peek(b.reader.Len())
		if err != nil {
			return err
		}
		if err := b.append(part); err != nil {
			return err
		}
	}
}
