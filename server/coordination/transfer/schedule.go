// Package transfer transfers large request bodies between nodes. The executing node fetches a body in chunks, so
// that small messages can be interleaved on a narrow link, and limits the number of concurrent transfers to the
// capacity of its link without building up a packet queue. A body that would arrive too late is refused before any
// of it is sent.
//
// Without this, a service with few targets behind narrow links suffers: large bodies pushed by many nodes saturate
// the link of a target, and the small requests, responses and configuration updates queued behind them arrive too
// late.
package transfer

import (
	"slices"
	"time"
)

const (
	// ChunkBytes is the size of a chunk, which takes some tens of milliseconds on a link of 10 Mbit/s.
	ChunkBytes = 32 << 10
	// windowTime is the time that the link needs for all chunks requested at a time. A small message queued behind
	// them waits for about this long.
	windowTime = 50 * time.Millisecond
	// minConcurrent is the minimum number of concurrent transfers, so that one transfer requests its next chunk
	// while a chunk of another is in transit.
	minConcurrent = 2
	// maxConcurrent limits the concurrent transfers on a wide link or one of unknown bandwidth.
	maxConcurrent = 64
	// usableShare is the fraction of the link bandwidth expected to be available for bodies besides other traffic.
	usableShare = 0.9
	// bitsPerMbit is the number of bits in a megabit.
	bitsPerMbit = 1e6
)

// Arrival is an announced body.
type Arrival struct {
	ID    uint64
	Bytes int
	// Due is the time by which the body must be complete.
	Due time.Time
}

// Schedule determines which bodies are fetched and in which order. It is not safe for concurrent use.
type Schedule struct {
	bytesPerSecond float64
	concurrent     int
	// running contains the remaining bytes of each transfer in progress.
	running map[uint64]int
	// waiting is a FIFO queue, so that later bodies cannot delay an admitted one until it is late.
	waiting []Arrival
	// backlog is the total of the remaining bytes of running and waiting bodies.
	backlog int
}

// NewSchedule returns a Schedule for a link; linkMbps is 0 if its bandwidth is unknown.
func NewSchedule(linkMbps float64) *Schedule {
	s := &Schedule{concurrent: maxConcurrent, running: make(map[uint64]int)}
	if linkMbps > 0 {
		linkBytes := linkMbps * bitsPerMbit / 8
		s.bytesPerSecond = usableShare * linkBytes
		s.concurrent = min(max(int(linkBytes*windowTime.Seconds()/ChunkBytes), minConcurrent), maxConcurrent)
	}
	return s
}

// EstimateDelay returns the estimated time until the given number of bytes has arrived if announced now; 0 if the
// bandwidth is unknown.
func (s *Schedule) EstimateDelay(bytes int) time.Duration { return s.transferTime(s.backlog + bytes) }

func (s *Schedule) transferTime(bytes int) time.Duration {
	if s.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / s.bytesPerSecond * float64(time.Second))
}

// Admit queues a body and reports whether it is expected to arrive in time; otherwise the body is rejected. start
// is true if the transfer may begin immediately; if not, a later call of End returns its ID.
func (s *Schedule) Admit(now time.Time, a Arrival) (admitted, start bool) {
	if now.Add(s.EstimateDelay(a.Bytes)).After(a.Due) {
		return false, false
	}
	s.backlog += a.Bytes
	if len(s.running) < s.concurrent && len(s.waiting) == 0 {
		s.running[a.ID] = a.Bytes
		return true, true
	}
	s.waiting = append(s.waiting, a)
	return true, false
}

// Progress records received bytes of a running transfer.
func (s *Schedule) Progress(id uint64, bytes int) {
	left, running := s.running[id]
	if !running {
		return
	}
	bytes = min(bytes, left)
	s.running[id] = left - bytes
	s.backlog -= bytes
}

// End removes a body that was received or is no longer needed, and returns the IDs of the transfers to start.
func (s *Schedule) End(id uint64) []uint64 {
	if left, running := s.running[id]; running {
		s.backlog -= left
		delete(s.running, id)
	} else {
		s.waiting = slices.DeleteFunc(s.waiting, func(a Arrival) bool {
			if a.ID == id {
				s.backlog -= a.Bytes
			}
			return a.ID == id
		})
	}
	var started []uint64
	for len(s.running) < s.concurrent && len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		s.running[next.ID] = next.Bytes
		started = append(started, next.ID)
	}
	return started
}
