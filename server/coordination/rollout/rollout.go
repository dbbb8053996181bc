// Package rollout moves the requests of a service to targets of another software version. One node per service decides
// how large the share of the new version is, from what all nodes report about both versions; every node applies the share
// that it knows.
package rollout

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

// Settings are the guarantees of the system as a whole.
type Settings struct {
	// ExposureShare and ExposureSlack bound the requests that a bad version gets: a share of all requests of the service
	// since the order, plus a number.
	ExposureShare float64
	ExposureSlack int
	// RollbackTime is the time after the 50th bad response after which a bad version gets no request.
	RollbackTime time.Duration
}

const (
	// newsTTL is the age of the last reply of the decider at which a node stops sending to the new version.
	newsTTL = 2 * time.Second
	// reportIntervalMin and reportIntervalMax bound the interval between two reports of a node. The interval grows with
	// the number of nodes, because one node receives all reports; it stays below newsTTL, so that one report may be lost.
	reportIntervalMin = 200 * time.Millisecond
	reportIntervalMax = 900 * time.Millisecond
	// reportIntervalPerNode limits the reports that the decider gets from all nodes.
	reportIntervalPerNode = 2 * time.Millisecond
	// rejectedVersionsMax limits the versions that are remembered as rolled back.
	rejectedVersionsMax = 16
)

// reportInterval returns the interval between two reports of a node.
func reportInterval(nodes int, s Settings) time.Duration {
	// A stop has to reach every node within the rollback time, with one lost report.
	limit := max(min(reportIntervalMax, s.RollbackTime/4), reportIntervalMin/4)
	return min(max(time.Duration(nodes)*reportIntervalPerNode, reportIntervalMin), limit)
}

// Base are the versions that serve apart from the one that an order names: Only if it is not empty, and none of Not.
type Base struct {
	Only string   `json:"only,omitempty"`
	Not  []string `json:"not,omitempty"`
}

// without returns the base after a version was rolled back or its order was replaced.
func (b Base) without(version string) Base {
	if b.Only == version || slices.Contains(b.Not, version) {
		return b
	}
	not := append(slices.Clone(b.Not), version)
	return Base{Only: b.Only, Not: not[max(0, len(not)-rejectedVersionsMax):]}
}

// Record is the state of the newest order of a service in the store. The node that replaces it decides.
type Record struct {
	Service    string  `json:"service"`
	Order      uint64  `json:"order"`
	Target     string  `json:"target"`
	DurationMS int64   `json:"duration_ms"`
	StartedMS  int64   `json:"started_ms"`
	State      string  `json:"state"`
	Share      float64 `json:"share"`
	// Decider is the node that wrote the record, Term increases whenever another node takes over, and Revision with every
	// write.
	Decider  string `json:"decider"`
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
	// Base are the versions that served before the order.
	Base Base `json:"base"`
	// Spent is the number of requests that nodes were allowed to send to the version, Total that of all requests.
	Spent uint64 `json:"spent"`
	Total uint64 `json:"total"`
}

// state returns the state of the record.
func (r *Record) state() wire.RolloutState {
	for _, s := range []wire.RolloutState{wire.RolloutRunning, wire.RolloutCompleted, wire.RolloutRolledBack} {
		if s.String() == r.State {
			return s
		}
	}
	return wire.RolloutUnknown
}

// baseAfter returns the versions that serve after the record's order, when another order follows.
func (r *Record) baseAfter() Base {
	if r.state() == wire.RolloutCompleted {
		return Base{Only: r.Target}
	}
	return r.Base.without(r.Target)
}

// isLaterThan reports whether a record was written after another one of its service.
func (r *Record) isLaterThan(other *Record) bool {
	if r.Order != other.Order {
		return r.Order > other.Order
	}
	return r.Revision > other.Revision
}

// belongsTo reports whether the record is about an order. An order that a restored store holds at another position is the
// same one.
func (r *Record) belongsTo(o config.Rollout) bool {
	sameVersion := r.Target == o.TargetVersion
	restored := config.Position(r.Order).Era() != config.Position(o.Position).Era() && r.DurationMS == o.Duration.Milliseconds()
	return sameVersion && (r.Order == o.Position || restored)
}

// Status is what the operator sees of an order.
type Status struct {
	Service, Target string
	State           wire.RolloutState
}

// Store keeps one record and one status per service outside the mesh.
type Store interface {
	// List returns the records, and the position after them for Replace.
	List(ctx context.Context) (records []Record, end uint64, err error)
	// Replace writes a record unless any was written since end. It returns the new end.
	Replace(ctx context.Context, r Record, end uint64) (newEnd uint64, replaced bool, err error)
	// WriteStatus writes a status unless the store has it already.
	WriteStatus(ctx context.Context, s Status) error
}

// DeciderOf returns the node that decides about a service: the first live one in rendezvous order. All nodes that know the
// same live nodes agree on it without a message.
func DeciderOf(service string, nodes map[string]*endpoint.Entry) string {
	best, bestScore := "", uint64(0)
	for name, e := range nodes {
		if !e.Live() {
			continue
		}
		score := xxhash.Sum64String(service + "\x00" + name)
		if best == "" || score > bestScore || (score == bestScore && name < best) {
			best, bestScore = name, score
		}
	}
	return best
}

const (
	// timeBuckets is the number of classes of response times, timeBase the upper bound of the first one and timeFactor
	// the ratio of two bounds. The last one begins at 43 s.
	timeBuckets = 52
	timeBase    = 500 * time.Microsecond
	timeFactor  = 1.25
)

// TimeBucket returns the class of a response time.
func TimeBucket(d time.Duration) int {
	if d <= timeBase {
		return 0
	}
	return min(int(math.Ceil(math.Log(float64(d)/float64(timeBase))/math.Log(timeFactor))), timeBuckets-1)
}
