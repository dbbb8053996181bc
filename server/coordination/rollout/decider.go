package rollout

import (
	"math"
	"time"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
)

const (
	// badLimit is the number of bad responses after which the rollback time begins.
	badLimit = 50
	// isolationTime is the age of the last report of a node that is not heard of any more, forgetTime that of a node that
	// no longer exists.
	isolationTime = 2500 * time.Millisecond
	forgetTime    = 30 * time.Second
	// suspicionHold is the time for which a suspected version gets no larger share after the suspicion has ended.
	suspicionHold = time.Second
	// grantAhead is the time for which a node may send to the new version without a further reply.
	grantAhead = 3
	// correctionSteps is the number of times at which the share of the time of proving is corrected.
	correctionSteps = 12
	// idleRate is the rate of requests per second below which a node counts as idle.
	idleRate = 0.01
	// idleRoom is the part of the allowance that idle nodes leave to the others.
	idleRoom = 0.15
	// watchExposure is the part of the exposure up to which a version that has all requests is watched before the order is
	// completed. The rest covers the time of a rollback.
	watchExposure = 0.7
	// watchEnd is the time before the last moment at which the order is completed in any case.
	watchEnd = time.Second
	// capMargin is the part of the exposure that is granted.
	capMargin = 0.95
	// settleTime is how long the old version has to be without targets before it counts as replaced. A node that has
	// just started does not know all targets.
	settleTime = 2 * time.Second
	// unlimited is the cap of a version that has proved itself.
	unlimited = math.MaxUint64
)

// Fleet is what the decider knows of the nodes at a time.
type Fleet struct {
	// Live are the nodes that may send requests.
	Live []string
	// OldTargets and NewTargets are the numbers of targets of both versions that may be used.
	OldTargets, NewTargets int
	// New are the nodes of the targets of the new version.
	New []string
}

// sender is what the decider knows of one node.
type sender struct {
	process int64
	batch   uint64
	// new, total and charged are those of the current process; charged is what it may have sent to the new version.
	newer, total, charged uint64
	oldInFlight, stage    uint64
	reported              time.Time
	// rate is the number of requests per second to the service.
	rate float64
}

// Decider decides about one order. It has no clock, and its caller logs and stores what it decides.
//
// It addresses these cases: a version that is bad at once (lowest share first, verdict on few responses), later (the share
// rises at the end of the duration only, and the last seconds are compared apart), under load (a test of some targets with
// the load that they get at last, then short steps up to all requests, undone on suspicion) or on one route only (comparison by kind); a node whose reports are late or lost (what it
// was allowed to send counts as sent); a decider that is replaced or isolated (the share rises only once the store has
// accepted it).
type Decider struct {
	settings Settings
	plan     plan
	// record is what the store should hold, stored what it holds.
	record, stored Record
	level          level
	raised         time.Time
	history        *history
	senders        map[string]*sender
	// sumNew, sumTotal and sumCharged are those of all senders, also of processes that have been replaced.
	sumNew, sumTotal, sumCharged uint64
	// floorSpent and floorTotal were recorded by the decider before.
	floorSpent, floorTotal uint64
	evidence               evidence
	suspectedAt            time.Time
	// withoutOld is since when the old version has no targets, sawOld is true once it had any.
	withoutOld time.Time
	sawOld     bool
	// prove is the share of levelProve, fixed at each step.
	prove    float64
	bad      uint64
	reason   string
	step     uint64
	interval time.Duration
	// taken is the highest term with which the decider began or that the store has held for it. A record of another node
	// with this or a later term is that of a successor; record.Term also follows what nodes report.
	taken uint64
	focus focus
	// resumed is when the decider continued the order of another one; zero if it began with the order.
	resumed time.Time
}

// NewDecider returns the decider of an order at a node. previous is the record in the store, nil if there is none.
func NewDecider(s Settings, o config.Rollout, previous *Record, node string, now time.Time) *Decider {
	d := &Decider{settings: s, history: newHistory(), senders: make(map[string]*sender), raised: now}
	d.record = Record{
		Service: o.Service, Order: o.Position, Target: o.TargetVersion, DurationMS: o.Duration.Milliseconds(),
		StartedMS: now.UnixMilli(), State: wire.RolloutRunning.String(), Decider: node, Term: 1,
	}
	if previous != nil {
		d.continueFrom(previous, o, now)
	}
	d.taken = d.record.Term
	d.prove = proveExposure * s.ExposureShare
	d.plan = planFor(time.Duration(d.record.DurationMS)*time.Millisecond, s.ExposureShare)
	if d.record.Base.Only == o.TargetVersion && d.State() == wire.RolloutRunning {
		d.finish(wire.RolloutCompleted, "version in force")
	}
	return d
}

func (d *Decider) continueFrom(previous *Record, o config.Rollout, now time.Time) {
	r := &d.record
	r.Term, r.Revision = previous.Term+1, previous.Revision
	d.stored = *previous
	repeated := previous.Target == o.TargetVersion && previous.state() == wire.RolloutRunning
	if previous.belongsTo(o) && previous.state().Final() {
		d.record = *previous
		d.record.Order = o.Position
		return
	}
	if previous.belongsTo(o) || repeated {
		r.StartedMS, r.State, r.Base = previous.StartedMS, previous.State, previous.Base
		r.DurationMS = previous.DurationMS
		if previous.Order != o.Position {
			r.DurationMS = min(r.DurationMS, (d.elapsed(now) + o.Duration).Milliseconds())
		}
		d.floorSpent, d.floorTotal, d.resumed = previous.Spent, previous.Total, now
		return
	}
	r.Base = previous.baseAfter()
	if r.Base.Only != r.Target {
		r.Base.Not = withoutVersion(r.Base.Not, r.Target)
	}
}

// Repeat takes over that the running order was given once more. The deadlines of both hold.
func (d *Decider) Repeat(o config.Rollout, now time.Time) {
	d.record.Order = o.Position
	d.record.DurationMS = min(d.record.DurationMS, (d.elapsed(now) + o.Duration).Milliseconds())
	d.plan = planFor(time.Duration(d.record.DurationMS)*time.Millisecond, d.settings.ExposureShare)
}

func withoutVersion(list []string, version string) []string {
	var rest []string
	for _, v := range list {
		if v != version {
			rest = append(rest, v)
		}
	}
	return rest
}

// State returns the state of the order.
func (d *Decider) State() wire.RolloutState { return d.record.state() }

// Record returns what the store should hold.
func (d *Decider) Record() Record {
	r := d.record
	r.Revision = d.stored.Revision + 1
	r.Share, r.Spent, r.Total = d.currentShare(), d.spent(), d.total()
	return r
}

// Stored takes over that the store holds a record of this decider. Only then may nodes be told a larger share. A stage that
// nodes know with a lower share is replaced, so that they have to confirm the one that applies from then on.
func (d *Decider) Stored(r Record) {
	applied, granted, focused := d.isStored(), d.grantedLevel(), d.focusGranted()
	d.stored = r
	if d.isStored() && (!applied || d.grantedLevel() != granted || d.focusGranted() != focused) {
		d.step++
	}
	if r.Decider == d.record.Decider {
		d.taken = max(d.taken, r.Term)
	}
}

// Unsaved reports whether the store lacks the order, its state or the share.
func (d *Decider) Unsaved() bool {
	r := d.Record()
	s := &d.stored
	return s.Order != r.Order || s.State != r.State || s.Term != r.Term || s.Decider != r.Decider || s.Share != r.Share
}

// isStored reports whether the store holds the order as decided by this node, with at least the share.
func (d *Decider) isStored() bool {
	return d.stored.Order == d.record.Order && d.stored.Term == d.record.Term && d.stored.Decider == d.record.Decider
}

func (d *Decider) elapsed(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(d.record.StartedMS))
}

// HandleReport takes over a report.
func (d *Decider) HandleReport(now time.Time, r *wire.RolloutReport) {
	s := d.senders[r.Node]
	if s == nil || s.process != r.Process {
		s = &sender{process: r.Process, reported: now}
		d.senders[r.Node] = s
	}
	if r.Batch > s.batch {
		s.batch = r.Batch
		d.history.add(now, r.Counts, d.inFocus(now))
		for i := range r.Counts {
			if r.Counts[i].New {
				d.bad += uint64(r.Counts[i].Failures)
			}
		}
	}
	if gap := now.Sub(s.reported); gap > 0 {
		rate := float64(r.Total-min(s.total, r.Total)) / gap.Seconds()
		s.rate = max(rate, s.rate*0.7)
	}
	d.sumNew, d.sumTotal = d.sumNew-s.newer, d.sumTotal-s.total
	s.newer, s.total = max(s.newer, r.New), max(s.total, r.Total)
	d.sumNew, d.sumTotal = d.sumNew+s.newer, d.sumTotal+s.total
	// What the node may send until it has the next reply. A reply that was lost counts until the node states its cap.
	charged := s.newer
	if r.Cap != unlimited {
		charged = max(charged, r.Cap)
	}
	d.charge(s, charged)
	s.oldInFlight, s.stage, s.reported = r.OldInFlight, r.Stage, now
	if term := max(r.Stage, r.Known) >> 32; term > d.record.Term && d.State() == wire.RolloutRunning {
		// The store has lost the record of a later decider, or this one was replaced. It has to write its record again,
		// which fails if it was replaced.
		d.record.Term = term + 1
	}
	if r.Final.Final() && d.State() == wire.RolloutRunning {
		// An earlier decider has told nodes so, and could not store it.
		d.finish(r.Final, "known to node "+r.Node)
	}
}

// Answer returns what a node may do.
func (d *Decider) Answer(node string, now time.Time) wire.RolloutReply {
	reply := wire.RolloutReply{State: d.State(), Only: d.record.Base.Only, Not: d.record.Base.Not, Stage: d.stage()}
	if reply.State == wire.RolloutCompleted && d.stored.State != d.record.State {
		// Completed is final for all nodes only once the store has it: another decider may have rolled back.
		reply.State = wire.RolloutRunning
	}
	s := d.senders[node]
	if reply.State != wire.RolloutRunning || s == nil || !d.isStored() {
		return reply
	}
	reply.Share = d.share(d.grantedLevel())
	if d.focusGranted() {
		reply.Share, reply.Focus = d.focus.share, d.focus.targets
	}
	if d.grantedLevel() == levelFinish {
		reply.OnlyNew, reply.Cap = true, unlimited
		return reply
	}
	reply.Cap = s.newer + d.grant(s, reply.Share, now)
	d.charge(s, max(s.charged, reply.Cap))
	return reply
}

// charge sets what a node may have sent to the new version.
func (d *Decider) charge(s *sender, n uint64) {
	d.sumCharged += n - s.charged
	s.charged = n
}

// grantedLevel is the level that nodes may apply: a raise has to be in the store first.
func (d *Decider) grantedLevel() level {
	if d.level > levelQuarter && d.stored.Share < d.share(d.level) {
		return d.level - 1
	}
	return d.level
}

// grant returns how many requests a node may send to the new version until its next reply.
func (d *Decider) grant(s *sender, share float64, now time.Time) uint64 {
	if share == 0 {
		return 0
	}
	ahead := max(d.interval, reportIntervalMin).Seconds() * grantAhead
	need := math.Ceil(share * s.rate * ahead)
	others := float64(d.spent()) - float64(s.charged)
	free := capMargin*d.allowance() - others - float64(s.newer)
	if s.rate < idleRate {
		// Under little traffic most nodes have no request between two reports. They may send one, as long as this leaves
		// room for the others.
		need = 0
		if free > idleRoom*d.allowance() {
			need = 1
		}
	}
	return uint64(max(0, min(need, math.Floor(free))))
}

// allowance is the number of requests that a bad version may get.
func (d *Decider) allowance() float64 {
	return d.settings.ExposureShare*float64(d.total()) + float64(d.settings.ExposureSlack)
}

// spent is the number of requests that nodes have sent to the new version or may send unreported.
func (d *Decider) spent() uint64 { return max(d.sumCharged, d.floorSpent) }

// total is the number of all requests since the order that are known.
func (d *Decider) total() uint64 { return max(d.sumTotal, d.floorTotal) }

// share returns the share of a level.
func (d *Decider) share(l level) float64 {
	share := l.share(d.prove)
	if l == levelProve && d.focus.possible && d.focus.tests > 0 {
		share *= restPart
	}
	return math.Round(1000*share) / 1000
}

// currentShare is the share that nodes should apply.
func (d *Decider) currentShare() float64 {
	if d.focus.active {
		return d.focus.share
	}
	return d.share(d.level)
}

// proveShare returns the share of the time of proving. With few requests the slack allows a larger one, so that the version
// gets enough requests to be compared. It is corrected for what was sent so far: under little traffic many nodes have no
// room for their part.
func (d *Decider) proveShare(now time.Time) float64 {
	least := proveExposure * d.settings.ExposureShare
	elapsed := d.elapsed(now)
	if elapsed < d.plan.prove/2 || elapsed >= d.plan.ramp || d.focus.tests > 0 {
		if d.focus.tests > 0 && elapsed < d.plan.ramp {
			return least
		}
		return max(least, d.prove)
	}
	expected := float64(d.total()) * float64(d.plan.ramp) / float64(elapsed)
	intended := d.intended(expected)
	rest := expected - float64(d.total())
	return min(max(least, (intended-float64(d.sumNew))/max(1, rest)), 0.5)
}

// intended is the number of requests that the version gets before the last steps, of an expected number of all requests.
func (d *Decider) intended(expected float64) float64 {
	return proveExposure*d.settings.ExposureShare*expected + slackExposure*float64(d.settings.ExposureSlack)
}

func (d *Decider) stage() uint64 { return d.record.Term<<32 | d.step }

func (d *Decider) setLevel(l level, now time.Time) {
	d.endFocus(now)
	d.level, d.raised, d.prove = l, now, d.proveShare(now)
	d.step++
}

func (d *Decider) finish(state wire.RolloutState, reason string) {
	d.record.State, d.reason = state.String(), reason
	d.step++
}
