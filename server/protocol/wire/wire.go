// Package wire defines the argument and reply types of the net/rpc methods between nodes.
package wire

import (
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

// Names of the net/rpc services that a node registers.
const (
	ServiceControl   = "Control"
	ServiceNode      = "Node"
	ServiceOwnership = "Ownership"
	ServiceBody      = "Body"
)

// SyncArgs is a child's poll. It doubles as the child's heartbeat.
type SyncArgs struct {
	Node        string
	Incarnation int64
	// Entry is the child's own entry; nil if it has not changed since the parent acknowledged it.
	Entry *endpoint.Entry
	// Entries are those that the child learned from its own children, or judged itself, and that the parent has
	// not acknowledged.
	Entries []endpoint.Entry
	// Offset is the last log offset that the child has folded, Version its version in force.
	Offset  uint64
	Version config.Version
	// Sequence is the publisher's number of the configuration in force, which with Offset gives its place in the order. It is
	// 0 if the configuration has none, and from a node of an older build, which compares offsets only.
	Sequence uint64
	// StoreEra is the highest era of the store that the child knows of.
	StoreEra uint64
	// FleetSize is the number of nodes, as the child knows it; 0 if no source has stated it, and from a node of an older build.
	FleetSize int
	// KeyHistory is what the child knows of keys in earlier configurations; unknown from a node of an older build.
	KeyHistory config.KeyHistory
	Ready      bool
	// ParentInstance and TableSequence say what the child has seen of the parent's endpoint table.
	ParentInstance int64
	TableSequence  uint64
	// HoldMS is how long the parent may keep the poll open, in milliseconds.
	HoldMS int64
	// Peer is true between log followers of different failure domains: no liveness verdict follows.
	Peer bool
	// Reads is true if the poller reads the configuration from its source itself.
	Reads bool
	// PushOnly is true if the call only delivers entries: the reply has no records and no entries.
	PushOnly bool
	// StateOnly is true if the reply needs no entries. A node of an older build ignores it and sends them.
	StateOnly bool
	// Rejected is the offset of a state from this parent that the poller could not use a short time ago; 0 if there is none.
	// The reply leaves the state out up to there. A node of an older build ignores it and sends the state with every poll.
	Rejected uint64
}

// SyncReply answers a poll.
type SyncReply struct {
	// RetryAfterMS is above 0 if the parent refused admission; all other fields are unset then.
	RetryAfterMS   int64
	ParentInstance int64
	// Records follow the child's offset without a gap.
	Records []config.Record
	// Snapshot is the encoded state of the fold, compressed, if the records the child needs are no longer at hand.
	Snapshot []byte
	// Entries are those that changed after the child's table sequence.
	Entries       []endpoint.Entry
	TableSequence uint64
	// HighestOffset and HighestSequence are those of the highest state that the parent knows to exist. A node of an older build
	// states no sequence.
	HighestOffset   uint64
	HighestSequence uint64
	// Uninstallable and UninstallableSequence are those of the highest publication that the parent knows of and that could not
	// be installed; 0 if there is none.
	Uninstallable         uint64
	UninstallableSequence uint64
	// StoreEra is the highest era of the store that the parent knows of.
	StoreEra uint64
	// FleetSize is the number of nodes, as the parent knows it; 0 if no source has stated it, and from a node of an older build.
	FleetSize int
	// KeyHistory is what the parent knows of keys in earlier configurations; unknown from a node of an older build.
	KeyHistory config.KeyHistory
	// ContactAgeMS is how long ago the parent had contact with a node that would know of its death verdict, in
	// milliseconds.
	ContactAgeMS int64
	// HeldMS is how long the parent held the poll, in milliseconds. The child counts the contact from the sending of
	// the poll plus this time, so that a reply that it reads late does not look recent.
	HeldMS int64
	// Ready is true if the parent itself has reached the highest offset it knows of.
	Ready bool
	// EntryAcknowledged is true if the parent has the child's current entry.
	EntryAcknowledged bool
}

// NodeStatus reports what one node has in force.
type NodeStatus struct {
	Node    string
	Offset  uint64
	Version config.Version
	Ready   bool
	// Sequence is the publisher's number of the configuration in force; 0 if it has none or is not known.
	Sequence uint64
}

// Order returns the place of what the node has in force among all configurations.
func (n *NodeStatus) Order() config.Order {
	return config.Order{Sequence: n.Sequence, Offset: n.Offset}
}

// StatusArgs asks a relay for itself and its children.
type StatusArgs struct{}

// StatusReply lists the asked node and its children.
type StatusReply struct {
	Nodes []NodeStatus
}

// DrainArgs asks a node to drain its target, or to undo that.
type DrainArgs struct {
	Undrain bool
}

// DrainReply reports the state of the target after the call.
type DrainReply struct {
	State endpoint.State
}

// DumpArgs asks for the state of the process.
type DumpArgs struct{}

// DumpReply is the state of the process as JSON.
type DumpReply struct {
	JSON []byte
}

// Header is one HTTP header field.
type Header struct {
	Name, Value string
}

// Request is a caller's request as it travels between nodes.
type Request struct {
	// From and ID identify the attempt, for cancellation and fencing. ID is unique among the attempts of From.
	From    string
	ID      uint64
	Service string
	Method  string
	// Path includes the query string.
	Path    string
	Headers []Header
	Body    []byte
	// Key is the idempotency key; empty for an idempotent request.
	Key string
	// KeyIssuedMS is the issue time of the key, Unix milliseconds; 0 if not known.
	KeyIssuedMS int64
	// KeyFromMesh is true if the ingress generated the key for this request, so no earlier request can carry it.
	KeyFromMesh bool
	// TimeoutMS is the time that remains for the request, in milliseconds.
	TimeoutMS int64
	// Attempts is the number of attempts left for the whole call chain.
	Attempts int
	// Depth is the number of hops that the call chain has taken.
	Depth int
	// RequestID is the caller's own id of the request; empty if the caller gave none.
	RequestID string
	// CallerService is the service of the target beside the node that the caller uses.
	CallerService string
	// Far is true if the sender is in another failure domain than the target.
	Far bool
	// Priority is the rank of the request at a full target, 0 first.
	Priority int
	// Idempotent is true if the request may run more than once. Senders of older builds leave it out.
	Idempotent bool
	// Organisation is the name of the organisation that sent the request; empty if there is none. OrganisationPriority is its
	// rank, 0 first, which goes before Priority.
	Organisation         string
	OrganisationPriority int
	// Kind tells requests of different routes apart, whose service times differ.
	Kind uint32
	// ObjectiveMS is the time that remains until an answer is late, in milliseconds; 0 or less if it is late already.
	ObjectiveMS int64
	// Late is true if the caller has returned after a refusal and has waited beyond the objective already.
	Late bool
	// Nested is true if the request is a call without which a request fails that runs at the sender's target.
	Nested bool
	// MaxWaitMS is the wait beyond which another node is likely to start the request sooner; 0 means none.
	MaxWaitMS int64
	// BodyBytes is the size of a body that is not in this message. The executing node fetches it from the node From at
	// FromAddress, under ID.
	BodyBytes   int
	FromAddress string
	// Stream describes a body that is not in this message and is read piece by piece while the target takes it; nil if
	// there is none. FromAddress is empty if the executing node itself received the request.
	Stream *StreamedBody
	// KnownLimit is what the sender knows of the limit of the target; nil if it knows of none. A node that has restarted
	// beside its target takes it over.
	KnownLimit *KnownLimit
}

// StreamedBody describes a body that is streamed.
type StreamedBody struct {
	// Bytes is the length of the body, -1 if it is not known.
	Bytes int64
	// Digest identifies the first part of the body.
	Digest uint64
}

// KnownLimit is the rate of requests that a target takes, as a sender knows it.
type KnownLimit struct {
	// Target identifies the process of the target.
	Target string
	// PerSecond is in requests per second.
	PerSecond float64
	// AgeMS is how long ago a response confirmed the limit, in milliseconds.
	AgeMS int64
}

// TargetState is what a target has stated of itself in its responses.
type TargetState struct {
	// Target identifies the process of the target.
	Target string
	// Limited is true if it named the rate of requests that it takes: PerSecond, in requests per second.
	Limited   bool
	PerSecond float64
	// LimitWaitMS is the time until a request that arrives now would pass the limit, in milliseconds.
	LimitWaitMS int64
	// Leaving is true if the target said that it takes no more requests.
	Leaving bool
}

// BodyArgs asks for the next piece of the body of an attempt.
type BodyArgs struct {
	ID     uint64
	Offset int
}

// BodyReply is a piece of a body.
type BodyReply struct {
	Body []byte
	// End is true if a streamed body ends with this piece.
	End bool
}

// Response is the result of a request as it travels between nodes.
type Response struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// Status, Headers and Body are set if the outcome is Answered.
	Status  int
	Headers []Header
	Body    []byte
	// Replayed is true if the answer was recorded by an earlier run of the same key.
	Replayed bool
	// Owner is the entry to ask instead if the reason is ReasonNotOwner.
	Owner *endpoint.Entry
	// InUse and Queued are the slots in use and the queue length at the node when it answered.
	InUse  int
	Queued int
	// Arrived is true if any byte of the request was sent to the target.
	Arrived bool
	// Slots is the number of requests that the target takes at a time.
	Slots int
	// WaitMS is the time until a request that arrives now would start, ServiceMS the mean time that requests of this
	// kind take, in milliseconds.
	WaitMS, ServiceMS int64
	// RunUS is the time from the slot that the request got to the end of its response, in microseconds; 0 if it got none.
	RunUS int64
	// LinkWaitMS is the time for which bodies that were announced before occupy the node's link, in milliseconds.
	LinkWaitMS int64
	// TargetState is nil if the target restricts its requests neither by a limit nor by leaving, or if that is not known.
	TargetState *TargetState
}

// CancelArgs says that the caller of a request is gone.
type CancelArgs struct {
	// From is the node that sent the request.
	From string
	ID   uint64
}

// CancelReply is empty.
type CancelReply struct{}

// KeyState is what a node knows about a key.
type KeyState uint8

// States of a key.
const (
	// KeyFenced means that the attempt had not been seen and will be refused if it arrives later.
	KeyFenced KeyState = iota + 1
	KeyRunning
	// KeyDone means that the key ran; the answer is recorded or was dropped.
	KeyDone
	// KeyUnknown means that the key may have run and its outcome was lost.
	KeyUnknown
	// KeyMoved means that another node has custody of the key.
	KeyMoved
)

// InquireArgs asks the owner of a key what became of it.
type InquireArgs struct {
	Service string
	Key     string
	// Digest identifies the request, to detect a key that is used for two requests.
	Digest uint64
	// From and ID identify the attempt to fence if the owner has not seen it; ID 0 fences nothing.
	From string
	ID   uint64
	// WaitMS is how long to wait for a running request, in milliseconds.
	WaitMS int64
}

// InquireReply says what became of the key.
type InquireReply struct {
	State    KeyState
	Response *Response
	Owner    *endpoint.Entry
}

// KeyRecord is the custody of one key.
type KeyRecord struct {
	Key    string
	Digest uint64
	State  KeyState
	// Executor is the node that runs or ran the key.
	Executor string
	// ExpiresInMS is the remaining lifetime in milliseconds.
	ExpiresInMS int64
	Response    *Response
}

// TakeOverArgs announces a joiner to a member of its service.
type TakeOverArgs struct {
	Joiner endpoint.Entry
	// Cursor continues a transfer that did not fit into one reply; 0 starts it.
	Cursor uint64
}

// TakeOverReply acknowledges a joiner. From then on the member redirects the keys that the joiner outranks it for.
type TakeOverReply struct {
	// Members are the members of the service that the asked node knows.
	Members []endpoint.Entry
	Records []KeyRecord
	// Cursor is above 0 if more records follow.
	Cursor uint64
	// KnewPrevious is true if the member knows an earlier incarnation that ended without hand-over.
	KnewPrevious bool
}

// HandOverArgs passes the records of a leaving node to the node that is next in rank.
type HandOverArgs struct {
	Leaver  string
	Service string
	Records []KeyRecord
}

// HandOverReply acknowledges the records. The sender stays responsible until it has this reply.
type HandOverReply struct {
	Accepted bool
}
