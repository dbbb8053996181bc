package httpclient

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/common/utils"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that a response breaks the grammar of RFC 9110 or RFC 9112, or that its framing is ambiguous or unknown.
// docs/design/responses.md states the grammar. It is an ErrCut.
var ErrMalformed = fmt.Errorf("%w: malformed", ErrCut)

// Content lengths by which the header of hertz tells bodies that end otherwise.
const (
	bodyChunked = -1
	// bodyUntilClose is that of a body that ends with the connection.
	bodyUntilClose = -2
)

// emptyLinesMax limits the empty lines before a status line, which some servers send after a body.
const emptyLinesMax = 1

// Positions in a status line such as "HTTP/1.1 200 OK".
const (
	minorVersionAt = 7
	statusAt       = 9
	statusEnd      = 12
)

// readHead reads the head of one response. needsEnd reports that the body counts only if the connection ends with it. The codec of
// hertz is not used for it: it takes a malformed field for another one or for none.
func readHead(h *protocol.ResponseHeader, r *reader, maxBytes int) (needsEnd bool, err error) {
	h.ResetSkipNormalize()
	lines := lineReader{reader: r, left: maxBytes}
	if err := readStatusLine(h, &lines); err != nil {
		return false, err
	}
	var c connectionFields
	for {
		line, err := lines.next()
		if err != nil {
			return false, err
		}
		if len(line) == 0 {
			return c.unusualLength, c.apply(h)
		}
		name, value, err := parseField(line)
		if err != nil {
			return false, err
		}
		if err := c.add(h, name, value); err != nil {
			return false, err
		}
	}
}

// lineReader reads lines that end with CRLF. RFC 9112, section 2.2, lets a recipient take LF alone as well, but a sender must
// not write it: an LF that slipped into a head would end its line, or the head.
type lineReader struct {
	reader *reader
	// left is the number of bytes that all further lines may have.
	left int
}

// next returns the next line without its end. It is valid until the next read.
func (l *lineReader) next() ([]byte, error) {
	line, err := l.reader.readLine(l.left)
	l.left -= len(line) + len(crlf)
	return line, err
}

// readStatusLine reads the status line: the protocol HTTP/1.x, a status of three digits from 100 to 599, and a reason that may
// be left out.
func readStatusLine(h *protocol.ResponseHeader, lines *lineReader) error {
	for range emptyLinesMax + 1 {
		line, err := lines.next()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			continue
		}
		if !isStatusLine(line) {
			return fmt.Errorf("%w: status line %.*q", ErrMalformed, quotedMax, line)
		}
		h.SetProtocol(consts.HTTP11)
		if line[minorVersionAt] == '0' {
			h.SetProtocol(consts.HTTP10)
		}
		status, _ := strconv.Atoi(string(line[statusAt:statusEnd]))
		h.SetStatusCode(status)
		return nil
	}
	return fmt.Errorf("%w: more than %d empty lines before the status line", ErrTooLarge, emptyLinesMax)
}

func isStatusLine(line []byte) bool {
	if len(line) < statusEnd || len(line) > statusEnd && line[statusEnd] != ' ' {
		return false
	}
	status := line[statusAt:statusEnd]
	return string(line[:minorVersionAt]) == "HTTP/1." && isDigit(line[minorVersionAt]) && line[statusAt-1] == ' ' &&
		status[0] >= '1' && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2]) &&
		httpguts.ValidHeaderFieldValue(string(line[statusEnd:]))
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// quotedMax limits what an error quotes of a response, in bytes.
const quotedMax = 40

// parseField splits a field line: a token, a colon right after it, and a value without control bytes other than tabs. The value is
// returned with the blanks and tabs around it. A folded line is malformed, as RFC 9112, section 5.2, lets a gateway decide.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return nil, nil, fmt.Errorf("%w: field name %.*q", ErrMalformed, quotedMax, name)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return nil, nil, fmt.Errorf("%w: control byte in the value of field %.*q", ErrMalformed, quotedMax, name)
	}
	return name, value, nil
}

// connectionFields is what the fields of a head say of the connection and of the end of the body.
type connectionFields struct {
	chunked   bool
	length    int
	hasLength bool
	// unusualLength means that the length is valid, but in a form that one changed byte could have made of another length.
	unusualLength    bool
	close, keepAlive bool
}

// add takes over one field. Blanks and tabs around the value do not belong to it.
func (c *connectionFields) add(h *protocol.ResponseHeader, name, padded []byte) error {
	utils.NormalizeHeaderKey(name, false)
	value := bytes.Trim(padded, " \t")
	switch string(name) {
	case consts.HeaderContentLength:
		return c.addLength(string(padded))
	case consts.HeaderTransferEncoding:
		return c.addCoding(value)
	case consts.HeaderTrailer:
		return checkAnnouncedTrailer(string(value))
	case consts.HeaderConnection:
		list := []string{string(value)}
		c.close = c.close || httpguts.HeaderValuesContainsToken(list, "close")
		c.keepAlive = c.keepAlive || httpguts.HeaderValuesContainsToken(list, "keep-alive")
	}
	addField(h, name, value)
	return nil
}

// addLength takes a length of decimal digits. Several lengths, in one field or in more, must be equal (RFC 9112, section 6.3). The
// usual form is one field with one blank or none and the digits, without leading zeros.
func (c *connectionFields) addLength(padded string) error {
	repeated := c.hasLength
	for text := range strings.SplitSeq(padded, ",") {
		length, err := strconv.ParseUint(strings.Trim(text, " \t"), 10, strconv.IntSize-1)
		if err != nil {
			return fmt.Errorf("%w: content length %.*q", ErrMalformed, quotedMax, padded)
		}
		if c.hasLength && c.length != int(length) {
			return fmt.Errorf("%w: content lengths %d and %d", ErrMalformed, c.length, length)
		}
		c.length, c.hasLength = int(length), true
	}
	c.unusualLength = repeated || strings.TrimPrefix(padded, " ") != strconv.Itoa(c.length)
	return nil
}

// addCoding takes the only coding that this client decodes, chunked. No request asks for another one.
func (c *connectionFields) addCoding(value []byte) error {
	if c.chunked || !bytes.EqualFold(value, []byte("chunked")) {
		return fmt.Errorf("%w: transfer coding %.*q", ErrMalformed, quotedMax, value)
	}
	c.chunked = true
	return nil
}

// apply checks the framing as a whole and sets it in the header.
func (c *connectionFields) apply(h *protocol.ResponseHeader) error {
	switch {
	case c.chunked && c.hasLength:
		return fmt.Errorf("%w: content length beside a transfer coding", ErrMalformed)
	case c.chunked && !h.IsHTTP11():
		return fmt.Errorf("%w: transfer coding in HTTP/1.0", ErrMalformed)
	case h.StatusCode() < 200 && c.announcesBody():
		return fmt.Errorf("%w: informational response with a body", ErrMalformed)
	case h.StatusCode() == consts.StatusNoContent && c.announcesBody():
		return fmt.Errorf("%w: 204 with a body", ErrMalformed)
	case c.chunked:
		h.InitContentLengthWithValue(bodyChunked)
	case c.hasLength:
		h.InitContentLengthWithValue(c.length)
		h.SetContentLengthBytes(strconv.AppendInt(nil, int64(c.length), 10))
	default:
		h.InitContentLengthWithValue(bodyUntilClose)
	}
	h.SetConnectionClose(c.close || !h.IsHTTP11() && !c.keepAlive)
	return nil
}

// announcesBody reports whether a body would follow a head whose status allows one.
func (c *connectionFields) announcesBody() bool { return c.chunked || c.length > 0 }

// addField adds a field under its normalized name. The header keeps one value of Content-Encoding; codings of a body apply one
// after the other, so that none may be left out.
func addField(h *protocol.ResponseHeader, name, value []byte) {
	switch string(name) {
	case consts.HeaderSetCookie:
		h.ParseSetCookie(value)
	case consts.HeaderContentEncoding:
		if before := h.ContentEncoding(); len(before) > 0 {
			value = bytes.Join([][]byte{before, value}, []byte(", "))
		}
		h.SetContentEncodingBytes(value)
	default:
		h.AddArgBytes(name, value, protocol.ArgsHasValue)
	}
}

// isFramingField reports whether a field says where a message ends, which a trailer cannot (RFC 9110, section 6.5.1).
func isFramingField(name string) bool {
	return strings.EqualFold(name, consts.HeaderContentLength) || strings.EqualFold(name, consts.HeaderTransferEncoding) ||
		strings.EqualFold(name, consts.HeaderTrailer)
}

// checkAnnouncedTrailer checks a Trailer field. Trailers are read and dropped.
func checkAnnouncedTrailer(value string) error {
	for name := range strings.SplitSeq(value, ",") {
		if isFramingField(strings.Trim(name, " \t")) {
			return fmt.Errorf("%w: announced trailer %.*q", ErrMalformed, quotedMax, name)
		}
	}
	return nil
}
