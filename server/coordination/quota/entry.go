package quota

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	"wagtailford.example/server/protocol/wire"

	"wagtailford.example/server/state/config"
)

const (
	// slowRoundTrip is the round trip of a report above which the owner reacts too late to protect larger organisations.
	slowRoundTrip = 200 * time.Millisecond
	// unguardedRate is the rate, in requests per second, up to which an organisation that sends 7.5 times its usual demand
	// stays within its bound even if nothing is refused.
	unguardedRate = 1
	// answeredSlack is the number of requests, in all nodes together, by which the guards are deeper than the burst while the
	// owner answers, though late: then the nodes hear of a flood at least.
	answeredSlack = 45
	// promptRate is the rate, in requests per second, up to which each request is reported without waiting for the interval.
	// For small organisations, all nodes together hold more unreported requests than the slack otherwise.
	promptRate = 20
	// isolatedShare is the part of rate / nodes that a node uses without the owner. It counts in slots of a second, of which a
	// window of 5 s touches 6.
	isolatedShare = 0.6
	// minReportGap is the shortest time between two reports to an owner in a small fleet.
	minReportGap = 200 * time.Millisecond
	// limitedGap is the time between two reports while an organisation is limited that sends requests.
	limitedGap = 250 * time.Millisecond
	// earlyCount and earlyShare give the number of unreported requests that are reported before the interval ends: earlyCount
	// plus what the node's part of the rate is in earlyShare.
	earlyCount = 1.5
	earlyShare = 500 * time.Millisecond
	// reportJitter is the part of the interval over which regular reports are spread.
	reportJitter = 0.25
	// settleTime is the time for which a process that starts uses its part of the rate only. If all nodes start at once, the
	// owners learn the demand meanwhile.
	settleTime = time.Second
	// settleShare is the part of rate / nodes that a node uses then. Nothing was admitted while the process was down, and the callers
	// that were refused meanwhile return. With isolatedShare, half of the requests were refused in the second after all nodes had
	// started. A slack of 10 requests beside it gave 1.10 of the bound at rates 4 and 8 when all of 3 nodes restarted in a flood.
	settleShare = 0.9
	// outstandingMax limits the reports to one owner without a reply.
	outstandingMax = 4
	// unansweredMax is the age of an unanswered report from which on the owner counts as unreachable. Messages may take 0.5 s
	// each way.
	unansweredMax = 1100 * time.Millisecond
	// idleAfter is the time after which an organisation without requests is forgotten. Its buckets are full by then, or would
	// be for organisations whose burst equals some seconds of their rate.
	idleAfter = 10 * time.Second
	// guardWindow bounds the debt of the guards: older requests are in no window with new ones.
	guardWindow = 5 * time.Second
	// thinnedShare is the part of the requests of organisations with rates up to thinnedRate that is admitted in a large fleet while
	// messages are slow. All nodes together admit too much of a flood until they hear of it otherwise, since a guard holds at least
	// one request: 1.3 of the bound at rates 4 and 20 with messages of 0.5 s.
	thinnedShare = 0.5
	thinnedRate  = 100
	// waitMin is the shortest wait that is stated to refused callers.
	waitMin = time.Second
)

// Entry is the state of a node for the requests that enter there. It is not safe for concurrent use. Times are durations since
// an arbitrary start.
type Entry struct {
	node string
	// seed makes the draws of nodes and processes differ.
	seed       uint64
	members    Members
	partitions []contact
	states     map[ID]*entryState
	swept      time.Duration
	rates      Rates
	// began is when the first report was due.
	began   time.Duration
	running bool
	// lowered maps organisations whose rate was lowered to the version that did so, until their owner has it.
	lowered map[ID]uint64
	// domain is the failure domain of the node.
	domain string
	// heard maps owners to the time of their last answer, avoided has those that do not answer.
	heard   map[Peer]time.Duration
	avoided map[origin]*avoidance
	// avoidances are changes of avoided that were not stated.
	avoidances []Avoidance
	// lastHeard is the time of the last answer of another node, linkedSince when the answers began after a time without any.
	lastHeard, linkedSince time.Duration
	// linkProbed is the time of the last probe of a node of the same failure domain.
	linkProbed time.Duration
	// collector is the contact to the collector; without an owner if the node reports to the owners itself.
	collector contact
	// collected are the nodes that report through this one. The last report of any of them was at collectedAt.
	collected   map[string]collectedNode
	collecting  bool
	collectedAt time.Duration
	// process and sequence are those of the news of this node as a collector, version is that of the configuration.
	process  uint32
	sequence uint64
	version  uint64
	// forwards are pushes of owners to pass on.
	forwards []wire.QuotaNews
	// ticked is the time of the last call of Due, paused is true if it came late.
	ticked time.Duration
	paused bool
}

// entryState is the state of an organisation at an entry node.
type entryState struct {
	admitted, refused int
	// pending is true if the next report contains the organisation.
	pending bool
	// isolated are the admitted requests that the owner could not have counted.
	isolated int
	used     time.Duration
	// credit accumulates the share of a limited organisation.
	credit float64
	// guard holds the tokens of the node's own part of the rate.
	guard        float64
	guarded      time.Duration
	slot         int64
	taken        int
	organisation *config.Organisation
	// drawn is the number of requests that were drawn by lot.
	drawn uint64
	// refusing is true from the first refusal on until none has followed for a while, stated is true once that was logged, and
	// refusals counts them.
	refusing, stated bool
	refusals         int
	lastRefused      time.Duration
}

// NewEntry returns the state of a node that has heard from no owner.
func NewEntry(node string, seed uint64) *Entry {
	return &Entry{
		node: node, seed: seed, states: make(map[ID]*entryState), lowered: make(map[ID]uint64),
		heard: make(map[Peer]time.Duration), collected: make(map[string]collectedNode), process: uint32(seed>>32) ^ uint32(seed), avoided: make(map[origin]*avoidance),
	}
}

// SetMembers takes over the nodes and the rates of the configuration in force, which has the given version.
func (e *Entry) SetMembers(m Members, rates Rates, version uint64, now time.Duration) {
	e.members, e.version = m, version
	if e.rates.Organisations != nil {
		for id, o := range rates.Organisations {
			if isLowered(e.rates.Organisations[id], o) {
				e.lowered[id] = version
			}
		}
	}
	e.rates = rates
	if len(rates.Organisations) == 0 {
		clear(e.states)
		clear(e.lowered)
	}
	if len(e.partitions) != len(m.Owners) {
		e.partitions = make([]contact, len(m.Owners))
		for p := range e.partitions {
			e.partitions[p].index = p
		}
		for id, s := range e.states {
			s.pending = false
			e.mark(id, s)
		}
	}
	for _, peer := range m.Live {
		if peer.Node == e.node {
			e.domain = peer.FailureDomain
		}
	}
	for p := range e.partitions {
		e.partitions[p].active = false
	}
	e.choose(now)
	for id := range rates.Organisations {
		e.partitions[rates.partition(id)].active = true
	}
}

// Admit counts a request of an organisation and reports whether it may run, and otherwise after what time there is room.
func (e *Entry) Admit(o *config.Organisation, now time.Duration) (admitted bool, wait time.Duration) {
	if o.RatePerSecond <= 0 {
		return true, 0
	}
	id := IDOf(o.Name)
	s := e.state(id, o, now)
	s.used = now
	if len(e.partitions) == 0 {
		return false, waitMin
	}
	c := &e.partitions[e.rates.partition(id)]
	admitted, wait = e.decide(id, o, c, s, now)
	if !admitted {
		s.refusing, s.lastRefused = true, now
		s.refusals++
	}
	e.count(id, o, c, s, admitted, now)
	return admitted, max(wait, waitMin)
}

// count counts a request for the next report.
func (e *Entry) count(id ID, o *config.Organisation, c *contact, s *entryState, admitted bool, now time.Duration) {
	switch {
	case admitted && e.grade(c, now) == isolated:
		s.isolated++
	case admitted:
		s.admitted++
	case !e.members.Unstated:
		// Refusals of the time without an owner would reach the first one late and all at once, as a demand that is none.
		s.refused++
	}
	e.mark(id, s)
	to := c
	if e.isRelayed() {
		to = &e.collector
	}
	if _, limited := c.limited[id]; limited {
		to.due = true
	}
	if float64(s.admitted) >= e.unreportedMax(o) {
		to.urgent = true
	}
}

// mark notes that the next report contains an organisation.
func (e *Entry) mark(id ID, s *entryState) {
	if !s.pending && len(e.partitions) > 0 {
		s.pending = true
		c := &e.partitions[e.rates.partition(id)]
		c.pending = append(c.pending, id)
	}
}

// unreportedMax returns the number of admitted requests from which on a report does not wait for the interval.
func (e *Entry) unreportedMax(o *config.Organisation) float64 {
	if o.RatePerSecond <= promptRate && !e.isRelayed() {
		return 1
	}
	return earlyCount + earlyShare.Seconds()*e.share(o.RatePerSecond)
}

// decide applies the share that the owner announced and, depending on the contact to it, the node's own part of the rate.
func (e *Entry) decide(id ID, o *config.Organisation, c *contact, s *entryState, now time.Duration) (bool, time.Duration) {
	g := e.grade(c, now)
	if _, lowered := e.lowered[id]; lowered || g == isolated {
		return e.takeIsolated(id, o, c, s, now), waitMin
	}
	if e.isRelayed() && c.isSlow() && o.RatePerSecond <= thinnedRate {
		s.drawn++
		if e.draw(uint64(id), s.drawn) > thinnedShare {
			return false, waitMin
		}
	}
	if l, limited := c.limited[id]; limited {
		s.credit = min(s.credit+float64(l.PerMille)/1000, 1)
		if s.credit < 1 {
			return false, time.Duration(l.WaitMS) * time.Millisecond
		}
	}
	slack := 0.0
	if c.roundTrip > slowRoundTrip {
		slack = answeredSlack
	}
	if !e.takeGuard(o, s, g, slack, now) {
		return false, time.Duration(float64(time.Second) / max(e.share(o.RatePerSecond), 0.1))
	}
	if s.credit >= 1 {
		s.credit--
	}
	return true, 0
}

// share returns a node's part of a number of requests of all nodes.
func (e *Entry) share(total float64) float64 { return total / float64(max(e.members.Known, 1)) }

// takeGuard takes a token of the node's part of the rate. Without a slow contact, the tokens are counted but not required.
func (e *Entry) takeGuard(o *config.Organisation, s *entryState, g grade, slack float64, now time.Duration) bool {
	depth := 1 + e.share(o.Burst+slack)
	s.guard = min(depth, s.guard+e.share(o.RatePerSecond)*(now-s.guarded).Seconds())
	s.guarded = now
	if s.guard < 1 {
		if collects(e.members.Known) && g == fresh {
			s.guard = max(s.guard-1, -e.share(guardWindow.Seconds()*o.RatePerSecond))
		}
		return g == fresh || o.RatePerSecond <= unguardedRate
	}
	s.guard--
	return true
}

// takeIsolated admits the node's part of the rate in each second. Parts of a request are drawn by lot for each node and second.
// Unused ones are not kept: otherwise nodes without contact would together hold one request each, more than the slack.
func (e *Entry) takeIsolated(id ID, o *config.Organisation, c *contact, s *entryState, now time.Duration) bool {
	offset := time.Duration(e.draw(uint64(id), 0) * float64(time.Second))
	slot := int64((now + offset) / time.Second)
	if slot != s.slot {
		s.slot, s.taken = slot, 0
	}
	allowed := int(e.share(e.isolatedRate(o, c, now)) + e.draw(uint64(id), uint64(slot)+1))
	// What the node admitted above its part while it heard of the owner counts as well, if that is more than one request: in a large
	// fleet, its contacts end too late otherwise for floods that have just begun.
	owed := s.guard + e.share(o.RatePerSecond)*(now-s.guarded).Seconds()
	if s.taken >= allowed || owed < 0 {
		return false
	}
	s.taken++
	return true
}

// draw returns a number from 0 to 1 that depends on the node, the process and two keys.
func (e *Entry) draw(a, b uint64) float64 {
	var data [24]byte
	for i, v := range [...]uint64{e.seed, a, b} {
		for j := range 8 {
			data[8*i+j] = byte(v >> (8 * j))
		}
	}
	var d xxhash.Digest
	d.ResetWithSeed(xxhash.Sum64String(e.node))
	d.Write(data[:])
	return float64(d.Sum64()>>11) / (1 << 53)
}

func (e *Entry) state(id ID, o *config.Organisation, now time.Duration) *entryState {
	s := e.states[id]
	if s == nil {
		s = e.newState(id, o, now)
		e.states[id] = s
	}
	s.organisation = o
	return s
}

// newState returns the state of an organisation without requests.
func (e *Entry) newState(id ID, o *config.Organisation, now time.Duration) *entryState {
	return &entryState{guard: 1 + e.share(o.Burst+answeredSlack), guarded: now, credit: e.draw(uint64(id), 1<<63), slot: -1, organisation: o}
}

// Refund takes back a request that was admitted and did not reach a target.
func (e *Entry) Refund(o *config.Organisation, now time.Duration) {
	if o.RatePerSecond > 0 {
		s := e.state(IDOf(o.Name), o, now)
		s.admitted--
		e.mark(IDOf(o.Name), s)
	}
}

// sweep forgets organisations without requests.
func (e *Entry) sweep(now time.Duration) {
	if now-e.swept < idleAfter/10 {
		return
	}
	e.swept = now
	maps.DeleteFunc(e.heard, func(_ Peer, at time.Duration) bool { return now-at > avoidMax })
	for id, s := range e.states {
		if e.rates.Organisations[id] == nil {
			delete(e.states, id)
		}
		if now-s.used > idleAfter && s.admitted == 0 && s.refused == 0 && s.isolated == 0 && !s.refusing {
			delete(e.states, id)
		}
	}
}
