package idempotency

import (
	"sort"
	"time"
)

// recordOverheadBytes covers the fixed fields of a record in a transfer.
const recordOverheadBytes = 128

// Page bounds one step of a transfer.
type Page struct {
	Records, Bytes int
}

// Export returns the records after cursor for which match is true, in the order in which they were added, and the
// cursor for the next page; 0 if none follows. A page holds at least one record, however large. With move set, the
// records are marked as moved.
func (s *Store) Export(now time.Time, cursor uint64, page Page, move bool, match func(key string) bool) ([]Record, uint64) {
	s.Expire(now)
	start := sort.Search(len(s.order), func(i int) bool { return s.order[i].sequence > cursor })
	var out []Record
	size := 0
	for _, e := range s.order[start:] {
		if e.removed || !match(e.Key) {
			continue
		}
		size += recordOverheadBytes + len(e.Key) + e.Answer.size()
		if len(out) > 0 && (len(out) >= page.Records || size > page.Bytes) {
			return out, cursor
		}
		out = append(out, e.Record)
		cursor = e.sequence
		if move {
			s.setMoved(e, true)
		}
	}
	return out, 0
}

// Import merges a record from another node; a repeated import changes nothing. A done record is never replaced, and
// an unknown one only by a done one. It reports false if there is no room.
func (s *Store) Import(now time.Time, r Record) bool {
	s.Expire(now)
	e, ok := s.records[r.Key]
	if !ok {
		return s.importNew(now, r)
	}
	switch {
	case r.State == NotRun:
		if e.State == Running && e.Executor == r.Executor {
			s.remove(e)
		}
		return true
	case r.State == Running || e.State == Done || r.State == e.State:
		// The known content is at least as good.
	default:
		s.conclude(e, Result{State: r.State, Reason: r.Reason, Answer: r.Answer}, s.expires(now, r))
	}
	s.setMoved(e, false)
	return true
}

func (s *Store) importNew(now time.Time, r Record) bool {
	if r.State == NotRun {
		return true
	}
	if r.State != Running && !s.expires(now, r).After(now) {
		return true
	}
	if len(s.records) >= s.limits.RecordsMax {
		return false
	}
	e := s.add(Record{Key: r.Key, Digest: r.Digest, State: Running, Executor: r.Executor})
	if r.State != Running {
		s.conclude(e, Result{State: r.State, Reason: r.Reason, Answer: r.Answer}, s.expires(now, r))
	}
	return true
}

// expires is the expiry of an imported record, limited so that the clock of the sender cannot extend it.
func (s *Store) expires(now time.Time, r Record) time.Time {
	latest := now.Add(s.limits.Retention)
	if r.Expires.IsZero() || r.Expires.After(latest) {
		return latest
	}
	return r.Expires
}

// Restore takes custody of a moved record back.
func (s *Store) Restore(key string) {
	if e, ok := s.records[key]; ok {
		s.setMoved(e, false)
	}
}

// MarkMoved notes that another node has custody of a key.
func (s *Store) MarkMoved(key string) {
	if e, ok := s.records[key]; ok {
		s.setMoved(e, true)
	}
}

func (s *Store) setMoved(e *entry, moved bool) {
	s.count(e, -1)
	e.Moved = moved
	s.count(e, 1)
}

// Abandon makes every record unknown whose executor ended without reporting, as gone tells.
func (s *Store) Abandon(now time.Time, reason string, gone func(executor string) bool) []string {
	if s.counts.Running == 0 {
		return nil
	}
	var keys []string
	for _, e := range s.order {
		if e.removed || e.State != Running || !gone(e.Executor) {
			continue
		}
		s.conclude(e, Result{State: Unknown, Reason: reason}, now.Add(s.limits.Retention))
		keys = append(keys, e.Key)
	}
	return keys
}
