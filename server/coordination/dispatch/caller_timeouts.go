package dispatch

import (
	"sync"
	"time"
)

// maxTrackedTimeouts limits the number of tracked routes; at the limit all entries are dropped.
const maxTrackedTimeouts = 4096

// callerTimeouts tracks the longest timeout that callers of each route request. A caller that retries after a
// refusal sends its remaining timeout, from which the time it has already waited is derived. It is safe for
// concurrent use.
type callerTimeouts struct {
	mu             sync.Mutex
	longestTimeout map[string]time.Duration
}

// elapsed returns how long a caller with the given timeout has already waited; 0 if it set no timeout.
func (t *callerTimeouts) elapsed(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := t.longestTimeout[route]
	if timeout <= longest {
		return longest - timeout
	}
	if t.longestTimeout == nil || len(t.longestTimeout) >= maxTrackedTimeouts {
		t.longestTimeout = make(map[string]time.Duration)
	}
	t.longestTimeout[route] = timeout
	return 0
}
