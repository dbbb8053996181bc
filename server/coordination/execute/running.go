package execute

import (
	"sync"
	"time"
)

// CallMargin is added to the time in which the target may make calls for a request: a call that was made in time may be read late.
const CallMargin = time.Second

// runningRequests knows whether the target may run a request that this process sent to it. It is safe for concurrent use.
type runningRequests struct {
	mu      sync.Mutex
	running int
	// until is the end of the time in which the target may make calls for requests that have ended here.
	until time.Time
}

// begin adds a request that is about to be sent.
func (r *runningRequests) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running++
}

// end removes a request. The target runs it no longer if it has responded to it or never got it; otherwise it may run it until the
// deadline that it got.
func (r *runningRequests) end(isOver bool, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	last := time.Now()
	if !isOver && deadline.After(last) {
		last = deadline
	}
	if last = last.Add(CallMargin); last.After(r.until) {
		r.until = last
	}
}

func (r *runningRequests) any(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running > 0 || now.Before(r.until)
}

// MayRunRequest reports whether the target may run a request that this process has sent to it, and so make calls for it. Requests
// that an earlier process of this node sent are not known.
func (e *Executor) MayRunRequest(now time.Time) bool { return e.running.any(now) }
