package routing

import (
	"math"
	"time"

	"wagtailford.example/server/state/endpoint"
)

// Names of the policies, as in the setting routing.balance.
const (
	BalanceLowestCost = "lowest-cost"
	BalanceEvenLoad   = "even-load"
)

// Policy selects the target of a request.
type Policy struct{ model *costModel }

// PolicyOf returns the policy of a name: that of ChooseEvenLoad, or for any other name that of ChooseLowestCost.
func PolicyOf(name string) Policy {
	if name == BalanceEvenLoad {
		return Policy{&evenLoad}
	}
	return Policy{&lowestCost}
}

// Choose returns the selection of the policy.
func (p Policy) Choose(c *Choice, d Demand, w CostWeights, self string) Selection {
	return c.choose(p.model, d, w, self)
}

const (
	// extraWaitWeight is how many times an expected wait counts beside the time that the request itself takes. A request
	// that waits also delays those behind it, of which its sender knows nothing. In trials of the replay in
	// internal/policysim, a weight of 8 left a spread of 2.7 instead of 2.4 slots at low load; 32 lowered it to 2.1 without
	// more responses in time.
	extraWaitWeight = 16
	// evenDistanceWeight is how many times the cost of another failure domain counts. That cost is compared with waits,
	// which count extraWaitWeight times more. In trials with a failure domain that had more demand than the others, the full
	// ratio between both refused more requests than half of it. With even demand, a weight of 1 sent more requests to other
	// domains.
	evenDistanceWeight = extraWaitWeight / 2
	// reportLifetime is the time, in service times, in which the difference between a reported load and the usual one of the
	// target falls to 1/e. Most requests behind the report have ended by then.
	reportLifetime = 4
	// loadUncertainty is the deviation, in requests, of the load at the time of arrival from the estimate.
	loadUncertainty = 1.5
	// slowStartSlotsMin is the number of slots of a target that has just started, as in package admission.
	slowStartSlotsMin = 2
	// othersWeight is the weight of a report in the moving average of a kind, nodeOthersWeight in that of its node.
	othersWeight     = 0.05
	nodeOthersWeight = 0.2
)

// ChooseEvenLoad returns the candidate with the lowest cost like ChooseLowestCost, with three differences. The load of a
// target is an estimate for now: what it reported approaches its usual load as the report gets older, and to that this
// node's outstanding requests are added. The load at arrival deviates from the estimate, so a target that is nearly full
// has an expected wait too. And a wait counts several times, since it delays further requests.
//
// The policy answers the load pattern of many nodes that choose at the same moment by reports that are older than the
// requests take, at uneven targets: with ChooseLowestCost all of them fill the targets that were reported free and those
// that are fast, so that requests wait there while slots of others stay empty.
func ChooseEvenLoad(c *Choice, d Demand, w CostWeights, self string) Selection {
	return c.choose(&evenLoad, d, w, self)
}

// evenLoad is the cost model of ChooseEvenLoad.
var evenLoad = costModel{
	wait: NodeStats.uncertainWait, others: NodeStats.currentOthers,
	extraWait: extraWaitWeight, distanceWeight: evenDistanceWeight,
}

// currentOthers estimates the number of requests from other nodes at the target now. The usual load of the node itself
// approaches that of all nodes with the half-life of reported service times, so that a node which was full and therefore
// gets no requests is tried again.
func (s NodeStats) currentOthers(nowMS int64, service time.Duration) float64 {
	if s.ReportedMS == 0 {
		return s.MeanOthers
	}
	age := float64(max(nowMS-s.ReportedMS, 0)) * float64(time.Millisecond)
	usual := s.MeanOthers + math.Exp2(-age/float64(reportHalfLife))*(s.UsualOthers-s.MeanOthers)
	return usual + math.Exp(-age/(reportLifetime*float64(service)))*(float64(s.OtherRequests)-usual)
}

// uncertainWait returns the expected time until a request starts if the load at its arrival deviates from the estimate by
// about loadUncertainty. It approaches 0 at a free target and the wait without uncertainty at a full one. The node of a target
// in slow start gives out only a part of the slots.
func (s NodeStats) uncertainWait(e *endpoint.Entry, nowMS int64, service time.Duration, slowStart float64) time.Duration {
	slots := float64(e.Slots)
	if e.Slots <= 0 {
		slots = defaultSlots
	}
	slots = min(slots, max(slowStartSlotsMin, slowStart*slots))
	excess := s.currentOthers(nowMS, service) + float64(s.Outstanding) + 1 - slots
	waiting := max(excess, 0) + loadUncertainty*math.Log1p(math.Exp(-math.Abs(excess)/loadUncertainty))
	return max(time.Duration(waiting*float64(service)/slots), s.limitWait(nowMS))
}

// observeOthers adds the reported number of requests from other nodes to the node's moving average. known is false for the
// first report.
func (s *NodeStats) observeOthers(known bool) {
	others := float64(s.OtherRequests)
	if !known {
		s.UsualOthers = others
		return
	}
	s.UsualOthers += nodeOthersWeight * (others - s.UsualOthers)
}

// recordOthers adds a reported number of requests from other nodes to the moving average of its kind.
func (t *Tracker) recordOthers(kind uint32, others int) {
	known, seen := t.meanOthers[kind]
	if !seen {
		makeRoom(t.meanOthers, trackedRoutesMax)
		known = float64(others)
	}
	t.meanOthers[kind] = known + othersWeight*(float64(others)-known)
}
