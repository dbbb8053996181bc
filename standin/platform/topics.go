// Package platform stands in for the platform that a fleet runs on: its store, its targets and its callers, with faults
// that a test or the soak switches on. It is written from the platform's published protocol.
package platform

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// keyedPrefix begins the names of topics whose records have keys.
const keyedPrefix = "keyed."

// Refusals of an append.
var (
	errMoved  = errors.New("the partition does not end at the stated offset")
	errFenced = errors.New("a producer of a later epoch has written")
)

// partition is one partition of a topic.
type partition struct {
	// first is the offset of records[0].
	first   uint64
	records [][]byte
	// newest holds the offset and value of each key of a keyed topic; kept when history is dropped.
	newest map[string]keyedRecord
	epochs map[string]uint64
	// changed is closed and replaced by every append.
	changed chan struct{}
}

type keyedRecord struct {
	offset uint64
	value  []byte
}

func (p *partition) end() uint64 { return p.first + uint64(len(p.records)) }

// topics are the contents of a store. They are safe for concurrent use.
type topics struct {
	mu    sync.Mutex
	parts map[string]*partition
	// era is the number of restores.
	era uint64
}

// currentEra returns the number of restores.
func (t *topics) currentEra() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// clone returns a copy of a partition. Records and values are never modified, so they are shared.
func (p *partition) clone() *partition {
	return &partition{
		first: p.first, records: slices.Clone(p.records), newest: maps.Clone(p.newest), epochs: maps.Clone(p.epochs),
		changed: make(chan struct{}),
	}
}

func cloneParts(parts map[string]*partition) map[string]*partition {
	all := make(map[string]*partition, len(parts))
	for name, p := range parts {
		all[name] = p.clone()
	}
	return all
}

// Copy is the contents of a store at a time.
type Copy struct{ parts map[string]*partition }

func (t *topics) copy() Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Copy{cloneParts(t.parts)}
}

// restore replaces the contents by a copy, raises the era and ends the reads that wait.
func (t *topics) restore(c Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.parts {
		close(p.changed)
	}
	t.parts = cloneParts(c.parts)
	t.era++
}

func newTopics() *topics { return &topics{parts: make(map[string]*partition)} }

func (t *topics) part(name string) *partition {
	p := t.parts[name]
	if p == nil {
		p = &partition{newest: make(map[string]keyedRecord), epochs: make(map[string]uint64), changed: make(chan struct{})}
		t.parts[name] = p
	}
	return p
}

// appendIf are the conditions of an append.
type appendIf struct {
	// end is the offset at which the partition has to end; nil for any.
	end *uint64
	// producer with its epoch fences earlier epochs; empty for none.
	producer string
	epoch    uint64
}

// appended is the answer to an append: the offset of the first record and the end.
type appended struct {
	Offset uint64 `json:"offset"`
	End    uint64 `json:"end"`
	era    uint64
}

// append adds records all or nothing.
func (t *topics) append(name string, records [][]byte, condition appendIf) (done appended, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.part(name)
	done = appended{End: p.end(), era: t.era}
	if condition.end != nil && *condition.end != p.end() {
		return done, errMoved
	}
	if condition.producer != "" {
		if condition.epoch < p.epochs[condition.producer] {
			return done, errFenced
		}
		p.epochs[condition.producer] = condition.epoch
	}
	done.Offset = p.end()
	for _, r := range records {
		if strings.HasPrefix(name, keyedPrefix) {
			p.note(r)
		}
		p.records = append(p.records, r)
	}
	if len(records) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
	done.End = p.end()
	return done, nil
}

// note takes the key and value of a record that is about to be added.
func (p *partition) note(r []byte) {
	if len(r) == 0 || 1+int(r[0]) > len(r) {
		return
	}
	key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
	if len(value) == 0 {
		delete(p.newest, key)
		return
	}
	p.newest[key] = keyedRecord{offset: p.end(), value: value}
}

// drop removes the history of a topic; the newest record of each key stays.
func (t *topics) drop(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.part(name)
	p.first = p.end()
	p.records = nil
}

// readAnswer is the answer to a read.
type readAnswer struct {
	body []byte
	// gone is true if the store does not have the offset. removed is true if it had it; first is then the first one that it has.
	gone, removed bool
	first, era    uint64
}

// read returns the encoded records from an offset on, no more than fit into a page. If there are none it waits at most for
// wait, and no longer than until a restore.
func (t *topics) read(name string, from uint64, size pageSize, wait time.Duration, cancel <-chan struct{}) readAnswer {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	began := t.currentEra()
	for {
		t.mu.Lock()
		p := t.part(name)
		answer := p.encode(from, size)
		answer.era = t.era
		ready := answer.gone || p.end() > from || t.era != began
		changed := p.changed
		t.mu.Unlock()
		if ready {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer
		case <-cancel:
			return answer
		}
	}
}

func (p *partition) encode(from uint64, size pageSize) readAnswer {
	if from < p.first || from > p.end() {
		return readAnswer{gone: true, removed: from < p.first, first: p.first}
	}
	body := binary.BigEndian.AppendUint64(nil, p.end())
	body = binary.BigEndian.AppendUint64(body, p.first)
	for i, r := range p.records[min(from-p.first, uint64(len(p.records))):] {
		encoded := append(binary.BigEndian.AppendUint32(nil, uint32(len(r))), r...)
		if len(body)+len(encoded) <= size.bytes || i == 0 && size.large == LargeWhole {
			body = append(body, encoded...)
			continue
		}
		if size.large == LargeCut {
			body = append(body, encoded[:max(0, size.bytes-len(body))]...)
		}
		break
	}
	return readAnswer{body: body}
}

// Large is what a page holds of a record that is larger than a page, on which the platform's pages say nothing.
type Large int

const (
	// LargeWhole sends such a record on a page of its own.
	LargeWhole Large = iota
	// LargeCut ends a page of a read within the record, at the size of a page. Newest records come whole.
	LargeCut
	// LargeLeftOut ends any page before the record.
	LargeLeftOut
)

// pageSize limits a page.
type pageSize struct {
	bytes int
	large Large
}

// keyed is one item of the newest records.
type keyed struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

// latest returns a page of the newest records after a key. Its size is that of the encoded values.
func (t *topics) latest(name, after string, size pageSize) newestAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.part(name)
	var items []keyed
	for key, r := range p.newest {
		if key > after || after == "" {
			items = append(items, keyed{Key: key, Value: r.value, Offset: r.offset})
		}
	}
	slices.SortFunc(items, func(a, b keyed) int { return strings.Compare(a.Key, b.Key) })
	total := 0
	for i, item := range items {
		total += len(item.Key) + base64.StdEncoding.EncodedLen(len(item.Value))
		isFirstWhole := i == 0 && size.large != LargeLeftOut
		if i >= newestItems || total > size.bytes && !isFirstWhole {
			return newestAnswer{items[:i], true, p.end(), t.era}
		}
	}
	return newestAnswer{items, false, p.end(), t.era}
}

// splitRecords decodes the body of an append.
func splitRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 || int(binary.BigEndian.Uint32(body)) > len(body)-4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		records = append(records, slices.Clone(body[4:4+size]))
		body = body[4+size:]
	}
	return records, true
}

// KeyedRecord returns the content of a record of a keyed topic.
func KeyedRecord(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}
