package follow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/platformlog"
	"wagtailford.example/server/state/config"
)

var errUnavailable = errors.New("log is unavailable")

// fakeLog is an in-memory log that removes records by age.
type fakeLog struct {
	mu        sync.Mutex
	retention time.Duration
	streams   map[string]*fakeStream
	changed   chan struct{}
	down      bool
	// loseResponses is the number of appends that are stored but whose response is lost.
	loseResponses int
	// corruptRead changes the records of a read to simulate faulty delivery.
	corruptRead func([]config.Record) []config.Record
}

type fakeStream struct {
	first   uint64
	records []config.Record
}

func newFakeLog(retention time.Duration) *fakeLog {
	return &fakeLog{retention: retention, streams: map[string]*fakeStream{}, changed: make(chan struct{})}
}

// stream returns a stream after removing expired records. The caller holds the mutex.
func (l *fakeLog) stream(name string) *fakeStream {
	s := l.streams[name]
	if s == nil {
		s = &fakeStream{first: 1}
		l.streams[name] = s
	}
	oldest := time.Now().Add(-l.retention).UnixMilli()
	for len(s.records) > 0 && s.records[0].TimeMS < oldest {
		s.records = s.records[1:]
		s.first++
	}
	return s
}

func (l *fakeLog) Append(_ context.Context, name string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, &platformlog.NotAppendedError{Stream: name, Err: errUnavailable}
	}
	s := l.stream(name)
	offset := s.first + uint64(len(s.records))
	s.records = append(s.records, config.Record{Offset: offset, TimeMS: time.Now().UnixMilli(), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
	if l.loseResponses > 0 {
		l.loseResponses--
		return 0, &platformlog.UnknownError{Stream: name, Err: errors.New("connection closed")}
	}
	return offset, nil
}

func (l *fakeLog) Read(
	ctx context.Context, name string, from uint64, _ int, wait time.Duration,
) (platformlog.Batch, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		b, changed, err := l.readOnce(name, from)
		if err != nil || len(b.Records) > 0 || wait == 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return b, nil
		case <-ctx.Done():
			return platformlog.Batch{}, &platformlog.UnavailableError{Stream: name, Err: ctx.Err()}
		}
	}
}

func (l *fakeLog) readOnce(name string, from uint64) (platformlog.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platformlog.Batch{}, nil, &platformlog.UnavailableError{Stream: name, Err: errUnavailable}
	}
	s := l.stream(name)
	b := platformlog.Batch{First: s.first, Next: s.first + uint64(len(s.records))}
	if from < s.first {
		return platformlog.Batch{}, nil, &platformlog.TrimmedError{Stream: name, From: from, First: b.First, Next: b.Next}
	}
	if from < b.Next {
		b.Records = append(b.Records, s.records[from-s.first:]...)
	}
	if l.corruptRead != nil && name == platformlog.StreamConfig {
		b.Records = l.corruptRead(b.Records)
	}
	return b, l.changed, nil
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	close(l.changed)
	l.changed = make(chan struct{})
}

// trim removes the records of a stream below an offset.
func (l *fakeLog) trim(name string, first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.records = s.records[first-s.first:]
	s.first = first
}

// count returns the number of records that were ever appended to a stream.
func (l *fakeLog) count(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.first + uint64(len(s.records)) - 1
}

// change appends n configuration changes.
func (l *fakeLog) change(t *testing.T, n int) {
	t.Helper()
	for range n {
		id := l.count(platformlog.StreamConfig)
		c := config.Change{
			ID: fmt.Sprint(id), Base: id, Op: config.OpPutService,
			Service: &config.Service{Name: "s", Description: fmt.Sprint(id)},
		}
		data, err := config.EncodeChange(c)
		assert.NilError(t, err)
		_, err = l.Append(t.Context(), platformlog.StreamConfig, data)
		assert.NilError(t, err)
	}
}

// fakeSink applies the records it receives. It panics on a snapshot that does not advance its offset.
type fakeSink struct {
	mu      sync.Mutex
	state   *config.State
	highest uint64
}

func newSink() *fakeSink { return &fakeSink{state: config.New()} }

func (s *fakeSink) Offset() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Offset()
}

func (s *fakeSink) DeliverRecords(records []config.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.state, _ = s.state.Apply(r)
	}
}

func (s *fakeSink) RestoreSnapshot(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restored, err := config.DecodeSnapshot(data)
	if err != nil || restored.Offset() <= s.state.Offset() {
		panic(fmt.Sprint("unusable snapshot: ", err))
	}
	s.state = restored
}

func (s *fakeSink) HighestSeen(offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.highest = max(s.highest, offset)
}

// highestOffset returns the highest offset that was reported.
func (s *fakeSink) highestOffset() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highest
}

func (s *fakeSink) EncodeSnapshot() (uint64, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, err := s.state.EncodeSnapshot()
	return s.state.Offset(), data, err
}

// encoded returns the encoded state.
func (s *fakeSink) encoded(t *testing.T) string {
	t.Helper()
	_, data, err := s.EncodeSnapshot()
	assert.NilError(t, err)
	return string(data)
}

// runningFollower is a follower that runs in its own goroutine, with its sink and its log entries.
type runningFollower struct {
	*Follower
	sink    *fakeSink
	entries *memory.Handler
	stop    func()
}

// run starts a follower. Its stop function stops it and waits for it.
func run(t *testing.T, source Log, sink *fakeSink, rank int, change func(*Settings)) *runningFollower {
	t.Helper()
	settings := DefaultSettings()
	settings.Retention = time.Hour
	settings.SnapshotRecords = 10
	if change != nil {
		change(&settings)
	}
	entries := memory.New()
	f := New(sink, source, func() int { return rank }, settings, &log.Logger{Handler: entries, Level: log.InfoLevel})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		<-done
	})
	return &runningFollower{Follower: f, sink: sink, entries: entries, stop: stop}
}

// logged counts the log entries with a message. The follower must have been stopped.
func (r *runningFollower) logged(message string) int {
	n := 0
	for _, e := range r.entries.Entries {
		if e.Message == message {
			n++
		}
	}
	return n
}
