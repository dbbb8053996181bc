package logservice

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// handleAppend stores a record.
func (s *Server) handleAppend(ctx context.Context, c *app.RequestContext) {
	s.requests.Add(1)
	if !s.available(ctx, c) {
		return
	}
	st := s.stream(c.Param("stream"))
	if st == nil {
		fail(c, http.StatusNotFound, "invalid stream name or too many streams")
		return
	}
	data := append([]byte(nil), c.Request.Body()...)
	offset := st.add(data, time.Now(), s.settings.RetentionRecords)
	s.bytesAppended.Add(int64(len(data)))
	if s.faults.loseAnswer() {
		c.GetConn().Close()
		return
	}
	answer(c, http.StatusOK, map[string]uint64{"offset": offset})
}

// handleRead returns records, waiting for one if asked to.
func (s *Server) handleRead(ctx context.Context, c *app.RequestContext) {
	s.requests.Add(1)
	from, limitBytes, wait, ok := readQuery(c)
	if !ok {
		fail(c, http.StatusBadRequest, "invalid from, limit_bytes or wait_ms")
		return
	}
	st := s.stream(c.Param("stream"))
	if st == nil {
		fail(c, http.StatusNotFound, "invalid stream name or too many streams")
		return
	}
	if !s.available(ctx, c) {
		return
	}
	b := s.await(ctx, st, from, limitBytes, wait)
	if down, _, _ := s.faults.current(); down {
		fail(c, http.StatusServiceUnavailable, "down")
		return
	}
	status := http.StatusOK
	if from < b.First {
		status = http.StatusGone
	}
	s.bytesRead.Add(int64(answer(c, status, b)))
}

// await reads until a record is there, the offset was removed, the time is up, or the service goes down.
func (s *Server) await(ctx context.Context, st *stream, from uint64, limitBytes int, wait time.Duration) batch {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	down, _, wentDown := s.faults.current()
	for {
		b, changed := st.read(from, limitBytes)
		if len(b.Records) > 0 || from < b.First || wait == 0 || down {
			return b
		}
		select {
		case <-changed:
		case <-timer.C:
			return b
		case <-wentDown:
			return b
		case <-ctx.Done():
			return b
		case <-s.stop:
			return b
		}
	}
}

// readQuery returns the parameters of a read.
func readQuery(c *app.RequestContext) (from uint64, limitBytes int, wait time.Duration, ok bool) {
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	if err != nil || from == 0 {
		return 0, 0, 0, false
	}
	limitBytes, err = strconv.Atoi(c.DefaultQuery("limit_bytes", strconv.Itoa(defaultLimitBytes)))
	if err != nil || limitBytes <= 0 {
		return 0, 0, 0, false
	}
	ms, err := strconv.ParseInt(c.DefaultQuery("wait_ms", "0"), 10, 64)
	if err != nil || ms < 0 || ms > MaxWait.Milliseconds() {
		return 0, 0, 0, false
	}
	return from, limitBytes, time.Duration(ms) * time.Millisecond, true
}

// available applies the delay, and answers and returns false while the service is down.
func (s *Server) available(ctx context.Context, c *app.RequestContext) bool {
	_, delay, wentDown := s.faults.current()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-wentDown:
		case <-ctx.Done():
		case <-s.stop:
		}
	}
	if down, _, _ := s.faults.current(); down {
		fail(c, http.StatusServiceUnavailable, "down")
		return false
	}
	return true
}

// handleFaults switches faults.
func (s *Server) handleFaults(_ context.Context, c *app.RequestContext) {
	f := Faults{Stream: defaultTrimStream}
	if err := json.Unmarshal(c.Request.Body(), &f); err != nil {
		fail(c, http.StatusBadRequest, err.Error())
		return
	}
	s.faults.set(f)
	if st := s.stream(f.Stream); st != nil && f.TrimTo > 0 {
		st.trim(f.TrimTo)
	}
	answer(c, http.StatusOK, struct{}{})
}

// handleStats returns the totals.
func (s *Server) handleStats(_ context.Context, c *app.RequestContext) {
	answer(c, http.StatusOK, s.Stats())
}

// answer writes a JSON body and returns its size in bytes.
func answer(c *app.RequestContext, status int, v any) int {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // Every type that is answered can be encoded.
	}
	c.Data(status, "application/json", body)
	return len(body)
}

func fail(c *app.RequestContext, status int, text string) {
	answer(c, status, map[string]string{"error": text})
}
