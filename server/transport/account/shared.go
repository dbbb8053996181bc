package account

import "sync"

// Shared is the account of a process. It is safe for concurrent use.
type Shared struct {
	// OnShedding is called when shedding starts and when it ends; it may be nil. It must not block.
	OnShedding func(shedding bool, values Values)

	mu       sync.Mutex
	state    *State
	limit    int64
	highest  int64
	shed     [classes]int64
	refused  int64
	tooSlow  int64
	reported bool
}

// Values are the counters of an account, in bytes unless stated otherwise.
type Values struct {
	Limit, Highest                 int64
	Receiving, Running, Responding int64
	// ShedReceiving, ShedRunning and ShedResponding are numbers of requests that were shed to make room for others.
	ShedReceiving, ShedRunning, ShedResponding int64
	// NoRoom is the number of requests that were given up because nothing made room for them.
	NoRoom int64
	// TooSlow is the number of requests that were given up because their callers sent below the minimum rate.
	TooSlow int64
}

// New returns an empty account.
func New(limit int64) *Shared { return &Shared{state: NewState(limit), limit: limit} }

// Reserve sets the class of an entry and adds bytes to it. False means that there is no room or that the entry has been
// shed before; the owner then gives up its memory.
func (s *Shared) Reserve(e *Entry, class Class, bytes int64) bool {
	s.mu.Lock()
	gone := e.gone
	shed, ok := s.state.Reserve(e, class, bytes)
	for _, other := range shed {
		s.shed[other.class]++
	}
	if !ok && !gone {
		s.refused++
	}
	s.highest = max(s.highest, s.state.total)
	notify := s.changed()
	s.mu.Unlock()
	for _, other := range shed {
		other.Shed()
	}
	notify()
	return ok
}

// Set sets the class of an entry and lowers its bytes.
func (s *Shared) Set(e *Entry, class Class, bytes int64) {
	s.mu.Lock()
	s.state.Set(e, class, bytes)
	notify := s.changed()
	s.mu.Unlock()
	notify()
}

// Progress records that an entry has made progress.
func (s *Shared) Progress(e *Entry) {
	s.mu.Lock()
	s.state.Progress(e)
	s.mu.Unlock()
}

// RecordTooSlow counts a request whose caller sent below the minimum rate.
func (s *Shared) RecordTooSlow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tooSlow++
}

// Release removes an entry.
func (s *Shared) Release(e *Entry) {
	s.mu.Lock()
	s.state.Release(e)
	notify := s.changed()
	s.mu.Unlock()
	notify()
}

func nothing() {}

// changed returns what reports a start or an end of shedding. It is called with the lock held.
func (s *Shared) changed() func() {
	shedding := s.state.shedding
	if shedding == s.reported {
		return nothing
	}
	s.reported = shedding
	if s.OnShedding == nil {
		return nothing
	}
	values := s.values()
	return func() { s.OnShedding(shedding, values) }
}

// Values returns the counters.
func (s *Shared) Values() Values {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values()
}

func (s *Shared) values() Values {
	sums := s.state.Sums()
	return Values{
		Limit: s.limit, Highest: s.highest,
		Receiving: sums[Receiving], Running: sums[Running], Responding: sums[Responding],
		ShedReceiving: s.shed[Receiving], ShedRunning: s.shed[Running], ShedResponding: s.shed[Responding],
		NoRoom: s.refused, TooSlow: s.tooSlow,
	}
}
