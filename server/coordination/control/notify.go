package control

import (
	"context"
	"sync"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/state/config"
)

// broadcast signals an event to all waiting goroutines.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

func (b *broadcast) init() { b.ch = make(chan struct{}) }

// wait returns a channel that is closed at the next event.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

func (b *broadcast) fire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}

// notifier calls the callbacks of a Loop on a goroutine of its own, so that a callback may call the Loop. Only the
// newest value of each kind is kept, except for snapshot installs and rejections.
type notifier struct {
	onRoles             func(fanout.Roles)
	onDeclaredDead      func()
	onAhead             func(fanout.Peer)
	onSnapshotInstalled func(SnapshotInstall)
	onSnapshotRejected  func(SnapshotRejection)
	onLag               func(Lag)
	onStoreEra          func(uint64)
	onKeyHistory        func(KeyHistoryChange)

	wake         chan struct{}
	mu           sync.Mutex
	roles        *fanout.Roles
	declaredDead bool
	ahead        *fanout.Peer
	installed    []SnapshotInstall
	rejected     []SnapshotRejection
	lag          *Lag
	storeEra     uint64
	keyHistory   *KeyHistoryChange
}

func (n *notifier) init() { n.wake = make(chan struct{}, 1) }

// post changes the pending notifications and wakes the notifier. It does not block.
func (n *notifier) post(change func()) {
	n.mu.Lock()
	change()
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *notifier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		}
		n.mu.Lock()
		roles, dead, ahead, installed, rejected, lag := n.roles, n.declaredDead, n.ahead, n.installed, n.rejected, n.lag
		n.roles, n.declaredDead, n.ahead, n.installed, n.rejected, n.lag = nil, false, nil, nil, nil, nil
		storeEra, keyHistory := n.storeEra, n.keyHistory
		n.storeEra, n.keyHistory = 0, nil
		n.mu.Unlock()
		for _, i := range installed {
			if n.onSnapshotInstalled != nil {
				n.onSnapshotInstalled(i)
			}
		}
		for _, r := range rejected {
			if n.onSnapshotRejected != nil {
				n.onSnapshotRejected(r)
			}
		}
		if dead && n.onDeclaredDead != nil {
			n.onDeclaredDead()
		}
		if roles != nil && n.onRoles != nil {
			n.onRoles(*roles)
		}
		if ahead != nil && n.onAhead != nil {
			n.onAhead(*ahead)
		}
		if lag != nil && n.onLag != nil {
			n.onLag(*lag)
		}
		if storeEra > 0 && n.onStoreEra != nil {
			n.onStoreEra(storeEra)
		}
		if keyHistory != nil && n.onKeyHistory != nil {
			n.onKeyHistory(*keyHistory)
		}
	}
}

// window holds the most recent records for children. It holds every record after the offset base.
type window struct {
	limit   int
	base    uint64
	bytes   int
	records []config.Record
}

func (w *window) add(r config.Record) {
	w.records = append(w.records, r)
	w.bytes += len(r.Data)
	for len(w.records) > w.limit || w.bytes > windowBytesMax {
		w.base = w.records[0].Offset
		w.bytes -= len(w.records[0].Data)
		w.records = w.records[1:]
	}
}

// reset empties the window after a snapshot at an offset was installed.
func (w *window) reset(offset uint64) {
	w.records = nil
	w.bytes = 0
	w.base = offset
}

// after returns records that follow an offset, limited in bytes; ok is false if the window does not reach back to it.
func (w *window) after(offset uint64) (records []config.Record, ok bool) {
	if offset < w.base {
		return nil, false
	}
	size := 0
	for _, r := range w.records {
		if r.Offset <= offset {
			continue
		}
		size += len(r.Data)
		if size > replyRecordBytes && len(records) > 0 {
			break
		}
		records = append(records, r)
	}
	return records, true
}
