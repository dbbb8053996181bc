// Package account limits the bytes that a process holds for requests of its callers, all connections together.
//
// It addresses callers outside the deployment's control that open many connections and send bodies which never end,
// pipelines without end, or do not read their responses. Limits for each connection do not help against them, because
// their sum is far above the memory of a VM.
package account

import "slices"

// Class is what bytes are used for.
type Class uint8

// Classes of use.
const (
	// Receiving are requests that have not arrived whole.
	Receiving Class = iota
	// Running are complete requests in progress.
	Running
	// Responding are responses that wait for their turn or are being written.
	Responding
	classes
)

// String returns the name of a class.
func (c Class) String() string { return [...]string{"Receiving", "Running", "Responding"}[c] }

// Entry is one request of a caller in the account. Its zero value is not in the account.
type Entry struct {
	// Shed is called once if the entry is shed. It must not call the account and must not block.
	Shed func()

	class Class
	bytes int64
	// gone is true after the entry was shed.
	gone       bool
	prev, next *Entry
}

// State is the account without a lock. It has no clock: the order of calls tells which entry has made no progress for
// longest.
type State struct {
	limit int64
	total int64
	sums  [classes]int64
	// queues are the entries of each class, circular; those without progress for longest come first.
	queues [classes]Entry
	// shedding is true from the first entry that is shed until half of the limit is free.
	shedding bool
}

// NewState returns an empty account.
func NewState(limit int64) *State {
	s := &State{limit: limit}
	for i := range s.queues {
		s.queues[i].prev, s.queues[i].next = &s.queues[i], &s.queues[i]
	}
	return s
}

// shedOrder is the order of classes in which others make room for an entry: unfinished requests first, complete ones last.
// A request that has not arrived whole never displaces a complete one.
var shedOrder = [classes][]Class{
	Receiving:  {Receiving, Responding},
	Running:    {Receiving, Responding, Running},
	Responding: {Receiving, Responding, Running},
}

// counted returns what an entry counts with: at most three quarters of the limit. A single request that is larger is thus
// served, and ordinary ones beside it, while two such requests exceed the limit.
func (s *State) counted(bytes int64) int64 { return min(bytes, s.limit-s.limit/4) }

// Reserve sets the class of an entry and adds bytes to it, and counts as progress. If the bytes do not fit, other entries
// are removed from the account and returned; their owners give up their memory. If there are not enough of them, nothing
// is shed, the entry is removed instead, and ok is false. An entry that has been shed does not return.
func (s *State) Reserve(e *Entry, class Class, bytes int64) (shed []*Entry, ok bool) {
	if e.gone {
		return nil, false
	}
	if missing := s.total - s.counted(e.bytes) + s.counted(e.bytes+bytes) - s.limit; missing > 0 {
		shed = s.choose(e, class, missing)
		if shed == nil {
			s.Release(e)
			s.shedding = true
			return nil, false
		}
		for _, other := range shed {
			s.remove(other)
			other.gone = true
		}
		s.shedding = true
	}
	s.place(e, class, e.bytes+bytes)
	return shed, true
}

// choose returns the entries whose bytes together are at least needed; nil if there are not enough.
func (s *State) choose(requester *Entry, class Class, needed int64) []*Entry {
	var chosen []*Entry
	for _, c := range shedOrder[class] {
		queue := &s.queues[c]
		for other := queue.next; other != queue; other = other.next {
			if other == requester {
				continue
			}
			chosen = append(chosen, other)
			if needed -= s.counted(other.bytes); needed <= 0 {
				return chosen
			}
		}
	}
	return nil
}

// Set sets the class of an entry and its bytes, which are no more than it had.
func (s *State) Set(e *Entry, class Class, bytes int64) {
	if e.next != nil {
		s.place(e, class, min(bytes, e.bytes))
	}
	s.settle()
}

// Progress records that an entry has made progress.
func (s *State) Progress(e *Entry) {
	if e.next != nil {
		s.place(e, e.class, e.bytes)
	}
}

// Release removes an entry. It does nothing if the entry is not in the account.
func (s *State) Release(e *Entry) {
	s.remove(e)
	s.settle()
}

func (s *State) settle() {
	if s.total <= s.limit/2 {
		s.shedding = false
	}
}

func (s *State) remove(e *Entry) {
	if e.next == nil {
		return
	}
	e.prev.next, e.next.prev = e.next, e.prev
	e.prev, e.next = nil, nil
	s.total -= s.counted(e.bytes)
	s.sums[e.class] -= s.counted(e.bytes)
	e.bytes = 0
}

func (s *State) place(e *Entry, class Class, bytes int64) {
	s.remove(e)
	queue := &s.queues[class]
	e.class, e.bytes = class, bytes
	e.prev, e.next = queue.prev, queue
	e.prev.next, queue.prev = e, e
	s.total += s.counted(bytes)
	s.sums[class] += s.counted(bytes)
}

// Sums returns the bytes of each class.
func (s *State) Sums() []int64 { return slices.Clone(s.sums[:]) }
