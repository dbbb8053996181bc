// Package transfer moves large request bodies between nodes. The executing node fetches a body in pieces, so that
// small messages pass between them on a narrow link, and only as many bodies at a time as its link carries without
// a queue of packets. A body that would arrive too late is refused before any of it is sent.
//
// It answers the load of a service with few targets behind narrow links: large bodies from many nodes that are sent
// at will fill the link of a target, and the small requests, answers and configurations behind them come too late.
package transfer

import (
	"slices"
	"time"
)

const (
	// ChunkBytes is the size of a piece: some tens of milliseconds on a link of 10 Mbit/s.
	ChunkBytes = 32 << 10
	// flightTime is how long the link needs for the pieces that are asked for at a time. A small message that arrives
	// behind them waits for about this long.
	flightTime = 50 * time.Millisecond
	// concurrentMin is the least number of bodies at a time: while a piece of one is on its way, the next piece of the
	// other is asked for.
	concurrentMin = 2
	// concurrentMax limits the bodies at a time on a wide link, or on one of unknown bandwidth.
	concurrentMax = 64
	// usableShare is the part of the link's bandwidth that bodies are expected to get beside other traffic.
	usableShare = 0.9
	// bitsPerMbit converts the bandwidth of a link.
	bitsPerMbit = 1e6
)

// Arrival is a body that a node could fetch.
type Arrival struct {
	ID    uint64
	Bytes int
	// Due is the time at which the body has to be complete.
	Due time.Time
}

// Schedule decides which bodies are fetched and when. It is changed by one caller at a time.
type Schedule struct {
	bytesPerSecond float64
	concurrent     int
	// running are the bytes that are left of the bodies on their way.
	running map[uint64]int
	// waiting is in the order of arrival, so that a body which was admitted is not overtaken until it is late.
	waiting []Arrival
	// backlog are the bytes that are left of all bodies.
	backlog int
}

// NewSchedule returns a schedule for a link; linkMbps is 0 if its bandwidth is not known.
func NewSchedule(linkMbps float64) *Schedule {
	s := &Schedule{concurrent: concurrentMax, running: make(map[uint64]int)}
	if linkMbps > 0 {
		linkBytes := linkMbps * bitsPerMbit / 8
		s.bytesPerSecond = usableShare * linkBytes
		s.concurrent = min(max(int(linkBytes*flightTime.Seconds()/ChunkBytes), concurrentMin), concurrentMax)
	}
	return s
}

// Wait returns the time until a number of bytes that is announced now has arrived, 0 if the bandwidth is not known.
func (s *Schedule) Wait(bytes int) time.Duration { return s.timeOf(s.backlog + bytes) }

func (s *Schedule) timeOf(bytes int) time.Duration {
	if s.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / s.bytesPerSecond * float64(time.Second))
}

// Admit takes a body, and reports whether it will arrive in time. start is true if it is fetched at once; otherwise it
// is returned by a later call of End.
func (s *Schedule) Admit(now time.Time, a Arrival) (admitted, start bool) {
	if now.Add(s.Wait(a.Bytes)).After(a.Due) {
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

// Progress notes that bytes of a running body have arrived.
func (s *Schedule) Progress(id uint64, bytes int) {
	left, running := s.running[id]
	if !running {
		return
	}
	bytes = min(bytes, left)
	s.running[id] = left - bytes
	s.backlog -= bytes
}

// End removes a body that has arrived or is no longer wanted, and returns those that start now.
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
