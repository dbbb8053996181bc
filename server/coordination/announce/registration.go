package announce

import (
	"slices"
	"strconv"
	"time"

	"wagtailford.example/server/state/endpoint"
)

// Report is the state that a target reports periodically.
type Report struct {
	// Instance identifies a start of the target. A target may restart under the same name, so BornMS is compared too.
	Instance string
	// BornMS is the start of the target's process, Unix milliseconds, by the clock of its VM.
	BornMS int64
	// Sequence counts the reports of one process.
	Sequence uint64
	Service  string
	Address  string
	// FailureDomain is where the target runs.
	FailureDomain string
	// SoftwareVersion is the version of the application.
	SoftwareVersion string
	Slots           int
	Draining        bool
	// ColdLeft is how long the target remains slow after its start.
	ColdLeft time.Duration
}

// hasPlaceOf reports whether two reports name the same service, address and failure domain. A process keeps them.
func (r Report) hasPlaceOf(other Report) bool {
	return r.Service == other.Service && r.Address == other.Address && r.FailureDomain == other.FailureDomain
}

// Verdict is the effect of a report.
type Verdict uint8

// Verdicts on a report.
const (
	// Late means that the report is older than a known report or process; nothing changed.
	Late Verdict = iota
	// Renewed means that only the time of the last report changed.
	Renewed
	// Changed means that the state of the target changed.
	Changed
	// Replaced means that the report is of another process.
	Replaced
)

// Registration is the state of the local target. It is an immutable value; every event returns the next one.
type Registration struct {
	Report Report
	// State is NoTarget, Alive or Draining.
	State endpoint.State
	// Leaving is true once the process has announced that it leaves, until the process ends.
	Leaving bool
	// Heard is the time of the last report.
	Heard time.Time
	// Unverified is true until it is certain that the target is not leaving: a restarted node has lost the
	// acknowledgement of a leave, and a report from before that may arrive late.
	Unverified bool
	// renewals is the number of reports of an unverified target after the first.
	renewals int
	// WarmAt is the time from which the target is at full speed.
	WarmAt time.Time
	// leaves are the acknowledged leaves of other processes than this one.
	leaves []leave
}

// hasLeft reports whether a process that was not registered at the time has left. A process that started later under the same
// name has not.
func (r Registration) hasLeft(report Report) bool {
	return slices.ContainsFunc(r.leaves, func(l leave) bool {
		return l.instance == report.Instance && report.BornMS <= l.at.UnixMilli()
	})
}

// start identifies the process of the target; empty if there is none.
func (r Registration) start() string {
	if r.Report.Instance == "" {
		return ""
	}
	return r.Report.Instance + "/" + strconv.FormatInt(r.Report.BornMS, 10)
}

// Take returns the registration after a report. Reports are ordered by the start of the process and then by their
// sequence, since a delayed one may arrive after a report of the next process.
func (r Registration) Take(report Report, now time.Time) (Registration, Verdict) {
	if r.Report.Instance == "" {
		next := r.registered(report, now)
		next.Unverified = true
		return next, Replaced
	}
	if report.BornMS < r.Report.BornMS {
		return r, Late
	}
	if report.BornMS > r.Report.BornMS {
		return r.registered(report, now), Replaced
	}
	if report.Instance != r.Report.Instance && r.State == endpoint.NoTarget {
		return r.replacedWithin(report, now), Replaced
	}
	return r.renew(report, now)
}

// replacedWithin returns the registration of a process that started in the same millisecond as the one that has lapsed. Which of
// them is the later one is not known, so it is verified, and the other one's leave is kept.
func (r Registration) replacedWithin(report Report, now time.Time) Registration {
	if r.Leaving {
		r, _ = Registration{leaves: r.leaves}.Leave(r.Report.Instance, now)
	}
	next := r.registered(report, now)
	next.Unverified = true
	return next
}

// renewalsMin is the number of reports after the first which show that a target has not left, since a target that left
// sends none.
const renewalsMin = 2

// Verify returns the registration after the target was queried.
func (r Registration) Verify(instance string, serving bool) (Registration, Verdict) {
	if r.Report.Instance != instance || !r.Unverified || !serving {
		return r, Renewed
	}
	r.Unverified = false
	return r, Changed
}

// Usable returns the state that is published to other nodes.
func (r Registration) Usable() endpoint.State {
	if r.Unverified && r.State == endpoint.Alive {
		return endpoint.NoTarget
	}
	return r.State
}

// renew returns the registration after a report of the known process, which keeps its service and address.
func (r Registration) renew(report Report, now time.Time) (Registration, Verdict) {
	if report.Instance != r.Report.Instance || report.Sequence <= r.Report.Sequence || !report.hasPlaceOf(r.Report) {
		return r, Late
	}
	report.Draining = report.Draining || r.Leaving
	next := r.registered(report, now)
	next.renewals = r.renewals + 1
	next.Unverified = r.Unverified && next.renewals < renewalsMin
	unchanged := report
	unchanged.Sequence, unchanged.ColdLeft = r.Report.Sequence, r.Report.ColdLeft
	if unchanged == r.Report && next.Usable() == r.Usable() {
		next.WarmAt = r.WarmAt
		return next, Renewed
	}
	return next, Changed
}

// registered returns the registration of the process that sent a report.
func (r Registration) registered(report Report, now time.Time) Registration {
	report.Draining = report.Draining || r.hasLeft(report)
	next := Registration{Report: report, State: endpoint.Alive, Heard: now, WarmAt: now.Add(report.ColdLeft), leaves: r.leaves}
	if report.Draining {
		next.State = endpoint.Draining
		next.Leaving = true
	}
	return next
}

// leavesMax limits the acknowledged leaves of unknown processes that are kept. The oldest gives way.
const leavesMax = 16

// leave is the acknowledged leave of a process that was not registered at the time.
type leave struct {
	instance string
	at       time.Time
}

// Leave returns the registration after the target announced that it leaves. The target completes the requests in flight. The
// leave also binds later reports of a process that has lapsed, or that is not known because this node has restarted.
func (r Registration) Leave(instance string, now time.Time) (Registration, Verdict) {
	if r.Report.Instance != instance {
		r.leaves = append(slices.Clone(r.leaves), leave{instance: instance, at: now})
		r.leaves = r.leaves[max(0, len(r.leaves)-leavesMax):]
		return r, Late
	}
	if r.Leaving {
		return r, Renewed
	}
	if r.State == endpoint.NoTarget {
		r.Leaving = true
		r.Report.Draining = true
		return r, Renewed
	}
	r.State = endpoint.Draining
	r.Leaving = true
	r.Report.Draining = true
	r.Heard = now
	return r, Changed
}

// Expire returns the registration at a time without a report: after the lease, the target gets no requests until it reports
// again.
func (r Registration) Expire(now time.Time, lease time.Duration) (Registration, Verdict) {
	if r.State == endpoint.NoTarget || now.Sub(r.Heard) < lease {
		return r, Renewed
	}
	r.State = endpoint.NoTarget
	return r, Changed
}
