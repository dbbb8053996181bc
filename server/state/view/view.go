// Package view holds the immutable snapshot that traffic reads. Configuration and endpoints
// are in one value, so a request never combines a route of one version with endpoints of another.
package view

import (
	"time"

	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

// View is what one node has in force. It is never modified after it was published.
type View struct {
	// Version is the accepted configuration version in force.
	Version config.Version
	// Offset is the last log offset folded.
	Offset uint64
	// Sequence is the publisher's number of the version in force; 0 if it was not published as a whole.
	Sequence uint64
	// From names the peer that sent the version in force, or says that the node read it itself; empty if there is none.
	From string
	// Since is when the version came into force on this node; zero if there is none.
	Since   time.Time
	Content *config.Content
	// ByService lists the entries with a target, sorted by node, for every service that the content names.
	ByService map[string][]*endpoint.Entry
	// Nodes are all entries by node name.
	Nodes map[string]*endpoint.Entry
	// Ready is true if the node has reached the highest version known among reachable peers and the log.
	Ready bool
	// KeyHistory is what the node knows of keys in earlier configurations.
	KeyHistory config.KeyHistory
	// FleetStated is true once a source has stated the number of nodes: the directory, or a node that it was stated to. Before,
	// Nodes says nothing about it. FleetFloor is that number until Nodes has as many that have not left, then 0.
	FleetStated bool
	FleetFloor  int
}

// KeyRule returns what the key of a request means on this node.
func (v *View) KeyRule() config.KeyRule { return v.Content.KeyRule(v.KeyHistory) }
