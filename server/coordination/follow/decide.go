package follow

import "time"

// snapshotAge is the fraction of the retention after which a snapshot is written again: it leaves three quarters
// for outages of the log before retention removes the newest snapshot.
const snapshotAge = 4

// Snapshots is what the decision to write a snapshot depends on.
type Snapshots struct {
	Now time.Time
	// Offset is the offset of the sink.
	Offset uint64
	// LogFirst is the first offset that the stream config keeps.
	LogFirst uint64
	// NewestOffset and NewestTime describe the newest snapshot known in the log; 0 if none is.
	NewestOffset uint64
	NewestTime   time.Time
	// DueSince is when a snapshot became due; zero if none was.
	DueSince time.Time
	Rank     int
}

// Decision says what to do about the snapshot in the log.
type Decision uint8

// Decisions about the snapshot.
const (
	// Idle means that the newest snapshot is good enough.
	Idle Decision = iota
	// Wait means that a snapshot is due and a follower of lower rank is expected to write it.
	Wait
	// Write means that this follower writes one, unless the log holds a newer one that it has not read yet.
	Write
)

// Decide returns what a follower does about the snapshot. A snapshot is due when SnapshotRecords records have
// passed since the newest one, when that one is older than a quarter of the retention, or when the log no longer
// keeps the records that follow it. Rank 0 writes at once, each further rank Stagger later.
func Decide(s Snapshots, settings Settings) Decision {
	if !due(s, settings) {
		return Idle
	}
	since := s.DueSince
	if since.IsZero() {
		since = s.Now
	}
	if s.Now.Before(writeTime(since, s.Rank, settings.Stagger)) {
		return Wait
	}
	return Write
}

func due(s Snapshots, settings Settings) bool {
	switch {
	case s.Offset == 0:
		return false
	case s.NewestOffset == 0:
		return true
	case s.Offset < s.NewestOffset:
		// An older state must not become the newest snapshot.
		return false
	case s.Offset-s.NewestOffset >= settings.SnapshotRecords:
		return true
	case s.NewestOffset+1 < s.LogFirst:
		return true
	default:
		return s.Now.Sub(s.NewestTime) >= settings.Retention/snapshotAge
	}
}

// writeTime returns when a follower writes a snapshot that is due since a time.
func writeTime(since time.Time, rank int, stagger time.Duration) time.Time {
	return since.Add(time.Duration(max(rank, 0)) * stagger)
}
