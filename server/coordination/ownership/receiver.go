package ownership

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/idempotency"
)

// Receiver serves the net/rpc service wire.ServiceOwnership. Its methods are safe for concurrent use.
type Receiver struct {
	m *Manager
}

// Receiver returns the net/rpc receiver of the manager.
func (m *Manager) Receiver() *Receiver { return &Receiver{m} }

// Names of the methods of Receiver.
const (
	methodInquire  = wire.ServiceOwnership + ".Inquire"
	methodTakeOver = wire.ServiceOwnership + ".TakeOver"
	methodHandOver = wire.ServiceOwnership + ".HandOver"
)

// Errors that the receiver returns to other nodes, which see them as rpc.ServerError.
var (
	// ErrNotMember means that the node owns no keys, so it accepts no records.
	ErrNotMember = errors.New("not an owner of keys")
	// ErrStaleJoiner means that a newer incarnation of the joiner is known.
	ErrStaleJoiner = errors.New("joiner has a newer incarnation")
)

// Inquire returns the state of a key and fences the attempt if it has not arrived (rule R7).
func (r *Receiver) Inquire(args wire.InquireArgs, reply *wire.InquireReply) error {
	ctx, cancel := context.WithTimeout(r.m.closed, time.Duration(args.WaitMS)*time.Millisecond)
	defer cancel()
	joinDeadline := r.m.deps.Now().Add(r.m.settings.JoinWait)
	for {
		answer, wait := r.m.inquire(&args, joinDeadline)
		if wait == nil || !await(ctx, wait) {
			*reply = answer
			return nil
		}
	}
}

// inquire returns the reply to an inquiry. The reply is final if there is nothing to wait for.
func (m *Manager) inquire(args *wire.InquireArgs, joinDeadline time.Time) (wire.InquireReply, *deferredDecision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	m.counters.inquiries.Add(1)
	req := &wire.Request{Key: args.Key, KeyIssuedMS: IssueTime(args.Key, "")}
	if resp, wait, ok := m.respondFromRecord(now, req, args.Digest); ok {
		return m.inquireRecord(now, args.Key, resp), wait
	}
	v := m.store.Fence(now, idempotency.Attempt{Sender: args.From, ID: args.ID}, args.Key, args.Digest)
	if v.Kind != idempotency.Fenced {
		return unknownKey(outcome.ReasonRecordsFull), nil
	}
	resp, wait := m.checkOwnership(now, req, joinDeadline)
	switch {
	case wait != nil:
		return unknownKey(outcome.ReasonNotEligible), wait
	case resp == nil || resp.Reason == outcome.ReasonSelfFenced && resp.Outcome == outcome.RefusedNotRun:
		m.counters.fenced.Add(1)
		return wire.InquireReply{State: wire.KeyFenced, Response: refuse(outcome.ReasonFenced)}, nil
	case resp.Owner != nil:
		return wire.InquireReply{State: wire.KeyMoved, Owner: resp.Owner}, nil
	default:
		return unknownKey(resp.Reason), nil
	}
}

// inquireRecord converts the response to a repeated request into the reply to an inquiry.
func (m *Manager) inquireRecord(now time.Time, key string, resp *wire.Response) wire.InquireReply {
	switch {
	case resp == nil:
		return wire.InquireReply{State: wire.KeyRunning}
	case resp.Owner != nil:
		return wire.InquireReply{State: wire.KeyMoved, Owner: resp.Owner}
	case resp.Reason == outcome.ReasonKeyReused:
		return wire.InquireReply{State: wire.KeyFenced, Response: resp}
	}
	if rec, ok := m.store.Lookup(now, key); ok && rec.State == idempotency.Done {
		return wire.InquireReply{State: wire.KeyDone, Response: resp}
	}
	return wire.InquireReply{State: wire.KeyUnknown, Response: resp}
}

func unknownKey(reason outcome.Reason) wire.InquireReply {
	return wire.InquireReply{
		State:    wire.KeyUnknown,
		Response: &wire.Response{Outcome: outcome.Unknown, Reason: reason},
	}
}

// TakeOver acknowledges a joining node (rule R2). From the first page on, this node redirects the keys for which the
// joining node ranks above it. A repeated call returns the same records.
func (r *Receiver) TakeOver(args wire.TakeOverArgs, reply *wire.TakeOverReply) error {
	if args.Cursor == 0 {
		// Another joining node may learn the members from this node only.
		r.m.deps.MergeEntries([]endpoint.Entry{args.Joiner})
	}
	return r.m.takeOver(&args, reply)
}

func (m *Manager) takeOver(args *wire.TakeOverArgs, reply *wire.TakeOverReply) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	if self := m.entry(m.node); m.phase == phaseIdle && self != nil {
		// A target has announced itself here and Join has not started yet.
		m.setService(self.Service)
		m.observe()
	}
	reply.Members = m.knownMembers()
	if args.Joiner.Service != m.service || args.Joiner.Node == m.node {
		return nil
	}
	if err := m.admit(&args.Joiner, now); err != nil {
		return err
	}
	reply.Members = m.knownMembers()
	_, reply.KnewPrevious = m.lost[args.Joiner.Node]
	if args.Cursor == 0 {
		reply.Records = m.lostRecords(now)
	}
	// A node that left without a successor still holds records that it owns.
	all := !m.isRanked()
	page := idempotency.Page{Records: m.settings.PageRecords, Bytes: m.settings.PageBytes}
	records, cursor := m.store.Export(now, args.Cursor, page, true, func(key string) bool {
		return all || outranks(key, args.Joiner.Node, m.node)
	})
	for _, rec := range records {
		reply.Records = append(reply.Records, toWire(rec, now))
		if rec.State == idempotency.Running {
			m.addRecipient(rec.Key, args.Joiner)
		}
	}
	reply.Cursor = cursor
	m.counters.recordsOut.Add(int64(len(records)))
	return nil
}

// admit adds a joining node to the ranking. This must happen before any record is exported, so that no key that the node
// owns from now on starts here.
func (m *Manager) admit(joiner *endpoint.Entry, now time.Time) error {
	known := m.entry(joiner.Node)
	if known != nil && known.Incarnation > joiner.Incarnation {
		return ErrStaleJoiner
	}
	before := m.seen[joiner.Node]
	g, isPending := m.pendingJoiners[joiner.Node]
	if before.mayOwn && before.incarnation < joiner.Incarnation ||
		isPending && g.entry.Incarnation < joiner.Incarnation {
		m.markLost(joiner.Node, now.UnixMilli(), now)
	}
	if known == nil || known.State == endpoint.Dead || !superseded(joiner, known) {
		m.pendingJoiners[joiner.Node] = pendingJoiner{entry: *joiner, since: now}
	}
	return nil
}

// knownMembers returns the members of the service that this node knows, itself first.
func (m *Manager) knownMembers() []endpoint.Entry {
	var out []endpoint.Entry
	if m.view != nil && m.view.Nodes[m.node] != nil {
		self := *m.view.Nodes[m.node]
		self.Eligible = m.phase == phaseEligible || (self.Eligible && m.phase != phaseIdle)
		out = append(out, self)
	}
	for _, e := range m.members {
		out = append(out, *m.entry(e.Node))
	}
	for node, g := range m.pendingJoiners {
		if !contains(m.members, node) {
			out = append(out, g.entry)
		}
	}
	return out
}

// HandOver accepts records of a leaving node (rule R3) and the results of keys whose records were transferred while they
// ran. Duplicates have no effect. Records that a node of higher rank owns are forwarded to it before they are
// acknowledged.
func (r *Receiver) HandOver(args wire.HandOverArgs, reply *wire.HandOverReply) error {
	m := r.m
	accepted, forward, err := m.accept(&args)
	if err != nil || !accepted {
		return err
	}
	for owner, batch := range forward {
		next := wire.HandOverArgs{Leaver: args.Leaver, Service: args.Service, Records: batch.records}
		if err := m.sendHandOver(m.closed, batch.to.Address, &next); err != nil {
			return fmt.Errorf("pass records on to %s: %w", owner, err)
		}
		m.recordHandOver(batch)
	}
	reply.Accepted = true
	return nil
}

// batch is a group of records for one node.
type batch struct {
	to      endpoint.Entry
	records []wire.KeyRecord
}

// accept imports records. It returns those that have to be forwarded, by node.
func (m *Manager) accept(args *wire.HandOverArgs) (bool, map[string]*batch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	forward := make(map[string]*batch)
	for i := range args.Records {
		rec := m.importedRecord(&args.Records[i], now)
		existing, known := m.store.Lookup(now, rec.Key)
		running := known && existing.State == idempotency.Running
		if !running && (!m.isRanked() || args.Service != m.service) {
			// Only the result of a run is accepted, to forward it. Any other record has to go to an owner, even if there
			// is a copy here.
			return false, nil, ErrNotMember
		}
		if rec.State == idempotency.NotRun && !known && m.phase == phaseJoining {
			// The running record may still arrive in a reply to TakeOver.
			return false, nil, nil
		}
		if !m.importRecord(now, rec) {
			return false, nil, nil
		}
		skip := func(node string) bool { return node == args.Leaver }
		if next := m.next(rec.Key, skip); next != nil && m.isRanked() && outranks(rec.Key, next.Node, m.node) {
			addTo(forward, next, args.Records[i])
		}
	}
	return true, forward, nil
}

func addTo(batches map[string]*batch, to *endpoint.Entry, rec wire.KeyRecord) {
	b, ok := batches[to.Node]
	if !ok {
		b = &batch{to: *to}
		batches[to.Node] = b
	}
	b.records = append(b.records, rec)
}

// importedRecord converts a record from another node. A run of an earlier incarnation of this node never ends, so its
// outcome is unknown.
func (m *Manager) importedRecord(r *wire.KeyRecord, now time.Time) idempotency.Record {
	rec := fromWire(r, now)
	if rec.State == idempotency.Running && rec.Executor == m.node {
		if _, ok := m.store.Lookup(now, rec.Key); !ok {
			rec.State = idempotency.Unknown
			rec.Reason = string(outcome.ReasonOwnerDied)
			rec.Expires = now.Add(m.rules.KeyRetention)
		}
	}
	return rec
}

// importRecord merges a record. If it holds the result of a run, the waiting requests and the nodes that received the
// record are notified.
func (m *Manager) importRecord(now time.Time, rec idempotency.Record) bool {
	if !m.store.Import(now, rec) {
		m.counters.importsRefused.Add(1)
		return false
	}
	m.counters.recordsIn.Add(1)
	if rec.State != idempotency.Running {
		m.notifyWaiters(rec.Key)
		m.forwardResult(rec)
	}
	return true
}

// outranks reports whether node a ranks above node b for a key.
func outranks(key, a, b string) bool {
	wa, wb := Weight(key, a), Weight(key, b)
	return wa > wb || (wa == wb && a < b)
}
