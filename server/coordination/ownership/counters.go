package ownership

import (
	"sort"
	"sync/atomic"
	"time"

	"wagtailford.example/server/state/idempotency"
)

type counters struct {
	started, replayed, waited, redirected         atomic.Int64
	notEligible, ownerDied, selfFenced            atomic.Int64
	refusedFenced, refusedFull, fenced, inquiries atomic.Int64
	joins, leaves, recordsIn, recordsOut          atomic.Int64
	importsRefused, callsFailed                   atomic.Int64
}

// CounterValues counts decisions, records and calls since the process started.
type CounterValues struct {
	// Started counts requests that were run, Replayed those answered from a record, Waited waits, Redirected redirects.
	Started, Replayed, Waited, Redirected int64
	// NotEligible, OwnerDied, SelfFenced, RefusedFenced and RefusedFull count requests that were not started.
	NotEligible, OwnerDied, SelfFenced, RefusedFenced, RefusedFull int64
	// Fenced counts fenced attempts; Inquiries counts inquiries, including their repetitions after a wait.
	Fenced, Inquiries int64
	Joins, Leaves     int64
	// RecordsIn and RecordsOut count transferred records, ImportsRefused those refused because the store was full.
	RecordsIn, RecordsOut, ImportsRefused int64
	// CallsFailed counts failed calls to other nodes.
	CallsFailed int64
	// Store holds the sizes of the record store.
	Store idempotency.Counts
}

// Counters returns the current values.
func (m *Manager) Counters() CounterValues {
	m.mu.Lock()
	store := m.store.Counts()
	m.mu.Unlock()
	c := &m.counters
	return CounterValues{
		Started:        c.started.Load(),
		Replayed:       c.replayed.Load(),
		Waited:         c.waited.Load(),
		Redirected:     c.redirected.Load(),
		NotEligible:    c.notEligible.Load(),
		OwnerDied:      c.ownerDied.Load(),
		SelfFenced:     c.selfFenced.Load(),
		RefusedFenced:  c.refusedFenced.Load(),
		RefusedFull:    c.refusedFull.Load(),
		Fenced:         c.fenced.Load(),
		Inquiries:      c.inquiries.Load(),
		Joins:          c.joins.Load(),
		Leaves:         c.leaves.Load(),
		RecordsIn:      c.recordsIn.Load(),
		RecordsOut:     c.recordsOut.Load(),
		ImportsRefused: c.importsRefused.Load(),
		CallsFailed:    c.callsFailed.Load(),
		Store:          store,
	}
}

// dumpMax limits each list of a dump.
const dumpMax = 64

// LostDump describes a node whose records were lost.
type LostDump struct {
	Node      string
	Died      time.Time
	Expires   time.Time
	Inherited bool
}

// StateDump is the dumped state of a Manager. Its lists are sorted and hold at most dumpMax items.
type StateDump struct {
	Phase   string
	Service string
	// Joiners are the nodes that take part in the ranking although the view does not show it yet.
	Joiners    []string
	Lost       []LostDump
	Unfinished int
	// Waiting is the number of keys for which requests wait.
	Waiting  int
	Counters CounterValues
}

// Dump returns a StateDump.
func (m *Manager) Dump() any {
	counters := m.Counters()
	m.mu.Lock()
	defer m.mu.Unlock()
	d := StateDump{
		Phase:      m.phase.String(),
		Service:    m.service,
		Unfinished: m.unfinished,
		Waiting:    len(m.waiters),
		Counters:   counters,
	}
	for node := range m.pendingJoiners {
		d.Joiners = append(d.Joiners, node)
	}
	sort.Strings(d.Joiners)
	for node, l := range m.lost {
		_, inherited := m.inherited[node]
		d.Lost = append(d.Lost, LostDump{
			Node:      node,
			Died:      time.UnixMilli(l.DiedMS),
			Expires:   l.Expires,
			Inherited: inherited,
		})
	}
	sort.Slice(d.Lost, func(a, b int) bool { return d.Lost[a].Node < d.Lost[b].Node })
	d.Joiners = d.Joiners[:min(len(d.Joiners), dumpMax)]
	d.Lost = d.Lost[:min(len(d.Lost), dumpMax)]
	return d
}

// Eligible reports whether this node may start keys.
func (m *Manager) Eligible() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.phase == phaseEligible
}
