package routing

import (
	"math"
	"slices"
	"sync"
	"time"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
)

// Tracker keeps this node's own statistics of other nodes. It is safe for concurrent use.
type Tracker struct {
	settings Settings

	mu    sync.Mutex
	nodes map[string]*nodeObservations
	// meanServiceTimes is the moving average of the service times that nodes reported, by request kind.
	meanServiceTimes map[uint32]time.Duration
	// meanOthers is the moving average of the requests of other nodes that nodes reported, by request kind.
	meanOthers map[uint32]float64
	// untracked counts the requests that were not tracked because the limit on nodes was reached.
	untracked uint64
}

// NewTracker returns an empty tracker.
func NewTracker(settings Settings) *Tracker {
	return &Tracker{
		settings: settings, nodes: make(map[string]*nodeObservations),
		meanServiceTimes: make(map[uint32]time.Duration), meanOthers: make(map[uint32]float64),
	}
}

// nodeObservations holds the statistics of one node.
type nodeObservations struct {
	NodeStats
	kinds map[uint32]kindStats
}

// kindStats holds the statistics of one request kind at a node.
type kindStats struct {
	service     time.Duration
	fullUntilMS int64
	// reportedMS is the time at which the service time was reported.
	reportedMS int64
}

const (
	// trackedKindsMax limits the request kinds that are distinguished at one node.
	trackedKindsMax = 256
	// comparedKinds is the number of kinds of which the one that was heard of least recently gives way to a new one.
	comparedKinds = 8
)

const (
	// reportHalfLife is the time in which the difference between the service time that a node reported and the average
	// of the kind halves. A node that was slow and therefore gets no requests is thus tried again.
	reportHalfLife = 4 * time.Second
	// unreportedShare is the fraction of the average service time that is assumed for a node which has reported none.
	unreportedShare = 0.8
	// serviceTimeWeight is the weight of a new report in the moving average of a kind.
	serviceTimeWeight = 0.05
)

// forKind returns the node's statistics with those of a request kind filled in.
func (o *nodeObservations) forKind(kind uint32, mean time.Duration, nowMS int64) NodeStats {
	s := o.NodeStats
	own := o.kinds[kind]
	s.FullUntilMS = own.fullUntilMS
	if own.service == 0 {
		s.ServiceTime = time.Duration(unreportedShare * float64(mean))
		return s
	}
	age := float64(max(nowMS-own.reportedMS, 0))
	kept := math.Exp2(-age / float64(reportHalfLife.Milliseconds()))
	s.ServiceTime = mean + time.Duration(kept*float64(own.service-mean))
	return s
}

// recordServiceTime adds a reported service time to the moving average of its kind.
func (t *Tracker) recordServiceTime(kind uint32, service time.Duration) {
	known, seen := t.meanServiceTimes[kind]
	switch {
	case service <= 0:
	case seen:
		t.meanServiceTimes[kind] = known + time.Duration(serviceTimeWeight*float64(service-known))
	default:
		makeRoom(t.meanServiceTimes, trackedRoutesMax)
		t.meanServiceTimes[kind] = service
	}
}

// setKind stores the statistics of a request kind. At the limit, an older kind gives way: the routes that were used first may
// not be in use any more.
func (o *nodeObservations) setKind(kind uint32, next kindStats) {
	if _, known := o.kinds[kind]; !known && len(o.kinds) >= trackedKindsMax {
		o.removeOldKind()
	}
	if o.kinds == nil {
		o.kinds = make(map[uint32]kindStats)
	}
	o.kinds[kind] = next
}

// removeOldKind removes the kind that was heard of least recently among a few.
func (o *nodeObservations) removeOldKind() {
	var oldest uint32
	var oldestMS int64
	compared := 0
	for kind, s := range o.kinds {
		if heardMS := max(s.reportedMS, s.fullUntilMS); compared == 0 || heardMS < oldestMS {
			oldest, oldestMS = kind, heardMS
		}
		if compared++; compared == comparedKinds {
			break
		}
	}
	delete(o.kinds, oldest)
}

// Stat returns the statistics of a node without those that depend on the request kind.
func (t *Tracker) Stat(node string) NodeStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.nodes[node]; o != nil {
		return o.NodeStats
	}
	return NodeStats{}
}

// StatOf returns the statistics of a node for a request kind.
func (t *Tracker) StatOf(node string, kind uint32, nowMS int64) NodeStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statOf(node, kind, nowMS)
}

func (t *Tracker) statOf(node string, kind uint32, nowMS int64) NodeStats {
	mean := t.meanServiceTimes[kind]
	s := NodeStats{ServiceTime: time.Duration(unreportedShare * float64(mean))}
	if o := t.nodes[node]; o != nil {
		s = o.forKind(kind, mean, nowMS)
	}
	s.MeanOthers = t.meanOthers[kind]
	return s
}

// WithStats calls read with a function that returns the statistics of a node for a request kind. The statistics do not
// change during the call, and read must not call the tracker.
func (t *Tracker) WithStats(kind uint32, nowMS int64, read func(statOf func(node string) NodeStats)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	read(func(node string) NodeStats { return t.statOf(node, kind, nowMS) })
}

// copiedAtOnce is the number of nodes whose statistics are copied before requests may go on. A request reads about as many.
const copiedAtOnce = 64

// CopyStats returns the statistics of nodes for a request kind, in the order of the nodes.
func (t *Tracker) CopyStats(kind uint32, nowMS int64, nodes []*endpoint.Entry) []NodeStats {
	stats := make([]NodeStats, 0, len(nodes))
	for part := range slices.Chunk(nodes, copiedAtOnce) {
		t.mu.Lock()
		for _, e := range part {
			stats = append(stats, t.statOf(e.Node, kind, nowMS))
		}
		t.mu.Unlock()
	}
	return stats
}

// Attempt is a request that a Tracker counts as outstanding.
type Attempt struct {
	stat  *nodeObservations
	probe bool
}

// Begin counts a request to a node as outstanding. The returned attempt must be passed to End or EndWithReport.
// Requests to further nodes are not tracked once the limit on tracked nodes is reached.
func (t *Tracker) Begin(node string, nowMS int64) Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.nodes[node]
	if s == nil {
		if len(t.nodes) >= t.settings.TrackedMax {
			t.untracked++
			return Attempt{}
		}
		s = &nodeObservations{}
		t.nodes[node] = s
	}
	s.Outstanding++
	if s.Limit.Limited {
		s.SentSinceReport++
	}
	probe := s.EjectedUntilMS != 0 && nowMS >= s.EjectedUntilMS && !s.Probing
	if probe {
		s.Probing = true
	}
	return Attempt{stat: s, probe: probe}
}

// Result classifies the end of an attempt for target selection.
type Result uint8

// Results of an attempt.
const (
	// Neutral says nothing about the target: the request was canceled, or the request itself was at fault.
	Neutral Result = iota
	// Succeeded means that the target served the request or shed it in an orderly way.
	Succeeded
	// Failed counts towards ejection.
	Failed
	// Unreachable means that the node currently accepts no requests. It ejects the node briefly and also counts towards
	// ejection.
	Unreachable
)

// unreachableTime is how long a node that accepts no requests is skipped. It is about the time that a process needs to
// restart.
const unreachableTime = 300 * time.Millisecond

// End ends an attempt. inUse and queued are the reported slots in use and queue length; a negative inUse means that
// nothing was reported.
func (t *Tracker) End(a Attempt, result Result, inUse, queued int, nowMS int64) {
	if a.stat == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := Observe(a.stat.NodeStats, result, a.probe, nowMS, t.settings)
	if inUse >= 0 {
		next.InUse = inUse
		next.Queued = queued
		next.ReportedMS = nowMS
	}
	a.stat.NodeStats = next
}

// Report holds what a target's node reported with a response.
type Report struct {
	InUse, Queued int
	// Kind is the kind of the request, ServiceTime the service time of that kind; 0 if it is not known.
	Kind        uint32
	ServiceTime time.Duration
	// Shed is true if the target refused the request.
	Shed bool
	// Full is true if the target's node refused the request because its queue is full; Wait is the time until a request
	// arriving now would start.
	Full bool
	Wait time.Duration
	// LinkWait is the time for which body transfers will occupy the link of the target's node.
	LinkWait time.Duration
	// RateLimited is true if the request was refused because of the limit of the target.
	RateLimited bool
	// State is what the target has stated of itself; nil if its node knows of nothing. Served is true if the target served
	// the request, so that the lack of a limit means that there is none.
	State  *wire.TargetState
	Served bool
	// SentMS is when the request was sent.
	SentMS int64
}

const (
	// fullMin and fullMax bound the time for which a node that refused a request counts as full for the request kind.
	// With a shorter time, asking again costs more than the answer is worth; with a longer one, slots could stay empty
	// unnoticed.
	fullMin = 50 * time.Millisecond
	fullMax = 250 * time.Millisecond
	// limitedShare is the part of the wait for which a node counts as full that refused a request because of the limit of
	// its target. Its wait falls steadily, and it admits requests again before the queue is empty.
	limitedShare = 0.25
	// limitedMax replaces fullMax there.
	limitedMax = time.Second
)

// fullUntilMS returns the time until which a node counts as full after a report; 0 if it is not full.
func (r *Report) fullUntilMS(nowMS int64) int64 {
	switch {
	case r.RateLimited:
		return nowMS + min(max(time.Duration(limitedShare*float64(r.Wait)), fullMin), limitedMax).Milliseconds()
	case r.Full:
		return nowMS + min(max(r.Wait, fullMin), fullMax).Milliseconds()
	}
	return 0
}

// faultWeight is the weight of a new attempt in NodeStats.FaultRate.
const faultWeight = 0.1

// faultHalfLife is the time in which the fault rate halves without new attempts, so that a target which gets no
// requests because of its faults is tried again.
const faultHalfLife = 2 * time.Second

// FaultRateAt returns the fault rate at a time.
func (s NodeStats) FaultRateAt(nowMS int64) float64 {
	if s.FaultRate == 0 {
		return 0
	}
	age := max(nowMS-s.FaultRateMS, 0)
	return s.FaultRate * math.Exp2(-float64(age)/float64(faultHalfLife.Milliseconds()))
}

// EndWithReport ends an attempt. report is nil if the target's node did not respond.
func (t *Tracker) EndWithReport(a Attempt, result Result, report *Report, nowMS int64) {
	if a.stat == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := Observe(a.stat.NodeStats, result, a.probe, nowMS, t.settings)
	fault := 0.0
	if result == Failed || (report != nil && report.Shed) {
		fault = 1
	}
	if result != Neutral && result != Unreachable {
		known := next.FaultRateAt(nowMS)
		next.FaultRate = known + faultWeight*(fault-known)
		next.FaultRateMS = nowMS
	}
	if report != nil {
		next.InUse = report.InUse
		next.Queued = report.Queued
		next.LinkWait = report.LinkWait
		next.ReportedMS = nowMS
		next.OtherRequests = max(report.InUse+report.Queued-next.Outstanding, 0)
		next.observeOthers(a.stat.ReportedMS != 0)
		t.recordOthers(report.Kind, next.OtherRequests)
		own := kindStats{service: report.ServiceTime, fullUntilMS: report.fullUntilMS(nowMS), reportedMS: nowMS}
		if own.service == 0 {
			before := a.stat.kinds[report.Kind]
			own.service, own.reportedMS = before.service, before.reportedMS
		}
		next.observeState(report, nowMS)
		t.recordServiceTime(report.Kind, report.ServiceTime)
		a.stat.setKind(report.Kind, own)
	}
	a.stat.NodeStats = next
}

// Observe returns the statistics after an attempt ended. EjectFailures consecutive failures eject the node; a failed
// probe ejects it again, and a successful one ends the ejection.
func Observe(s NodeStats, result Result, probe bool, nowMS int64, settings Settings) NodeStats {
	s.Outstanding--
	if probe {
		s.Probing = false
	}
	s.Unreachable = result == Unreachable || (result == Neutral && s.Unreachable)
	switch result {
	case Succeeded:
		s.Failures = 0
		s.EjectedUntilMS = 0
	case Failed:
		s.Failures++
		if s.Failures >= settings.EjectFailures {
			s.EjectedUntilMS = nowMS + settings.EjectTime.Milliseconds()
		}
	case Unreachable:
		s.Failures++
		s.EjectedUntilMS = nowMS + unreachableTime.Milliseconds()
	}
	return s
}

// ResultOf classifies the outcome of an attempt. status is the HTTP status of an answered request. Statuses from 500
// count as failures, because a target whose health check wrongly passes returns errors at once and would otherwise
// attract requests.
func ResultOf(o outcome.Outcome, reason outcome.Reason, status int) Result {
	switch o {
	case outcome.Answered:
		if status >= 500 {
			return Failed
		}
		return Succeeded
	case outcome.RefusedNotRun:
		return refusalResult(reason)
	default:
		switch reason {
		case outcome.ReasonCanceled, outcome.ReasonOwnerDied, outcome.ReasonKeyExpired, outcome.ReasonUnanswered,
			outcome.ReasonBodyNotReceived:
			// A target that leaves some requests unanswered answers others; its node sends it fewer.
			return Neutral
		}
		return Failed
	}
}

func refusalResult(reason outcome.Reason) Result {
	switch reason {
	case outcome.ReasonConnectFailed, outcome.ReasonTargetDown, outcome.ReasonNotReady, outcome.ReasonShutdown,
		outcome.ReasonDraining, outcome.ReasonNoTarget, outcome.ReasonSilent, outcome.ReasonBodyNotReceived:
		return Unreachable
	case outcome.ReasonNotEligible, outcome.ReasonSelfFenced, outcome.ReasonTargetReplaced:
		return Failed
	case outcome.ReasonQueueFull, outcome.ReasonRateLimited, outcome.ReasonWaitExceeded, outcome.ReasonOverloaded, outcome.ReasonTargetFull,
		outcome.ReasonShareExceeded:
		return Succeeded
	default:
		return Neutral
	}
}

// Retain removes the statistics of nodes that are not in the view.
func (t *Tracker) Retain(nodes map[string]*endpoint.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for node := range t.nodes {
		if _, ok := nodes[node]; !ok {
			delete(t.nodes, node)
		}
	}
}

// Summary holds the totals of a tracker.
type Summary struct {
	Nodes       int
	Outstanding int
	Ejected     int
	// Limited is the number of nodes whose target has a limit, Leaving that of nodes whose target said that it leaves.
	Limited, Leaving int
	// Untracked counts the requests that were not tracked because the limit on nodes was reached.
	Untracked uint64
}

// Summary returns the totals at nowMS.
func (t *Tracker) Summary(nowMS int64) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := Summary{Nodes: len(t.nodes), Untracked: t.untracked}
	for _, s := range t.nodes {
		sum.Outstanding += s.Outstanding
		if s.EjectedUntilMS > nowMS {
			sum.Ejected++
		}
		if s.Limit.Limited {
			sum.Limited++
		}
		if s.LeavingTarget != "" {
			sum.Leaving++
		}
	}
	return sum
}
