package malformed

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/apex/log"

	"wagtailford.example/server/state/config"
)

// Orders counts and logs bad orders of rollouts, each once. It is safe for concurrent use.
type Orders struct {
	logger log.Interface
	total  atomic.Int64

	mu sync.Mutex
	// reported is the position of the last order that was reported, by key.
	reported map[string]config.Position
}

// NewOrders returns an Orders without orders.
func NewOrders(logger log.Interface) *Orders {
	return &Orders{logger: logger, reported: make(map[string]config.Position)}
}

// Total returns the number of bad orders.
func (o *Orders) Total() int64 { return o.total.Load() }

// Report counts and logs the order at a position, unless it was the last one that was reported of its key.
func (o *Orders) Report(key string, position config.Position, cause error) {
	o.mu.Lock()
	known := o.reported[key] == position
	if !known && len(o.reported) >= rememberedMax {
		clear(o.reported)
	}
	o.reported[key] = position
	o.mu.Unlock()
	if known {
		return
	}
	o.total.Add(1)
	o.logger.WithError(cause).WithFields(log.Fields{
		"event": "rollout_order_rejected", "key": fmt.Sprintf("%.*s", NameMax, key), "position": uint64(position),
	}).Warn("order of a rollout rejected")
}
