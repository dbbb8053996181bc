package endpoint

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Compare orders keys by incarnation, revision and state.
func (k Key) Compare(other Key) int {
	return cmp.Or(
		cmp.Compare(k.Incarnation, other.Incarnation),
		cmp.Compare(k.Revision, other.Revision),
		cmp.Compare(k.State, other.State),
	)
}

// Live reports whether the node is believed to run: it is neither dead nor has it left.
func (e *Entry) Live() bool { return e.State < Dead }

// Join returns the value that follows from two values of one entry: the one with the larger key. A death verdict
// also holds against later revisions until the owner has answered it: others have acted on the death, so the owner
// must learn of it and join its service again before it owns keys. Of two times of death the later one is kept, since
// it lets fewer keys pass to other nodes. Crash counts and clearances are those of both values.
func Join(a, b Entry) Entry {
	high, low := a, b
	if a.Key.Compare(b.Key) < 0 {
		high, low = b, a
	}
	high.joinCrashes(&low)
	if high.Incarnation != low.Incarnation || low.State != Dead || high.State == Left || low.Revision < high.Rejoined {
		return high
	}
	high.State = Dead
	high.DiedMS = max(high.DiedMS, low.DiedMS)
	return high
}

// row is an entry as stored in a table.
type row struct {
	entry    *Entry
	sequence uint64
	origin   string
	changed  time.Time
}

// Table holds the newest known entry of every node. It belongs to one goroutine.
type Table struct {
	rows map[string]*row
	// nodes are the keys of rows, sorted.
	nodes     []string
	sequence  uint64
	retention time.Duration
}

// NewTable returns an empty table that keeps dead and left entries for retention.
func NewTable(retention time.Duration) *Table {
	return &Table{rows: make(map[string]*row), retention: retention}
}

// Merge joins e with the entry that the table has for the node and reports whether that changed the table. origin
// names the node that delivered e; it is empty for an entry made by this node. An entry of a node that died
// or left longer ago than the retention is ignored, so that peers cannot bring a removed entry back.
func (t *Table) Merge(e Entry, origin string, now time.Time) bool {
	old := t.rows[e.Node]
	if old != nil {
		delivered, before := e, *old.entry
		e = Join(before, e)
		for _, value := range []*Entry{&e, &delivered, &before} {
			value.expireCrashes(now)
		}
		if e.Key == before.Key && e.DiedMS == before.DiedMS && e.sameCrashes(&before) {
			return false
		}
		if e.Key != delivered.Key || !e.sameCrashes(&delivered) {
			// The result is news to the node that delivered e, too.
			origin = ""
		}
	} else if t.outdated(&e, now, now) {
		return false
	}
	if old == nil {
		at, _ := slices.BinarySearch(t.nodes, e.Node)
		t.nodes = slices.Insert(t.nodes, at, e.Node)
	}
	t.sequence++
	t.rows[e.Node] = &row{entry: &e, sequence: t.sequence, origin: origin, changed: now}
	return true
}

// Get returns the entry of a node, or nil.
func (t *Table) Get(node string) *Entry {
	r := t.rows[node]
	if r == nil {
		return nil
	}
	return r.entry
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.rows) }

// Sequence returns the sequence number of the latest change.
func (t *Table) Sequence() uint64 { return t.sequence }

// All returns the entries sorted by node.
func (t *Table) All() []*Entry {
	all := make([]*Entry, 0, len(t.rows))
	for _, node := range t.nodes {
		all = append(all, t.rows[node].entry)
	}
	return all
}

// Delta is a part of the changes of a table, in the order in which they were made.
type Delta struct {
	Entries []Entry
	// Sequence is the sequence number up to which the delta is complete.
	Sequence uint64
}

// Since returns the entries that changed after sequence.
func (t *Table) Since(sequence uint64) Delta {
	return t.Select(sequence, t.sequence, Bounds{Entries: t.Len(), Bytes: math.MaxInt}, func(string) bool { return true })
}

// Bounds limit a delta in entries and in bytes of their encoding. One entry is within the bounds however large it is.
type Bounds struct {
	Entries, Bytes int
}

// Select returns the entries that changed after sequence and up to upTo, and whose origin passes the filter, as many as are
// within the bounds.
func (t *Table) Select(sequence, upTo uint64, bounds Bounds, origin func(string) bool) Delta {
	if sequence >= upTo {
		return Delta{Sequence: sequence}
	}
	var rows []*row
	for _, r := range t.rows {
		if r.sequence > sequence && r.sequence <= upTo && origin(r.origin) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b *row) int { return cmp.Compare(a.sequence, b.sequence) })
	delta := Delta{Sequence: upTo}
	size := 0
	for i, r := range rows {
		size += r.entry.encodedSize()
		if i >= bounds.Entries || i > 0 && size > bounds.Bytes {
			delta.Sequence = rows[i-1].sequence
			break
		}
		delta.Entries = append(delta.Entries, *r.entry)
	}
	return delta
}

// Expire removes entries of nodes that died or left longer ago than the retention and returns their number.
func (t *Table) Expire(now time.Time) int {
	before := len(t.nodes)
	t.nodes = slices.DeleteFunc(t.nodes, func(node string) bool {
		r := t.rows[node]
		if !t.outdated(r.entry, r.changed, now) {
			return false
		}
		delete(t.rows, node)
		return true
	})
	return before - len(t.nodes)
}

// outdated reports whether the retention of an entry has passed. An entry without a time of death or leave counts
// from its last change in this table.
func (t *Table) outdated(e *Entry, changed, now time.Time) bool {
	if e.Live() {
		return false
	}
	if e.DiedMS != 0 {
		return now.UnixMilli()-e.DiedMS >= t.retention.Milliseconds()
	}
	return now.Sub(changed) >= t.retention
}
