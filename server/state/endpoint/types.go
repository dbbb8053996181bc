// Package endpoint holds the endpoint table: one entry per node, written only by that node,
// merged by last writer wins.
//
// Everything here is pure: no clock, socket, random source or log line.
package endpoint

// State is the liveness state of a node and its target. At the same incarnation and revision the
// larger state wins.
type State uint8

// States of an entry.
const (
	// NoTarget means that the node is alive and no target has announced itself to it.
	NoTarget State = iota
	// Alive means that the target takes work.
	Alive
	// Draining means that the target finishes its work and takes no more.
	Draining
	// Suspect means that the parent of the node has missed a heartbeat.
	Suspect
	// Dead means that the relays of the failure domain declared the node dead.
	Dead
	// Left means that the node ended in a planned way and handed its key records over.
	Left
)

// NoLimit is the value of Entry.LimitPerSecond for a target without a limit.
const NoLimit = 0.0

// Key orders the values of one entry. The larger key wins, compared field by field.
type Key struct {
	// Incarnation is the process start time in Unix nanoseconds, or one more than the
	// highest incarnation that a peer reported for the node.
	Incarnation int64
	// Revision counts the changes that the owner made within an incarnation.
	Revision uint64
	State    State
}

// Entry describes a node and the target beside it. Entries are immutable once they are in a table.
type Entry struct {
	Node string
	Key
	// Address is the host:port at which the node accepts peer connections.
	Address       string
	FailureDomain string
	Region        string
	// Service is the service of the target; empty if no target has announced itself.
	Service       string
	TargetAddress string
	// TargetStart identifies the process of the target; empty from nodes of older builds.
	TargetStart string
	// SoftwareVersion is the version of the application that the target runs; empty if it states none.
	SoftwareVersion string
	// LimitPerSecond is the rate of requests that the target has named as its limit, in requests per second, as far as it
	// is published: small and quick changes are left out. NoLimit if there is none.
	LimitPerSecond float64
	Labels         map[string]string
	Slots          int
	// Eligible is true if the node may own keys of its service.
	Eligible bool
	// Unclean is true if the previous incarnation ended without handing over its key records.
	Unclean bool
	// DiedMS is the time of the death verdict or of the planned leave, Unix milliseconds; 0 in other states.
	DiedMS int64
	// Rejoined is the revision under which the owner answered the last death verdict of this incarnation; 0 if there
	// was none.
	Rejoined uint64
	// StartedMS is the start time of the target, Unix milliseconds, for slow start.
	StartedMS int64
	// Parent is the node that this node syncs with; empty for a log follower.
	Parent string
	// LinkMbps is the bandwidth of the node's network link in Mbit/s; 0 if it is not known.
	LinkMbps uint32
	// Withdrawn is true if the node has published that its target accepts no new requests: the target drains, has left or
	// does not report. It is kept when other nodes declare the node dead, while their verdict replaces the state.
	Withdrawn bool
	// Crashes are the crash counts that the processes of the node attribute to request digests, Cleared the clearances that
	// they state. A clearance applies to the counts of all nodes. Both outlive the process.
	Crashes []CrashCount
	Cleared []Clearance
	// Recovered are crash counts of other nodes that a process of this node has read from a store. After a restart of all nodes,
	// a node that cannot read the store learns them from here.
	Recovered []CrashCount
}

// Upper bounds of the encoding between nodes, in bytes: of an entry without its texts and lists, and of their elements.
const (
	entryBytes     = 160
	crashBytes     = 40
	clearanceBytes = 26
	textBytes      = 4
)

// encodedSize returns an upper bound of the encoded size of an entry, in bytes.
func (e *Entry) encodedSize() int {
	size := entryBytes + (len(e.Crashes)+len(e.Recovered))*crashBytes + len(e.Cleared)*clearanceBytes
	for _, text := range [...]string{
		e.Node, e.Address, e.FailureDomain, e.Region, e.Service, e.TargetAddress, e.TargetStart, e.SoftwareVersion, e.Parent,
	} {
		size += textBytes + len(text)
	}
	for name, value := range e.Labels {
		size += 2*textBytes + len(name) + len(value)
	}
	return size
}

// String returns the state in words.
func (s State) String() string {
	names := [...]string{"no_target", "alive", "draining", "suspect", "dead", "left"}
	if int(s) < len(names) {
		return names[s]
	}
	return "state"
}
