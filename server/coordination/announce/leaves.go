package announce

import (
	"errors"
	"slices"
	"time"
)

// leavesMax limits the leaves that a registration keeps. A target starts far less often than that between two reports.
const leavesMax = 16

// ErrTooManyLeaves means that a leave cannot be kept, because those of too many unknown processes are.
var ErrTooManyLeaves = errors.New("too many leaves of unknown processes")

// leave is an acknowledged leave that may be of another process than the one registered at the time.
type leave struct {
	instance string
	// bornMS is the start of the process that left; 0 if the notice did not state it.
	bornMS int64
	// registeredMS is the start of the process that was registered under the same name; 0 if none was.
	registeredMS int64
	// at is the time of the notice. Starts are compared with it only if the notice states none.
	at time.Time
}

// latestMS is the latest start of a process that the leave may be of, Unix milliseconds.
func (l leave) latestMS() int64 {
	if l.bornMS != 0 {
		return l.bornMS
	}
	return max(l.registeredMS, l.at.UnixMilli())
}

// covers reports whether the process of a report is the one that left, an earlier one under its name, or possibly either.
func (l leave) covers(report Report) bool {
	return l.instance == report.Instance && report.BornMS <= l.latestMS()
}

// isOf reports whether the process of a report has ended or is about to. Under one name, a process ends before the next starts.
func (l leave) isOf(report Report) bool { return l.covers(report) && !l.mayBeOf(report) }

// mayBeOf reports whether a notice without a start is either of the process of a report or of the one that was registered under
// its name.
func (l leave) mayBeOf(report Report) bool {
	return l.covers(report) && l.bornMS == 0 && l.registeredMS != 0 && report.BornMS > l.registeredMS
}

// includes reports whether a leave says all that another one says.
func (l leave) includes(other leave) bool {
	return l.instance == other.instance && (l.bornMS == 0) == (other.bornMS == 0) && l.registeredMS == other.registeredMS &&
		l.latestMS() >= other.latestMS()
}

// keepLeave returns the registration with a leave that later reports are compared with. None that still matters gives way.
func (r Registration) keepLeave(n Notice, now time.Time) (Registration, error) {
	l := leave{instance: n.Instance, bornMS: n.BornMS, at: now}
	if n.Instance == r.Report.Instance && n.BornMS == 0 {
		l.registeredMS = r.Report.BornMS
	}
	if l.latestMS() < r.Report.BornMS {
		// All reports that it covers are older than the registered process.
		return r, nil
	}
	kept := without(r.leaves, l.includes)
	if len(kept) >= leavesMax {
		return r, ErrTooManyLeaves
	}
	r.leaves = append(kept, l)
	return r, nil
}

// without returns a copy of a list without the items that are to be dropped.
func without(list []leave, drop func(leave) bool) []leave {
	return slices.DeleteFunc(slices.Clone(list), drop)
}
