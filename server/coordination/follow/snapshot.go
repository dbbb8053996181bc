package follow

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/protocol/platformlog"
	"wagtailford.example/server/state/config"
)

// snapshotReadBytes is the size limit of a read of the stream config-snapshots. A read returns at least one record
// even above its limit, so 1 byte reads one snapshot.
const snapshotReadBytes = 1

// snapshotAttempts limits how many records, including unusable ones, one search for a snapshot reads.
const snapshotAttempts = 8

// newestSnapshot is the newest usable snapshot that is known to be in the log.
type newestSnapshot struct {
	// read is the offset in the stream config-snapshots up to which all snapshots were considered.
	read   uint64
	offset uint64
	time   time.Time
	// data is the encoded snapshot. It is kept only during a restore.
	data []byte
}

// findSnapshot returns the newest snapshot; it reads none if the newest one is known already. It searches backwards
// from the end of the stream until a snapshot reaches the needed offset, so in most cases it reads one snapshot,
// however many there are. After concurrent writes the last record may not be the one with the highest offset.
func (f *Follower) findSnapshot(ctx context.Context, need uint64) (newestSnapshot, error) {
	first, next, err := f.snapshotRange(ctx)
	if err != nil {
		return newestSnapshot{}, err
	}
	if f.newest.offset > 0 && f.newest.read+1 == next && f.newest.read >= first {
		return f.newest, nil
	}
	best := newestSnapshot{}
	for at := next - 1; at >= max(first, 1) && next-at <= snapshotAttempts; at-- {
		batch, err := f.read(ctx, platformlog.StreamSnapshots, at, snapshotReadBytes, 0)
		if errors.Is(err, platformlog.ErrTrimmed) {
			break
		}
		if err != nil {
			return newestSnapshot{}, err
		}
		if len(batch.Records) == 0 {
			continue
		}
		if found := f.decodeUsable(batch.Records[0]); found.offset > best.offset {
			best = found
		}
		if best.offset > 0 && best.offset >= need {
			break
		}
	}
	best.read = next - 1
	return best, nil
}

// snapshotRange returns the range of offsets that the stream retains, without reading a snapshot.
func (f *Follower) snapshotRange(ctx context.Context) (first, next uint64, err error) {
	// A read beyond the end of the stream returns no record, only the range.
	batch, err := f.read(ctx, platformlog.StreamSnapshots, beyondEnd, snapshotReadBytes, 0)
	if err != nil {
		return 0, 0, err
	}
	return batch.First, batch.Next, nil
}

// beyondEnd is an offset above that of any record.
const beyondEnd = 1 << 62

// decodeUsable returns the snapshot in a record; its offset is 0 if this build cannot decode it.
func (f *Follower) decodeUsable(r config.Record) newestSnapshot {
	offset, err := config.SnapshotOffset(r.Data)
	if err == nil {
		_, err = config.DecodeSnapshot(r.Data)
	}
	if err != nil {
		f.stats.unusable.Add(1)
		f.logger.WithFields(log.Fields{"record": r.Offset, "error": err}).Warn("snapshot in the log is not usable")
		return newestSnapshot{}
	}
	// If the clock of the log is ahead, a snapshot must not appear newer than it is.
	stored := time.UnixMilli(r.TimeMS)
	if now := time.Now(); stored.After(now) {
		stored = now
	}
	return newestSnapshot{offset: offset, time: stored, data: r.Data}
}

// restore installs the newest snapshot if it is above the sink's offset and the log retains every record after it.
// It returns true if the sink's offset advanced.
func (f *Follower) restore(ctx context.Context, logFirst uint64) bool {
	f.newest = newestSnapshot{}
	before := f.sink.Offset()
	found, err := f.findSnapshot(ctx, max(before+1, logFirst-min(logFirst, 1)))
	if err != nil {
		f.report(ctx, "cannot read snapshots from the log", log.Fields{"error": err})
		return false
	}
	data := found.data
	found.data = nil
	f.newest = found
	if found.offset <= before || found.offset+1 < logFirst {
		return false
	}
	f.sink.RestoreSnapshot(data)
	f.stats.restored.Add(1)
	f.logger.WithFields(log.Fields{"offset": found.offset, "before": before}).Info("restored snapshot")
	return f.sink.Offset() > before
}

// maintainSnapshot writes a snapshot if one is due, the delay of this follower's rank is over, and no other follower
// wrote one.
func (f *Follower) maintainSnapshot(ctx context.Context) {
	switch DecideSnapshot(f.snapshotStatus(), f.settings) {
	case SnapshotUpToDate:
		f.dueSince = time.Time{}
		return
	case SnapshotWait:
		if f.dueSince.IsZero() {
			f.dueSince = time.Now()
		}
		return
	}
	found, err := f.findSnapshot(ctx, 0)
	if err != nil {
		f.retryLater(ctx, err)
		return
	}
	found.data = nil
	f.newest = found
	if !due(f.snapshotStatus(), f.settings) {
		f.dueSince = time.Time{}
		return
	}
	if err := f.writeSnapshot(ctx); err != nil {
		f.retryLater(ctx, err)
	}
}

// snapshotStatus returns the current input of DecideSnapshot.
func (f *Follower) snapshotStatus() SnapshotStatus {
	return SnapshotStatus{
		Now:          time.Now(),
		Offset:       f.sink.Offset(),
		LogFirst:     f.logFirst,
		NewestOffset: f.newest.offset,
		NewestTime:   f.newest.time,
		DueSince:     f.dueSince,
		Rank:         f.rank(),
	}
}

// writeSnapshot appends the sink's encoded state to the log.
func (f *Follower) writeSnapshot(ctx context.Context) error {
	offset, data, err := f.sink.EncodeSnapshot()
	if err != nil {
		return err
	}
	at, err := f.log.Append(ctx, platformlog.StreamSnapshots, data)
	if err != nil {
		return err
	}
	f.stats.written.Add(1)
	f.logger.WithFields(log.Fields{"offset": offset, "bytes": len(data)}).Info("wrote snapshot")
	f.newest = newestSnapshot{read: at, offset: offset, time: time.Now()}
	f.dueSince = time.Time{}
	return nil
}

// retryLater schedules the next attempt to write a snapshot after RetryMax. If the append took effect but its response
// was lost, the next attempt finds the snapshot in the log.
func (f *Follower) retryLater(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.stats.failed.Add(1)
	f.logger.WithFields(log.Fields{"error": err}).Warn("snapshot was not written")
	f.dueSince = time.Now().Add(f.settings.RetryMax - time.Duration(f.rank())*f.settings.Stagger)
}
