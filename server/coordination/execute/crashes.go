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

// crashWindow is how long a request whose connection broke counts as in flight at a crash that is found later. It
// covers the time in which a restarted target announces itself.
const crashWindow = 5 * time.Second

// brokenMax bounds the remembered requests whose connection broke.
const brokenMax = 64

// clearedMax bounds the digests that were cleared here. When it is reached all are forgotten, and suspects run alone once
// more.
const clearedMax = 1024

// probeDelays are the waits before each connection attempt that looks for a crash. A process that dies closes its
// connections and its listener one after the other, so the first attempt may still be accepted.
var probeDelays = []time.Duration{0, 10 * time.Millisecond, 40 * time.Millisecond}

// probeTimeout limits one connection attempt. A local target that is alive accepts at once unless its backlog is full.
const probeTimeout = 100 * time.Millisecond

// flight is a request that may be at the target.
type flight struct {
	digest     uint64
	alone      bool
	generation uint64
	brokenAt   time.Time
}

// verdict says whether a broken connection was a crash of the target.
type verdict struct {
	crashed bool
	// first is true for one request of each crash.
	first bool
}

// crashes attributes crashes of the target to the requests in flight.
type crashes struct {
	limits suspect.Limits
	// changed is called after the counts changed.
	changed func()
	probes  singleflight.Group
	counts  atomic.Pointer[suspect.Counts]

	mu sync.Mutex
	// generation counts the crashes and restarts of the target.
	generation uint64
	flights    map[*flight]struct{}
	broken     []*flight
	// cleared holds, by digest, the latest expiry of the counts of other nodes that a run alone has answered.
	cleared map[uint64]int64
}

func newCrashes(l suspect.Limits, changed func()) *crashes {
	c := &crashes{limits: l, changed: changed, flights: make(map[*flight]struct{}), cleared: make(map[uint64]int64)}
	c.counts.Store(&suspect.Counts{})
	return c
}

// own returns the counts of this node.
func (c *crashes) own() suspect.Counts { return *c.counts.Load() }

// start registers a request that is about to be sent.
func (c *crashes) start(digest uint64, alone bool) *flight {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &flight{digest: digest, alone: alone, generation: c.generation}
	c.flights[f] = struct{}{}
	return f
}

// end removes a request about which nothing was learnt.
func (c *crashes) end(f *flight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flights, f)
}

// clearance returns the latest expiry of the counts of other nodes that no longer make the digest a suspect here.
func (c *crashes) clearance(digest uint64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cleared[digest]
}

// complete removes a request that the target ran to its end, and its count. If it ran alone, the counts of other nodes
// up to the expiry latest are answered too; otherwise a digest that many callers send would run alone at every target
// until the one that crashed beside it is back.
func (c *crashes) complete(f *flight, latest int64) {
	c.mu.Lock()
	delete(c.flights, f)
	if f.alone && latest > 0 {
		if len(c.cleared) >= clearedMax {
			clear(c.cleared)
		}
		c.cleared[f.digest] = latest
	}
	before := c.own()
	after := before.Complete(f.digest)
	c.counts.Store(&after)
	c.mu.Unlock()
	if len(after) != len(before) {
		c.changed()
	}
}

// broke looks for a crash after the connection of a request broke.
func (c *crashes) broke(f *flight, address string) verdict {
	c.mu.Lock()
	delete(c.flights, f)
	if f.generation != c.generation {
		// The crash or restart was found by another request, which counted this one.
		c.mu.Unlock()
		return verdict{crashed: true}
	}
	f.brokenAt = time.Now()
	c.broken = append(c.broken, f)
	if len(c.broken) > brokenMax {
		c.broken = c.broken[1:]
	}
	c.mu.Unlock()
	refusing, _, _ := c.probes.Do(address, func() (any, error) { return probe(address), nil })
	if !refusing.(bool) {
		return verdict{}
	}
	return verdict{crashed: true, first: c.crash(f.generation)}
}

// restarted attributes a restart of the target to the requests that it interrupted. It reports whether there were
// any.
func (c *crashes) restarted() bool {
	c.mu.Lock()
	generation := c.generation
	c.mu.Unlock()
	return c.crash(generation)
}

// crash makes the requests in flight suspects and begins the next generation. It reports whether this had not been
// done for the generation before and there were such requests.
func (c *crashes) crash(generation uint64) bool {
	c.mu.Lock()
	if generation != c.generation {
		c.mu.Unlock()
		return false
	}
	interrupted := c.interrupted()
	c.generation++
	c.broken = nil
	counts := c.own()
	nowMS := time.Now().UnixMilli()
	for digest, alone := range interrupted {
		counts = counts.Crash(digest, alone, nowMS, c.limits)
	}
	c.counts.Store(&counts)
	c.mu.Unlock()
	if len(interrupted) == 0 {
		return false
	}
	c.changed()
	return true
}

// interrupted returns the digests that were in flight in the current generation's last moments, and whether they ran
// alone.
func (c *crashes) interrupted() map[uint64]bool {
	digests := make(map[uint64]bool)
	since := time.Now().Add(-crashWindow)
	for _, f := range c.broken {
		if f.brokenAt.After(since) {
			digests[f.digest] = f.alone
		}
	}
	for f := range c.flights {
		// A request of an earlier generation was counted at the crash that ended it.
		if f.generation == c.generation {
			digests[f.digest] = f.alone
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
