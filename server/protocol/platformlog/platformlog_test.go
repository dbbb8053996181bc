package platformlog

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newClient(t *testing.T, url string, timeout time.Duration) *Client {
	t.Helper()
	c, err := New(url, Settings{DialTimeout: time.Second, AppendTimeout: timeout})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

// serve answers every request as the function does.
func serve(t *testing.T, answer http.HandlerFunc) *Client {
	t.Helper()
	s := httptest.NewServer(answer)
	t.Cleanup(s.Close)
	return newClient(t, s.URL, 5*time.Second)
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

// cut closes the connection after the request was read.
func cut(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	conn, _, _ := w.(http.Hijacker).Hijack()
	conn.Close()
}

// cutAnswer announces more than it sends.
func cutAnswer(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	conn, _, _ := w.(http.Hijacker).Hijack()
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"offset\":7}")
	conn.Close()
}

// TestAppend guards against a lost answer that is reported as "not appended": the operator would publish again under a
// new id. It also guards against a repeat that nobody asked for.
func TestAppend(t *testing.T) {
	cases := []struct {
		name    string
		answer  http.HandlerFunc
		offset  uint64
		certain bool
	}{
		{"stored", respond(200, `{"offset":7}`), 7, true},
		{"connection closed", cut, 0, false},
		{"answer cut", cutAnswer, 0, false},
		{"service error", respond(503, `{"offset":7}`), 0, false},
		{"answer is not JSON", respond(200, "stored"), 0, false},
		{"answer without offset", respond(200, `{}`), 0, false},
		{"refused as too large", respond(413, ""), 0, true},
		{"refused by rate", respond(429, ""), 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			requests := make(chan string, 10)
			client := serve(t, func(w http.ResponseWriter, r *http.Request) {
				requests <- r.Method + " " + r.URL.Path
				c.answer(w, r)
			})
			offset, err := client.Append(t.Context(), StreamConfig, []byte("data"))
			assert.Equal(t, offset, c.offset)
			assert.Equal(t, <-requests, "POST /v1/streams/config/records")
			assert.Equal(t, len(requests), 0)
			assertAppendError(t, err, c.offset == 0, c.certain)
			stats := client.Stats()
			assert.Equal(t, stats.UnknownAppends == 1, !c.certain)
		})
	}
}

func assertAppendError(t *testing.T, err error, failed, certain bool) {
	t.Helper()
	var not *NotAppendedError
	var unknown *UnknownError
	assert.Equal(t, errors.As(err, &not), failed && certain, "%v", err)
	assert.Equal(t, errors.As(err, &unknown), failed && !certain, "%v", err)
}

// TestAppendWithoutService guards against an outage that is reported as an unknown outcome although nothing was sent,
// and against a timeout or a cancelled call that is reported as certain.
func TestAppendWithoutService(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	url := "http://" + l.Addr().String()
	silent := newClient(t, url, 30*time.Millisecond)
	_, err = silent.Append(t.Context(), StreamConfig, []byte("x"))
	assertAppendError(t, err, true, false)

	patient := newClient(t, url, time.Hour)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = patient.Append(ctx, StreamConfig, []byte("x"))
	assertAppendError(t, err, true, false)
	_, err = patient.Append(ctx, StreamConfig, []byte("x"))
	assertAppendError(t, err, true, true)

	l.Close()
	_, err = newClient(t, url, time.Second).Append(t.Context(), StreamConfig, []byte("x"))
	assertAppendError(t, err, true, true)
}

// TestRead guards against records that are passed on although they leave a gap, and against a removed offset that is
// taken for an outage.
func TestRead(t *testing.T) {
	record := func(offset int) string { return fmt.Sprintf(`{"offset":%d,"time_ms":5,"data":"aGk="}`, offset) }
	body := func(records string) string { return `{"first":3,"next":9,"records":[` + records + `]}` }
	cases := []struct {
		name    string
		answer  http.HandlerFunc
		records int
		trimmed bool
		failed  bool
	}{
		{"records", respond(200, body(record(4)+","+record(5))), 2, false, false},
		{"none", respond(200, body("")), 0, false, false},
		{"removed", respond(410, body("")), 0, true, true},
		{"down", respond(503, ""), 0, false, true},
		{"connection closed", cut, 0, false, true},
		{"answer cut", cutAnswer, 0, false, true},
		{"not JSON", respond(200, "<html>"), 0, false, true},
		{"gap before the records", respond(200, body(record(5))), 0, false, true},
		{"gap between the records", respond(200, body(record(4)+","+record(6))), 0, false, true},
		{"record beyond the end", respond(200, `{"first":3,"next":4,"records":[`+record(4)+`]}`), 0, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := serve(t, func(w http.ResponseWriter, r *http.Request) {
				assert.Check(t, r.URL.String() == "/v1/streams/config/records?from=4&limit_bytes=1000&wait_ms=250", r.URL)
				c.answer(w, r)
			})
			b, err := client.Read(t.Context(), StreamConfig, 4, 1000, 250*time.Millisecond)
			assert.Equal(t, len(b.Records), c.records)
			assert.Equal(t, errors.Is(err, ErrTrimmed), c.trimmed, "%v", err)
			var unavailable *UnavailableError
			assert.Equal(t, errors.As(err, &unavailable), c.failed && !c.trimmed, "%v", err)
			if c.records > 0 {
				assert.Equal(t, string(b.Records[0].Data), "hi")
				assert.Equal(t, b.Next, uint64(9))
			}
			var trimmed *TrimmedError
			if errors.As(err, &trimmed) {
				assert.Equal(t, trimmed.First, uint64(3))
			}
		})
	}
	_, err := New("https://log", Settings{})
	assert.ErrorContains(t, err, "is not of the form")
}
