package wire

import (
	"encoding/binary"
	"errors"
)

// QuotaCounts are counts of organisations. They are packed in messages: gob takes 11 bytes for a request of an organisation that
// sends few, this encoding 6.
type QuotaCounts []QuotaCount

const (
	quotaIDBytes = 5
	// hasRefused and hasIsolated are flags of a packed count, below the admitted requests.
	hasRefused  = 1
	hasIsolated = 2
	countFlags  = 2
)

var errQuotaCounts = errors.New("malformed counts")

// GobEncode implements gob.GobEncoder.
func (c QuotaCounts) GobEncode() ([]byte, error) {
	data := make([]byte, 0, len(c)*(quotaIDBytes+1))
	for _, n := range c {
		data = appendQuotaID(data, n.ID)
		admitted := int64(n.Admitted) << countFlags
		if n.Refused != 0 {
			admitted |= hasRefused
		}
		if n.Isolated != 0 {
			admitted |= hasIsolated
		}
		data = binary.AppendVarint(data, admitted)
		if n.Refused != 0 {
			data = binary.AppendVarint(data, int64(n.Refused))
		}
		if n.Isolated != 0 {
			data = binary.AppendVarint(data, int64(n.Isolated))
		}
	}
	return data, nil
}

// GobDecode implements gob.GobDecoder.
func (c *QuotaCounts) GobDecode(data []byte) error {
	*c = nil
	for r := (quotaReader{data: data}); len(r.data) > 0; {
		n := QuotaCount{ID: r.id()}
		first := r.signed()
		n.Admitted = int(first >> countFlags)
		if first&hasRefused != 0 {
			n.Refused = int(r.signed())
		}
		if first&hasIsolated != 0 {
			n.Isolated = int(r.signed())
		}
		if r.failed {
			return errQuotaCounts
		}
		*c = append(*c, n)
	}
	return nil
}

// QuotaShares are shares of organisations, packed in messages like counts. Waits are rounded up to tenths of a second.
type QuotaShares []QuotaShare

const (
	quotaWaitUnitMS = 100
	// quotaWaitMax bounds waits, in units. Owners state at most 10 s.
	quotaWaitMax = 36000
)

// GobEncode implements gob.GobEncoder.
func (s QuotaShares) GobEncode() ([]byte, error) {
	data := make([]byte, 0, len(s)*(quotaIDBytes+3))
	for _, n := range s {
		data = appendQuotaID(data, n.ID)
		data = binary.AppendUvarint(data, uint64(max(n.PerMille, 0)))
		data = binary.AppendUvarint(data, uint64(max(n.WaitMS+quotaWaitUnitMS-1, 0)/quotaWaitUnitMS))
	}
	return data, nil
}

// GobDecode implements gob.GobDecoder.
func (s *QuotaShares) GobDecode(data []byte) error {
	*s = nil
	for r := (quotaReader{data: data}); len(r.data) > 0; {
		id, share, wait := r.id(), r.unsigned(), r.unsigned()
		if r.failed || share > 1000 || wait > quotaWaitMax {
			return errQuotaCounts
		}
		*s = append(*s, QuotaShare{ID: id, PerMille: int(share), WaitMS: int(wait) * quotaWaitUnitMS})
	}
	return nil
}

func appendQuotaID(data []byte, id uint64) []byte {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], id)
	return append(data, b[8-quotaIDBytes:]...)
}

// quotaReader reads packed values.
type quotaReader struct {
	data   []byte
	failed bool
}

func (r *quotaReader) id() uint64 {
	if len(r.data) < quotaIDBytes {
		r.data, r.failed = nil, true
		return 0
	}
	var b [8]byte
	copy(b[8-quotaIDBytes:], r.data)
	r.data = r.data[quotaIDBytes:]
	return binary.BigEndian.Uint64(b[:])
}

func (r *quotaReader) signed() int64 {
	v, size := binary.Varint(r.data)
	r.skip(size)
	return v
}

func (r *quotaReader) unsigned() uint64 {
	v, size := binary.Uvarint(r.data)
	r.skip(size)
	return v
}

func (r *quotaReader) skip(size int) {
	if size <= 0 {
		r.data, r.failed = nil, true
		return
	}
	r.data = r.data[size:]
}
