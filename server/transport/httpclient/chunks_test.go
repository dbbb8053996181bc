package httpclient

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// malformedChunks are responses whose chunks or trailer break the grammar of RFC 9112, sections 7.1 and 7.1.2.
var malformedChunks = map[string]string{
	"size: none":                   okLine + chunkedOne + "\r\n\r\nok\r\n0\r\n\r\n",
	"size: word":                   okLine + chunkedOne + "\r\nxy\r\nok\r\n0\r\n\r\n",
	"size: prefix":                 okLine + chunkedOne + "\r\n0x2\r\nok\r\n0\r\n\r\n",
	"size: sign":                   okLine + chunkedOne + "\r\n+2\r\nok\r\n0\r\n\r\n",
	"size: blank before":           okLine + chunkedOne + "\r\n 2\r\nok\r\n0\r\n\r\n",
	"size: blank after":            okLine + chunkedOne + "\r\n2 \r\nok\r\n0\r\n\r\n",
	"size: blanks after":           okLine + chunkedOne + "\r\n2   \r\nok\r\n0  \r\n\r\n",
	"size: 2^64 and 2":             okLine + chunkedOne + "\r\n10000000000000002\r\nok\r\n0\r\n\r\n",
	"size: -1 in 64 bits":          okLine + chunkedOne + "\r\nffffffffffffffff\r\nok\r\n0\r\n\r\n",
	"size: two":                    okLine + chunkedOne + "\r\n2 2\r\nok\r\n0\r\n\r\n",
	"size: line feed only":         okLine + chunkedOne + "\r\n2\nok\r\n0\r\n\r\n",
	"size: bare CR":                okLine + chunkedOne + "\r\n2\rok\r\n0\r\n\r\n",
	"extension: control byte":      okLine + chunkedOne + "\r\n2;a\x01\r\nok\r\n0\r\n\r\n",
	"extension: bare CR":           okLine + chunkedOne + "\r\n2;a\rb\r\nok\r\n0\r\n\r\n",
	"extension: no semicolon":      okLine + chunkedOne + "\r\n2,a\r\nok\r\n0\r\n\r\n",
	"data: longer than its size":   okLine + chunkedOne + "\r\n1\r\nok\r\n0\r\n\r\n",
	"data: shorter than its size":  okLine + chunkedOne + "\r\n3\r\nok\r\n0\r\n\r\n",
	"data: no line end":            okLine + chunkedOne + "\r\n2\r\nok0\r\n\r\n",
	"data: line feed only":         okLine + chunkedOne + "\r\n2\r\nok\n0\r\n\r\n",
	"last chunk: line feed only":   okLine + chunkedOne + "\r\n2\r\nok\r\n0\n\r\n",
	"last chunk: twice":            okLine + chunkedOne + "\r\n2\r\nok\r\n0\r\n0\r\n\r\n",
	"last chunk: another after it": okLine + chunkedOne + "\r\n2\r\nok\r\n0\r\n0;a\r\n\r\n",
	"trailer: no name":             okLine + chunkedOne + "\r\n2\r\nok\r\n0\r\n: b\r\n\r\n",
	"trailer: blank in a name":     okLine + chunkedOne + "\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n",
	"trailer: blank, then a field": okLine + chunkedOne + "\r\n2\r\nok\r\n0\r\nX A: b\r\nX-B: c\r\n\r\n",
	"trailer: control byte":        okLine + chunkedOne + "\r\n2\r\nok\r\n0\r\nX\x01A: b\r\n\r\n",
	"trailer: no colon":            okLine + chunkedOne + "\r\n2\r\nok\r\n0\r\ntrouble\r\n\r\n",
	"trailer: folded":              okLine + chunkedOne + "\r\n2\r\nok\r\n0\r\nX-A: b\r\n c\r\n\r\n",
	"trailer: NUL in a value":      okLine + chunkedOne + "\r\n2\r\nok\r\n0\r\nX-A: \x00\r\n\r\n",
	"size: digit became a blank":   okLine + chunkedOne + "\r\n2 ;a\r\nok\r\n0\r\n\r\nand what follows",
	"trailer: LF ends a field":     okLine + chunkedOne + "\r\n2\r\nok\r\n0\r\nX-A: b\n\r\n",
	"trailer: LF ends it":          okLine + chunkedOne + "\r\n2\r\nok\r\n0\r\n\n",
	"trailer: LF before a name":    okLine + chunkedOne + "\r\n2\r\nok\r\n0\r\n\nX-A: b\r\n\r\n",
	"trailer: LF in a value":       okLine + chunkedOne + "\r\n2\r\nok\r\n0\r\nX-A: b\nX-B: c\r\n\r\n",
	"trailer: length":              okLine + chunkedOne + "\r\n2\r\nok\r\n0\r\nContent-Length: 9\r\n\r\n",
	"trailer: coding":              okLine + chunkedOne + "\r\n2\r\nok\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n",
}

// Guards against a body whose chunks or trailer are malformed and that counts as whole.
func TestMalformedChunksAreNoBody(t *testing.T) {
	for name, raw := range malformedChunks {
		for arrival, wrap := range arrivals {
			t.Run(name+", "+arrival, func(t *testing.T) {
				resp, err := parse(wrap(strings.NewReader(raw)), "GET", Limits{UnframedBodies: true})
				assert.ErrorIs(t, err, ErrCut, "body %q", resp.Body())
			})
		}
	}
}
