package retry

import (
	"math"
	"slices"
	"sync"
	"time"
)

// FleetLimit is a limit on repeated attempts that holds over all nodes together: in any Window, the attempts beyond
// the first of each request to a service are at most Ratio times its requests plus Slack.
type FleetLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// ratioShare is the part of Ratio that the nodes use together. Each counts its own requests, also after a restart,
	// so the rest covers only the calls that repeated requests make, and requests that ended before they were counted.
	ratioShare = 0.75
	// slackShare is the part of Slack that the nodes use together. The rest covers nodes that are not known yet, and
	// those that restarted without memory of their repeats.
	slackShare = 0.5
	// errorShare is the part of both for repeats of requests that their target ran and answered with an error. A target
	// that runs a request again makes its own calls again, and those count as repeats at the services that it calls.
	errorShare = 0.13
	// lowerShare is the part of both for kinds of requests beside the most urgent one of a service. When all targets of a
	// service shed, the limit is too small for all, and a repeat of an urgent request brings more.
	lowerShare = 0.6
	// leastUrgent is the priority of a time in which no request came.
	leastUrgent = math.MaxInt
	// fleetBuckets is the number of parts in which a window is counted.
	fleetBuckets = 10
	// fleetServicesMax limits the services counted; when it is reached all start anew.
	fleetServicesMax = 1024
)

// FleetBudget is this node's part of a fleet limit. It is safe for concurrent use.
type FleetBudget struct {
	limit FleetLimit

	mu       sync.Mutex
	nodes    int
	services map[string]*repeatWindow
}

// repeatWindow counts the requests and repeats of one service by bucket of time.
type repeatWindow struct {
	// last is the number of the newest bucket.
	last            int64
	firsts, repeats [fleetBuckets + 1]int
	// urgent is the most urgent priority of the requests.
	urgent           [fleetBuckets + 1]int
	refused, granted int64
}

func newRepeatWindow(bucket int64) *repeatWindow {
	w := &repeatWindow{last: bucket}
	for i := range w.urgent {
		w.urgent[i] = leastUrgent
	}
	return w
}

// NewFleetBudget returns a budget for one node among nodes.
func NewFleetBudget(limit FleetLimit, nodes int) *FleetBudget {
	return &FleetBudget{limit: limit, nodes: max(nodes, 1), services: make(map[string]*repeatWindow)}
}

// SetNodes sets the number of nodes that share the limit.
func (b *FleetBudget) SetNodes(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(nodes, 1)
}

// SetLimit replaces the limit. What was counted under another window is forgotten.
func (b *FleetBudget) SetLimit(limit FleetLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit.Window != b.limit.Window {
		clear(b.services)
	}
	b.limit = limit
}

// RecordRequest counts a request to a service. priority is its rank, 0 first.
func (b *FleetBudget) RecordRequest(service string, priority int, nowMS int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, nowMS)
	at := w.last % int64(len(w.firsts))
	w.firsts[at]++
	w.urgent[at] = min(w.urgent[at], priority)
}

// Take counts a repeat and reports whether it is within the limit; otherwise nothing is counted. ran is true if a target
// certainly ran the request before.
func (b *FleetBudget) Take(service string, priority int, ran bool, nowMS int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, nowMS)
	allowed := ratioShare*b.limit.Ratio*float64(w.fullFirsts()) + slackShare*b.limit.Slack/float64(b.nodes)
	if ran {
		allowed *= errorShare
	}
	if priority > slices.Min(w.urgent[:]) {
		allowed *= lowerShare
	}
	if float64(sum(w.repeats[:])+1) > allowed {
		w.refused++
		return false
	}
	w.repeats[w.last%int64(len(w.repeats))]++
	w.granted++
	return true
}

// Refund takes a repeat back that did not reach a target.
func (b *FleetBudget) Refund(service string, nowMS int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, nowMS)
	i := w.last % int64(len(w.repeats))
	if w.repeats[i] > 0 {
		w.repeats[i]--
	}
}

// Totals returns the repeats that were granted and refused since the start, over all services.
func (b *FleetBudget) Totals() (granted, refused int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.services {
		granted += w.granted
		refused += w.refused
	}
	return granted, refused
}

// window returns the counts of a service with the buckets that have passed emptied.
func (b *FleetBudget) window(service string, nowMS int64) *repeatWindow {
	bucket := nowMS * fleetBuckets / b.limit.Window.Milliseconds()
	w := b.services[service]
	if w == nil {
		if len(b.services) >= fleetServicesMax {
			clear(b.services)
		}
		w = newRepeatWindow(bucket)
		b.services[service] = w
	}
	passed := min(max(bucket-w.last, 0), int64(len(w.firsts)))
	for i := range passed {
		at := (w.last + 1 + i) % int64(len(w.firsts))
		w.firsts[at], w.repeats[at], w.urgent[at] = 0, 0, leastUrgent
	}
	if passed > 0 {
		w.last = bucket
	}
	return w
}

// fullFirsts returns the requests of the buckets that lie in every window which ends now. The repeats are counted over
// one bucket more than a window, so that both errors are on the safe side.
func (w *repeatWindow) fullFirsts() int {
	oldest := w.last - int64(len(w.firsts)) + 1
	n := 0
	for bucket := oldest + 2; bucket <= w.last; bucket++ {
		n += w.firsts[bucket%int64(len(w.firsts))]
	}
	return n
}

func sum(list []int) int {
	n := 0
	for _, v := range list {
		n += v
	}
	return n
}
