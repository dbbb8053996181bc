package execute

import (
	"bufio"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
)

// Guards against a malformed response of a target that counts as an answer, as a crash or as the promise that the request has
// not run, that keeps a slot, or that nobody can find in the log.
func TestMalformedResponseIsUnknown(t *testing.T) {
	const end = "Content-Length: 2\r\n\r\nok"
	for name, answer := range map[string]string{
		"status":         "HTTP/1.1 000 Trouble\r\n" + end,
		"length":         "HTTP/1.1 200 OK\r\nContent-Length: x\r\n" + end,
		"lengths differ": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + end,
		"coding":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"field name":     "HTTP/1.1 503 Service Unavailable\r\nX A: b\r\n" + end,
		"line feed":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nX-A: 1\r\n\r\nok",
		"204 with body":  "HTTP/1.1 204 No Content\r\n" + end,
		"digit lost":     "HTTP/1.1 200 OK\r\nContent-Length:  2\r\n\r\nok and the rest",
		"chunk":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2 \r\nok\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := newTarget(t, func(*http.Request, *bufio.Reader) string { return answer })
			target.keepsOpen = true
			logged := memory.New()
			n := newNode(t, target.address, func(_ *Settings, d *Dependencies) { d.Log = &log.Logger{Handler: logged} })
			call := request("/")
			call.RequestID = "q1"
			r := n.Execute(t.Context(), call)
			assert.Equal(t, r.Outcome, outcome.Unknown)
			assert.Equal(t, r.Reason, outcome.ReasonAnswerMalformed)
			assert.Assert(t, r.Arrived)
			assert.Equal(t, target.ran("/"), 1)
			assert.Equal(t, len(n.crashCounts()), 0)
			assert.Equal(t, n.Gate.InUse.Load(), int64(0))
			assert.Assert(t, !n.CheckHealth(t.Context(), target.address, "/health", "", time.Minute))
			assert.Equal(t, n.Dump().(Dump).Malformed, int64(2))
			var requests []any
			for _, e := range logged.Entries {
				if e.Fields["event"] == "answer_malformed" {
					requests = append(requests, e.Fields["request"])
					assert.Assert(t, e.Fields["error"] != nil)
				}
			}
			assert.DeepEqual(t, requests, []any{"q1", ""})
		})
	}
}
