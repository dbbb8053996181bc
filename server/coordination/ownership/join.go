package ownership

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
)

// Errors of Join.
var (
	// ErrNoService means that no target has announced itself, so there is no service to join.
	ErrNoService = errors.New("no target has announced itself")
	errRestarted = errors.New("member restarted during the transfer")
	errNoEntry   = errors.New("member does not know its own entry")
	errNoRoom    = errors.New("no room for the records of a member")
)

// joining is the state of one Join.
type joining struct {
	self endpoint.Entry
	// answered holds the acknowledgements by node.
	answered map[string]acknowledgement
	// discovered holds the members that replies named, by node.
	discovered map[string]endpoint.Entry
}

// acknowledgement is the reply of one member to the join.
type acknowledgement struct {
	incarnation int64
	// responsible is true if the member owned keys before this node joined.
	responsible bool
	// inherited holds the nodes whose records were lost before the member itself joined.
	inherited map[string]bool
}

// Join transfers the records for which this node is going to rank first from every member of its service, and then
// makes the node eligible (rule R2). A node without contact (rule R6) does not become eligible. Join repeats calls
// until every member has answered or is declared dead, or until ctx ends or Leave is called. It must be called when the
// target announces itself and after DeclaredDead.
func (m *Manager) Join(ctx context.Context) error {
	if err := m.acquireTransfer(ctx); err != nil {
		return fmt.Errorf("join: %w", err)
	}
	defer func() { <-m.transferLock }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j, err := m.startJoin(cancel)
	if err != nil || j == nil {
		return err
	}
	for {
		missing := m.missing(j)
		// Without contact the known members may be out of date.
		if len(missing) == 0 && m.MayStart() {
			break
		}
		if failed := m.askAll(ctx, j, missing); failed == nil && len(missing) > 0 {
			continue
		}
		if err := pause(ctx, m.settings.RetryInterval); err != nil {
			return fmt.Errorf("join: %w", err)
		}
	}
	m.completeJoin(ctx, j)
	return nil
}

// startJoin enters the joining phase. It returns nil if the node is eligible already.
func (m *Manager) startJoin(cancel context.CancelFunc) (*joining, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelJoin = cancel
	v := m.deps.View()
	if v == nil || v.Nodes[m.node] == nil || v.Nodes[m.node].Service == "" {
		return nil, ErrNoService
	}
	if m.phase == phaseEligible {
		return nil, nil
	}
	m.setService(v.Nodes[m.node].Service)
	m.observe()
	m.setPhase(phaseJoining)
	m.counters.joins.Add(1)
	return &joining{
		self:       *v.Nodes[m.node],
		answered:   make(map[string]acknowledgement),
		discovered: make(map[string]endpoint.Entry),
	}, nil
}

// setService selects the service whose members this node observes. The caller holds the lock.
func (m *Manager) setService(service string) {
	if m.service == service {
		return
	}
	m.service = service
	clear(m.pendingJoiners)
	clear(m.seen)
	clear(m.inherited)
	maps.DeleteFunc(m.lost, func(node string, _ lostNode) bool { return node != m.node })
	m.view = nil
}

// missing returns the members that have not acknowledged under their current incarnation.
func (m *Manager) missing(j *joining) []endpoint.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	var out []endpoint.Entry
	consider := func(e *endpoint.Entry) {
		a, ok := j.answered[e.Node]
		if e.Node != m.node && !(ok && a.incarnation >= e.Incarnation) && mustAcknowledge(e) {
			out = append(out, *e)
		}
	}
	for _, e := range m.members {
		known := *e
		if l, ok := j.discovered[e.Node]; ok && older(e, &l) {
			known = l
		}
		consider(&known)
	}
	for node, e := range j.discovered {
		if contains(m.members, node) {
			continue
		}
		if current := m.view.Nodes[node]; current != nil && !older(current, &e) {
			// The node has left the service.
			continue
		}
		if e.State == endpoint.Dead && e.Service == j.self.Service {
			m.markLost(node, e.DiedMS, now)
		}
		consider(&e)
	}
	return out
}

// mustAcknowledge reports whether a joining node has to wait for a member.
func mustAcknowledge(e *endpoint.Entry) bool {
	switch e.State {
	case endpoint.Alive, endpoint.Draining, endpoint.Suspect:
		return true
	case endpoint.NoTarget:
		return e.Eligible
	default:
		return false
	}
}

// askAll calls every missing member once and returns the last error.
func (m *Manager) askAll(ctx context.Context, j *joining, missing []endpoint.Entry) error {
	var failed error
	for i := range missing {
		if err := m.ask(ctx, j, &missing[i]); err != nil {
			m.counters.callsFailed.Add(1)
			failed = err
		}
	}
	return failed
}

// ask transfers the records of one member, page by page.
func (m *Manager) ask(ctx context.Context, j *joining, member *endpoint.Entry) error {
	ack := acknowledgement{incarnation: member.Incarnation, inherited: make(map[string]bool)}
	previous, first := false, true
	for cursor := uint64(0); first || cursor > 0; first = false {
		var reply wire.TakeOverReply
		args := wire.TakeOverArgs{Joiner: j.self, Cursor: cursor}
		if err := m.call(ctx, member.Address, methodTakeOver, &args, &reply); err != nil {
			return fmt.Errorf("take over from %s: %w", member.Node, err)
		}
		if err := m.mergeReply(j, &ack, member, &reply, first); err != nil {
			return err
		}
		previous = previous || reply.KnewPrevious
		cursor = reply.Cursor
	}
	j.answered[member.Node] = ack
	if previous {
		m.markPreviousLost()
	}
	return nil
}

// mergeReply processes one page of a member's reply.
func (m *Manager) mergeReply(j *joining, ack *acknowledgement, member *endpoint.Entry, reply *wire.TakeOverReply, first bool) error {
	m.deps.MergeEntries(reply.Members)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.observe()
	for _, e := range reply.Members {
		known, ok := j.discovered[e.Node]
		if e.Node != m.node && (!ok || older(&known, &e)) {
			j.discovered[e.Node] = e
		}
		if e.Node == m.node || e.Service != m.service || !Ranks(&e) || e.State == endpoint.Dead {
			continue
		}
		if known := m.entry(e.Node); known == nil || older(known, &e) {
			m.pendingJoiners[e.Node] = pendingJoiner{entry: e, since: now}
		}
	}
	if err := m.checkIncarnation(ack, member, reply.Members, first); err != nil {
		return err
	}
	return m.importPage(ack, reply.Records, now)
}

// checkIncarnation determines which incarnation of a member replied. A later one than the one that was called does not
// have the records of the earlier one.
func (m *Manager) checkIncarnation(ack *acknowledgement, member *endpoint.Entry, members []endpoint.Entry, first bool) error {
	for _, e := range members {
		if e.Node != member.Node {
			continue
		}
		if e.Incarnation > ack.incarnation {
			if !first {
				return errRestarted
			}
			if mayOwn(member) {
				now := m.deps.Now()
				m.markLost(member.Node, now.UnixMilli(), now)
			}
			ack.incarnation = e.Incarnation
		}
		ack.responsible = e.Eligible
		return nil
	}
	return errNoEntry
}

func (m *Manager) importPage(ack *acknowledgement, records []wire.KeyRecord, now time.Time) error {
	for i := range records {
		r := &records[i]
		if r.Key == "" {
			if r.State == wire.KeyMoved {
				ack.inherited[r.Executor] = true
			}
			if r.Executor != m.node {
				died := now.Add(time.Duration(r.ExpiresInMS)*time.Millisecond - m.rules.KeyRetention)
				m.markLost(r.Executor, died.UnixMilli(), now)
			}
			continue
		}
		if !m.importRecord(now, m.importedRecord(r, now)) {
			return errNoRoom
		}
	}
	return nil
}

// completeJoin makes the node eligible. The entry is published first, so that no key can start here before the entry of
// this node shows it as eligible.
func (m *Manager) completeJoin(ctx context.Context, j *joining) {
	if len(j.answered) == 0 {
		if seen, err := m.deps.SeenBefore(ctx); seen || err != nil {
			m.markPreviousLost()
		}
	}
	m.mu.Lock()
	m.observe()
	for node, l := range m.lost {
		if node == m.node {
			continue
		}
		l.Older = j.responsibleBefore(node)
		m.inherited[node] = l
	}
	_, unclean := m.lost[m.node]
	m.mu.Unlock()
	m.deps.UpdateSelf(func(e *endpoint.Entry) {
		e.Eligible = true
		e.Unclean = unclean
	})
	m.mu.Lock()
	m.setPhase(phaseEligible)
	m.mu.Unlock()
}

// markPreviousLost records that an earlier incarnation of this node ended without transferring its records (rule R5).
// Other joining nodes must learn of it at once, because the member that reported it may end too.
func (m *Manager) markPreviousLost() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.markLost(m.node, m.started.UnixMilli(), m.observe())
}

// responsibleBefore returns the members that owned keys before the records of a node were lost.
func (j *joining) responsibleBefore(lost string) []string {
	var out []string
	for node, a := range j.answered {
		if a.responsible && !a.inherited[lost] && node != lost {
			out = append(out, node)
		}
	}
	return out
}

// call calls a method of another node within the call timeout.
func (m *Manager) call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, m.settings.CallTimeout)
	defer cancel()
	return m.deps.Call(ctx, address, method, args, reply)
}

// pause waits for a duration. It returns the error of ctx if that ends first.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
