package httpserver

import (
	"bytes"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"

	"wagtailford.example/server/transport/account"
)

// SetBody sets the body of a response as it is. headLength is the length to state in a response to HEAD. An empty body
// is set as a stream, because the library puts its own text in place of an empty body with status 404 otherwise.
func SetBody(c *app.RequestContext, body []byte, headLength int) {
	if len(body) > 0 {
		c.Response.SetBodyRaw(body)
		return
	}
	length := 0
	if string(c.Request.Method()) == "HEAD" {
		length = headLength
	}
	c.Response.SetBodyStream(bytes.NewReader(nil), length)
}

// Body is the body of a request.
type Body struct {
	// First is the first part. The server does not use it again, so it may be kept.
	First []byte
	// Rest is what follows First; nil if First is all of it.
	Rest io.Reader
	// RestBytes is the length of Rest, -1 if it is not known.
	RestBytes int64
}

// BodyOf returns the body of a request to a server of this package.
func BodyOf(c *app.RequestContext) Body {
	body := Body{First: c.Request.Body()}
	if value, ok := c.Get(streamKey); ok {
		s := value.(*stream)
		body.Rest, body.RestBytes = s, s.restBytes
	}
	return body
}

// IsTooSlow reports whether the rest of the body was given up because its caller sent below the minimum rate.
func (b *Body) IsTooSlow() bool {
	s, ok := b.Rest.(*stream)
	if !ok {
		return false
	}
	// A read in progress has not given up.
	if !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	return errors.Is(s.err, ErrTooSlow)
}

const (
	// segmentMin and segmentMax bound the pieces that a body arrives in. Each is as long as all before it, so that what is
	// reserved follows what has arrived.
	segmentMin = 2 << 10
	segmentMax = 64 << 10
)

var (
	errBodyTooLarge = errors.New("body too large")
	errNoRoom       = errors.New("no room for the body")
)

// segments collects a body whose pieces are reserved in the account as they are needed.
type segments struct {
	account *account.Shared
	entry   *account.Entry
	pieces  [][]byte
	total   int
}

// readFrom reads a body, or its first whole+1 bytes if it may be longer; more is true then. length is the announced length, or
// less than 0; max limits the bytes. The first part does not depend on how the bytes arrive, so that it identifies a request.
func (s *segments) readFrom(r io.Reader, length, whole, max int) (more bool, err error) {
	limit := whole + 1
	if length >= 0 {
		limit = min(limit, length)
	}
	for length < 0 || s.total < length {
		if s.total > whole {
			return true, nil
		}
		piece, err := s.space(limit)
		if err != nil {
			return false, err
		}
		n, err := r.Read(piece[len(piece):cap(piece)])
		s.pieces[len(s.pieces)-1] = piece[:len(piece)+n]
		s.total += n
		switch {
		case s.total > max:
			return false, errBodyTooLarge
		case err == io.EOF && length < 0:
			return false, nil
		case err != nil:
			return false, err
		}
		if n > 0 {
			s.account.Progress(s.entry)
		}
	}
	return false, nil
}

// space returns a piece with room for more bytes, up to limit in all.
func (s *segments) space(limit int) ([]byte, error) {
	if last := len(s.pieces) - 1; last >= 0 && len(s.pieces[last]) < cap(s.pieces[last]) {
		return s.pieces[last], nil
	}
	size := min(max(s.total, segmentMin), segmentMax, limit-s.total)
	if !s.account.Reserve(s.entry, account.Receiving, int64(size)) {
		return nil, errNoRoom
	}
	piece := make([]byte, 0, size)
	s.pieces = append(s.pieces, piece)
	return piece, nil
}

// join returns the body in one piece and gives up the others.
func (s *segments) join() ([]byte, error) {
	if len(s.pieces) == 0 {
		return nil, nil
	}
	if first := s.pieces[0]; len(s.pieces) == 1 && len(first) > cap(first)/2 {
		return first, nil
	}
	if !s.account.Reserve(s.entry, account.Receiving, int64(s.total)) {
		return nil, errNoRoom
	}
	body := make([]byte, 0, s.total)
	for i, piece := range s.pieces {
		body = append(body, piece...)
		s.pieces[i] = nil
	}
	return body, nil
}

// readBody reads the body of the request of a transaction and sets it there.
func (c *conn) readBody(e *transaction, bodyMax int) error {
	header := &e.request.Request.Header
	length := header.ContentLength()
	if length == noLength {
		if !header.IgnoreBody() {
			header.SetContentLength(0)
		}
		return nil
	}
	if length > bodyMax {
		return errBodyTooLarge
	}
	var source io.Reader = c.buffer
	if length == chunkedLength {
		source = httputil.NewChunkedReader(c.buffer)
	} else {
		source = io.LimitReader(source, int64(length))
	}
	read := segments{account: c.listener.account, entry: &e.entry}
	more, err := read.readFrom(source, length, c.listener.wholeBodyMaxBytes(), bodyMax)
	if err != nil {
		return err
	}
	if more {
		return c.startStream(e, &read, source, length, bodyMax)
	}
	if length == chunkedLength {
		if err := ext.ReadTrailer(header.Trailer(), c); err != nil && err != io.EOF {
			return err
		}
	}
	body, err := read.join()
	if err != nil {
		return err
	}
	if len(body) > 0 {
		e.request.Request.SetBodyRaw(body)
	}
	e.bodyBytes = int64(cap(body))
	header.SetContentLength(len(body))
	return nil
}
