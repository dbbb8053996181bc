package malformed

import (
	"sync"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"wagtailford.example/server/protocol/keyedstore"
)

// rememberedMax limits the rejected entries that are remembered; at the limit all are dropped and would be logged again.
const rememberedMax = 1024

// Entries counts the rejected entries of other writers, and logs them once for each key and cause. It is safe for concurrent
// use.
type Entries struct {
	logger log.Interface
	total  atomic.Int64

	mu     sync.Mutex
	logged map[uint64]struct{}
}

// NewEntries returns an Entries without entries.
func NewEntries(logger log.Interface) *Entries {
	return &Entries{logger: logger, logged: make(map[uint64]struct{})}
}

// Total returns the number of rejected entries.
func (e *Entries) Total() int64 { return e.total.Load() }

// Report counts an entry, and logs it unless one was logged under its key for the same cause before. keyField names the key in
// the log line.
func (e *Entries) Report(event, keyField, key string, value []byte, cause error) {
	e.total.Add(1)
	digest := xxhash.New()
	digest.WriteString(key)
	digest.Write([]byte{0})
	digest.WriteString(cause.Error())
	sum := digest.Sum64()
	e.mu.Lock()
	_, known := e.logged[sum]
	if !known && len(e.logged) >= rememberedMax {
		clear(e.logged)
	}
	e.logged[sum] = struct{}{}
	e.mu.Unlock()
	if known {
		return
	}
	e.logger.WithError(cause).WithFields(log.Fields{
		"event": event, keyField: key[:min(len(key), NameMax)], "bytes": len(value),
	}).Warn("entry of another writer rejected")
}

// DecodeRecords returns the records that decode accepts. The others are reported.
func DecodeRecords[T any](
	e *Entries, event, keyField string, records []keyedstore.Record, decode func(key string, value []byte) (T, error),
) []T {
	var list []T
	for _, r := range records {
		decoded, err := decode(r.Key, r.Value)
		if err != nil {
			e.Report(event, keyField, r.Key, r.Value, err)
			continue
		}
		list = append(list, decoded)
	}
	return list
}
