// Package keyedstore holds what is common to stores outside the mesh whose topics keep the newest record of each key: records,
// reads, and the eras between two restores.
package keyedstore

import (
	"context"
	"errors"
	"time"

	"wagtailford.example/server/state/config"
)

// OffsetShift turns offsets of a store, which start at 0, into those of positions, of which 0 means none.
const OffsetShift = 1

// Record is one record of a topic.
type Record struct {
	Offset uint64
	Key    string
	// Value is empty if the record drops the key.
	Value []byte
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// Next is the offset up to which the read is complete, End that after the last record of the topic.
	Next, End uint64
	// Era is that in which the offsets are valid.
	Era uint64
	// Bytes is the size of the response.
	Bytes int
}

// Position returns the position of a record of a page.
func (p *Page) Position(offset uint64) config.Position {
	return config.NewPosition(p.Era, offset+OffsetShift)
}

// ReadTo returns the position up to which a page is complete.
func (p *Page) ReadTo() config.Position { return config.NewPosition(p.Era, p.Next) }

// Present returns the records that have a value.
func (p *Page) Present() []Record {
	var present []Record
	for _, r := range p.Records {
		if len(r.Value) > 0 {
			present = append(present, r)
		}
	}
	return present
}

// Topic is one topic of a store.
type Topic interface {
	// Newest returns the newest record of each key. It is complete up to Next of the page; later records may be in it.
	Newest(ctx context.Context) (Page, error)
	// ReadAfter waits for records from an offset on and returns the first page of those that are there. It returns a
	// *RangeError if the store does not hold the offset.
	ReadAfter(ctx context.Context, from uint64, wait time.Duration) (Page, error)
	// Put appends the newest value of a key; an empty value drops the key.
	Put(ctx context.Context, key string, value []byte) error
	// PutAt appends the newest value of a key if the topic ends at an offset, and returns the new end. done is false if the
	// topic ends elsewhere.
	PutAt(ctx context.Context, key string, value []byte, end uint64) (newEnd uint64, done bool, err error)
}

// ErrNoWholeRecord means that a read got no further because the response ends within a record.
var ErrNoWholeRecord = errors.New("response holds no whole record, although more follow")

// RangeError means that a store refused a read because it does not hold the offset.
type RangeError struct {
	// First is the first offset that the store holds, if the read was below it. It is nil for a read above the end.
	First *uint64
	Cause error
}

func (e *RangeError) Error() string { return e.Cause.Error() }

func (e *RangeError) Unwrap() error { return e.Cause }
