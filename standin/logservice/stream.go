package logservice

import (
	"sync"
	"time"
)

// record is one stored record.
type record struct {
	Offset uint64 `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// stream is one append-only sequence of records. Offsets start at 1 and have no gaps.
type stream struct {
	mu      sync.Mutex
	first   uint64
	records []record
	appends int64
	// changed is closed and replaced when a record is added or removed.
	changed chan struct{}
}

func newStream() *stream {
	return &stream{first: 1, changed: make(chan struct{})}
}

// add stores a record and removes what exceeds the retention by count.
func (s *stream) add(data []byte, now time.Time, maxRecords int) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.first + uint64(len(s.records))
	s.records = append(s.records, record{Offset: offset, TimeMS: now.UnixMilli(), Data: data})
	s.appends++
	if maxRecords > 0 && len(s.records) > maxRecords {
		s.drop(len(s.records) - maxRecords)
	}
	s.wake()
	return offset
}

// trim removes the records below an offset, at most all of them.
func (s *stream) trim(first uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first > s.first {
		s.drop(int(min(first-s.first, uint64(len(s.records)))))
		s.wake()
	}
}

// expire removes the records stored before a time.
func (s *stream) expire(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.records) && s.records[n].TimeMS < before.UnixMilli() {
		n++
	}
	if n > 0 {
		s.drop(n)
		s.wake()
	}
}

// drop removes the oldest n records. The rest is copied, so that the memory of the removed ones is released.
func (s *stream) drop(n int) {
	s.first += uint64(n)
	s.records = append([]record(nil), s.records[n:]...)
}

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// batch is the answer to a read.
type batch struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []record `json:"records"`
}

// read returns the records from an offset on, at least one and then as many as fit into the limit. Changed is
// closed at the next change of the stream.
func (s *stream) read(from uint64, limitBytes int) (b batch, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b = batch{First: s.first, Next: s.first + uint64(len(s.records)), Records: []record{}}
	if from < s.first || from >= b.Next {
		return b, s.changed
	}
	for _, r := range s.records[from-s.first:] {
		limitBytes -= len(r.Data)
		if len(b.Records) > 0 && limitBytes < 0 {
			break
		}
		b.Records = append(b.Records, r)
	}
	return b, s.changed
}

// appended returns the number of records ever stored.
func (s *stream) appended() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}
