package control

import (
	"cmp"
	"time"

	"wagtailford.example/server/state/config"
)

// FromSource stands in place of a peer's name for a configuration that this node read from the source itself.
const FromSource = "source"

// inForce says how the version in force came here.
type inForce struct {
	// from is the peer that sent the version, or FromSource.
	from  string
	since time.Time
}

// recordInForce records how a state came into force. A record that changes no version leaves the last one in force.
func (l *Loop) recordInForce(old, state *config.State, from string, now time.Time) {
	if state.Version() != old.Version() {
		l.inForce = inForce{from: from, since: now}
	}
}

// HighestOffset returns the highest offset of the configuration log or store that this node has heard of: from the
// source, from a peer that polls it, or from a peer that it polls, whether or not that state has arrived here. 0 means
// none. It only grows and never blocks. A reader that loads the view first never gets less than the view's offset.
func (l *Loop) HighestOffset() uint64 { return l.highestOffset.Load() }

// NewestOffset returns the highest offset of a configuration that is known to exist, including those that no node of this build
// can install. 0 means none. It only grows and never blocks.
func (l *Loop) NewestOffset() uint64 { return max(l.highestOffset.Load(), l.uninstallable.Load()) }

// heardOfUninstallable records the offset of a publication that this node or a peer has read and cannot install. It does not
// count for readiness or lag, since no waiting would make the node reach it.
func (l *Loop) heardOfUninstallable(offset uint64) {
	if offset > l.uninstallable.Load() {
		l.uninstallable.Store(offset)
	}
}

// heardOf records an offset that the source or a peer stated. Only the control goroutine writes the value.
func (l *Loop) heardOf(offset uint64) {
	if offset > l.highestOffset.Load() {
		l.highestOffset.Store(offset)
	}
}

// SnapshotRejection describes a complete state from a peer that could not be decoded.
type SnapshotRejection struct {
	// From is the peer that sent the state.
	From string
	// Offset is that of the state; 0 if it cannot be read.
	Offset uint64
	// Bytes is the compressed size as received; DecompressedBytes is at most one more than config.MaxSnapshotBytes, and 0 if
	// the state could not be decompressed.
	Bytes, DecompressedBytes int
	Error                    string
	// Version and Sequence are those of the configuration that stays in force.
	Version  config.Version
	Sequence uint64
	// HighestSeen is the highest offset that the source or any peer had stated by then.
	HighestSeen uint64
	At          time.Time
}

// rejectedRetryInterval is how long a rejected state is not requested again. Every poll would bring it otherwise, and a
// rejection can only pass when the peer is replaced.
const rejectedRetryInterval = 5 * time.Second

// rejectionsMax bounds the peers and offsets of rejected states that are remembered.
const rejectionsMax = 256

// rejections remembers which rejected states were reported, since a peer sends the same one with each poll.
type rejections struct {
	reported map[rejectionKey]struct{}
	last     *SnapshotRejection
}

// offset returns the offset of the last rejected state until it is requested again; 0 after that.
func (r *rejections) offset(now time.Time) uint64 {
	if r.last == nil || now.Sub(r.last.At) >= rejectedRetryInterval {
		return 0
	}
	// The peer cannot have sent a state above the highest offset that it has stated.
	return cmp.Or(r.last.Offset, r.last.HighestSeen)
}

type rejectionKey struct {
	from   string
	offset uint64
}

// rejectSnapshot counts a state that could not be decoded, and passes it to the callback once for each peer and offset.
func (l *Loop) rejectSnapshot(r SnapshotRejection, now time.Time) {
	l.counter.syncsFailed.Add(1)
	l.counter.snapshotsRejected.Add(1)
	state := l.state.Load()
	r.Version, r.Sequence, r.HighestSeen, r.At = state.Version(), state.Sequence(), l.highestOffset.Load(), now
	l.rejections.last = &r
	key := rejectionKey{r.From, r.Offset}
	if _, known := l.rejections.reported[key]; known {
		return
	}
	if l.rejections.reported == nil || len(l.rejections.reported) >= rejectionsMax {
		l.rejections.reported = make(map[rejectionKey]struct{})
	}
	l.rejections.reported[key] = struct{}{}
	l.notify.post(func() { l.notify.rejected = append(l.notify.rejected, r) })
}

// snapshotHeaderMax is more than the length in bytes of the three numbers that precede the content of a snapshot.
const snapshotHeaderMax = 64

// offsetOfRejected returns the offset of a state that cannot be decoded; 0 if it cannot be read. It passes on only the
// header, because config.SnapshotOffset refuses one that is too large as a whole.
func offsetOfRejected(data []byte) uint64 {
	offset, err := config.SnapshotOffset(data[:min(len(data), snapshotHeaderMax)])
	if err != nil {
		return 0
	}
	return offset
}
