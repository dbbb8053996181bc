package wire

// ServiceQuota is the net/rpc service between entry nodes and the owners of quotas.
const ServiceQuota = "Quota"

// QuotaCount is what a node admitted and refused of one organisation since its last report.
type QuotaCount struct {
	// ID identifies the organisation.
	ID uint64
	// Admitted is negative if more requests were refunded than admitted.
	Admitted int
	Refused  int
	// Isolated are admitted requests that the owner may have left room for, in reports to collectors.
	Isolated int
}

// QuotaShare is what the owner states of a limited organisation.
type QuotaShare struct {
	ID uint64
	// PerMille is the part of the requests that a node may admit, of 1000.
	PerMille int
	// WaitMS is the time after which there is room for refused requests, in milliseconds.
	WaitMS int
}

// QuotaProbe and QuotaCollected stand in place of a partition: in reports that only ask for an answer, and in reports to
// collectors, which are for all partitions.
const (
	QuotaProbe     = -1
	QuotaCollected = -2
)

// QuotaReport is what an entry node sends to the owner of a partition of the organisations. It doubles as a sign of life.
type QuotaReport struct {
	Node      string
	Partition int
	// Nodes is the number of nodes that the counts are of. It is 0 in reports of versions that state counts in another way.
	Nodes int
	// Partitions is the number of partitions, which follows from the configuration.
	Partitions int
	// Known is the number of nodes that share the quotas, as the sender knows it; 0 if no source has stated it.
	Known int
	// RoundTripMS is how long the last report to this owner took, in milliseconds.
	RoundTripMS  int
	PackedCounts QuotaCounts
	// PackedRestated are the shares that the previous owner announced, in the first report to another owner.
	PackedRestated QuotaShares
}

// QuotaNews is what an owner states of its partition, in the reply to a report and pushed on changes. Organisations that are
// not listed are not limited.
type QuotaNews struct {
	Partition int
	// Owner is the node that sent the news, Process tells its processes apart (0 in versions that state shares in another way), and Sequence increases with each statement of a
	// process.
	Owner    string
	Process  uint32
	Sequence uint64
	// Version is the position of the configuration that the owner has in force.
	Version uint64
	// IntervalMS is the longest time between two reports, in milliseconds.
	IntervalMS    int
	PackedLimited QuotaShares
	// UnlistedRate is the rate, in requests per second, up to which organisations are not listed unless the report has counts of
	// them.
	UnlistedRate int
	// Ages are the times since the owners of all partitions answered the collector that sends the news, in units of 10 ms; 255 if
	// it cannot rely on one. RoundTripMS is the longest round trip between the collector and an owner, in milliseconds.
	Ages        []byte
	RoundTripMS int
}

// QuotaPushReply is empty.
type QuotaPushReply struct{}
