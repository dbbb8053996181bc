// Package config holds the configuration of the mesh: its content, the records that change it,
// and the deterministic fold that turns a sequence of log records into the accepted configuration.
//
// Everything here is pure: no clock, socket, random source or log line.
package config

import "time"

// Version is the log offset of the record that created a version. 0 means no version.
type Version = uint64

// RuleVersion is the version of the validation and fold rules of this build.
const RuleVersion uint32 = 1

// AnyCaller is the caller identity that matches every caller.
const AnyCaller = "*"

// Service is a group of targets that run the same application.
type Service struct {
	Name        string `msgpack:"n"`
	Description string `msgpack:"d,omitempty"`
	// ConnectionsMax limits the connections to one target of the service, from all callers together; 0 means the
	// daemon's default.
	ConnectionsMax uint32 `msgpack:"cm,omitempty"`
	// HealthPath answers health checks of a target; empty if the service has none.
	HealthPath string `msgpack:"hp,omitempty"`
}

// Destination selects targets of a service.
type Destination struct {
	Service string            `msgpack:"s"`
	Labels  map[string]string `msgpack:"l,omitempty"`
	Weight  uint32            `msgpack:"w"`
}

// Route says which targets serve which callers.
type Route struct {
	Name         string        `msgpack:"n"`
	Caller       string        `msgpack:"c"`
	PathPrefix   string        `msgpack:"p"`
	Destinations []Destination `msgpack:"d"`
	// Timeout limits a request; 0 means the daemon's default.
	Timeout time.Duration `msgpack:"t,omitempty"`
	// MaxAttempts limits attempts of an idempotent request; 0 means the daemon's default.
	MaxAttempts uint32 `msgpack:"a,omitempty"`
	// IdempotentMethods are idempotent in addition to GET, HEAD, OPTIONS, PUT and DELETE.
	IdempotentMethods []string `msgpack:"i,omitempty"`
	// Host limits the route to requests for this host; empty matches every host. With a host, PathPrefix begins and
	// ends with a slash and is compared with the path as the caller wrote it.
	Host string `msgpack:"h,omitempty"`
	// Repetition says whether requests may run more than once, whatever their method.
	Repetition Repetition `msgpack:"rp,omitempty"`
	// Priority is the rank of the requests at a full target, 0 first.
	Priority uint32 `msgpack:"pr,omitempty"`
	// LatencyObjective is the time within which an answer is of full use; 0 means none.
	LatencyObjective time.Duration `msgpack:"lo,omitempty"`
	// Public admits requests without a key of an organisation.
	Public bool `msgpack:"pu,omitempty"`
}

// Repetition says whether a request may run more than once.
type Repetition uint8

// Values of Repetition.
const (
	// ByMethod leaves it to the method and to Route.IdempotentMethods.
	ByMethod Repetition = iota
	Idempotent
	NonIdempotent
)

// Content is the whole content of a version. Both slices are sorted by name and never modified
// after the fold returned them.
type Content struct {
	Services []Service `msgpack:"s"`
	Routes   []Route   `msgpack:"r"`
	// CallerIdleTimeout is how long a caller's connection may wait for its next request; 0 means the daemon's default.
	CallerIdleTimeout time.Duration `msgpack:"it,omitempty"`
	// CallerLimits bound the requests of callers.
	CallerLimits CallerLimits `msgpack:"cl,omitempty"`
	// Authentication says whether requests have to carry a key; see RequiresKeys.
	Authentication Authentication `msgpack:"au,omitempty"`
	// Organisations hold the keys that requests may carry. Sorted by name.
	Organisations []Organisation `msgpack:"o,omitempty"`
	// Rollouts are the newest orders of the operator, at most one for a service. Sorted by service.
	Rollouts []Rollout `msgpack:"ro,omitempty"`
	// UnplacedRollouts are orders for services that this content does not have. They have no effect, but belong to the next
	// configuration if that has the service. Sorted by service.
	UnplacedRollouts []Rollout `msgpack:"ru,omitempty"`
}

// CallerLimits are limits of a request; 0 means the daemon's default.
type CallerLimits struct {
	HeaderMaxBytes int64 `msgpack:"h,omitempty"`
	BodyMaxBytes   int64 `msgpack:"b,omitempty"`
	// HeaderTimeout limits the time from the first byte of a request to the end of its header.
	HeaderTimeout time.Duration `msgpack:"t,omitempty"`
}

// Rollout is an order to move the requests of a service to targets of another software version, as long as these serve them
// as well as the others.
type Rollout struct {
	Service string `msgpack:"s"`
	// TargetVersion is the software version of the targets that the requests are moved to.
	TargetVersion string `msgpack:"v"`
	// Duration is the time from the order in which the move has to be completed or rolled back.
	Duration time.Duration `msgpack:"d"`
	// Position is where the source holds the order. A repeated order has another position.
	Position uint64 `msgpack:"p"`
}

// Record is one record of the log stream, as read from the log or passed on by a parent.
type Record struct {
	Offset uint64
	// TimeMS is the time at which the log stored the record, Unix milliseconds.
	TimeMS int64
	Data   []byte
}

// Op is the operation of a change.
type Op uint8

// Operations of a change.
const (
	OpPutService Op = iota + 1
	OpDeleteService
	OpPutRoute
	OpDeleteRoute
	OpPublish
)

// Change is the decoded form of a record. Exactly the fields of its operation are set.
type Change struct {
	// Rule is encoded in front of the map, so that every build can read it from records of later rules.
	Rule uint32 `msgpack:"-"`
	ID   string `msgpack:"id"`
	// Base is the version that the change is based on. 0 is the empty configuration before the first version
	// and is checked like any other base: it fits a first publish and a resource that never changed.
	Base     Version `msgpack:"base"`
	Operator string  `msgpack:"operator,omitempty"`
	Op       Op      `msgpack:"op"`
	// Service is the new value for OpPutService.
	Service *Service `msgpack:"service,omitempty"`
	// Route is the new value for OpPutRoute.
	Route *Route `msgpack:"route,omitempty"`
	// Name is the resource to remove for OpDeleteService and OpDeleteRoute.
	Name string `msgpack:"name,omitempty"`
	// Content is the new content for OpPublish.
	Content *Content `msgpack:"content,omitempty"`
	// CreateOnly rejects a put if the resource exists, UpdateOnly if it does not.
	CreateOnly bool `msgpack:"create,omitempty"`
	UpdateOnly bool `msgpack:"update,omitempty"`
}

// Result says what the fold did with a record.
type Result uint8

// Results of the fold.
const (
	// Accepted means that the record created a version.
	Accepted Result = iota + 1
	// Rejected means that the record broke a rule and had no effect.
	Rejected
	// Conflicted means that the record lost against an earlier one and had no effect.
	Conflicted
	// Repeated means that the change id was decided before; the verdict is the first one's.
	Repeated
	// Stale means that the record's offset is not above the state's; it had no effect.
	Stale
	// Blocked means that the record's rule version is unknown to this build. The state does not move past it.
	Blocked
	// Ahead means that records before this one are missing; it had no effect and must be delivered again.
	Ahead
)

// Kind is the kind of a resource.
type Kind uint8

// Kinds of resources.
const (
	KindService Kind = iota + 1
	KindRoute
)

// String returns the kind in words.
func (k Kind) String() string {
	if k == KindService {
		return "service"
	}
	return "route"
}

// RejectReason says in a machine-readable form why a record was rejected.
type RejectReason string

// Reasons of a rejection.
const (
	RejectUndecodable     RejectReason = "undecodable"
	RejectTooLarge        RejectReason = "too_large"
	RejectInvalidName     RejectReason = "invalid_name"
	RejectInvalidField    RejectReason = "invalid_field"
	RejectDuplicateName   RejectReason = "duplicate_name"
	RejectAmbiguousRoute  RejectReason = "ambiguous_route"
	RejectUnknownService  RejectReason = "unknown_service"
	RejectServiceInUse    RejectReason = "service_in_use"
	RejectNotFound        RejectReason = "not_found"
	RejectAlreadyExists   RejectReason = "already_exists"
	RejectLimitExceeded   RejectReason = "limit_exceeded"
	RejectUnknownRule     RejectReason = "unknown_rule_version"
	RejectInvalidChangeID RejectReason = "invalid_change_id"
	RejectUnknownBase     RejectReason = "unknown_base_version"
)

// Verdict is the fold's decision on one record.
type Verdict struct {
	Offset   uint64  `msgpack:"o"`
	ChangeID string  `msgpack:"id"`
	Result   Result  `msgpack:"r"`
	Version  Version `msgpack:"v,omitempty"`
	// First is the result of the first record of the change id if Result is Repeated.
	First  Result       `msgpack:"f,omitempty"`
	Reason RejectReason `msgpack:"why,omitempty"`
	Detail string       `msgpack:"d,omitempty"`
	// WinnerID and WinnerOperator name the change that a conflicted record lost against.
	WinnerID       string `msgpack:"wi,omitempty"`
	WinnerOperator string `msgpack:"wo,omitempty"`
	// Current is the version to base a new attempt on.
	Current Version `msgpack:"c,omitempty"`
}

// VersionInfo describes an accepted version for the history.
type VersionInfo struct {
	Version  Version `msgpack:"v"`
	ChangeID string  `msgpack:"id"`
	Operator string  `msgpack:"o,omitempty"`
	Base     Version `msgpack:"b"`
	Summary  string  `msgpack:"s"`
	TimeMS   int64   `msgpack:"t"`
}
