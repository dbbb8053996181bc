package rollout

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
)

// countsMax bounds the counts of a report. Further kinds and targets are counted together.
const countsMax = 512

// Filter selects targets by their software version.
type Filter struct {
	// Key identifies the filter: two filters with one key select the same targets.
	Key string
	// only is the version to select if it is not empty, and not those that are left out.
	only string
	not  []string
	// focus are the only nodes to select if it is not empty.
	focus []string
}

func newFilter(only string, not ...string) *Filter {
	return &Filter{Key: only + "\x00" + strings.Join(not, "\x00"), only: only, not: not}
}

// focused returns a filter for some of the selected targets.
func (f *Filter) focused(nodes []string) *Filter {
	if len(nodes) == 0 {
		return f
	}
	return &Filter{Key: f.Key + "\x00\x00" + strings.Join(nodes, "\x00"), only: f.only, not: f.not, focus: nodes}
}

// Allows reports whether targets of a version are selected.
func (f *Filter) Allows(version string) bool {
	return (f.only == "" || f.only == version) && !slices.Contains(f.not, version)
}

// String describes the selected versions.
func (f *Filter) String() string {
	var not []string
	for _, version := range f.not {
		if f.only == "" || version == f.only {
			not = append(not, version)
		}
	}
	switch {
	case len(not) == 0 && f.only == "":
		return "any"
	case len(not) == 0:
		return f.only
	case f.only != "":
		return "none"
	}
	return "not " + strings.Join(not, ", ")
}

// AllowsNode reports whether the target of a node is selected if its version is.
func (f *Filter) AllowsNode(node string) bool {
	return len(f.focus) == 0 || slices.Contains(f.focus, node)
}

// Sender applies the order of one service at a node that sends requests. It is safe for concurrent use and has no clock.
//
// It addresses a decider or a link that fails: without news it goes back to the old version, and it never sends more to the
// new one than the cap of the last reply.
type Sender struct {
	mu    sync.Mutex
	order config.Rollout
	base  Base
	state wire.RolloutState
	reply wire.RolloutReply
	// news is when the report was sent whose reply is applied.
	news time.Time
	// position is advanced by the golden ratio for each request, so that also a short run of requests has the share.
	position     float64
	older, newer *Filter
	// tested selects the targets of the new version for requests that the old one may serve in its place.
	tested *Filter

	sentNew, total uint64
	oldInFlight    uint64
	counts         map[countKey]*wire.RolloutCounts
	batch          uint64
	pending        []wire.RolloutCounts
}

type countKey struct {
	kind, target uint32
	newer        bool
}

// NewSender returns the sender of an order. base are the versions that serve before it, as far as the node knows, and
// position is in [0, 1): nodes start at different ones.
func NewSender(o config.Rollout, base Base, position float64) *Sender {
	s := &Sender{order: o, position: position, counts: make(map[countKey]*wire.RolloutCounts)}
	s.setBase(base)
	return s
}

func (s *Sender) setBase(b Base) {
	s.base = b
	s.newer = newFilter(s.order.TargetVersion)
	s.tested = s.newer
	if s.state == wire.RolloutRunning {
		s.tested = s.newer.focused(s.reply.Focus)
	}
	switch {
	case s.state == wire.RolloutCompleted || (b.Only == s.order.TargetVersion && s.state != wire.RolloutRolledBack):
		s.older = s.newer
	default:
		s.older = newFilter(b.Only, append(withoutVersion(b.Not, s.order.TargetVersion), s.order.TargetVersion)...)
	}
}

// Order returns the order that the sender applies.
func (s *Sender) Order() config.Rollout {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.order
}

// BaseAfter returns the versions that serve when another order follows.
func (s *Sender) BaseAfter() Base {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == wire.RolloutCompleted {
		return Base{Only: s.order.TargetVersion}
	}
	return s.base.without(s.order.TargetVersion)
}

// State returns the state of the order as far as the node knows it.
func (s *Sender) State() wire.RolloutState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// NewsAge returns the age of the last reply of the decider.
func (s *Sender) NewsAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.news)
}

// Repeat takes over another position of the order.
func (s *Sender) Repeat(o config.Rollout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order = o
}

// HandleReply takes over the reply to a report that was sent at a time. A reply that overtook a later one is dropped.
func (s *Sender) HandleReply(sent time.Time, batch uint64, r *wire.RolloutReply) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.State == wire.RolloutUnknown || s.state.Final() || r.Stage < s.reply.Stage || sent.Before(s.news) {
		return false
	}
	if batch == s.batch {
		s.pending = nil
	}
	changed = r.State != s.state || r.Share != s.reply.Share || r.OnlyNew != s.reply.OnlyNew || !slices.Equal(r.Focus, s.reply.Focus)
	s.reply, s.news, s.state = *r, sent, r.State
	s.setBase(Base{Only: r.Only, Not: r.Not})
	return changed
}

// HandleRecord takes over what the store holds about the order. It is no news of the share.
func (s *Sender) HandleRecord(r *Record) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Final() {
		return false
	}
	if !r.belongsTo(s.order) {
		if r.Order < s.order.Position && s.state == wire.RolloutUnknown {
			s.setBase(r.baseAfter())
		}
		return false
	}
	if r.state().Final() {
		s.state, changed = r.state(), true
	}
	s.setBase(r.Base)
	return changed
}

// fresh reports whether the last reply still holds.
func (s *Sender) fresh(now time.Time) bool { return !s.news.IsZero() && now.Sub(s.news) < newsTTL }

// Pick is the choice of the version for one request.
type Pick struct {
	sender *Sender
	// newer is true for the version that the order names, fallback if the old one may serve in its place.
	newer, fallback bool
	kind            uint32
	// old is true if the request counts as in flight at the old version, reserved if it counts as sent to the new one and
	// is not yet sent.
	old, reserved bool
}

// Begin chooses the version for a request.
func (s *Sender) Begin(now time.Time, kind uint32) *Pick {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &Pick{sender: s, kind: kind}
	_, s.position = math.Modf(s.position + math.Phi - 1)
	switch {
	case s.state == wire.RolloutCompleted:
		p.newer = true
	case s.state == wire.RolloutRunning && s.fresh(now):
		p.newer = s.position < s.reply.Share && s.sentNew < s.reply.Cap
		p.fallback = p.newer && !s.reply.OnlyNew
	}
	if p.newer {
		p.reserved = true
		s.sentNew++
	}
	p.enterOld()
	return p
}

// Preview returns the choice that Begin would make, of a copy of the sender: whatever is done with it leaves s unchanged.
func (s *Sender) Preview(now time.Time, kind uint32) *Pick {
	s.mu.Lock()
	clone := &Sender{
		order: s.order, base: s.base, state: s.state, reply: s.reply, news: s.news, position: s.position,
		older: s.older, newer: s.newer, tested: s.tested, sentNew: s.sentNew, total: s.total, oldInFlight: s.oldInFlight,
		counts: make(map[countKey]*wire.RolloutCounts),
	}
	s.mu.Unlock()
	return clone.Begin(now, kind)
}

// Choice describes a Pick.
type Choice struct {
	// TargetVersion is the version of the order, State the state of the order as far as the node knows it, and Share the share
	// of the requests that the decider allowed to it last.
	TargetVersion, State string
	Share                float64
	// Newer is true if the request goes to that version, Versions says which versions may serve it.
	Newer    bool
	Versions string
}

// Choice returns the description of the choice.
func (p *Pick) Choice() Choice {
	versions := p.Filter().String()
	s := p.sender
	s.mu.Lock()
	defer s.mu.Unlock()
	return Choice{
		TargetVersion: s.order.TargetVersion, State: s.state.String(), Share: s.reply.Share,
		Newer: p.newer && s.state != wire.RolloutRolledBack, Versions: versions,
	}
}

// enterOld counts the request as in flight at the old version.
func (p *Pick) enterOld() {
	if !p.newer && !p.old {
		p.old = true
		p.sender.oldInFlight++
	}
}

// Filter returns the versions that may serve the request. A request that was waiting when the order was decided follows the
// decision.
func (p *Pick) Filter() *Filter {
	p.sender.mu.Lock()
	defer p.sender.mu.Unlock()
	if p.newer && p.sender.state != wire.RolloutRolledBack {
		if p.fallback {
			return p.sender.tested
		}
		return p.sender.newer
	}
	return p.sender.older
}

// release takes back the reservation of a request that is not sent to the new version.
func (p *Pick) release() {
	if p.reserved {
		p.reserved = false
		p.sender.sentNew--
	}
}

// UseOld moves the request to the old version, and returns false if it is there or may not be moved.
func (p *Pick) UseOld() bool {
	p.sender.mu.Lock()
	defer p.sender.mu.Unlock()
	if !p.newer || !p.fallback || p.sender.reply.OnlyNew || p.sender.state.Final() {
		return false
	}
	p.newer = false
	p.release()
	p.enterOld()
	return true
}

// UseOnlyVersion moves the request to the new version if the order is not decided. It is called if no target of another
// version exists: then the order is for the version in force.
func (p *Pick) UseOnlyVersion() bool {
	p.sender.mu.Lock()
	defer p.sender.mu.Unlock()
	if p.newer || p.sender.state.Final() {
		return false
	}
	p.newer, p.fallback = true, false
	return true
}

// Attempt is what became of one attempt.
type Attempt struct {
	// Target is the node of the target.
	Target string
	// Arrived is true if the request may have reached the target.
	Arrived bool
	// Counted is true if the outcome says something of the version, Failed if it was an error.
	Counted, Failed bool
	// Refused is true if the node of the target refused the attempt as not run.
	Refused bool
	// Took is the time that the target took, without the wait for a slot if it is known: the wait depends on the load of the
	// target and on its speed, which differ between targets of one version.
	Took time.Duration
}

// targetHash identifies a target in reports.
func targetHash(node string) uint32 { return uint32(xxhash.Sum64String(node)) }

// Sent counts an attempt before it is made, so that a decider knows of it while its response is outstanding.
func (p *Pick) Sent() {
	s := p.sender
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if p.newer && !p.reserved {
		s.sentNew++
	}
	p.reserved = false
}

// Ended counts the outcome of an attempt.
func (p *Pick) Ended(a Attempt) {
	s := p.sender
	s.mu.Lock()
	defer s.mu.Unlock()
	if !a.Arrived {
		s.total--
		p.reserved = p.newer
	}
	if (!a.Counted && !a.Refused) || s.state.Final() {
		return
	}
	key := countKey{p.kind, targetHash(a.Target), p.newer}
	if len(s.counts) >= countsMax && s.counts[key] == nil {
		key.kind, key.target = 0, 0
	}
	c := s.counts[key]
	if c == nil {
		c = &wire.RolloutCounts{Kind: key.kind, Target: key.target, New: key.newer}
		s.counts[key] = c
	}
	if a.Refused {
		c.Refused++
		return
	}
	c.Requests++
	if a.Failed {
		c.Failures++
	}
	bucket := TimeBucket(a.Took)
	if bucket >= len(c.Times) {
		c.Times = append(c.Times, make([]uint32, bucket+1-len(c.Times))...)
	}
	c.Times[bucket]++
}

// End counts the request as no longer in flight.
func (p *Pick) End() {
	p.sender.mu.Lock()
	defer p.sender.mu.Unlock()
	p.release()
	if p.old {
		p.sender.oldInFlight--
	}
}

// compareBool sorts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Report returns the report to the decider. A batch is repeated until a reply to it has arrived.
func (s *Sender) Report(now time.Time, node string, process int64) *wire.RolloutReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil && len(s.counts) > 0 {
		s.batch++
		for _, c := range s.counts {
			s.pending = append(s.pending, *c)
		}
		clear(s.counts)
		// In a fixed order, so that the decider comes to the same result from the same counts.
		slices.SortFunc(s.pending, func(a, b wire.RolloutCounts) int {
			return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Kind, b.Kind), compareBool(a.New, b.New))
		})
	}
	r := &wire.RolloutReport{
		Node: node, Process: process, Service: s.order.Service, Order: s.order.Position, Batch: s.batch, Counts: s.pending,
		New: s.sentNew, Total: s.total, OldInFlight: s.oldInFlight, Known: s.reply.Stage,
	}
	if s.fresh(now) {
		r.Cap, r.Stage = s.reply.Cap, s.reply.Stage
	}
	if s.state.Final() {
		r.Final = s.state
	}
	return r
}

func (s *Sender) dump(now time.Time) ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceState{
		Target: s.order.TargetVersion, Order: s.order.Position, State: s.state.String(),
		Stage: strconv.FormatUint(s.reply.Stage>>32, 10) + "." + strconv.FormatUint(s.reply.Stage&math.MaxUint32, 10),
		Share: s.reply.Share, NewsAgeMS: now.Sub(s.news).Milliseconds(), SentNew: s.sentNew, Total: s.total, OldInFlight: s.oldInFlight,
	}
}
