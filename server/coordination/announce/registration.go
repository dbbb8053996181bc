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
	// unverifiedSince is the time from which Unverified is true.
	unverifiedSince time.Time
	// WarmAt is the time from which the target is at full speed.
	WarmAt time.Time
	// leaves are the acknowledged leaves that may be of another process than the registered one.
	leaves []leave
}

// hasLeft reports whether the process of a report is known to have left.
func (r Registration) hasLeft(report Report) bool {
	return slices.ContainsFunc(r.leaves, func(l leave) bool { return l.isOf(report) })
}

// mayHaveLeft reports whether an acknowledged leave may be that of the process of a report.
func (r Registration) mayHaveLeft(report Report) bool {
	return slices.ContainsFunc(r.leaves, func(l leave) bool { return l.mayBeOf(report) })
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
		return r.registered(report, now).unverified(now), Replaced
	}
	if report.BornMS < r.Report.BornMS {
		return r, Late
	}
	if report.BornMS > r.Report.BornMS {
		next := r.registered(report, now)
		if r.mayHaveLeft(report) {
			next = next.unverified(now)
		}
		return next, Replaced
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
		// One id more does not matter here: without it, a target that has left would get requests.
		r.leaves = append(slices.Clone(r.leaves), leave{instance: r.Report.Instance, bornMS: r.Report.BornMS, at: now})
	}
	return r.registered(report, now).unverified(now)
}

// unverified returns the registration of a process that may have left.
func (r Registration) unverified(now time.Time) Registration {
	r.Unverified, r.unverifiedSince = true, now
	return r
}

// reportDelayMax is how late a report may arrive. A target that has left sends none, so a report that arrives later than this
// after it may have left shows that it has not.
const reportDelayMax = 6 * time.Second

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
	next.Unverified = r.Unverified && now.Sub(r.unverifiedSince) < reportDelayMax
	next.unverifiedSince = r.unverifiedSince
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
	next := Registration{Report: report, State: endpoint.Alive, Heard: now, WarmAt: now.Add(report.ColdLeft)}
	next.leaves = without(r.leaves, func(l leave) bool { return l.latestMS() < report.BornMS })
	if report.Draining {
		next.State = endpoint.Draining
		next.Leaving = true
	}
	return next
}

// Notice is the notice of a process of the target that it leaves.
type Notice struct {
	Instance string
	// BornMS is the start of the process, as in Report; 0 if the notice does not state it.
	BornMS int64
}

// Leave returns the registration after a notice. Once it is acknowledged, no new request is sent to the process that leaves: the
// registered one, or one whose reports arrive later, because they are late or because this node has restarted. A process that
// started later under the same name takes the address with it, so the registered one gets no requests either. The error is
// ErrTooManyLeaves; the notice must not be acknowledged then.
func (r Registration) Leave(n Notice, now time.Time) (Registration, Verdict, error) {
	isRegistered := n.Instance == r.Report.Instance
	if isRegistered && n.BornMS != 0 && n.BornMS < r.Report.BornMS {
		return r, Late, nil
	}
	if !isRegistered || n.BornMS != r.Report.BornMS {
		kept, err := r.keepLeave(n, now)
		if err != nil {
			return r, Late, err
		}
		r = kept
	}
	if !isRegistered {
		return r, Late, nil
	}
	next, verdict := r.leave(now)
	return next, verdict, nil
}

// leave returns the registration after the registered process has announced that it leaves. It completes the requests in flight.
func (r Registration) leave(now time.Time) (Registration, Verdict) {
	if r.Leaving {
		return r, Renewed
	}
	r.Leaving = true
	r.Report.Draining = true
	if r.State == endpoint.NoTarget {
		return r, Renewed
	}
	r.State = endpoint.Draining
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
