package httpclient

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cloudwego/hertz/pkg/protocol"
	"gotest.tools/v3/assert"
)

const (
	okLine     = "HTTP/1.1 200 OK\r\n"
	lengthTwo  = "Content-Length: 2\r\n"
	chunkedOne = "Transfer-Encoding: chunked\r\n"
	chunkedOK  = "\r\n2\r\nok\r\n0\r\n\r\n"
)

// malformedHeads are responses whose head breaks the grammar of RFC 9110 or RFC 9112, or does not say where the body ends.
var malformedHeads = map[string]string{
	"length: word":                         okLine + "Content-Length: two\r\n\r\nok",
	"length: empty":                        okLine + "Content-Length:\r\n\r\nok",
	"length: sign plus":                    okLine + "Content-Length: +2\r\n\r\nok",
	"length: sign minus":                   okLine + "Content-Length: -2\r\n\r\nok",
	"length: hexadecimal":                  okLine + "Content-Length: 0x2\r\n\r\nok",
	"length: fraction":                     okLine + "Content-Length: 2.0\r\n\r\nok",
	"length: number and word":              okLine + "Content-Length: 2 bytes\r\n\r\nok",
	"length: two numbers":                  okLine + "Content-Length: 2 2\r\n\r\nok",
	"length: underscore":                   okLine + "Content-Length: 0_2\r\n\r\nok",
	"length: control byte":                 okLine + "Content-Length: 2\x01\r\n\r\nok",
	"length: NUL":                          okLine + "Content-Length: 2\x00\r\n\r\nok",
	"length: other digits":                 okLine + "Content-Length: ٢\r\n\r\nok",
	"length: 2^63":                         okLine + "Content-Length: 9223372036854775808\r\n\r\nok",
	"length: 2^64 and 2":                   okLine + "Content-Length: 18446744073709551618\r\n\r\nok",
	"length: list that differs":            okLine + "Content-Length: 2, 3\r\n\r\nok!",
	"length: list with a word":             okLine + "Content-Length: 2, x\r\n\r\nok",
	"length: list with nothing":            okLine + "Content-Length: 2,\r\n\r\nok",
	"lengths: differ":                      okLine + "Content-Length: 3\r\nContent-Length: 2\r\n\r\nok!",
	"lengths: differ, rising":              okLine + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
	"lengths: first no number":             okLine + "Content-Length: x\r\n" + lengthTwo + "\r\nok",
	"lengths: last no number":              okLine + lengthTwo + "Content-Length: x\r\n\r\nok",
	"lengths: last empty":                  okLine + lengthTwo + "Content-Length:\r\n\r\nok",
	"length beside a coding":               okLine + lengthTwo + chunkedOne + chunkedOK,
	"length after a coding":                okLine + chunkedOne + lengthTwo + chunkedOK,
	"coding: like chunked":                 okLine + "Transfer-Encoding: xchunked\r\n" + chunkedOK,
	"coding: chunked and more":             okLine + "Transfer-Encoding: chunkedx\r\n" + chunkedOK,
	"coding: blank in it":                  okLine + "Transfer-Encoding: chun ked\r\n" + chunkedOK,
	"coding: parameter":                    okLine + "Transfer-Encoding: chunked;a=b\r\n" + chunkedOK,
	"coding: quoted":                       okLine + "Transfer-Encoding: \"chunked\"\r\n" + chunkedOK,
	"coding: control byte":                 okLine + "Transfer-Encoding: \x0bchunked\r\n" + chunkedOK,
	"coding: empty":                        okLine + "Transfer-Encoding:\r\n" + chunkedOK,
	"coding: unknown":                      okLine + "Transfer-Encoding: br\r\n" + chunkedOK,
	"coding: unknown before chunked":       okLine + "Transfer-Encoding: gzip, chunked\r\n" + chunkedOK,
	"coding: chunked is not last":          okLine + "Transfer-Encoding: chunked, gzip\r\n" + chunkedOK,
	"coding: chunked twice":                okLine + "Transfer-Encoding: chunked, chunked\r\n" + chunkedOK,
	"codings: chunked twice":               okLine + chunkedOne + chunkedOne + chunkedOK,
	"codings: unknown first":               okLine + "Transfer-Encoding: gzip\r\n" + chunkedOne + chunkedOK,
	"coding: unknown beside length":        okLine + "Transfer-Encoding: br\r\n" + lengthTwo + "\r\nok",
	"coding: identity":                     okLine + "Transfer-Encoding: identity\r\n" + lengthTwo + "\r\nok",
	"coding: HTTP/1.0":                     "HTTP/1.0 200 OK\r\n" + chunkedOne + chunkedOK,
	"name: none":                           okLine + ": a\r\n" + lengthTwo + "\r\nok",
	"name: blank before colon":             okLine + "X-A : a\r\n" + lengthTwo + "\r\nok",
	"name: tab before colon":               okLine + "X-A\t: a\r\n" + lengthTwo + "\r\nok",
	"name: blank in it":                    okLine + "X A: a\r\n" + lengthTwo + "\r\nok",
	"name: control byte":                   okLine + "X\x01A: a\r\n" + lengthTwo + "\r\nok",
	"name: NUL":                            okLine + "X\x00A: a\r\n" + lengthTwo + "\r\nok",
	"name: DEL":                            okLine + "X\x7fA: a\r\n" + lengthTwo + "\r\nok",
	"name: bare CR":                        okLine + "X\rA: a\r\n" + lengthTwo + "\r\nok",
	"name: byte above ASCII":               okLine + "X\xffA: a\r\n" + lengthTwo + "\r\nok",
	"name: letter above ASCII":             okLine + "Xé: a\r\n" + lengthTwo + "\r\nok",
	"name: delimiter (":                    okLine + "X(A: a\r\n" + lengthTwo + "\r\nok",
	"name: delimiter /":                    okLine + "X/A: a\r\n" + lengthTwo + "\r\nok",
	"name: delimiter ,":                    okLine + "X,A: a\r\n" + lengthTwo + "\r\nok",
	"name: delimiter ;":                    okLine + "X;A: a\r\n" + lengthTwo + "\r\nok",
	"name: delimiter =":                    okLine + "X=A: a\r\n" + lengthTwo + "\r\nok",
	"name: delimiter @":                    okLine + "X@A: a\r\n" + lengthTwo + "\r\nok",
	"name: delimiter \"":                   okLine + "X\"A: a\r\n" + lengthTwo + "\r\nok",
	"name: delimiter {":                    okLine + "X{A: a\r\n" + lengthTwo + "\r\nok",
	"name: blank before that of length":    okLine + "Content-Length : 2\r\n\r\nok",
	"name: control byte in that of coding": okLine + "Transfer-\x02Encoding: chunked\r\n" + chunkedOK,
	"name: blank before that of coding":    okLine + "Transfer-Encoding : chunked\r\n" + lengthTwo + "\r\nok",
	"line: no colon":                       okLine + "trouble\r\n" + lengthTwo + "\r\nok",
	"line: no colon, last":                 okLine + lengthTwo + "trouble\r\n\r\nok",
	"line: blanks":                         okLine + lengthTwo + "  \r\n\r\nok",
	"line: blank before the first field":   okLine + " X-A: a\r\n" + lengthTwo + "\r\nok",
	"line: folded":                         okLine + "X-A: a\r\n b\r\n" + lengthTwo + "\r\nok",
	"line: folded by a tab, with a colon":  okLine + "X-A: a\r\n\tb: c\r\n" + lengthTwo + "\r\nok",
	"line: folded length":                  okLine + "Content-Length:\r\n 2\r\n\r\nok",
	"value: bare CR":                       okLine + "X-A: a\rb\r\n" + lengthTwo + "\r\nok",
	"value: CR before the line end":        okLine + "X-A: a\r\r\n" + lengthTwo + "\r\nok",
	"value: NUL":                           okLine + "X-A: a\x00b\r\n" + lengthTwo + "\r\nok",
	"value: control byte":                  okLine + "X-A: a\x07b\r\n" + lengthTwo + "\r\nok",
	"value: DEL":                           okLine + "X-A: a\x7f\r\n" + lengthTwo + "\r\nok",
	"status line: control byte":            "HTTP/1.1 200 O\x01K\r\n" + lengthTwo + "\r\nok",
	"status line: bare CR":                 "HTTP/1.1 200 O\rK\r\n" + lengthTwo + "\r\nok",
	"status line: tab":                     "HTTP/1.1 200\tOK\r\n" + lengthTwo + "\r\nok",
	"informational: name":                  "HTTP/1.1 103 Early Hints\r\nX A: a\r\n\r\n" + okLine + lengthTwo + "\r\nok",
	"informational: line without colon":    "HTTP/1.1 100 Continue\r\ntrouble\r\n\r\n" + okLine + lengthTwo + "\r\nok",
	"informational: length":                "HTTP/1.1 103 Early Hints\r\n" + lengthTwo + "\r\nok" + okLine + lengthTwo + "\r\nok",
	"informational: coding":                "HTTP/1.1 103 Early Hints\r\n" + chunkedOne + chunkedOK + okLine + lengthTwo + "\r\nok",
	"204: length is no number":             "HTTP/1.1 204 No Content\r\nContent-Length: x\r\n\r\n",
	"204: name":                            "HTTP/1.1 204 No Content\r\nX A: a\r\n\r\n",
	"204: unknown coding":                  "HTTP/1.1 204 No Content\r\nTransfer-Encoding: br\r\n\r\n",
	"304: lengths differ":                  "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n",
	"304: line without colon":              "HTTP/1.1 304 Not Modified\r\ntrouble\r\n\r\n",
	"trailer announced: framing field":     okLine + "Trailer: Content-Length\r\n" + chunkedOne + chunkedOK,
	"LF alone: all lines":                  "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"LF alone: empty line first":           "\n" + okLine + lengthTwo + "\r\nok",
	"LF alone: status line":                "HTTP/1.1 200 OK\n" + lengthTwo + "\r\nok",
	"LF alone: in the reason":              "HTTP/1.1 200 O\nX-K: a\r\n" + lengthTwo + "\r\nok",
	"LF alone: field":                      okLine + "X-A: a\n" + lengthTwo + "\r\nok",
	"LF alone: in a value":                 okLine + "X-A: a\nContent-Length: 2\r\n\r\nok",
	"LF alone: last line":                  okLine + lengthTwo + "\nok",
	"LF alone: before a name":              okLine + lengthTwo + "\nX-A: 1\r\n\r\nok",
	"LF alone: before a name, no length":   okLine + "\nX-A: 1\r\n" + lengthTwo + "\r\nok",
	"LF alone: before a name, coding":      okLine + chunkedOne + "\n1\r\nX-A: 1\r\n" + chunkedOK,
	"LF alone: informational head":         "HTTP/1.1 103 Early Hints\n\n" + okLine + lengthTwo + "\r\nok",
	"LF alone: field of informational":     "HTTP/1.1 103 Early Hints\r\nLink: a\nX-A: a\r\n\r\n" + okLine + lengthTwo + "\r\nok",
	"204: announces a length":              "HTTP/1.1 204 No Content\r\n" + lengthTwo + "\r\nok",
	"204: announces chunks":                "HTTP/1.1 204 No Content\r\n" + chunkedOne + chunkedOK,
	"204: announces a length, no body":     "HTTP/1.1 204 No Content\r\n" + lengthTwo + "\r\n",
	"length: first digit lost":             okLine + "Content-Length:  2\r\n\r\nok, and ten bytes",
	"length: last digit lost":              okLine + "Content-Length: 2 \r\n\r\nok, and more",
	"length: digit became a tab":           okLine + "Content-Length:\t2\r\n\r\nok, and more",
	"length: digit became a comma":         okLine + "Content-Length: 2,2\r\n\r\nok, and more",
	"lengths: equal, body is longer":       okLine + lengthTwo + lengthTwo + "\r\nok, and more",
}

// malformedHeadsOfHEAD are heads of responses to HEAD.
var malformedHeadsOfHEAD = map[string]string{
	"length is no number": okLine + "Content-Length: x\r\n\r\n",
	"lengths differ":      okLine + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n",
	"coding":              okLine + "Transfer-Encoding: xchunked\r\n\r\n",
	"name":                okLine + "X A: a\r\n" + lengthTwo + "\r\n",
	"LF before a name":    okLine + "\nX-A: a\r\n" + lengthTwo + "\r\n",
}

// unusualResponses are complete responses with the body "ok", or none for statuses that have none.
var unusualResponses = map[string]string{
	"length: blanks and tabs around":    okLine + "Content-Length: \t 2 \t \r\n\r\nok",
	"length: tab before":                okLine + "Content-Length:\t2\r\n\r\nok",
	"length: no blank":                  okLine + "Content-Length:2\r\n\r\nok",
	"length: leading zeros":             okLine + "Content-Length: 002\r\n\r\nok",
	"length: name in capitals":          okLine + "CONTENT-LENGTH: 2\r\n\r\nok",
	"length: list of equal ones":        okLine + "Content-Length: 2, 2\r\n\r\nok",
	"lengths: equal ones":               okLine + lengthTwo + lengthTwo + "\r\nok",
	"coding: capitals":                  okLine + "transfer-encoding: Chunked\r\n" + chunkedOK,
	"coding: blanks and tabs around":    okLine + "Transfer-Encoding: \tchunked \t\r\n" + chunkedOK,
	"no reason":                         "HTTP/1.1 200 \r\n" + lengthTwo + "\r\nok",
	"no blank after the status":         "HTTP/1.1 200\r\n" + lengthTwo + "\r\nok",
	"reason above ASCII":                "HTTP/1.1 200 Schön\r\n" + lengthTwo + "\r\nok",
	"HTTP/1.0":                          "HTTP/1.0 200 OK\r\n" + lengthTwo + "\r\nok",
	"empty line first":                  "\r\n" + okLine + lengthTwo + "\r\nok",
	"value: empty":                      okLine + "X-A:\r\n" + lengthTwo + "\r\nok",
	"value: above ASCII":                okLine + "X-A: \xe9\r\n" + lengthTwo + "\r\nok",
	"value: tab in it":                  okLine + "X-A: a\tb\r\n" + lengthTwo + "\r\nok",
	"value: colons":                     okLine + "X-A: a:b::c\r\n" + lengthTwo + "\r\nok",
	"name: every token character":       okLine + "!#$%&'*+-.^_`|~09azAZ: a\r\n" + lengthTwo + "\r\nok",
	"chunk size: leading zeros":         okLine + chunkedOne + "\r\n0002\r\nok\r\n0000\r\n\r\n",
	"chunk extension":                   okLine + chunkedOne + "\r\n2;a=b\r\nok\r\n0;c\r\n\r\n",
	"chunk extension: blanks, quoted":   okLine + chunkedOne + "\r\n2 ; a = \"b; c\"\r\nok\r\n0\r\n\r\n",
	"trailer":                           okLine + "Trailer: X-B\r\n" + chunkedOne + "\r\n2\r\nok\r\n0\r\nX-B: c\r\n\r\n",
	"informational: empty length":       "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" + okLine + lengthTwo + "\r\nok",
	"204":                               "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
	"304: length of the representation": "HTTP/1.1 304 Not Modified\r\n" + lengthTwo + "\r\n",
}

// arrivals are ways in which the bytes of a response arrive.
var arrivals = map[string]func(io.Reader) io.Reader{
	"whole":        func(r io.Reader) io.Reader { return r },
	"byte by byte": iotest.OneByteReader,
	"halves":       iotest.HalfReader,
}

// parse reads a response as it arrives from src.
func parse(src io.Reader, method string, limits Limits) (*protocol.Response, error) {
	c, err := New(limits)
	if err != nil {
		return nil, err
	}
	req, resp := &protocol.Request{}, &protocol.Response{}
	req.Header.SetMethod(method)
	_, err = c.readResponse(&conn{reader: newReader(src)}, req, resp)
	return resp, err
}

// Guards against a response with a malformed head that counts as whole, with a body that is not the server's or a field that no
// recipient accepts.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	check := func(name, raw, method string) {
		for arrival, wrap := range arrivals {
			t.Run(method+" "+name+", "+arrival, func(t *testing.T) {
				resp, err := parse(wrap(strings.NewReader(raw)), method, Limits{UnframedBodies: true})
				assert.ErrorIs(t, err, ErrMalformed, "status %d, body %q", resp.StatusCode(), resp.Body())
			})
		}
	}
	for name, raw := range malformedHeads {
		check(name, raw, "GET")
	}
	for name, raw := range malformedHeadsOfHEAD {
		check(name, raw, "HEAD")
	}
}

// Guards against complete responses that are lost because their head has an unusual form.
func TestUnusualResponsesAreWhole(t *testing.T) {
	for name, raw := range unusualResponses {
		for arrival, wrap := range arrivals {
			t.Run(name+", "+arrival, func(t *testing.T) {
				resp, err := parse(wrap(strings.NewReader(raw)), "GET", Limits{})
				assert.NilError(t, err)
				want := "ok"
				if resp.MustSkipBody() {
					want = ""
				}
				assert.Equal(t, string(resp.Body()), want)
			})
		}
	}
}

// Guards against complete responses in an unusual form that are lost, or waited for until a timeout, on a connection that the
// server closes, or keeps open for the next request.
func TestUnusualResponsesOnConnections(t *testing.T) {
	for name, raw := range unusualResponses {
		for _, keepsOpen := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept open %v", name, keepsOpen), func(t *testing.T) {
				address := serve(t, func(conn net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(conn, raw)
					if keepsOpen {
						_, _ = io.Copy(io.Discard, r)
					}
				})
				resp, err := get(t.Context(), newClient(t), address, "GET")
				assert.NilError(t, err)
				want := "ok"
				if resp.MustSkipBody() {
					want = ""
				}
				assert.Equal(t, string(resp.Body()), want)
			})
		}
	}
}

// Guards against a response whose length is in a form that a corrupted byte may have made, and that counts as whole although its
// connection does not end with its body.
func TestLengthInUnusualFormNeedsEnd(t *testing.T) {
	for _, field := range []string{
		"Content-Length:  2", "Content-Length: 2 ", "Content-Length:\t2", "Content-Length: 02", "Content-Length: 2,2",
		"Content-Length: 2\r\nContent-Length: 2",
	} {
		raw := okLine + field + "\r\n\r\nok"
		for arrival, wrap := range arrivals {
			t.Run(field+", "+arrival, func(t *testing.T) {
				_, err := parse(wrap(strings.NewReader(raw)), "GET", Limits{})
				assert.NilError(t, err)
				_, err = parse(wrap(strings.NewReader(raw+"x")), "GET", Limits{})
				assert.ErrorIs(t, err, ErrMalformed)
				_, err = parse(wrap(io.MultiReader(strings.NewReader(raw), keptOpen{})), "GET", Limits{})
				assert.ErrorIs(t, err, ErrCut)
			})
		}
	}
}

// Guards against a request that waits for its deadline, or a connection that is used again, after a malformed head.
func TestMalformedHeadEndsConnection(t *testing.T) {
	for name, raw := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			address := serve(t, func(conn net.Conn, r *bufio.Reader) {
				defer close(closed)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, raw)
				_, _ = io.Copy(io.Discard, r)
			})
			_, err := get(t.Context(), newClient(t), address, "GET")
			var lost *LostError
			assert.Assert(t, errors.As(err, &lost), "%v", err)
			assert.ErrorIs(t, err, ErrMalformed)
			<-closed
		})
	}
}

// Guards against a malformed response that counts as whole because it arrives while the body of the request is still being sent.
func TestMalformedResponseToStreamedBody(t *testing.T) {
	for name, raw := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, raw)
				_, _ = io.Copy(io.Discard, r)
			})
			req, resp := &protocol.Request{}, &protocol.Response{}
			req.Header.SetMethod("POST")
			req.Header.SetHost(address)
			err := newClient(t).DoStreamed(t.Context(), address, req, pieces(6, nil, "abc"), resp, testTimeout,
				func() error { return nil }, func(*protocol.Response) Match { return Matched })
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}

// Guards against fields that are lost, joined wrongly or changed.
func TestFieldsOfResponses(t *testing.T) {
	const raw = okLine + "x-a:  one \r\nX-A: two\r\nContent-Type: text/plain\r\nServer: s\r\nSet-Cookie: a=1; Path=/\r\n" +
		"content-type: text/html\r\nServer: t\r\nServer:\r\nSet-Cookie: a=2\r\nContent-Encoding: gzip\r\nContent-Encoding: br\r\nConnection: X-Hop, Close\r\n" + lengthTwo + "\r\nok"
	resp, err := parse(strings.NewReader(raw), "GET", Limits{})
	assert.NilError(t, err)
	assert.DeepEqual(t, fieldsOf(resp), http.Header{
		"X-A": {"one", "two"}, "Content-Type": {"text/plain", "text/html"}, "Server": {"s", "t", ""}, "Set-Cookie": {"a=1; Path=/", "a=2"},
		"Content-Encoding": {"gzip, br"},
	})
	assert.Assert(t, resp.ConnectionClose(), "an option of a list, in any case")
	for raw, closes := range map[string]bool{
		okLine + lengthTwo + "\r\nok":                                          false,
		okLine + "Connection: keep-alive\r\n" + lengthTwo + "\r\nok":           false,
		"HTTP/1.0 200 OK\r\n" + lengthTwo + "\r\nok":                           true,
		"HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\n" + lengthTwo + "\r\nok": false,
		"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n":                 false,
	} {
		resp, err := parse(strings.NewReader(raw), "GET", Limits{})
		assert.NilError(t, err)
		assert.Equal(t, resp.ConnectionClose(), closes, "%q", raw)
	}
}

// fieldsOf returns the fields of a response without those of the connection and its framing.
func fieldsOf(resp *protocol.Response) http.Header {
	fields := make(http.Header)
	resp.Header.VisitAll(func(name, value []byte) { fields.Add(string(name), string(value)) })
	return withoutConnection(fields)
}

func withoutConnection(fields http.Header) http.Header {
	for _, name := range []string{"Connection", "Content-Length", "Transfer-Encoding", "Trailer"} {
		fields.Del(name)
	}
	return fields
}

// FuzzResponse guards against bytes that the client takes for a response and the standard library does not, or reads
// differently, and against a verdict that depends on how the bytes arrive. docs/design/responses.md names the differences that
// knownDifferences allows.
func FuzzResponse(f *testing.F) {
	for _, set := range []map[string]string{malformedHeads, malformedHeadsOfHEAD, unusualResponses, malformedChunks} {
		for _, raw := range set {
			f.Add([]byte(raw), false)
		}
	}
	f.Add([]byte(okLine+lengthTwo+"\r\n"), true)
	f.Fuzz(func(t *testing.T, raw []byte, head bool) {
		method := "GET"
		if head {
			method = "HEAD"
		}
		limits := Limits{UnframedBodies: true}
		resp, err := parse(bytes.NewReader(raw), method, limits)
		pieces, pieceErr := parse(iotest.OneByteReader(bytes.NewReader(raw)), method, limits)
		for _, kind := range []error{nil, ErrMalformed, ErrTooLarge} {
			assert.Equal(t, errors.Is(err, kind), errors.Is(pieceErr, kind), "whole: %v, byte by byte: %v", err, pieceErr)
		}
		if err != nil {
			return
		}
		assert.Equal(t, string(resp.Body()), string(pieces.Body()))
		compareWithStandardLibrary(t, raw, method, resp)
	})
}

// compareWithStandardLibrary fails if net/http does not read the same response from the bytes.
func compareWithStandardLibrary(t *testing.T, raw []byte, method string, resp *protocol.Response) {
	t.Helper()
	want, body, err := readWithStandardLibrary(raw, method)
	if err != nil && isKnownDifference(raw) {
		return
	}
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode(), want.StatusCode)
	assert.Equal(t, string(resp.Body()), string(body))
	assert.DeepEqual(t, fieldsOf(resp), comparableFields(want.Header))
}

func readWithStandardLibrary(raw []byte, method string) (*http.Response, []byte, error) {
	r := bufio.NewReader(bytes.NewReader(raw))
	for {
		// The client passes over an empty line before a status line.
		if next, _ := r.Peek(len(crlf)); bytes.Equal(next, crlf) {
			_, _ = r.Discard(len(crlf))
		}
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		return resp, body, err
	}
}

// knownDifferences match what the client rightly takes and the standard library does not.
var knownDifferences = []*regexp.Regexp{
	// A list of equal lengths, or equal ones that are written differently.
	regexp.MustCompile(`(?i)\ncontent-length:[^\n]*,`),
	regexp.MustCompile(`(?is)\ncontent-length:.*\ncontent-length:`),
	// Blanks before a chunk extension.
	regexp.MustCompile(`\n[0-9a-fA-F]+[ \t]+;`),
}

func isKnownDifference(raw []byte) bool {
	return slices.ContainsFunc(knownDifferences, func(r *regexp.Regexp) bool { return r.Match(raw) })
}

// comparableFields brings fields as the standard library has them into the form that the codec's header keeps: the codings of a
// body in one field, which is not empty.
func comparableFields(fields http.Header) http.Header {
	fields = withoutConnection(fields)
	if fields.Get("Pragma") == "no-cache" && len(fields["Cache-Control"]) == 1 {
		fields.Del("Cache-Control") // The standard library derives it.
	}
	if values := fields["Content-Encoding"]; len(values) > 0 {
		fields["Content-Encoding"] = []string{strings.Join(values, ", ")}
	}
	if fields.Get("Content-Encoding") == "" {
		fields.Del("Content-Encoding")
	}
	return fields
}
