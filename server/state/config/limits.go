package config

import "time"

// Limits bound a configuration and its records. They are part of the rules: every process with the same
// RuleVersion uses the same limits, otherwise two readers would decide differently about one record.
type Limits struct {
	// MaxRecordBytes is the largest encoded change.
	MaxRecordBytes int
	// MaxContentBytes is the largest content by contentSize, an upper bound of its encoded size. It is lower
	// than MaxRecordBytes, so every accepted content fits into one publish.
	MaxContentBytes  int
	MaxServices      int
	MaxRoutes        int
	MaxDestinations  int
	MaxLabels        int
	MaxMethods       int
	MaxNameBytes     int
	MaxCallerBytes   int
	MaxPathBytes     int
	MaxLabelBytes    int
	MaxMethodBytes   int
	MaxChangeIDBytes int
	MaxOperatorBytes int
	// MaxDescriptionBytes is the longest description of a service.
	MaxDescriptionBytes int
	MaxWeight           uint32
	MaxAttempts         uint32
	MaxTimeout          time.Duration
}

// Bounds of what the state remembers beside the content. They decide about later records, or about what a
// snapshot holds, and so belong to the rules as well.
const (
	// decisionWindow is the number of verdicts that are remembered by change id.
	decisionWindow = 1024
	// tombstoneWindow is the number of removed resources whose last change is remembered.
	tombstoneWindow = 512
	// historyWindow is the number of versions in the history.
	historyWindow = 256
	// undoWindow and undoBytes bound the versions whose content can be rebuilt.
	undoWindow = 32
	undoBytes  = 128 << 10
	// maxDetailBytes bounds the explanation in a verdict.
	maxDetailBytes = 200
)

// DefaultLimits returns the limits of RuleVersion.
func DefaultLimits() Limits {
	return Limits{
		MaxRecordBytes:      256 << 10,
		MaxContentBytes:     192 << 10,
		MaxServices:         256,
		MaxRoutes:           1024,
		MaxDestinations:     32,
		MaxLabels:           16,
		MaxMethods:          8,
		MaxNameBytes:        63,
		MaxCallerBytes:      128,
		MaxPathBytes:        256,
		MaxLabelBytes:       63,
		MaxMethodBytes:      16,
		MaxChangeIDBytes:    64,
		MaxOperatorBytes:    128,
		MaxDescriptionBytes: 256,
		MaxWeight:           1000,
		MaxAttempts:         10,
		MaxTimeout:          10 * time.Minute,
	}
}

var limits = DefaultLimits()
