package seeds

import (
	"context"
	"time"
)

// Record is what a node publishes in a directory.
type Record struct {
	Node string `json:"node"`
	// Address is the peer address as HOST:PORT.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// LinkMbps is the bandwidth of the node's link in Mbit/s; 0 if it is not known.
	LinkMbps    uint32 `json:"link_mbps"`
	Incarnation int64  `json:"incarnation"`
	// RenewedMS is the time of the newest publication by the node's clock, Unix milliseconds.
	RenewedMS int64 `json:"renewed_ms"`
}

// Directory keeps one record for each node outside the mesh. It is where nodes that know no other node meet.
type Directory interface {
	// Publish replaces the record of a node.
	Publish(ctx context.Context, r Record) error
	// Remove drops the record of a node.
	Remove(ctx context.Context, node string) error
	List(ctx context.Context) ([]Record, error)
}

const (
	// RenewInterval is the time between two publications of a node that keeps running.
	RenewInterval = 10 * time.Minute
	// RecordLife is the age at which a record is taken for that of a node that is gone. It allows for two renewals
	// that failed and for clocks that differ.
	RecordLife = 3*RenewInterval + time.Minute
)

// SplitExpired returns the records of other nodes in a directory, and the names of nodes whose records are older than
// RecordLife.
func SplitExpired(records []Record, own string, now time.Time) (current []Record, expired []string) {
	for _, r := range records {
		if r.Node == own {
			continue
		}
		if now.UnixMilli()-r.RenewedMS > RecordLife.Milliseconds() {
			expired = append(expired, r.Node)
			continue
		}
		current = append(current, r)
	}
	return current, expired
}
