package rollout

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/firstread"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

const (
	methodReport = wire.ServiceRollout + ".Report"
	// tickBusy is the interval of decisions while an order is not decided, tickIdle that of looking for orders.
	tickBusy = 50 * time.Millisecond
	tickIdle = 250 * time.Millisecond
	// callTimeout limits a report and a call to the store. Both answer within some tenths of a second.
	callTimeout = time.Second
	// listAge is the age of the last reply at which a node reads the records itself, and the interval between two reads.
	// listPerNode limits the reads of all nodes together.
	listAge     = time.Second
	listPerNode = 5 * time.Millisecond
	// takeoverWait is how long the record of another decider has to stay unchanged before it is replaced. A decider that
	// works writes it every saveInterval.
	takeoverWait = 2500 * time.Millisecond
	saveInterval = time.Second
	// takeoverRead is the interval of reading the record of another decider.
	takeoverRead = 400 * time.Millisecond
)

// Dependencies are the functions of the node that a Manager calls.
type Dependencies struct {
	Node    string
	Process int64
	View    func() *view.View
	Call    func(ctx context.Context, address, method string, args, reply any) error
	Store   Store
	Random  func() uint64
	Log     log.Interface
}

// Manager applies the orders of the configuration in force at one node, and decides about those of which the node is the
// decider. It is safe for concurrent use.
type Manager struct {
	settings Settings
	deps     Dependencies
	senders  atomic.Pointer[map[string]*Sender]
	counters Counters

	mu     sync.Mutex
	duties map[string]*duty
	// records are those of the store when it was last read.
	records map[string]Record
	listed  time.Time
	listing bool
	// due is when the next report of a service is sent, absent while one is under way.
	reports map[string]*reporting
	era     uint64
	// confirmed is the era of the store for which the decider knows the final state.
	confirmed map[string]uint64
	logged    map[string]wire.RolloutState
	// unknown are the positions of the orders for services that the configuration does not name.
	unknown map[string]uint64
	work    sync.WaitGroup
}

// reporting is the state of the reports about one service.
type reporting struct {
	busy bool
	last time.Time
}

// Counters count since the start of the process.
type Counters struct {
	reports, reportsFailed, reportsTaken, toNew, toOld, fallbacks, storeWrites, storeFailed, completed, rolledBack atomic.Int64
}

// Values returns the counters by name.
func (c *Counters) Values() map[string]int64 {
	return map[string]int64{
		"Reports": c.reports.Load(), "ReportsFailed": c.reportsFailed.Load(), "ReportsTaken": c.reportsTaken.Load(),
		"RequestsToNew": c.toNew.Load(), "RequestsToOld": c.toOld.Load(), "Fallbacks": c.fallbacks.Load(),
		"StoreWrites": c.storeWrites.Load(), "StoreFailed": c.storeFailed.Load(),
		"Completed": c.completed.Load(), "RolledBack": c.rolledBack.Load(),
	}
}

// NewManager returns a manager.
func NewManager(s Settings, d Dependencies) *Manager {
	m := &Manager{
		settings: s, deps: d, duties: make(map[string]*duty), records: make(map[string]Record),
		reports: make(map[string]*reporting), confirmed: make(map[string]uint64), logged: make(map[string]wire.RolloutState),
		unknown: make(map[string]uint64),
	}
	m.senders.Store(&map[string]*Sender{})
	return m
}

// Counters returns the totals.
func (m *Manager) Counters() map[string]int64 { return m.counters.Values() }

// orderOf returns the order for a service of a view; nil if there is none.
func orderOf(v *view.View, service string) *config.Rollout {
	for i := range v.Content.Rollouts {
		if v.Content.Rollouts[i].Service == service {
			return &v.Content.Rollouts[i]
		}
	}
	return nil
}

// Begin chooses the version for a request; nil if the service has no order.
func (m *Manager) Begin(v *view.View, service string, kind uint32, now time.Time) *Pick {
	if len(v.Content.Rollouts) == 0 {
		return nil
	}
	order := orderOf(v, service)
	if order == nil {
		return nil
	}
	p := m.sender(order).Begin(now, kind)
	if p.newer {
		m.counters.toNew.Add(1)
	} else {
		m.counters.toOld.Add(1)
	}
	return p
}

// Preview returns the choice that Begin would make, without counting it or taking the order over.
func (m *Manager) Preview(v *view.View, service string, kind uint32, now time.Time) *Pick {
	order := orderOf(v, service)
	if order == nil {
		return nil
	}
	m.mu.Lock()
	s := (*m.senders.Load())[service]
	if s == nil || !m.keeps(s, order) {
		// Without news of the decider, the position makes no difference.
		s = m.newSender(order, s, 0)
	}
	m.mu.Unlock()
	return s.Preview(now, kind)
}

// RecordFallback counts a request that was moved to the old version because the new one had no usable target.
func (m *Manager) RecordFallback() { m.counters.fallbacks.Add(1) }

// sender returns the sender of an order.
func (m *Manager) sender(o *config.Rollout) *Sender {
	if s := (*m.senders.Load())[o.Service]; s != nil && s.Order() == *o {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.senderLocked(o)
}

func (m *Manager) senderLocked(o *config.Rollout) *Sender {
	current := (*m.senders.Load())[o.Service]
	if current != nil && m.keeps(current, o) {
		if had := current.Order(); !m.isOlder(o, &had) {
			current.Repeat(*o)
		}
		return current
	}
	s := m.newSender(o, current, float64(m.deps.Random()>>11)/(1<<53))
	next := maps.Clone(*m.senders.Load())
	next[o.Service] = s
	m.senders.Store(&next)
	delete(m.confirmed, o.Service)
	delete(m.logged, o.Service)
	return s
}

// newSender returns the sender of an order that follows the one of current, which is nil if there was none.
func (m *Manager) newSender(o *config.Rollout, current *Sender, position float64) *Sender {
	base := Base{}
	if current != nil {
		base = current.BaseAfter()
	}
	s := NewSender(*o, base, position)
	if r, known := m.records[o.Service]; known {
		s.HandleRecord(&r)
	}
	return s
}

// keeps reports whether the sender that is applied remains the one for an order.
func (m *Manager) keeps(current *Sender, o *config.Rollout) bool {
	had := current.Order()
	return had == *o || m.isOlder(o, &had) || sameOrder(&had, o, current.State())
}

// isOlder reports whether an order comes from a view that was in force before the one of the order that is applied.
func (m *Manager) isOlder(o, applied *config.Rollout) bool { return o.Position < applied.Position }

// sameOrder reports whether an order that is not decided was repeated, or one was found at another position of a restored
// store.
func sameOrder(had, o *config.Rollout, state wire.RolloutState) bool {
	if had.TargetVersion != o.TargetVersion {
		return false
	}
	return !state.Final() || (config.Position(had.Position).Era() != config.Position(o.Position).Era() && had.Duration == o.Duration)
}

// Restore reads the records of the store, however long it takes, so that a node that starts knows the versions that serve.
func (m *Manager) Restore(ctx context.Context) {
	records, ok := firstread.Until(ctx, m.list, func(err error) {
		m.deps.Log.WithError(err).WithField("event", "rollouts_not_restored").Warn("rollout records not read from the store yet")
	})
	if ok {
		m.takeRecords(records)
	}
}

func (m *Manager) list(ctx context.Context) ([]Record, error) {
	records, _, err := m.deps.Store.List(ctx)
	if err != nil {
		m.counters.storeFailed.Add(1)
	}
	return records, err
}

// refresh reads the records once.
func (m *Manager) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if records, err := m.list(ctx); err == nil {
		m.takeRecords(records)
	}
}

func (m *Manager) takeRecords(records []Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range records {
		// A read that took long may return after a later one.
		if known, ok := m.records[r.Service]; ok && known.isLaterThan(&r) {
			continue
		}
		m.records[r.Service] = r
		if s := (*m.senders.Load())[r.Service]; s != nil {
			s.HandleRecord(&r)
		}
	}
}

// Run applies and decides orders until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	defer m.work.Wait()
	for {
		wait := tickIdle
		if m.tick(ctx, time.Now()) {
			wait = tickBusy
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// tick starts what is due, and reports whether an order is not decided.
func (m *Manager) tick(ctx context.Context, now time.Time) (busy bool) {
	v := m.deps.View()
	if v == nil || v.Version == 0 || len(v.Content.Rollouts) == 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	era := config.Position(v.Offset).Era()
	if era > m.era {
		m.eraChanged(era)
	}
	for i := range v.Content.Rollouts {
		o := &v.Content.Rollouts[i]
		if _, known := v.ByService[o.Service]; !known {
			m.logUnknownService(o)
			continue
		}
		s := m.senderLocked(o)
		m.logFinal(s, o)
		decider := DeciderOf(o.Service, v.Nodes)
		busy = m.runDuty(ctx, v, o, decider == m.deps.Node, now) || busy
		if s.State().Final() && m.confirmed[o.Service] == m.era+1 {
			continue
		}
		busy = busy || !s.State().Final()
		m.reportIfDue(ctx, v, s, decider, now)
		m.listIfDue(ctx, s, len(v.Nodes), now)
	}
	return busy
}

// eraChanged makes the deciders write all records again after the store was restored from a copy, and all nodes state the
// final states that they know.
func (m *Manager) eraChanged(era uint64) {
	if m.era != 0 || len(m.duties) > 0 {
		m.deps.Log.WithFields(log.Fields{"event": "rollout_store_restored", "era": era}).Info("rollout records are written again")
	}
	m.era = era
	clear(m.confirmed)
	for _, d := range m.duties {
		d.forgetStore()
	}
}

// logUnknownService writes one line for an order that nobody can carry out.
func (m *Manager) logUnknownService(o *config.Rollout) {
	if m.unknown[o.Service] == o.Position {
		return
	}
	m.unknown[o.Service] = o.Position
	m.deps.Log.WithFields(log.Fields{
		"event": "rollout_order", "service": o.Service, "target_version": o.TargetVersion, "order": o.Position,
	}).Warn("order for an unknown service; ignored")
}

// logFinal writes one line for the final state of an order at this node.
func (m *Manager) logFinal(s *Sender, o *config.Rollout) {
	state := s.State()
	if m.logged[o.Service] == state {
		return
	}
	m.logged[o.Service] = state
	m.deps.Log.WithFields(log.Fields{
		"event": "rollout_state", "service": o.Service, "target_version": o.TargetVersion, "order": o.Position, "state": state.String(),
	}).Info("state of a rollout at this node")
}

func (m *Manager) reportIfDue(ctx context.Context, v *view.View, s *Sender, decider string, now time.Time) {
	service := s.Order().Service
	r := m.reports[service]
	if r == nil {
		r = &reporting{}
		m.reports[service] = r
	}
	if r.busy || now.Sub(r.last) < reportInterval(len(v.Nodes), m.settings) {
		return
	}
	to := v.Nodes[decider]
	if to == nil {
		return
	}
	r.busy, r.last = true, now
	m.counters.reports.Add(1)
	report := s.Report(now, m.deps.Node, m.deps.Process)
	m.work.Go(func() { m.report(ctx, s, report, to, now, r) })
}

// report sends a report and applies the reply.
func (m *Manager) report(ctx context.Context, s *Sender, report *wire.RolloutReport, to *endpoint.Entry, sent time.Time, r *reporting) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := new(wire.RolloutReply)
	var err error
	if to.Node == m.deps.Node {
		*reply = m.HandleReport(report)
	} else {
		err = m.deps.Call(ctx, to.Address, methodReport, report, reply)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r.busy = false
	if err != nil {
		// reply must not be read: a late response may still be decoded into it.
		m.counters.reportsFailed.Add(1)
		return
	}
	s.HandleReply(sent, report.Batch, reply)
	if reply.State.Final() {
		m.confirmed[report.Service] = m.era + 1
	}
}

// listIfDue reads the records if the decider has not replied for some time: it may be unreachable from here, and the order
// decided.
func (m *Manager) listIfDue(ctx context.Context, s *Sender, nodes int, now time.Time) {
	interval := max(listAge, time.Duration(nodes)*listPerNode)
	if m.listing || s.State().Final() || s.NewsAge(now) < listAge || now.Sub(m.listed) < interval {
		return
	}
	m.listing, m.listed = true, now
	m.work.Go(func() {
		m.refresh(ctx)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.listing = false
	})
}

// HandleReport answers the report of a node.
func (m *Manager) HandleReport(r *wire.RolloutReport) wire.RolloutReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.reportsTaken.Add(1)
	d := m.duties[r.Service]
	if d == nil || d.decider == nil || d.decider.record.Order != r.Order {
		return wire.RolloutReply{}
	}
	now := time.Now()
	d.decider.HandleReport(now, r)
	return d.decider.Answer(r.Node, now)
}

// Receiver is the receiver of the net/rpc service.
type Receiver struct{ manager *Manager }

// Receiver returns the receiver for wire.ServiceRollout.
func (m *Manager) Receiver() *Receiver { return &Receiver{manager: m} }

// Report takes the report of a node.
func (r *Receiver) Report(args *wire.RolloutReport, reply *wire.RolloutReply) error {
	*reply = r.manager.HandleReport(args)
	return nil
}

// ServiceState is the dumped state of one order.
type ServiceState struct {
	Target, State, Stage string
	Order                uint64
	Share                float64
	NewsAgeMS            int64
	SentNew, Total       uint64
	OldInFlight          uint64
	// Decides is the record of the order if this node decides.
	Decides *Record `json:",omitempty"`
}

// Dump returns the state of all orders by service.
func (m *Manager) Dump() map[string]ServiceState {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := make(map[string]ServiceState)
	for service, s := range *m.senders.Load() {
		state := s.dump(time.Now())
		if d := m.duties[service]; d != nil && d.decider != nil {
			r := d.decider.Record()
			state.Decides = &r
		}
		result[service] = state
	}
	return result
}
