package execute

import (
	"cmp"
	"errors"
	"math"
	"net"
	"slices"
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

// probeDelays are the delays before each connection attempt that checks for a crash. A dying process closes its
// connections and its listener one after the other, so the first attempt may still be accepted.
var probeDelays = []time.Duration{0, 10 * time.Millisecond, 40 * time.Millisecond}

// probeTimeout limits one connection attempt. A running local target accepts immediately unless its backlog is
// full.
const probeTimeout = 100 * time.Millisecond

// inFlightRequest is a request that may have reached the target.
type inFlightRequest struct {
	digest    uint64
	exclusive bool
	// sequence numbers the requests in the order in which they were registered.
	sequence   uint64
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
	// others returns what the other nodes state.
	others func() *suspect.Index
	// changed is called after a change of the ledger.
	changed func()
	probes  singleflight.Group
	ledger  atomic.Pointer[suspect.Ledger]

	mu sync.Mutex
	// generation is incremented at each crash or restart of the target.
	generation uint64
	// sequence is that of the request registered last, responded the highest of those that got a response of the target.
	sequence, responded uint64
	flights             map[*inFlightRequest]struct{}
	broken              []*inFlightRequest
}

func newCrashTracker(l suspect.Limits, others func() *suspect.Index, changed func()) *crashTracker {
	c := &crashTracker{limits: l, others: others, changed: changed, flights: make(map[*inFlightRequest]struct{})}
	c.ledger.Store(&suspect.Ledger{Process: time.Now().UnixNano()})
	return c
}

// ownLedger returns the crash counts and clearances of this node.
func (c *crashTracker) ownLedger() suspect.Ledger { return *c.ledger.Load() }

// standing returns how a request is to be run.
func (c *crashTracker) standing(digest uint64) suspect.Standing {
	return suspect.Judge(digest, c.ownLedger(), c.others(), time.Now().UnixMilli(), c.limits)
}

// register adds a request that is about to be sent.
func (c *crashTracker) register(digest uint64, exclusive bool) *inFlightRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	f := &inFlightRequest{digest: digest, exclusive: exclusive, sequence: c.sequence, generation: c.generation}
	c.flights[f] = struct{}{}
	return f
}

// unregister removes a request whose result says nothing about a crash.
func (c *crashTracker) unregister(f *inFlightRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flights, f)
}

// noteResponse removes a request to which the target has responded: the requests registered before it have not crashed it.
func (c *crashTracker) noteResponse(f *inFlightRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flights, f)
	c.responded = max(c.responded, f.sequence)
}

// complete removes a request that the target ran to its end. A request that crashes the targets that run it never gets
// there, so the crashes that are attributed to it have another cause: the counts of all nodes are cleared.
func (c *crashTracker) complete(f *inFlightRequest) {
	c.noteResponse(f)
	nowMS := time.Now().UnixMilli()
	if suspect.Latest(f.digest, c.ownLedger(), c.others(), nowMS) == 0 {
		return
	}
	c.mu.Lock()
	own := c.ownLedger()
	latest := suspect.Latest(f.digest, own, c.others(), nowMS)
	if latest > 0 {
		next := own.Clear(f.digest, latest, nowMS, c.limits)
		c.ledger.Store(&next)
	}
	c.mu.Unlock()
	if latest > 0 {
		c.changed()
	}
}

// connectionBroken checks for a crash of the target after the connection of a request broke. leaving is true if the target
// has announced its end.
func (c *crashTracker) connectionBroken(f *inFlightRequest, address string, leaving bool) crashResult {
	c.mu.Lock()
	delete(c.flights, f)
	if f.generation != c.generation {
		// Another request detected the crash or restart and counted this request.
		c.mu.Unlock()
		return crashResult{crashed: true}
	}
	c.addBroken(f, time.Now())
	c.mu.Unlock()
	refusing, _, _ := c.probes.Do(address, func() (any, error) { return probe(address), nil })
	if !refusing.(bool) {
		return crashResult{}
	}
	return crashResult{crashed: true, first: c.recordCrash(f.generation, leaving)}
}

// addBroken keeps a request whose connection broke. If there are too many, one that cannot have ended the target gives way, or else
// the latest: if the target has ended, those before the end are the first that got no response. The caller holds the lock.
func (c *crashTracker) addBroken(f *inFlightRequest, now time.Time) {
	f.brokenAt = now
	c.broken = append(c.broken, f)
	if len(c.broken) <= maxBroken {
		return
	}
	since := now.Add(-crashWindow)
	i := slices.IndexFunc(c.broken, func(f *inFlightRequest) bool { return !f.brokenAt.After(since) || f.sequence < c.responded })
	if i < 0 {
		i = slices.Index(c.broken, slices.MaxFunc(c.broken, func(a, b *inFlightRequest) int { return cmp.Compare(a.sequence, b.sequence) }))
	}
	c.broken = slices.Delete(c.broken, i, i+1)
}

// targetRestarted attributes a restart of the target to the requests that it interrupted. It reports whether there
// were any.
func (c *crashTracker) targetRestarted(leaving bool) bool {
	c.mu.Lock()
	generation := c.generation
	c.mu.Unlock()
	return c.recordCrash(generation, leaving)
}

// recordCrash attributes a crash to the requests in flight and starts the next generation. It reports whether the generation
// had not been recorded before and had requests in flight. The end of a target that was leaving is no evidence against a
// request.
func (c *crashTracker) recordCrash(generation uint64, leaving bool) bool {
	c.mu.Lock()
	if generation != c.generation {
		c.mu.Unlock()
		return false
	}
	interrupted := c.interruptedDigests()
	c.generation++
	c.broken = nil
	own, others := c.ownLedger(), c.others()
	nowMS := time.Now().UnixMilli()
	for digest, alone := range interrupted {
		cleared := suspect.ClearedUpTo(digest, own, others)
		own = own.Crash(digest, alone && !leaving, nowMS, cleared, c.limits)
	}
	c.ledger.Store(&own)
	c.mu.Unlock()
	if len(interrupted) == 0 {
		return false
	}
	c.changed()
	return true
}

// interruptedDigests returns the digests that were in flight when the current generation ended, and whether each can only have
// ended it by itself.
func (c *crashTracker) interruptedDigests() map[uint64]bool {
	interrupted := c.interrupted()
	// The target may have ended with any request after which none got a response: the end is often noticed later.
	first := uint64(math.MaxUint64)
	for _, f := range interrupted {
		if f.sequence >= c.responded {
			first = min(first, f.sequence)
		}
	}
	digests := make(map[uint64]bool)
	for _, f := range interrupted {
		digests[f.digest] = digests[f.digest] || (f.exclusive && f.sequence == first)
	}
	return digests
}

// interrupted returns the requests of the current generation whose connection broke lately, and those in flight.
func (c *crashTracker) interrupted() []*inFlightRequest {
	var list []*inFlightRequest
	since := time.Now().Add(-crashWindow)
	for _, f := range c.broken {
		if f.brokenAt.After(since) {
			list = append(list, f)
		}
	}
	for f := range c.flights {
		// Requests of an earlier generation were counted at the crash that ended it.
		if f.generation == c.generation {
			list = append(list, f)
		}
	}
	return list
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
