// Package settings reads and checks the INI file of a daemon. Every key has a default or is required, and the
// whole file is checked at start: unknown sections and keys and values out of range are refused together.
package settings

import "time"

// Profile selects the defaults of the keys that trade convergence time against control bytes.
type Profile string

// Profiles.
const (
	ConvergenceFirst Profile = "convergence-first"
	BytesFirst       Profile = "bytes-first"
)

// Fan-out modes.
const (
	FanoutTree = "tree"
	FanoutFlat = "flat"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	Node       Node
	Listen     Listen
	Security   Security
	Log        Log
	Fanout     Fanout
	Membership Membership
	Routing    Routing
	Admission  Admission
	Keys       Keys
	Suspects   Suspects
	Limits     Limits
	Quota      Quota
	Target     Target
	Platform   Platform
	Rollout    Rollout
}

// Node names the process and its place.
type Node struct {
	Name          string
	Cluster       string
	Region        string
	FailureDomain string
	// Seeds are host:port addresses of other nodes' peer listeners.
	Seeds   []string
	Profile Profile
	// MemoryLimit is the soft memory limit of the Go runtime in bytes.
	MemoryLimit int64
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s; 0 if it is not known.
	LinkMbps        float64
	ShutdownTimeout time.Duration
}

// Listen holds host:port addresses.
type Listen struct {
	Peer string
	// PeerAdvertised is the address at which other nodes reach this one, if it is not Peer.
	PeerAdvertised string
	Ingress        string
	Operator       string
	Announce       string
	Admin          string
	// Ready answers the platform whether callers should use the node.
	Ready string
	// Profile adds processor and memory profiles to the admin listener.
	Profile bool
}

// PeerAddress returns the address at which other nodes reach this one.
func (l Listen) PeerAddress() string {
	if l.PeerAdvertised != "" {
		return l.PeerAdvertised
	}
	return l.Peer
}

// Security holds credentials and certificate files.
type Security struct {
	ClusterCredential     string
	ClusterCredentialFile string
	OperatorCertFile      string
	OperatorKeyFile       string
	OperatorCAFile        string
	OperatorInsecure      bool
}

// Log holds the settings of the log service's client and follower.
type Log struct {
	URL                string
	AppendTimeout      time.Duration
	PollWait           time.Duration
	Retention          time.Duration
	SnapshotRecords    int
	DeltaWindowRecords int
	RetryMax           time.Duration
}

// Fanout holds the settings of the sync tree.
type Fanout struct {
	Mode               string
	FollowersPerDomain int
	RelayChildren      int
	SyncHold           time.Duration
	CoalesceWindow     time.Duration
	// SyncAdmissionRate limits new children, per second.
	SyncAdmissionRate int
	ReconnectJitter   time.Duration
	SeedInterval      time.Duration
}

// Membership holds the settings of liveness verdicts.
type Membership struct {
	SuspectAfter  time.Duration
	DeadAfter     time.Duration
	SelfFence     time.Duration
	PanicFraction float64
}

// Routing holds the settings of target selection and retries.
type Routing struct {
	DefaultTimeout time.Duration
	MaxAttempts    int
	ChainAttempts  int
	RetryFraction  float64
	EjectFailures  int
	EjectTime      time.Duration
	SlowStart      time.Duration
	MaxDepth       int
	// RepeatWindow and RepeatSlack complete RetryFraction to a limit over all nodes together.
	RepeatWindow time.Duration
	RepeatSlack  int
	// DomainByteCost and RegionCost are how much longer a caller may wait nearby before a request goes farther.
	DomainByteCost time.Duration
	RegionCost     time.Duration
	// Balance is the policy that selects targets.
	Balance string
}

// Admission holds the limits of work in progress.
type Admission struct {
	Slots   int
	Queue   int
	Workers int
	// HoldBroken keeps slots of broken-off requests counted at targets of which nothing is known.
	HoldBroken bool
	// NestedWaitShare shortens the waits of calls of running requests while such calls are refused.
	NestedWaitShare float64
}

// Keys holds the settings of idempotency records.
type Keys struct {
	KeyRetention   time.Duration
	ClockSkewMax   time.Duration
	RecordsMax     int
	AnswerBytesMax int64
}

// Suspects holds the settings of requests that crash targets.
type Suspects struct {
	CrashLimit  int
	SuspectTTL  time.Duration
	SuspectsMax int
}

// Limits bound every listener and connection.
type Limits struct {
	BodyMax   int64
	HeaderMax int64
	// CallerBytesMax bounds the bytes of all requests and responses of callers together.
	CallerBytesMax int64
	ConnectionsMax int
	ReadTimeout    time.Duration
	// UploadRateMin is the least rate of a streamed body in bytes per second, 0 for none; UploadWindow is how much time a
	// caller may be behind it.
	UploadRateMin  int64
	UploadWindow   time.Duration
	IdleTimeout    time.Duration
	SilenceTimeout time.Duration
	MessageMax     int64
}

// Quota is the bound on the requests of an organisation at all nodes together: in a window at most (rate * window + burst) *
// (1 + Overage) + Slack.
type Quota struct {
	Window  time.Duration
	Overage float64
	Slack   int
}

// Target holds the settings of the target beside the node.
type Target struct {
	AnnounceLease time.Duration
	// DrainWindow is how long a draining target still gets requests that wait for it.
	DrainWindow    time.Duration
	ConnectionsMax int
	HealthInterval time.Duration
	// Service is the service of the target. If it is set, a report that names another one is not the target's.
	Service string
	// Address is HOST:PORT of the target. If it is set, a report that states another one is not the target's.
	Address string
}

// Platform holds the settings of a node that runs on a platform. The store takes the place of the log service.
type Platform struct {
	// Store is the address of the platform's store; empty if the node uses a log service.
	Store string
	// LeaveDelay is how long callers may still come after the node said that it is not ready.
	LeaveDelay time.Duration
}

// Rollout holds the guarantees for requests that are moved to another software version.
type Rollout struct {
	// ExposureShare and ExposureSlack bound the requests that a bad version gets.
	ExposureShare float64
	ExposureSlack int
	// RollbackTime is the time after the 50th bad response after which a bad version gets no request.
	RollbackTime time.Duration
	// Restore makes a node read the records of rollouts before it takes requests.
	Restore bool
}
