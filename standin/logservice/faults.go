package logservice

import (
	"sync"
	"time"
)

// Faults is the body of POST /faults. Fields that are absent leave the fault as it is.
type Faults struct {
	// Down makes every read and append fail with status 503. Reads that wait end at once.
	Down *bool `json:"down"`
	// DelayMS delays every read and append before it takes effect, in milliseconds.
	DelayMS *int64 `json:"delay_ms"`
	// LoseAppendAnswers stores the next appends and closes their connections without an answer.
	LoseAppendAnswers *int64 `json:"lose_append_answers"`
	// TrimTo removes the records below this offset from Stream.
	TrimTo uint64 `json:"trim_to"`
	// Stream is the stream to trim; empty means "config".
	Stream string `json:"stream"`
}

// defaultTrimStream is trimmed if no stream is named.
const defaultTrimStream = "config"

// faults are the faults in force.
type faults struct {
	mu    sync.Mutex
	down  bool
	delay time.Duration
	lose  int64
	// wentDown is closed when the service goes down; nil while no read waits for it.
	wentDown chan struct{}
}

// set changes the faults in force.
func (f *faults) set(to Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if to.DelayMS != nil {
		f.delay = time.Duration(*to.DelayMS) * time.Millisecond
	}
	if to.LoseAppendAnswers != nil {
		f.lose = *to.LoseAppendAnswers
	}
	if to.Down == nil {
		return
	}
	f.down = *to.Down
	if f.down && f.wentDown != nil {
		close(f.wentDown)
		f.wentDown = nil
	}
}

// current returns whether the service is down, the delay, and a channel that is closed when it goes down.
func (f *faults) current() (down bool, delay time.Duration, wentDown <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wentDown == nil {
		f.wentDown = make(chan struct{})
	}
	return f.down, f.delay, f.wentDown
}

// loseAnswer says whether the answer to an append is to be lost, and counts it.
func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lose <= 0 {
		return false
	}
	f.lose--
	return true
}
