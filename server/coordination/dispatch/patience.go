package dispatch

import (
	"sync"
	"time"
)

// patienceMax limits the routes that are remembered; when it is reached all are forgotten.
const patienceMax = 4096

// patience remembers how long callers of a route wait at most. A caller that returns after a refusal states what is
// left of that time, which tells how long it has waited already. It is safe for concurrent use.
type patience struct {
	mu   sync.Mutex
	full map[string]time.Duration
}

// elapsed returns how long a caller that waits for timeout has waited already; 0 if it stated no timeout.
func (p *patience) elapsed(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	full := p.full[route]
	if timeout <= full {
		return full - timeout
	}
	if p.full == nil || len(p.full) >= patienceMax {
		p.full = make(map[string]time.Duration)
	}
	p.full[route] = timeout
	return 0
}
