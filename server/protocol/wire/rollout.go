package wire

// ServiceRollout is the name of the net/rpc service that takes reports about a rollout.
const ServiceRollout = "Rollout"

// RolloutState is the state of an order to move requests to another software version.
type RolloutState uint8

// States of a rollout.
const (
	// RolloutUnknown means that the sender of the message does not know the state.
	RolloutUnknown RolloutState = iota
	RolloutRunning
	RolloutCompleted
	RolloutRolledBack
)

// Final reports whether the state of the order does not change any more.
func (s RolloutState) Final() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// String returns the state as it is logged.
func (s RolloutState) String() string {
	return [...]string{"unknown", "running", "completed", "rolled_back"}[min(s, RolloutRolledBack)]
}

// RolloutCounts are the outcomes of the requests of one kind at a target of the old or the new version.
type RolloutCounts struct {
	Kind uint32
	// Target is a hash of the node of the target.
	Target uint32
	// New is true for the version that the order names.
	New                bool
	Requests, Failures uint32
	// Refused are the attempts that the node of the target refused as not run. They are not in Requests.
	Refused uint32
	// Times are the numbers of responses by response time, see rollout.TimeBucket, without the zeros at the end.
	Times []uint32
}

// RolloutReport tells the decider what a node has sent to the versions of a service.
type RolloutReport struct {
	Node string
	// Process is the start of the node's process, Unix nanoseconds.
	Process int64
	Service string
	// Order is the position of the order that the report is about.
	Order uint64
	// Batch numbers Counts. A batch whose reply was lost is sent again unchanged.
	Batch  uint64
	Counts []RolloutCounts
	// New and Total are the requests that the process has sent to the new version and to the service since it knows the
	// order, Cap is the limit on New that it applies.
	New, Total, Cap uint64
	// OldInFlight is the number of requests that the node has for the old version.
	OldInFlight uint64
	// Stage is the stage that the node applies.
	Stage uint64
	// Known is the highest stage that the node was told, also one that it does not apply any more. It drops replies with a
	// lower one.
	Known uint64
	// Final is the final state of the order if the node knows it.
	Final RolloutState
}

// RolloutReply tells a node what it may send to the new version.
type RolloutReply struct {
	// State is RolloutUnknown if the node that was asked does not decide. The other fields are unset then.
	State RolloutState
	// Share is the share of the requests that go to the new version, and Cap the limit on RolloutReport.New.
	Share float64
	Cap   uint64
	// Focus are the nodes of the only targets of the new version that get this share; empty means all.
	Focus []string
	// OnlyNew is true if no request may go to the old version.
	OnlyNew bool
	// Stage identifies the decision. A later one is larger.
	Stage uint64
	// Only and Not are the versions that served before the order: Only if it is not empty, and none of Not.
	Only string
	Not  []string
}
