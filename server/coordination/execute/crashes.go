package execute

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"

	"wagtailford.example/server/state/suspect"
)

// crashWindow is how long a request whose connection broke still counts as in flight when a crash is detected
// later. It covers the time until a restarted target announces itself.
const crashWindow = 5 * time.Second

// maxBroken limits the number of requests with a broken connection that are kept.
const maxBroken = 64

// maxCleared limits the number of digests cleared on this node. At the limit all entries are dropped, and suspect
// requests run exclusively once more.
const maxCleared = 1024

// probeDelays are the delays before each connection attempt that checks for a crash. A dying process closes its
// connections and its listener one after the other, so the first attempt may still be accepted.
var probeDelays = []time.Duration{0, 10 * time.Millisecond, 40 * time.Millisecond}

// probeTimeout limits one connection attempt. A running local target accepts immediately unless its backlog is
// full.
const probeTimeout = 100 * time.Millisecond

// inFlightRequest is a request that may have reached the target.
type inFlightRequest struct {
	digest     uint64
	exclusive  bool
	generation uint64
	brokenAt   time.Time
}

// crashResult is the result of the crash check after a connection broke.
type crashResult struct {
	crashed bool
	// first is true for exactly one request of each crash.
	first bool
}

// crashTracker attributes crashes of the target to the requests in flight.
type crashTracker struct {
	limits suspect.Limits
	// changed is called after a change of the crash counts.
	changed func()
	probes  singleflight.Group
	counts  atomic.Pointer[suspect.Counts]

	mu sync.Mutex
	// generation is incremented at each crash or restart of the target.
	generation uint64
	flights    map[*inFlightRequest]struct{}
	broken     []*inFlightRequest
	// cleared maps a digest to the latest expiry of the crash counts of other nodes that a successful exclusive run
	// on this node has cleared.
	cleared map[uint64]int64
}

func newCrashTracker(l suspect.Limits, changed func()) *crashTracker {
	c := &crashTracker{
		limits: l, changed: changed,
		flights: make(map[*inFlightRequest]struct{}), cleared: make(map[uint64]int64),
	}
	c.counts.Store(&suspect.Counts{})
	return c
}

// localCounts returns the crash counts recorded by this node.
func (c *crashTracker) localCounts() suspect.Counts { return *c.counts.Load() }

// register adds a request that is about to be sent.
func (c *crashTracker) register(digest uint64, exclusive bool) *inFlightRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &inFlightRequest{digest: digest, exclusive: exclusive, generation: c.generation}
	c.flights[f] = struct{}{}
	return f
}

// unregister removes a request whose result says nothing about a crash.
func (c *crashTracker) unregister(f *inFlightRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flights, f)
}

// clearedUntil returns the latest expiry of the crash counts of other nodes that no longer make the digest a
// suspect on this node.
func (c *crashTracker) clearedUntil(digest uint64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cleared[digest]
}

// complete removes a request that the target completed, and its crash count. If the request ran exclusively, the
// crash counts of other nodes with an expiry up to latest are cleared as well. Otherwise a digest sent by many
// callers would run exclusively at every target until the target that crashed while running it is back.
func (c *crashTracker) complete(f *inFlightRequest, latest int64) {
	c.mu.Lock()
	delete(c.flights, f)
	if f.exclusive && latest > 0 {
		if len(c.cleared) >= maxCleared {
			clear(c.cleared)
		}
		c.cleared[f.digest] = latest
	}
	before := c.localCounts()
	after := before.Complete(f.digest)
	c.counts.Store(&after)
	c.mu.Unlock()
	if len(after) != len(before) {
		c.changed()
	}
}

// connectionBroken checks for a crash of the target after the connection of a request broke.
func (c *crashTracker) connectionBroken(f *inFlightRequest, address string) crashResult {
	c.mu.Lock()
	delete(c.flights, f)
	if f.generation != c.generation {
		// Another request detected the crash or restart and counted this request.
		c.mu.Unlock()
		return crashResult{crashed: true}
	}
	f.brokenAt = time.Now()
	c.broken = append(c.broken, f)
	if len(c.broken) > maxBroken {
		c.broken = c.broken[1:]
	}
	c.mu.Unlock()
	refusing, _, _ := c.probes.Do(address, func() (any, error) { return probe(address), nil })
	if !refusing.(bool) {
		return crashResult{}
	}
	return crashResult{crashed: true, first: c.recordCrash(f.generation)}
}

// targetRestarted attributes a restart of the target to the requests that it interrupted. It reports whether there
// were any.
func (c *crashTracker) targetRestarted() bool {
	c.mu.Lock()
	generation := c.generation
	c.mu.Unlock()
	return c.recordCrash(generation)
}

// recordCrash increments the crash counts of the requests in flight and starts the next generation. It reports
// whether the generation had not been recorded before and had requests in flight.
func (c *crashTracker) recordCrash(generation uint64) bool {
	c.mu.Lock()
	if generation != c.generation {
		c.mu.Unlock()
		return false
	}
	interrupted := c.interruptedDigests()
	c.generation++
	c.broken = nil
	counts := c.localCounts()
	nowMS := time.Now().UnixMilli()
	for digest, exclusive := range interrupted {
		counts = counts.Crash(digest, exclusive, nowMS, c.limits)
	}
	c.counts.Store(&counts)
	c.mu.Unlock()
	if len(interrupted) == 0 {
		return false
	}
	c.changed()
	return true
}

// interruptedDigests returns the digests that were in flight when the current generation ended, and whether each
// ran exclusively.
func (c *crashTracker) interruptedDigests() map[uint64]bool {
	digests := make(map[uint64]bool)
	since := time.Now().Add(-crashWindow)
	for _, f := range c.broken {
		if f.brokenAt.After(since) {
			digests[f.digest] = f.exclusive
		}
	}
	for f := range c.flights {
		// Requests of an earlier generation were counted at the crash that ended it.
		if f.generation == c.generation {
			digests[f.digest] = f.exclusive
		}
	}
	return digests
}

// probe reports whether the address refuses connections.
func probe(address string) bool {
	for _, delay := range probeDelays {
		time.Sleep(delay)
		conn, err := net.DialTimeout("tcp", address, probeTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if err == nil {
			conn.Close()
		}
	}
	return false
}
