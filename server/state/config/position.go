package config

import "cmp"

// positionOffsetBits is the width of the offset in a Position: 10^12 records, more than a store appends in a century at
// several hundred a second. The era takes the 24 bits above it.
const positionOffsetBits = 40

const (
	// MaxEra is the highest era that a Position can hold.
	MaxEra = 1<<(64-positionOffsetBits) - 1
	// maxPositionOffset is the highest offset that a Position can hold.
	maxPositionOffset = 1<<positionOffsetBits - 1
)

// Position orders the records of a store over its restores. A restore raises the era of the store and gives out offsets
// again, so offsets of different eras are not comparable. Positions are: the era decides first, then the offset. In era 0
// the position equals the offset. It is what the offset of a configuration from a store holds.
type Position uint64

// NewPosition returns the position of an offset of an era. Numbers beyond the width of a field become its largest value.
func NewPosition(era, offset uint64) Position {
	return Position(min(era, MaxEra)<<positionOffsetBits | min(offset, maxPositionOffset))
}

// Era returns how often the store had been restored when it gave out the offset.
func (p Position) Era() uint64 { return uint64(p) >> positionOffsetBits }

// Offset returns the offset within the era.
func (p Position) Offset() uint64 { return uint64(p) & maxPositionOffset }

// Order is the place of a configuration among all others. A node installs only a configuration above the one in force, on
// every path.
type Order struct {
	// Sequence is the publisher's number, which decides first. It is 0 if there is none, as for configurations that are folded
	// from the records of a log, or if it is not known, as from a node of a build that states only offsets. The offset decides
	// alone then.
	Sequence uint64
	// Offset is the position of the publication.
	Offset uint64
}

// Compare returns a negative number if o is below other, and a positive one if it is above.
func (o Order) Compare(other Order) int {
	if o.Sequence != other.Sequence && o.Sequence != 0 && other.Sequence != 0 {
		return cmp.Compare(o.Sequence, other.Sequence)
	}
	return cmp.Compare(o.Offset, other.Offset)
}

// Above reports whether o replaces other.
func (o Order) Above(other Order) bool { return o.Compare(other) > 0 }

// Max returns the higher one.
func (o Order) Max(other Order) Order {
	if other.Above(o) {
		return other
	}
	return o
}

// Order returns the place of the state among all configurations.
func (s *State) Order() Order { return Order{Sequence: s.sequence, Offset: s.offset} }

// Order returns the place of the configuration among all others.
func (w *Whole) Order() Order { return Order{Sequence: w.Sequence, Offset: w.Offset} }
