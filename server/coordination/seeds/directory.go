package seeds

import (
	"context"
	"time"
)

// Record is the entry of a node in a Directory.
type Record struct {
	Node string `json:"node"`
	// Address is the peer address as HOST:PORT.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// LinkMbps is the bandwidth of the node's link in Mbit/s; 0 if unknown.
	LinkMbps    uint32 `json:"link_mbps"`
	Incarnation int64  `json:"incarnation"`
	// RenewedMS is the time of the latest publication by the node's clock, in Unix milliseconds.
	RenewedMS int64 `json:"renewed_ms"`
}

// Directory stores one record per node outside the mesh. Nodes that know no other node use it for discovery.
type Directory interface {
	// Publish replaces the record of a node.
	Publish(ctx context.Context, r Record) error
	// Remove deletes the record of a node.
	Remove(ctx context.Context, node string) error
	List(ctx context.Context) ([]Record, error)
}

const (
	// RenewInterval is the time between two publications of a running node.
	RenewInterval = 10 * time.Minute
	// RecordTTL is the age above which a record counts as that of a node that is gone. It allows for two failed
	// renewals and for clock skew.
	RecordTTL = 3*RenewInterval + time.Minute
)

// SplitExpired returns the current records of other nodes, and the names of the other nodes whose records are older
// than RecordTTL, or lie as far in the future: those would never expire.
func SplitExpired(records []Record, own string, now time.Time) (current []Record, expired []string) {
	for _, r := range records {
		if r.Node == own {
			continue
		}
		if age := now.Sub(time.UnixMilli(r.RenewedMS)); age > RecordTTL || age < -RecordTTL {
			expired = append(expired, r.Node)
			continue
		}
		current = append(current, r)
	}
	return current, expired
}
