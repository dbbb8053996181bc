package idempotency

import (
	"container/heap"
	"time"
)

// Store holds the key records and fenced attempts of one node.
type Store struct {
	limits  Limits
	records map[string]*entry
	fences  map[Attempt]*entry
	// order lists records by sequence number, for transfers in pages. It may hold removed entries.
	order    []*entry
	sequence uint64
	expiry   expiryQueue
	// answers lists recorded answers, oldest first, for the byte limit. It may hold entries without an answer.
	answers []*entry
	counts  Counts
}

// entry is a record or a fence in the store.
type entry struct {
	Record
	fence    Attempt
	sequence uint64
	// index is the position in the expiry queue, -1 if the entry is not in it.
	index   int
	removed bool
}

// New returns an empty store.
func New(limits Limits) *Store {
	return &Store{
		limits:  limits,
		records: make(map[string]*entry),
		fences:  make(map[Attempt]*entry),
	}
}

// Begin asks for permission to run a key on behalf of an attempt.
func (s *Store) Begin(now time.Time, attempt Attempt, key string, digest uint64, executor string) Verdict {
	s.Expire(now)
	if _, ok := s.fences[attempt]; ok {
		return Verdict{Kind: Fenced}
	}
	if e, ok := s.records[key]; ok {
		return e.verdict(digest)
	}
	if len(s.records) >= s.limits.RecordsMax {
		return Verdict{Kind: Full}
	}
	s.add(Record{Key: key, Digest: digest, State: Running, Executor: executor})
	return Verdict{Kind: Run}
}

// Finish records the end of a run that Begin permitted. It reports whether the key was running.
func (s *Store) Finish(now time.Time, key string, result Result) bool {
	s.Expire(now)
	e, ok := s.records[key]
	if !ok || e.State != Running {
		return false
	}
	s.conclude(e, result, now.Add(s.limits.Retention))
	return true
}

// Fence refuses an attempt that has not arrived yet. If the key has a record, nothing is fenced and the verdict
// describes the record. An attempt with number 0 is not fenced. The verdict is Full if there is no room.
func (s *Store) Fence(now time.Time, attempt Attempt, key string, digest uint64) Verdict {
	s.Expire(now)
	if e, ok := s.records[key]; ok {
		return e.verdict(digest)
	}
	if attempt.ID == 0 {
		return Verdict{Kind: Fenced}
	}
	if e, ok := s.fences[attempt]; ok {
		// The promise that the attempt is refused counts from the last time it was made.
		e.Expires = now.Add(s.limits.Retention)
		heap.Fix(&s.expiry, e.index)
		return Verdict{Kind: Fenced}
	}
	if len(s.fences) >= s.limits.RecordsMax {
		return Verdict{Kind: Full}
	}
	e := &entry{fence: attempt, index: -1}
	e.Expires = now.Add(s.limits.Retention)
	s.fences[attempt] = e
	heap.Push(&s.expiry, e)
	return Verdict{Kind: Fenced}
}

// IsFenced reports whether an attempt is fenced.
func (s *Store) IsFenced(now time.Time, attempt Attempt) bool {
	s.Expire(now)
	_, ok := s.fences[attempt]
	return ok
}

// Lookup returns the record of a key.
func (s *Store) Lookup(now time.Time, key string) (Record, bool) {
	s.Expire(now)
	e, ok := s.records[key]
	if !ok {
		return Record{}, false
	}
	return e.Record, true
}

// Counts returns the sizes of the store.
func (s *Store) Counts() Counts {
	c := s.counts
	c.Records = len(s.records)
	c.Fences = len(s.fences)
	return c
}

func (e *entry) verdict(digest uint64) Verdict {
	switch {
	case e.Digest != digest:
		return Verdict{Kind: Reused}
	case e.Moved:
		return Verdict{Kind: Moved, Record: e.Record}
	case e.State == Running:
		return Verdict{Kind: Wait, Record: e.Record}
	case e.State == Done:
		return Verdict{Kind: Recorded, Record: e.Record}
	default:
		return Verdict{Kind: Lost, Record: e.Record}
	}
}

func (s *Store) add(r Record) *entry {
	s.sequence++
	e := &entry{Record: r, sequence: s.sequence, index: -1}
	s.records[r.Key] = e
	s.order = append(s.order, e)
	s.count(e, 1)
	return e
}

func (s *Store) remove(e *entry) {
	e.removed = true
	s.count(e, -1)
	s.releaseAnswer(e)
	if e.index >= 0 {
		heap.Remove(&s.expiry, e.index)
	}
	delete(s.records, e.Key)
	s.compact()
}

// count adjusts the counts by one entry.
func (s *Store) count(e *entry, by int) {
	if e.State == Running {
		s.counts.Running += by
	}
	if e.Moved {
		s.counts.Moved += by
	}
}

// conclude ends a run with a result; the record is forgotten at expires.
func (s *Store) conclude(e *entry, result Result, expires time.Time) {
	if result.State == NotRun {
		s.remove(e)
		return
	}
	s.count(e, -1)
	e.State = result.State
	e.Reason = result.Reason
	s.count(e, 1)
	e.Expires = expires
	if e.index >= 0 {
		heap.Fix(&s.expiry, e.index)
	} else {
		heap.Push(&s.expiry, e)
	}
	s.keepAnswer(e, result.Answer)
}

// keepAnswer stores an answer and drops the oldest ones beyond the byte limit, possibly this one.
func (s *Store) keepAnswer(e *entry, answer *Answer) {
	s.releaseAnswer(e)
	e.Dropped = e.State == Done && answer == nil
	if answer == nil {
		return
	}
	e.Answer = answer
	s.counts.AnswerBytes += answer.size()
	s.answers = append(s.answers, e)
	for s.counts.AnswerBytes > s.limits.AnswerBytesMax {
		oldest := s.answers[0]
		s.answers = s.answers[1:]
		if oldest.Answer == nil {
			continue
		}
		s.releaseAnswer(oldest)
		oldest.Dropped = true
		s.counts.Dropped++
	}
}

func (s *Store) releaseAnswer(e *entry) {
	s.counts.AnswerBytes -= e.Answer.size()
	e.Answer = nil
}
