package httpclient

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cloudwego/hertz/pkg/protocol"
	"gotest.tools/v3/assert"
)

// segment is a part of a response.
type segment struct {
	text string
	kind segmentKind
	// field is the name of the field that a value belongs to.
	field string
}

type segmentKind int

const (
	// structure is all that says where the parts of a response are. A changed byte in it may not change the response.
	structure segmentKind = iota
	// value is the value of a field that frames nothing, with the blank before it. Blanks and tabs are valid in it.
	value
	// data is a part of the body.
	data
)

func fieldSegments(name, text string) []segment {
	return []segment{{text: name + ":", kind: structure}, {" " + text, value, name}, {text: "\r\n", kind: structure}}
}

// bodyLikeHead is a body that reads like the rest of a head and a chunk.
const bodyLikeHead = "X-B: 1\r\n\r\n1\r\nx\r\n0\r\n\r\n!"

// completeResponses are complete responses by the form of their framing. The body of each, if any, is bodyLikeHead.
func completeResponses() map[string][]segment {
	fields := slices.Concat(fieldSegments("X-A", "one two"), fieldSegments("Request-Id", "r1"), fieldSegments("Server", "a/1 (b:c)"))
	more := slices.Concat(fieldSegments("Content-Type", "text/plain"), fieldSegments("Set-Cookie", "a=1; Path=/"))
	length := segment{text: fmt.Sprintf("Content-Length: %d\r\n", len(bodyLikeHead))}
	end, body := segment{text: "\r\n"}, segment{text: bodyLikeHead, kind: data}
	with := func(first string, parts ...[]segment) []segment {
		return append([]segment{{text: first}}, slices.Concat(parts...)...)
	}
	chunks := []segment{
		{text: chunkedOne + "\r\n" + "a\r\n"},
		{text: bodyLikeHead[:10], kind: data},
		{text: fmt.Sprintf("\r\n%x;a=b\r\n", len(bodyLikeHead)-10)},
		{text: bodyLikeHead[10:], kind: data},
	}
	return map[string][]segment{
		"length last":         with(okLine, fields, more, []segment{length, end, body}),
		"length first":        with(okLine, []segment{length}, fields, more, []segment{end, body}),
		"HTTP/1.0":            with("HTTP/1.0 200 OK\r\n", fields, []segment{length, end, body}),
		"after informational": with("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+okLine, fields, []segment{length, end, body}),
		"chunks":              with(okLine, fields, chunks, []segment{{text: "\r\n0\r\n\r\n"}}),
		"chunks and trailer":  with(okLine, fields, chunks, []segment{{text: "\r\n0\r\nX-T: 1\r\nX-U: 2\r\n\r\n"}}),
		"until close":         with(okLine, fields, more, []segment{{text: "Connection: close\r\n\r\n"}, body}),
		"no body":             with(okLine, fields, []segment{{text: "Content-Length: 0\r\n\r\n"}}),
		"204":                 with("HTTP/1.1 204 No Content\r\n", fields, []segment{end}),
		"304":                 with("HTTP/1.1 304 Not Modified\r\n", fields, []segment{length, end}),
		"HEAD":                with(okLine, fields, []segment{length, end}),
	}
}

// sent is what a response states: its fields but those of the connection, and its body.
type sent struct {
	fields http.Header
	body   string
}

func sentBy(response []segment) sent {
	s := sent{fields: make(http.Header)}
	for _, part := range response {
		switch part.kind {
		case value:
			s.fields.Add(part.field, strings.Trim(part.text, " \t"))
		case data:
			s.body += part.text
		}
	}
	return s
}

// corruptBytes are a blank and all control bytes.
func corruptBytes() []byte {
	all := []byte{' ', 0x7f}
	for b := range byte(' ') {
		all = append(all, b)
	}
	return all
}

// corruptedResponse is a response in which one byte was put or exchanged.
type corruptedResponse struct {
	raw  string
	want sent
}

// corrupt returns a response with b put before the byte at a place of one part, or in its stead.
func corrupt(response []segment, part, at int, b byte, exchange bool) corruptedResponse {
	changed := slices.Clone(response)
	text := changed[part].text
	rest := text[at:]
	if exchange {
		rest = rest[1:]
	}
	changed[part].text = text[:at] + string(b) + rest
	var raw strings.Builder
	for _, p := range changed {
		raw.WriteString(p.text)
	}
	want := sentBy(response)
	if changed[part].kind == value && (b == ' ' || b == '\t') {
		want = sentBy(changed)
	}
	return corruptedResponse{raw: raw.String(), want: want}
}

// keptOpen is a connection of which no more bytes arrive.
type keptOpen struct{}

func (keptOpen) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// Guards against a blank, a control byte or a line end that slipped into a complete response at any place but its body, and out of
// which the client reads another response: with the rest of a head for its body, with a part of the body, or with a field that the
// server did not send. No other reader is asked, so that a leniency that readers share is found too.
func TestCorruptedByteIsNoOtherResponse(t *testing.T) {
	responses := completeResponses()
	for _, name := range slices.Sorted(maps.Keys(responses)) {
		t.Run(name, func(t *testing.T) {
			check := newCorruptionCheck(t, responses[name], name)
			for part, s := range responses[name] {
				if s.kind == data {
					continue
				}
				for at := range s.text {
					for _, b := range corruptBytes() {
						check.try(corrupt(responses[name], part, at, b, true))
						if !isBeforeBody(responses[name], part, at, b) {
							check.try(corrupt(responses[name], part, at, b, false))
						}
					}
				}
			}
			assert.Equal(t, check.wrong, 0, "of %d read; the first: %s", check.tried, check.first)
		})
	}
}

// isBeforeBody reports whether a byte put at a place makes the same bytes as one put before the body, which no head tells from a
// part of the body: an LF put before the LF that ends the head.
func isBeforeBody(response []segment, part, at int, b byte) bool {
	text := response[part].text
	return part+1 < len(response) && response[part+1].kind == data && at == len(text)-1 && text[at] == b
}

// corruptionCheck counts the responses that are taken for others.
type corruptionCheck struct {
	client       *Client
	request      protocol.Request
	status       int
	tried, wrong int
	first        string
}

func newCorruptionCheck(t *testing.T, response []segment, name string) *corruptionCheck {
	t.Helper()
	c := &corruptionCheck{status: http.StatusOK}
	var err error
	c.client, err = New(Limits{UnframedBodies: true})
	assert.NilError(t, err)
	c.request.Header.SetMethod(http.MethodGet)
	switch name {
	case "HEAD":
		c.request.Header.SetMethod(http.MethodHead)
	case "204":
		c.status = http.StatusNoContent
	case "304":
		c.status = http.StatusNotModified
	}
	whole := corruptedResponse{want: sentBy(response)}
	for _, part := range response {
		whole.raw += part.text
	}
	_, err = c.read(io.MultiReader(strings.NewReader(whole.raw), keptOpen{}))
	assert.Equal(t, err == nil, name != "until close", "%v", err)
	_, err = c.read(strings.NewReader(whole.raw))
	assert.NilError(t, err)
	c.try(whole)
	return c
}

func (c *corruptionCheck) read(src io.Reader) (*protocol.Response, error) {
	resp := &protocol.Response{}
	_, err := c.client.readResponse(&conn{reader: newReader(src)}, &c.request, resp)
	return resp, err
}

// try reads a response whole and in pieces, from a connection that ends after it and from one that stays open.
func (c *corruptionCheck) try(s corruptedResponse) {
	raw := []byte(s.raw)
	half := len(raw) / 2
	for _, arrival := range []struct {
		name string
		src  io.Reader
	}{
		{"whole, closed", bytes.NewReader(raw)},
		{"whole, kept open", io.MultiReader(bytes.NewReader(raw), keptOpen{})},
		{"in two pieces, closed", io.MultiReader(bytes.NewReader(raw[:half]), bytes.NewReader(raw[half:]))},
		{"byte by byte, kept open", iotest.OneByteReader(io.MultiReader(bytes.NewReader(raw), keptOpen{}))},
	} {
		resp, err := c.read(arrival.src)
		c.tried++
		if err != nil {
			continue
		}
		got := sent{fields: fieldsOf(resp), body: string(resp.Body())}
		if resp.StatusCode() == c.status && got.body == s.want.body && maps.EqualFunc(got.fields, s.want.fields, slices.Equal) {
			continue
		}
		c.wrong++
		if c.first == "" {
			c.first = fmt.Sprintf("%s: %q read as %q, fields %v", arrival.name, s.raw, got.body, got.fields)
		}
	}
}
