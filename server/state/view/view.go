// Package view holds the immutable snapshot that traffic reads. Configuration and endpoints
// are in one value, so a request never combines a route of one version with endpoints of another.
package view

import (
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

// View is what one node has in force. It is never modified after it was published.
type View struct {
	// Version is the accepted configuration version in force.
	Version config.Version
	// Offset is the last log offset folded.
	Offset  uint64
	Content *config.Content
	// ByService lists the entries with a target, sorted by node, for every service that the content names.
	ByService map[string][]*endpoint.Entry
	// Nodes are all entries by node name.
	Nodes map[string]*endpoint.Entry
	// Ready is true if the node has reached the highest version known among reachable peers and the log.
	Ready bool
}
