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

// highest returns the highest state that this node has heard of: from the source, from a peer that polls it, or from a peer
// that it polls, whether or not that state has arrived here. It only grows and never blocks.
func (l *Loop) highest() config.Order { return *l.highestOrder.Load() }

// HighestOffset returns the offset of the highest state in the order that this node has heard of. 0 means none. It never
// blocks.
func (l *Loop) HighestOffset() uint64 { return l.highest().Offset }

// newest returns the highest state that is known to exist, including publications that no node of this build can install.
// One of these counts until a configuration that was published later is in force, so that a mistaken number does not make
// nodes count as behind for good.
func (l *Loop) newest() config.Order {
	newest := l.highest()
	if u := *l.uninstallable.Load(); u.Above(newest) && u.Offset > l.state.Load().PublishedAt() {
		return u
	}
	return newest
}

// NewestOffset returns the offset of the highest configuration that is known to exist, including those that no node of this
// build can install. 0 means none. It never blocks.
func (l *Loop) NewestOffset() uint64 { return l.newest().Offset }

// IsBehind reports whether a newer configuration is known to exist than the one at an offset that is or was in force here. It
// never blocks.
func (l *Loop) IsBehind(offset uint64) bool {
	reached := l.reached()
	newest := l.newest()
	if offset == l.state.Load().Offset() {
		return newest.Above(reached)
	}
	// What was in force before has been replaced by something newer.
	return offset != newest.Offset
}

// reached returns the place in the order up to which this node has all that it may install.
func (l *Loop) reached() config.Order {
	inForce := l.state.Load().Order()
	return inForce.Max(config.Order{Sequence: inForce.Sequence, Offset: l.skipped.Load()})
}

// skip records the offset of a publication that this node does not install, because it is not above the configuration in
// force: a publisher that restarts its sequence, or an append of an older version that the store does late, must not roll the
// fleet back. The node is not behind such a publication, also if a peer of an older build states its offset without a number.
func (l *Loop) skip(offset uint64) { l.skipped.Store(max(l.skipped.Load(), offset)) }

// heardOfUninstallable records a publication that this node or a peer has read and cannot install. It does not count for
// readiness or lag, since no waiting would make the node reach it. One that no longer counts, because a configuration that was
// published later is in force, gives way to any later one.
func (l *Loop) heardOfUninstallable(order config.Order) {
	known := *l.uninstallable.Load()
	if order.Above(known) || (order.Offset > known.Offset && known.Offset <= l.state.Load().PublishedAt()) {
		l.uninstallable.Store(&order)
	}
}

// heardOf records a state that the source or a peer stated. Only the control goroutine writes the value.
func (l *Loop) heardOf(order config.Order) {
	if order.Above(l.highest()) {
		l.highestOrder.Store(&order)
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

// rejectedRetryInterval is how long a state that this node could not use is not requested again from the same peer. Every poll
// would bring it otherwise, and a rejection can only pass when the peer is replaced.
const rejectedRetryInterval = 5 * time.Second

// rejectionsMax bounds the peers and offsets of rejected states that are remembered.
const rejectionsMax = 256

// rejections remembers which rejected states were reported, since a peer sends the same one with each poll.
type rejections struct {
	reported map[rejectionKey]struct{}
	last     *SnapshotRejection
	// recent are the last rejections by peer.
	recent map[string]recentRejection
}

type recentRejection struct {
	offset uint64
	at     time.Time
}

// add remembers that a state up to an offset from a peer could not be used.
func (r *rejections) add(from string, offset uint64, now time.Time) {
	if r.recent == nil || len(r.recent) >= rejectionsMax {
		r.recent = make(map[string]recentRejection)
	}
	r.recent[from] = recentRejection{offset: offset, at: now}
}

// offsets returns the offsets of the states that are not requested again yet, by peer; nil if there are none.
func (r *rejections) offsets(now time.Time) map[string]uint64 {
	var offsets map[string]uint64
	for from, last := range r.recent {
		if now.Sub(last.at) >= rejectedRetryInterval {
			delete(r.recent, from)
			continue
		}
		if offsets == nil {
			offsets = make(map[string]uint64)
		}
		offsets[from] = last.offset
	}
	return offsets
}

type rejectionKey struct {
	from   string
	offset uint64
}

// rejectSnapshot counts a state that could not be decoded, and passes it to the callback once for each peer and offset. stated is
// the highest offset that the peer has stated, above which it cannot have sent a state.
func (l *Loop) rejectSnapshot(r SnapshotRejection, stated uint64, now time.Time) {
	l.rejections.add(r.From, cmp.Or(r.Offset, stated), now)
	l.counter.syncsFailed.Add(1)
	l.counter.snapshotsRejected.Add(1)
	state := l.state.Load()
	r.Version, r.Sequence, r.HighestSeen, r.At = state.Version(), state.Sequence(), l.HighestOffset(), now
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
