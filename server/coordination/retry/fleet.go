package retry

import (
	"math"
	"slices"
	"sync"
	"time"
)

// FleetLimit limits retries across all nodes together: in any Window, the number of retries of requests to a service is
// at most Ratio times the number of its requests, plus Slack.
type FleetLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// ratioShare is the part of Ratio that the nodes use together. Each node counts its own requests, also after a
	// restart, so the rest only has to cover the calls that retried requests make, and requests that ended before they
	// were counted.
	ratioShare = 0.75
	// slackShare is the part of Slack that the nodes use together. The rest covers nodes that are not known yet, and
	// nodes that lost their retry counts in a restart.
	slackShare = 0.5
	// executedShare is the part of both for retries of requests that a target executed and answered with an error. A
	// target that executes a request again makes its own calls again, and those count as retries at the services that
	// it calls.
	executedShare = 0.13
	// lowerPriorityShare is the part of both for request kinds less urgent than the most urgent one of a service. When
	// all targets of a service shed load, the limit is too small for all retries, and retrying an urgent request is
	// worth more.
	lowerPriorityShare = 0.6
	// noRequests is the priority recorded for a bucket without requests.
	noRequests = math.MaxInt
	// fleetBuckets is the number of buckets into which a window is divided.
	fleetBuckets = 10
	// fleetServicesMax limits the tracked services; all counts are dropped when it is reached.
	fleetServicesMax = 1024
)

// FleetBudget is this node's share of a fleet limit. It is safe for concurrent use.
type FleetBudget struct {
	limit FleetLimit

	mu       sync.Mutex
	nodes    int
	services map[string]*retryWindow
}

// retryWindow counts the requests and retries of one service in time buckets.
type retryWindow struct {
	// last is the number of the newest bucket.
	last              int64
	requests, retries [fleetBuckets + 1]int
	// urgent is the most urgent priority among the requests of each bucket.
	urgent           [fleetBuckets + 1]int
	refused, granted int64
}

func newRetryWindow(bucket int64) *retryWindow {
	w := &retryWindow{last: bucket}
	for i := range w.urgent {
		w.urgent[i] = noRequests
	}
	return w
}

// NewFleetBudget returns the budget of one node out of the given number of nodes, see SetNodes.
func NewFleetBudget(limit FleetLimit, nodes int) *FleetBudget {
	return &FleetBudget{limit: limit, nodes: nodes, services: make(map[string]*retryWindow)}
}

// SetNodes sets the number of nodes that share the limit; 0 if it is not known. Then the node uses nothing of the slack, which
// would be divided by it, only the ratio of its own requests.
func (b *FleetBudget) SetNodes(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = nodes
}

// SetLimit replaces the limit. If the window changes, all counts are dropped.
func (b *FleetBudget) SetLimit(limit FleetLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit.Window != b.limit.Window {
		clear(b.services)
	}
	b.limit = limit
}

// RecordRequest counts a request to a service. priority is its rank; 0 is the most urgent.
func (b *FleetBudget) RecordRequest(service string, priority int, nowMS int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, nowMS)
	at := w.last % int64(len(w.requests))
	w.requests[at]++
	w.urgent[at] = min(w.urgent[at], priority)
}

// Take counts a retry if it is within the limit, and reports whether it is. ran is true if a target is known to have
// executed the request before.
func (b *FleetBudget) Take(service string, priority int, ran bool, nowMS int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, nowMS)
	allowed := ratioShare * b.limit.Ratio * float64(w.countedRequests())
	if b.nodes > 0 {
		allowed += slackShare * b.limit.Slack / float64(b.nodes)
	}
	if ran {
		allowed *= executedShare
	}
	if priority > slices.Min(w.urgent[:]) {
		allowed *= lowerPriorityShare
	}
	if float64(sum(w.retries[:])+1) > allowed {
		w.refused++
		return false
	}
	w.retries[w.last%int64(len(w.retries))]++
	w.granted++
	return true
}

// Refund uncounts a retry that did not reach a target.
func (b *FleetBudget) Refund(service string, nowMS int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, nowMS)
	i := w.last % int64(len(w.retries))
	if w.retries[i] > 0 {
		w.retries[i]--
	}
}

// Totals returns the retries granted and refused since the start, summed over all services.
func (b *FleetBudget) Totals() (granted, refused int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.services {
		granted += w.granted
		refused += w.refused
	}
	return granted, refused
}

// window returns the counts of a service after clearing the buckets that have expired.
func (b *FleetBudget) window(service string, nowMS int64) *retryWindow {
	bucket := nowMS * fleetBuckets / b.limit.Window.Milliseconds()
	w := b.services[service]
	if w == nil {
		if len(b.services) >= fleetServicesMax {
			clear(b.services)
		}
		w = newRetryWindow(bucket)
		b.services[service] = w
	}
	passed := min(max(bucket-w.last, 0), int64(len(w.requests)))
	for i := range passed {
		at := (w.last + 1 + i) % int64(len(w.requests))
		w.requests[at], w.retries[at], w.urgent[at] = 0, 0, noRequests
	}
	if passed > 0 {
		w.last = bucket
	}
	return w
}

// countedRequests returns the number of requests in the buckets that are part of every window ending now. Retries are
// counted over one bucket more than a window, so that both approximations err on the safe side.
func (w *retryWindow) countedRequests() int {
	oldest := w.last - int64(len(w.requests)) + 1
	n := 0
	for bucket := oldest + 2; bucket <= w.last; bucket++ {
		n += w.requests[bucket%int64(len(w.requests))]
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
