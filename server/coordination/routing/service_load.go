package routing

import (
	"math"

	"wagtailford.example/server/state/endpoint"
)

// ServiceLoad states how evenly the targets of a service are loaded, by the reports of the last second that a node received.
// A node hears of a target only with the responses to its own requests.
type ServiceLoad struct {
	// Reported is the number of targets with a report.
	Reported int
	// MeanLoad and LoadSpread are the mean and the standard deviation of the slots in use, as fractions of the slots.
	MeanLoad, LoadSpread float64
	// WithQueue and WithFreeSlots are the numbers of targets at which requests waited and at which slots were free. If both are
	// high, requests wait at some targets while others have capacity.
	WithQueue, WithFreeSlots int
}

// Load returns the load of the targets of a service at nowMS.
func (t *Tracker) Load(members []*endpoint.Entry, nowMS int64) ServiceLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var load ServiceLoad
	var squares float64
	for _, e := range members {
		o := t.nodes[e.Node]
		if o == nil || nowMS-o.ReportedMS >= reportedMaxAge.Milliseconds() {
			continue
		}
		slots := e.Slots
		if slots <= 0 {
			slots = defaultSlots
		}
		used := float64(o.InUse) / float64(slots)
		load.Reported++
		load.MeanLoad += used
		squares += used * used
		if o.Queued > 0 {
			load.WithQueue++
		}
		if o.InUse < slots {
			load.WithFreeSlots++
		}
	}
	if load.Reported > 0 {
		n := float64(load.Reported)
		load.MeanLoad /= n
		load.LoadSpread = math.Sqrt(max(squares/n-load.MeanLoad*load.MeanLoad, 0))
	}
	return load
}
