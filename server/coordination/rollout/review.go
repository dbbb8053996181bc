package rollout

import (
	"time"

	"wagtailford.example/server/protocol/wire"
)

// Change is what a step has changed.
type Change struct {
	State wire.RolloutState
	Share float64
	// Focus are the nodes of the only targets of the new version that get the share; empty means all.
	Focus  []string
	Reason string
	// Evidence describes the responses that led to a lower share or a rollback.
	Evidence Evidence
	Spent    uint64
	Total    uint64
}

// Evidence are the numbers of a comparison.
type Evidence struct {
	Reason                                       string
	Kind                                         uint32
	Requests, Failures, OldRequests, OldFailures uint64
}

// Step decides at a time. changed is false if nothing has changed.
func (d *Decider) Step(now time.Time, fleet Fleet, interval time.Duration) (change Change, changed bool) {
	before, levelBefore, shareBefore := d.State(), d.level, d.currentShare()
	d.interval = interval
	if before == wire.RolloutRunning {
		d.review(now, fleet)
	}
	e := d.evidence
	change = Change{
		State: d.State(), Share: d.currentShare(), Focus: d.focus.targets, Reason: d.reason, Spent: d.spent(), Total: d.total(),
		Evidence: Evidence{e.reason, e.kind, uint64(e.requests), uint64(e.failures), uint64(e.requestsOld), uint64(e.failuresOld)},
	}
	return change, d.State() != before || d.level != levelBefore || change.Share != shareBefore
}

func (d *Decider) review(now time.Time, fleet Fleet) {
	elapsed := d.elapsed(now)
	d.forget(now)
	if d.replaced(now, fleet) {
		d.finish(wire.RolloutCompleted, "version in force")
		return
	}
	if fleet.NewTargets == 0 && d.level > levelQuarter {
		d.reason = "no target of the version"
		d.setLevel(levelQuarter, now)
	}
	d.history.loaded.oldTargets = fleet.OldTargets
	margin := marginFor(fleet)
	if d.level > levelProve {
		margin *= slowRampMargin
	}
	d.evidence = d.history.judge(now, margin, d.focus.active && !now.Before(d.focus.until))
	if d.evidence.level == convicted || (d.evidence.level == suspected && d.bad >= badLimit) {
		d.finish(wire.RolloutRolledBack, d.evidence.reason)
		return
	}
	if d.evidence.level == suspected {
		if d.level == levelFinish && float64(d.sumNew) >= capMargin*d.allowance() {
			// No cap holds at this level, and the suspicion may last until the end of the plan.
			d.finish(wire.RolloutRolledBack, d.evidence.reason)
			return
		}
		// With all requests moved there is no time for another attempt: the order is completed if the suspicion ends.
		d.suspectedAt = now
		lower := levelQuarter
		if d.level > levelProve {
			lower = levelProve
		}
		if d.level > lower && d.level < levelFinish && !d.evidence.loaded {
			d.reason = "suspected: " + d.evidence.reason
			d.setLevel(lower, now)
		}
	}
	if d.level == levelFinish && d.evidence.level == unsuspected && d.watched(elapsed) && d.moved(now, fleet) {
		d.finish(wire.RolloutCompleted, "all requests moved")
		return
	}
	if elapsed >= d.plan.last {
		if now.Sub(d.resumed) >= newsTTL || d.heardOf(fleet) {
			d.finishLate()
		}
		return
	}
	d.raise(now, elapsed, fleet)
	d.steerFocus(now, elapsed, fleet)
}

// replaced reports whether the order is for the only version that has targets, and has been since the order.
func (d *Decider) replaced(now time.Time, fleet Fleet) bool {
	d.sawOld = d.sawOld || fleet.OldTargets > 0
	if d.sawOld || d.floorSpent > 0 || fleet.NewTargets == 0 {
		return false
	}
	if d.withoutOld.IsZero() {
		d.withoutOld = now
	}
	return now.Sub(d.withoutOld) >= settleTime
}

// watched reports whether the version has had all requests for as long as the exposure or the duration allows. Under little
// traffic this is when most of its responses arrive.
func (d *Decider) watched(elapsed time.Duration) bool {
	return float64(d.sumNew) >= watchExposure*d.allowance() || elapsed >= d.plan.last-min(watchEnd, d.plan.last/10)
}

// moved reports whether all requests go to the new version and those at the old one have ended. Old targets stop without
// draining once the order is completed.
func (d *Decider) moved(now time.Time, fleet Fleet) bool {
	for _, node := range fleet.Live {
		s := d.senders[node]
		if s == nil || s.stage != d.stage() || s.oldInFlight > 0 || now.Sub(s.reported) > newsTTL/2 {
			return false
		}
	}
	return d.isStored() && d.stored.Share == 1
}

// heardOf reports whether all live nodes have reported. A decider that continues an order waits for them: they may know a
// final state that the store has lost.
func (d *Decider) heardOf(fleet Fleet) bool {
	for _, node := range fleet.Live {
		if d.senders[node] == nil {
			return false
		}
	}
	return true
}

// finishLate ends a rollout that did not end in time. If all reachable nodes have moved their requests, the version has
// proved itself, and a node that is not reachable must not keep it from being completed.
func (d *Decider) finishLate() {
	if d.level == levelFinish && d.isStored() && d.evidence.level == unsuspected {
		d.finish(wire.RolloutCompleted, "end of the duration, some nodes have not reported")
		return
	}
	d.finish(wire.RolloutRolledBack, "not proved within the duration")
}

// Isolated reports whether fewer than half of the nodes that have reported to this decider still do. Then most likely this
// node is cut off, and another one hears more of them.
func (d *Decider) Isolated(now time.Time) bool {
	if d.State().Final() || len(d.senders) < 3 {
		return false
	}
	fresh := 0
	for _, s := range d.senders {
		if now.Sub(s.reported) < isolationTime {
			fresh++
		}
	}
	return 2*fresh < len(d.senders)
}

// forget removes the senders that have not reported for a long time: nodes that were replaced.
func (d *Decider) forget(now time.Time) {
	for node, s := range d.senders {
		if now.Sub(s.reported) >= forgetTime {
			delete(d.senders, node)
		}
	}
}

func (d *Decider) raise(now time.Time, elapsed time.Duration, fleet Fleet) {
	wanted := d.plan.wanted(elapsed)
	if wanted == levelProve && d.level == levelProve && !d.focus.active && now.Sub(d.raised) >= d.plan.finish/correctionSteps {
		d.reason = "corrected for what was sent"
		d.setLevel(levelProve, now)
		return
	}
	if wanted <= d.level || fleet.NewTargets == 0 || !d.isStored() || d.grantedLevel() < d.level {
		return
	}
	if !d.suspectedAt.IsZero() && now.Sub(d.suspectedAt) < min(suspicionHold, d.plan.last/20) {
		return
	}
	hold := d.plan.hold
	if wanted > d.level+1 {
		// A suspicion that has ended, or the end of another decider, took time that the last steps have to make up.
		hold /= 2
	}
	if d.level > levelNone && now.Sub(d.raised) < hold {
		return
	}
	d.reason = "as planned"
	d.setLevel(d.level+1, now)
}
