package follow

import "time"

// snapshotAgeDivisor limits the age of the newest snapshot to a quarter of the log's retention time. The other three
// quarters cover outages of the log, before retention removes the newest snapshot.
const snapshotAgeDivisor = 4

// SnapshotStatus is the input of DecideSnapshot.
type SnapshotStatus struct {
	Now time.Time
	// Offset is the offset of the last record that the sink applied.
	Offset uint64
	// LogFirst is the first offset that the stream config retains.
	LogFirst uint64
	// NewestOffset and NewestTime describe the newest snapshot known in the log; zero if there is none.
	NewestOffset uint64
	NewestTime   time.Time
	// DueSince is when a snapshot became due; zero if none is due.
	DueSince time.Time
	Rank     int
}

// SnapshotAction is what a follower does about the snapshot in the log.
type SnapshotAction uint8

// Snapshot actions.
const (
	// SnapshotUpToDate means that no new snapshot is due.
	SnapshotUpToDate SnapshotAction = iota
	// SnapshotWait means that a snapshot is due but a follower of lower rank is expected to write it.
	SnapshotWait
	// SnapshotWrite means that this follower writes a snapshot, unless the log has a newer one that it has not read
	// yet.
	SnapshotWrite
)

// DecideSnapshot returns whether a follower writes a snapshot. One is due when SnapshotRecords records were added since
// the newest snapshot, when that one is older than a quarter of the retention time, or when the log no longer retains
// the records that follow it. The follower of rank 0 writes at once; each further rank waits Stagger longer.
func DecideSnapshot(s SnapshotStatus, settings Settings) SnapshotAction {
	if !due(s, settings) {
		return SnapshotUpToDate
	}
	since := s.DueSince
	if since.IsZero() {
		since = s.Now
	}
	if s.Now.Before(writeTime(since, s.Rank, settings.Stagger)) {
		return SnapshotWait
	}
	return SnapshotWrite
}

func due(s SnapshotStatus, settings Settings) bool {
	switch {
	case s.Offset == 0:
		return false
	case s.NewestOffset == 0:
		return true
	case s.Offset < s.NewestOffset:
		// An older state must not replace a newer snapshot.
		return false
	case s.Offset-s.NewestOffset >= settings.SnapshotRecords:
		return true
	case s.NewestOffset+1 < s.LogFirst:
		return true
	default:
		return s.Now.Sub(s.NewestTime) >= settings.Retention/snapshotAgeDivisor
	}
}

// writeTime returns when a follower of the given rank writes a snapshot that became due at since.
func writeTime(since time.Time, rank int, stagger time.Duration) time.Time {
	return since.Add(time.Duration(max(rank, 0)) * stagger)
}
