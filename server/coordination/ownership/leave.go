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

// ErrNoSuccessor means that records remain for which there is no other owner. The node stays eligible in its entry, so
// that a node that joins later requests them.
var ErrNoSuccessor = errors.New("no other node takes the key records")

var errNotAccepted = errors.New("records not accepted")

// Leave transfers every record to the node that ranks next for its key and then ends the node's eligibility (rule R3). No
// key is started once it has begun. Keys that still run are transferred as running; their results follow, and Drained
// waits for them. If ctx ends first, the node stays eligible, and Leave may be called again.
func (m *Manager) Leave(ctx context.Context) error {
	m.mu.Lock()
	if m.cancelJoin != nil {
		m.cancelJoin()
	}
	m.mu.Unlock()
	if err := m.acquireTransfer(ctx); err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	defer func() { <-m.transferLock }()
	if !m.startLeave() {
		return nil
	}
	unassigned, err := m.handOverAll(ctx)
	if err != nil {
		return fmt.Errorf("hand over: %w", err)
	}
	if unassigned == 0 {
		m.deps.UpdateSelf(func(e *endpoint.Entry) { e.Eligible = false })
	}
	m.mu.Lock()
	m.setPhase(phaseLeft)
	m.mu.Unlock()
	if unassigned > 0 {
		return fmt.Errorf("%w: %d records", ErrNoSuccessor, unassigned)
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

// handOverAll transfers all records and returns the number of those for which there is no other owner.
func (m *Manager) handOverAll(ctx context.Context) (int, error) {
	unassigned := 0
	cursor := uint64(0)
	// leaving holds the nodes that accept no records because they leave as well.
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
		unassigned += none
		if next == 0 {
			return unassigned, nil
		}
		cursor = next
	}
}

// nextBatches groups one page of records by the node that ranks next for them.
func (m *Manager) nextBatches(cursor uint64, leaving map[string]bool) (map[string]*batch, int, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	page := idempotency.Page{Records: m.settings.PageRecords, Bytes: m.settings.PageBytes}
	records, next := m.store.Export(now, cursor, page, false, func(string) bool { return true })
	batches := make(map[string]*batch)
	unassigned := 0
	for _, rec := range records {
		to := m.next(rec.Key, func(node string) bool { return leaving[node] })
		if to == nil {
			unassigned++
			continue
		}
		addTo(batches, to, toWire(rec, now))
	}
	return batches, unassigned, next
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
		m.recordHandOver(b)
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

// recordHandOver records that a node is responsible for records now. The result of a run that ended during the call is
// sent at once, that of a later one when it ends.
func (m *Manager) recordHandOver(b *batch) {
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
		m.addRecipient(sent.Key, b.to)
		rec, ok := m.store.Lookup(now, sent.Key)
		switch {
		case !ok:
			m.forwardResult(idempotency.Record{
				Key:      sent.Key,
				Digest:   sent.Digest,
				State:    idempotency.NotRun,
				Executor: sent.Executor,
			})
		case rec.State != idempotency.Running:
			m.forwardResult(rec)
		}
	}
}

// addRecipient records that a node received the record of a running key. The caller holds the lock.
func (m *Manager) addRecipient(key string, to endpoint.Entry) {
	if m.recipients[key] == nil {
		m.recipients[key] = make(map[string]endpoint.Entry)
	}
	m.recipients[key][to.Node] = to
}

// forwardResult sends the result of a run to the nodes that received its record while it ran. The caller holds the lock.
func (m *Manager) forwardResult(rec idempotency.Record) {
	recipients := m.recipients[rec.Key]
	delete(m.recipients, rec.Key)
	for _, recipient := range recipients {
		m.unfinished++
		go m.deliver(recipient, rec)
	}
}

// deliver sends the result of a run to a node until that acknowledges it. If the node is gone, the result goes to the next
// owner.
func (m *Manager) deliver(recipient endpoint.Entry, rec idempotency.Record) {
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
			Service: recipient.Service,
			Records: []wire.KeyRecord{toWire(rec, m.deps.Now())},
		}
		err := m.sendHandOver(ctx, recipient.Address, &args)
		if err == nil {
			return
		}
		m.counters.callsFailed.Add(1)
		if pause(ctx, m.settings.RetryInterval) != nil {
			return
		}
		next, ok := m.currentRecipient(recipient, rec.Key)
		if !ok {
			return
		}
		recipient = next
	}
}

// currentRecipient returns the node to which the result of a run is sent, given the one that received the running record.
func (m *Manager) currentRecipient(recipient endpoint.Entry, key string) (endpoint.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe()
	e := m.entry(recipient.Node)
	if e != nil && e.Incarnation == recipient.Incarnation && e.State != endpoint.Left && e.State != endpoint.Dead {
		return *e, true
	}
	if m.isRanked() {
		// This node keeps the record itself.
		return endpoint.Entry{}, false
	}
	next := m.next(key, func(string) bool { return false })
	if next == nil {
		return endpoint.Entry{}, false
	}
	return *next, true
}

// Drained waits until no key runs here and every result has reached the nodes that received its record.
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

// drainedInterval is the interval at which Drained checks.
const drainedInterval = 20 * time.Millisecond
