package follow

import "sync/atomic"

// counters holds the atomic totals that Stats reports.
type counters struct {
	reads, failedReads, records, stalled, gaps, behind atomic.Int64
	restored, written, failed, unusable                atomic.Int64
}

func (c *counters) values() Stats {
	return Stats{
		Reads:             c.reads.Load(),
		FailedReads:       c.failedReads.Load(),
		Records:           c.records.Load(),
		Stalled:           c.stalled.Load(),
		Gaps:              c.gaps.Load(),
		Behind:            c.behind.Load(),
		SnapshotsRestored: c.restored.Load(),
		SnapshotsWritten:  c.written.Load(),
		SnapshotsFailed:   c.failed.Load(),
		SnapshotsUnusable: c.unusable.Load(),
	}
}
