package routing

import (
	"math"
	"sync"
	"time"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/endpoint"
)

// Tracker keeps this node's own observations of other nodes. It is safe for concurrent use.
type Tracker struct {
	settings Settings

	mu    sync.Mutex
	nodes map[string]*observed
	// typical is the moving mean of the service times that nodes stated, by kind.
	typical map[uint32]time.Duration
	dropped uint64
}

// NewTracker returns a tracker without observations.
func NewTracker(settings Settings) *Tracker {
	return &Tracker{settings: settings, nodes: make(map[string]*observed), typical: make(map[uint32]time.Duration)}
}

// observed is what is known of one node.
type observed struct {
	NodeStats
	kinds map[uint32]kindStat
}

// kindStat is what is known of one kind of requests at a node.
type kindStat struct {
	service     time.Duration
	fullUntilMS int64
	// statedMS is when the service time was stated.
	statedMS int64
}

// trackedKindsMax limits the kinds that are told apart at one node.
const trackedKindsMax = 256

const (
	// statedHalfLife is the time in which half of the difference between what a node stated and what is typical of the kind
	// is forgotten. A node that was slow and gets no requests for it is so tried again.
	statedHalfLife = 4 * time.Second
	// untriedShare is the part of the typical service time that is expected of a node which has stated none.
	untriedShare = 0.8
	// typicalWeight is the share of a new statement in the typical service time of a kind.
	typicalWeight = 0.05
)

// of returns the observations with those of a kind filled in.
func (o *observed) of(kind uint32, typical time.Duration, nowMS int64) NodeStats {
	s := o.NodeStats
	own := o.kinds[kind]
	s.FullUntilMS = own.fullUntilMS
	if own.service == 0 {
		s.ServiceTime = time.Duration(untriedShare * float64(typical))
		return s
	}
	age := float64(max(nowMS-own.statedMS, 0))
	kept := math.Exp2(-age / float64(statedHalfLife.Milliseconds()))
	s.ServiceTime = typical + time.Duration(kept*float64(own.service-typical))
	return s
}

// noteTypical takes a service time that a node stated.
func (t *Tracker) noteTypical(kind uint32, service time.Duration) {
	known, seen := t.typical[kind]
	switch {
	case service <= 0:
	case seen:
		t.typical[kind] = known + time.Duration(typicalWeight*float64(service-known))
	case len(t.typical) < trackedKindsMax:
		t.typical[kind] = service
	}
}

// note keeps what a node stated of a kind.
func (o *observed) note(kind uint32, next kindStat) {
	if _, known := o.kinds[kind]; !known && len(o.kinds) >= trackedKindsMax {
		return
	}
	if o.kinds == nil {
		o.kinds = make(map[uint32]kindStat)
	}
	o.kinds[kind] = next
}

// Stat returns the observations of a node without those of any kind of requests.
func (t *Tracker) Stat(node string) NodeStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.nodes[node]; o != nil {
		return o.NodeStats
	}
	return NodeStats{}
}

// StatOf returns the observations of a node for a kind of requests.
func (t *Tracker) StatOf(node string, kind uint32, nowMS int64) NodeStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statOf(node, kind, nowMS)
}

func (t *Tracker) statOf(node string, kind uint32, nowMS int64) NodeStats {
	typical := t.typical[kind]
	if o := t.nodes[node]; o != nil {
		return o.of(kind, typical, nowMS)
	}
	return NodeStats{ServiceTime: time.Duration(untriedShare * float64(typical))}
}

// WithStats calls read with a function that returns the observations of a node for a kind of requests. No observation changes
// meanwhile, and read must not call the tracker.
func (t *Tracker) WithStats(kind uint32, nowMS int64, read func(statOf func(node string) NodeStats)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	read(func(node string) NodeStats { return t.statOf(node, kind, nowMS) })
}

// Attempt is one request that a Tracker counts as outstanding.
type Attempt struct {
	stat  *observed
	probe bool
}

// Begin counts a request to a node as outstanding. The attempt must be passed to End. Beyond the limit of
// tracked nodes the request is not counted.
func (t *Tracker) Begin(node string, nowMS int64) Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.nodes[node]
	if s == nil {
		if len(t.nodes) >= t.settings.TrackedMax {
			t.dropped++
			return Attempt{}
		}
		s = &observed{}
		t.nodes[node] = s
	}
	s.Outstanding++
	probe := s.EjectedUntilMS != 0 && nowMS >= s.EjectedUntilMS && !s.Probing
	if probe {
		s.Probing = true
	}
	return Attempt{stat: s, probe: probe}
}

// Result is the end of an attempt as the selection sees it.
type Result uint8

// Results of an attempt.
const (
	// Neutral says nothing about the target: the caller left, or the request itself was at fault.
	Neutral Result = iota
	// Succeeded means that the target served the request or shed it in an orderly way.
	Succeeded
	// Failed counts towards ejection.
	Failed
	// Unreachable means that the node takes no work at the moment. It also counts towards ejection.
	Unreachable
)

// unreachableTime is how long a node that takes no work is left out. It is about the time in which a process starts
// again.
const unreachableTime = 300 * time.Millisecond

// End ends an attempt. inUse and queued are the reported slots in use and queue length; inUse below 0 means that
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

// Report is what a target's node stated with an answer.
type Report struct {
	InUse, Queued int
	// Kind is the kind of the request, Service the service time of that kind; 0 if it is not known.
	Kind        uint32
	ServiceTime time.Duration
	// Shed is true if the target refused the request.
	Shed bool
	// Full is true if the target's node refused the request because too many wait there, Wait the time until one that
	// arrives now would start.
	Full bool
	Wait time.Duration
	// LinkWait is the time for which bodies occupy the link of the target's node.
	LinkWait time.Duration
}

const (
	// fullMin and fullMax bound the time for which a node that refused a request counts as full for its kind. Below the
	// least, the question costs more than the answer is worth; beyond the most, slots could stay empty unnoticed.
	fullMin = 50 * time.Millisecond
	fullMax = 250 * time.Millisecond
)

// fullUntilMS returns until when a node counts as full after a report.
func (r *Report) fullUntilMS(nowMS int64) int64 {
	if !r.Full {
		return 0
	}
	return nowMS + min(max(r.Wait, fullMin), fullMax).Milliseconds()
}

// faultWeight is the share of a new attempt in Stat.Faults.
const faultWeight = 0.1

// faultHalfLife is the time in which the share of faults halves without new attempts, so that a target which gets no
// work for its faults is tried again.
const faultHalfLife = 2 * time.Second

// FaultsAt returns the share of faults at a time.
func (s NodeStats) FaultsAt(nowMS int64) float64 {
	if s.Faults == 0 {
		return 0
	}
	age := max(nowMS-s.FaultsMS, 0)
	return s.Faults * math.Exp2(-float64(age)/float64(faultHalfLife.Milliseconds()))
}

// EndWithReport ends an attempt. report is nil if the target's node did not answer.
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
		known := next.FaultsAt(nowMS)
		next.Faults = known + faultWeight*(fault-known)
		next.FaultsMS = nowMS
	}
	if report != nil {
		next.InUse = report.InUse
		next.Queued = report.Queued
		next.LinkWait = report.LinkWait
		next.ReportedMS = nowMS
		next.Others = max(report.InUse+report.Queued-next.Outstanding, 0)
		own := kindStat{service: report.ServiceTime, fullUntilMS: report.fullUntilMS(nowMS), statedMS: nowMS}
		if own.service == 0 {
			before := a.stat.kinds[report.Kind]
			own.service, own.statedMS = before.service, before.statedMS
		}
		t.noteTypical(report.Kind, report.ServiceTime)
		a.stat.note(report.Kind, own)
	}
	a.stat.NodeStats = next
}

// Observe returns the observations after an attempt ended. EjectFailures consecutive failures eject; a failed
// probe ejects again, a successful one ends the ejection.
func Observe(s NodeStats, result Result, probe bool, nowMS int64, settings Settings) NodeStats {
	s.Outstanding--
	if probe {
		s.Probing = false
	}
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

// ResultOf classifies the outcome of an attempt. status is the HTTP status of an answer. Statuses from 500 count as
// failures, because a target with lying health answers them at once and would attract requests.
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
		if reason == outcome.ReasonCanceled || reason == outcome.ReasonOwnerDied || reason == outcome.ReasonKeyExpired {
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
	case outcome.ReasonQueueFull, outcome.ReasonOverloaded, outcome.ReasonTargetFull:
		return Succeeded
	default:
		return Neutral
	}
}

// Retain removes the observations of nodes that are not in the view.
func (t *Tracker) Retain(nodes map[string]*endpoint.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for node := range t.nodes {
		if _, ok := nodes[node]; !ok {
			delete(t.nodes, node)
		}
	}
}

// Summary counts what a tracker holds.
type Summary struct {
	Nodes       int
	Outstanding int
	Ejected     int
	// Untracked counts requests that were not counted because the tracker was full.
	Untracked uint64
}

// Summary returns the counts at nowMS.
func (t *Tracker) Summary(nowMS int64) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := Summary{Nodes: len(t.nodes), Untracked: t.dropped}
	for _, s := range t.nodes {
		sum.Outstanding += s.Outstanding
		if s.EjectedUntilMS > nowMS {
			sum.Ejected++
		}
	}
	return sum
}
