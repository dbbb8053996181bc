package dispatch

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxReturningCallers limits the requests that are remembered; at the limit no further ones are.
	maxReturningCallers = 4096
	// deadlineTolerance is how far the deadlines of two attempts of one caller may differ. It covers a new connection
	// and a node that is held up; callers state their timeout in whole milliseconds.
	deadlineTolerance = 60 * time.Millisecond
)

// returningCallers recognizes callers that repeat a request which was not served here. A caller states how long it
// still waits, so its deadline is the same at each attempt. The timeout alone does not tell: callers of one route state
// different ones, and those with a shorter one would be taken for callers that have waited. It is safe for concurrent
// use.
type returningCallers struct {
	mu sync.Mutex
	// unserved maps the digest of a request to its latest attempt.
	unserved map[uint64]unservedRequest
}

type unservedRequest struct {
	// first is the time of the caller's first attempt.
	first, deadline time.Time
}

// requestDigest identifies a request independently of its attempt.
func requestDigest(route string, r *Request) uint64 {
	d := xxhash.New()
	for _, part := range [...]string{route, r.Method, r.Path} {
		d.WriteString(part)
		d.Write([]byte{0})
	}
	d.Write(r.Body)
	if r.Rest != nil {
		d.WriteString(strconv.FormatInt(r.RestBytes, 10))
	}
	return d.Sum64()
}

// elapsed returns how long the caller of a request has waited since its first attempt; 0 if this is the first.
func (c *returningCallers) elapsed(digest uint64, now time.Time, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.unserved[digest]
	if !ok || now.Add(timeout).Sub(known.deadline).Abs() > deadlineTolerance {
		return 0
	}
	return now.Sub(known.first)
}

// recordUnserved remembers a request that ended without a useful response. arrived is the time of the attempt and
// elapsed what the caller had waited then.
func (c *returningCallers) recordUnserved(digest uint64, arrived time.Time, timeout, elapsed time.Duration) {
	if timeout <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unserved) >= maxReturningCallers {
		c.removeExpired(arrived)
	}
	if c.unserved == nil {
		c.unserved = make(map[uint64]unservedRequest)
	}
	if _, known := c.unserved[digest]; known || len(c.unserved) < maxReturningCallers {
		c.unserved[digest] = unservedRequest{first: arrived.Add(-elapsed), deadline: arrived.Add(timeout)}
	}
}

// removeServed forgets a request.
func (c *returningCallers) removeServed(digest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unserved, digest)
}

func (c *returningCallers) removeExpired(now time.Time) {
	for digest, request := range c.unserved {
		if now.After(request.deadline) {
			delete(c.unserved, digest)
		}
	}
}
