package logservice

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// service is a running server and a plain HTTP client for it.
type service struct {
	t    *testing.T
	base string
	s    *Server
}

func start(t *testing.T, settings Settings) *service {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(l, settings)
	go s.Run()
	t.Cleanup(func() { s.Close() })
	return &service{t: t, base: "http://" + l.Addr().String(), s: s}
}

// call returns the status and the decoded body; status 0 means that the connection ended without an answer.
func (s *service) call(method, path, body string, into any) int {
	s.t.Helper()
	// A new connection for each call: net/http repeats some requests when a reused connection was closed.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, s.base+path, bytes.NewBufferString(body))
	assert.NilError(s.t, err)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(s.t, err)
	if into != nil {
		assert.NilError(s.t, json.Unmarshal(data, into), string(data))
	}
	return resp.StatusCode
}

func (s *service) append(stream, data string) (status int, offset uint64) {
	s.t.Helper()
	var answer struct{ Offset uint64 }
	status = s.call("POST", "/v1/streams/"+stream+"/records", data, &answer)
	return status, answer.Offset
}

func (s *service) read(query string) (int, batch) {
	s.t.Helper()
	var b batch
	status := s.call("GET", "/v1/streams/config/records?"+query, "", &b)
	return status, b
}

func (s *service) faults(body string) {
	s.t.Helper()
	assert.Equal(s.t, s.call("POST", "/faults", body, nil), http.StatusOK)
}

// TestAppendAndRead guards against a deviation from the protocol that the daemon's client relies on.
func TestAppendAndRead(t *testing.T) {
	s := start(t, Settings{})
	for i, data := range []string{"one", "two", "three"} {
		status, offset := s.append("config", data)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, offset, uint64(i+1))
	}
	cases := []struct {
		query  string
		status int
		data   []string
	}{
		{"from=1", 200, []string{"one", "two", "three"}},
		{"from=2&limit_bytes=100", 200, []string{"two", "three"}},
		{"from=1&limit_bytes=6", 200, []string{"one", "two"}},
		{"from=3&limit_bytes=1", 200, []string{"three"}}, // At least one record, however large.
		{"from=4&wait_ms=0", 200, nil},
		{"from=4611686018427387904", 200, nil},
		{"from=0", 400, nil},
		{"from=x", 400, nil},
		{"from=1&wait_ms=-1", 400, nil},
		{"from=1&limit_bytes=0", 400, nil},
	}
	for _, c := range cases {
		status, b := s.read(c.query)
		assert.Equal(t, status, c.status, c.query)
		assert.Equal(t, len(b.Records), len(c.data), c.query)
		for i, want := range c.data {
			assert.Equal(t, string(b.Records[i].Data), want, c.query)
			assert.Assert(t, b.Records[i].TimeMS > 0)
		}
		if status == http.StatusOK {
			assert.Equal(t, b.First, uint64(1), c.query)
			assert.Equal(t, b.Next, uint64(4), c.query)
		}
	}
	status, _ := s.append("Not-a-name", "x")
	assert.Equal(t, status, http.StatusNotFound)
}

// TestLongPoll guards against a read that misses a record appended while it waits, or that never ends.
func TestLongPoll(t *testing.T) {
	s := start(t, Settings{})
	type result struct {
		status int
		b      batch
	}
	poll := func(query string) <-chan result {
		done := make(chan result, 1)
		go func() {
			status, b := s.read(query)
			done <- result{status, b}
		}()
		return done
	}
	waiting := poll("from=1&wait_ms=60000")
	s.append("config", "one")
	r := <-waiting
	assert.Equal(t, string(r.b.Records[0].Data), "one")

	r = <-poll("from=2&wait_ms=30")
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, len(r.b.Records), 0)

	waiting = poll("from=2&wait_ms=60000")
	s.faults(`{"down":true}`)
	assert.Equal(t, (<-waiting).status, http.StatusServiceUnavailable)
}

// TestFaults guards against a fault that the stand-in claims but does not cause.
func TestFaults(t *testing.T) {
	s := start(t, Settings{})
	s.faults(`{"lose_append_answers":2}`)
	for range 2 {
		status, _ := s.append("config", "lost")
		assert.Equal(t, status, 0)
	}
	_, offset := s.append("config", "answered")
	assert.Equal(t, offset, uint64(3)) // The lost ones were stored.

	s.faults(`{"down":true}`)
	status, _ := s.append("config", "x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	status, _ = s.read("from=1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	s.faults(`{"down":false,"delay_ms":40}`)
	began := time.Now()
	_, offset = s.append("config", "late")
	assert.Equal(t, offset, uint64(4))
	assert.Assert(t, time.Since(began) >= 40*time.Millisecond) // A lower bound holds on a slow machine too.
	s.faults(`{"delay_ms":0,"trim_to":3}`)
	status, b := s.read("from=2")
	assert.Equal(t, status, http.StatusGone)
	assert.Equal(t, b.First, uint64(3))
	assert.Equal(t, b.Next, uint64(5))
	assert.Equal(t, len(b.Records), 0)
	s.faults(`{"trim_to":100}`)
	_, b = s.read("from=5")
	assert.Equal(t, b.First, uint64(5)) // A stream without records keeps its offsets.
	assert.Equal(t, s.call("POST", "/faults", "{", nil), http.StatusBadRequest)
}

// TestRetention guards against records that outlive the retention, by count or by age.
func TestRetention(t *testing.T) {
	s := start(t, Settings{RetentionRecords: 2})
	for i := range 5 {
		s.append("config", fmt.Sprint(i))
	}
	_, b := s.read("from=4")
	assert.Equal(t, b.First, uint64(4))
	assert.Equal(t, len(b.Records), 2)

	aged := start(t, Settings{Retention: time.Hour})
	aged.append("config", "old")
	aged.s.expireBefore(time.Now().Add(time.Minute))
	status, b := aged.read("from=1")
	assert.Equal(t, status, http.StatusGone)
	assert.Equal(t, b.Next, uint64(2))
}

// TestStats guards against totals that comparisons of control bytes would be wrong by.
func TestStats(t *testing.T) {
	s := start(t, Settings{})
	s.append("config", "12345")
	s.append("seeds", "123")
	s.read("from=1")
	var stats Stats
	assert.Equal(t, s.call("GET", "/stats", "", &stats), http.StatusOK)
	assert.Equal(t, stats.Requests, int64(3))
	assert.Equal(t, stats.BytesAppended, int64(8))
	assert.Assert(t, stats.BytesRead > 5)
	assert.DeepEqual(t, stats.Appends, map[string]int64{"config": 1, "seeds": 1})
}
