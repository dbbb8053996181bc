package ownership

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"time"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/idempotency"
)

// ErrNoSuccessor means that records remain for which no other node is in the rank. The node stays eligible in its
// entry, so that a later joiner asks it for them.
var ErrNoSuccessor = errors.New("no other node takes the key records")

var errNotAccepted = errors.New("records not accepted")

// Leave hands every record to the next node in the rank of its key and then withdraws from the rank (rule R3). No key
// is started from its begin on. Keys that still run are handed over as running; their final answers follow, and
// Drained waits for them. If ctx ends first the node keeps its place, and Leave may be called again.
func (m *Manager) Leave(ctx context.Context) error {
	m.mu.Lock()
	if m.cancelJoin != nil {
		m.cancelJoin()
	}
	m.mu.Unlock()
	if err := m.takeTurn(ctx); err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	defer func() { <-m.turn }()
	if !m.startLeave() {
		return nil
	}
	orphans, err := m.handOverAll(ctx)
	if err != nil {
		return fmt.Errorf("hand over: %w", err)
	}
	if orphans == 0 {
		m.deps.UpdateSelf(func(e *endpoint.Entry) { e.Eligible = false })
	}
	m.mu.Lock()
	m.setPhase(phaseLeft)
	m.mu.Unlock()
	if orphans > 0 {
		return fmt.Errorf("%w: %d records", ErrNoSuccessor, orphans)
	}
	return nil
}

func (m *Manager) startLeave() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase == phaseIdle || m.phase == phaseLeft {
		return false
	}
	m.setPhase(phaseLeaving)
	m.counters.leaves.Add(1)
	return true
}

// handOverAll hands over all records and returns the number of those that have no successor.
func (m *Manager) handOverAll(ctx context.Context) (int, error) {
	orphans := 0
	cursor := uint64(0)
	// leaving are nodes that accept no records because they leave as well.
	leaving := make(map[string]bool)
	for {
		batches, none, next := m.nextBatches(cursor, leaving)
		failed := m.sendBatches(ctx, batches, leaving)
		if failed != nil {
			m.counters.callsFailed.Add(1)
			if err := pause(ctx, m.settings.RetryInterval); err != nil {
				return 0, errors.Join(err, failed)
			}
			continue
		}
		orphans += none
		if next == 0 {
			return orphans, nil
		}
		cursor = next
	}
}

// nextBatches groups one page of records by the next node in rank.
func (m *Manager) nextBatches(cursor uint64, leaving map[string]bool) (map[string]*batch, int, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	page := idempotency.Page{Records: m.settings.PageRecords, Bytes: m.settings.PageBytes}
	records, next := m.store.Export(now, cursor, page, false, func(string) bool { return true })
	batches := make(map[string]*batch)
	orphans := 0
	for _, rec := range records {
		to := m.next(rec.Key, func(node string) bool { return leaving[node] })
		if to == nil {
			orphans++
			continue
		}
		addTo(batches, to, toWire(rec, now))
	}
	return batches, orphans, next
}

func (m *Manager) sendBatches(ctx context.Context, batches map[string]*batch, leaving map[string]bool) error {
	var failed error
	for node, b := range batches {
		args := wire.HandOverArgs{Leaver: m.node, Service: m.service, Records: b.records}
		err := m.sendHandOver(ctx, b.to.Address, &args)
		var remote rpc.ServerError
		if errors.As(err, &remote) && remote.Error() == ErrNotMember.Error() {
			leaving[node] = true
		}
		if err != nil {
			failed = err
			continue
		}
		m.handedOver(b)
	}
	return failed
}

func (m *Manager) sendHandOver(ctx context.Context, address string, args *wire.HandOverArgs) error {
	var reply wire.HandOverReply
	if err := m.call(ctx, address, methodHandOver, args, &reply); err != nil {
		return err
	}
	if !reply.Accepted {
		return errNotAccepted
	}
	return nil
}

// handedOver notes that a node has custody of records. The end of a run that came during the call is sent at once,
// later ones when they come.
func (m *Manager) handedOver(b *batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	m.counters.recordsOut.Add(int64(len(b.records)))
	for i := range b.records {
		sent := &b.records[i]
		m.store.MarkMoved(sent.Key)
		if sent.State != wire.KeyRunning {
			continue
		}
		m.addHeir(sent.Key, b.to)
		rec, ok := m.store.Lookup(now, sent.Key)
		switch {
		case !ok:
			m.passOn(idempotency.Record{
				Key:      sent.Key,
				Digest:   sent.Digest,
				State:    idempotency.NotRun,
				Executor: sent.Executor,
			})
		case rec.State != idempotency.Running:
			m.passOn(rec)
		}
	}
}

// addHeir notes that a node was given the record of a running key. The caller holds the lock.
func (m *Manager) addHeir(key string, to endpoint.Entry) {
	if m.heirs[key] == nil {
		m.heirs[key] = make(map[string]endpoint.Entry)
	}
	m.heirs[key][to.Node] = to
}

// passOn sends the end of a run to the nodes that were given the record while it ran. The caller holds the lock.
func (m *Manager) passOn(rec idempotency.Record) {
	heirs := m.heirs[rec.Key]
	delete(m.heirs, rec.Key)
	for _, heir := range heirs {
		m.unfinished++
		go m.deliver(heir, rec)
	}
}

// deliver repeats the end of a run to a node until it is acknowledged. If the node has gone, the record belongs to
// the next one in rank.
func (m *Manager) deliver(heir endpoint.Entry, rec idempotency.Record) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.unfinished--
	}()
	ctx, cancel := context.WithTimeout(m.closed, m.settings.Rules.KeyRetention)
	defer cancel()
	for {
		args := wire.HandOverArgs{
			Leaver:  m.node,
			Service: heir.Service,
			Records: []wire.KeyRecord{toWire(rec, m.deps.Now())},
		}
		err := m.sendHandOver(ctx, heir.Address, &args)
		if err == nil {
			return
		}
		m.counters.callsFailed.Add(1)
		if pause(ctx, m.settings.RetryInterval) != nil {
			return
		}
		next, ok := m.currentHeir(heir, rec.Key)
		if !ok {
			return
		}
		heir = next
	}
}

// currentHeir returns the node to send the end of a run to, given the one that was given the running record.
func (m *Manager) currentHeir(heir endpoint.Entry, key string) (endpoint.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	e := m.entry(heir.Node)
	if e != nil && e.Incarnation == heir.Incarnation && e.State != endpoint.Left && e.State != endpoint.Dead {
		return *e, true
	}
	if m.hasPlace() {
		// This node keeps the record itself.
		return endpoint.Entry{}, false
	}
	next := m.next(key, func(string) bool { return false })
	if next == nil {
		return endpoint.Entry{}, false
	}
	return *next, true
}

// Drained waits until no key runs here and every final answer has reached the nodes that were given its record.
func (m *Manager) Drained(ctx context.Context) error {
	for {
		m.mu.Lock()
		unfinished := m.unfinished
		m.mu.Unlock()
		if unfinished == 0 {
			return nil
		}
		if err := pause(ctx, drainedInterval); err != nil {
			return fmt.Errorf("%d runs or final answers outstanding: %w", unfinished, err)
		}
	}
}

// drainedInterval is how often Drained looks.
const drainedInterval = 20 * time.Millisecond
