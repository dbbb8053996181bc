package rollout

import (
	"context"
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

// duty is what a node does for a service whose decider it is, or is about to become. It belongs to Manager.mu.
type duty struct {
	// decider is nil until the record of an earlier one has been read.
	decider *Decider
	// busy is true while a call to the store is under way.
	busy bool
	// end is the position for Store.Replace; listed is true if it is known.
	end    uint64
	listed bool
	// seen is the record of another decider, seenSince is since when it is unchanged, readAt when it was read.
	seen      Record
	seenSince time.Time
	readAt    time.Time
	savedAt   time.Time
	// retryAt is when a call follows one that failed.
	retryAt time.Time
	// status is the state that the status in the store has.
	status wire.RolloutState
	// notBefore is when the node may take over again after it was isolated.
	notBefore time.Time
}

func (d *duty) forgetStore() {
	d.listed, d.status = false, wire.RolloutUnknown
	if d.decider != nil {
		d.decider.Stored(Record{})
	}
}

const (
	// storeRetry is the time after a call to the store that failed.
	storeRetry = 200 * time.Millisecond
	// isolatedWait is the time for which a node that was isolated leaves the decision to others.
	isolatedWait = 5 * time.Second
)

// runDuty does what is due for an order, and reports whether it is not yet decided or stored.
func (m *Manager) runDuty(ctx context.Context, v *view.View, o *config.Rollout, mine bool, now time.Time) (busy bool) {
	d := m.duties[o.Service]
	if !mine {
		if d != nil {
			m.release(ctx, o.Service, d)
		}
		return false
	}
	if d == nil {
		d = &duty{}
		m.duties[o.Service] = d
	}
	m.adoptOrder(d, o, now)
	if d.decider == nil {
		if !d.busy && now.After(d.notBefore) && now.Sub(d.readAt) >= takeoverRead {
			d.busy, d.readAt = true, now
			m.work.Go(func() { m.takeOver(ctx, d, *o) })
		}
		return true
	}
	if d.decider.Isolated(now) && !d.busy {
		m.release(ctx, o.Service, d)
		m.duties[o.Service] = &duty{notBefore: now.Add(isolatedWait)}
		return true
	}
	change, changed := d.decider.Step(now, fleetOf(v, o), reportInterval(len(v.Nodes), m.settings))
	if changed {
		m.logChange(o, &change)
	}
	return m.saveIfDue(ctx, d, now) || !d.decider.State().Final()
}

// adoptOrder replaces the decider if the order was replaced or repeated. An order at a lower position comes from a view that
// was in force before.
func (m *Manager) adoptOrder(d *duty, o *config.Rollout, now time.Time) {
	if d.decider == nil || d.decider.record.Order >= o.Position || d.busy {
		return
	}
	had := d.decider.Record()
	fields := log.Fields{
		"event": "rollout_order", "service": o.Service, "order": o.Position, "target_version": o.TargetVersion,
		"duration": o.Duration.String(), "before": had.Target, "state_before": had.State,
	}
	if had.Target == o.TargetVersion && !had.state().Final() {
		d.decider.Repeat(*o, now)
		m.deps.Log.WithFields(fields).Info("repeated order for the running rollout; it continues")
		return
	}
	stored := d.decider.stored
	had.Revision = stored.Revision
	taken := d.decider.taken
	d.decider = NewDecider(m.settings, *o, &had, m.deps.Node, now)
	// The term of had may have been raised by reports without being stored.
	d.decider.taken = taken + 1
	d.status = wire.RolloutUnknown
	text := "order for a rollout"
	switch {
	case !had.state().Final():
		text = "order replaces the running rollout"
	case had.Target == o.TargetVersion:
		text = "repeated order"
	}
	m.deps.Log.WithFields(fields).Info(text)
	m.logIfInForce(d.decider, o)
}

// logIfInForce writes a line if an order is final from its start.
func (m *Manager) logIfInForce(d *Decider, o *config.Rollout) {
	if d.reason != "" && d.State().Final() {
		m.deps.Log.WithFields(log.Fields{
			"event": "rollout_order", "service": o.Service, "order": o.Position, "target_version": o.TargetVersion, "state": d.record.State,
		}).Info("order for the version in force; nothing to do")
	}
}

// takeOver reads the record of the service, and decides from then on unless another node does.
func (m *Manager) takeOver(ctx context.Context, d *duty, o config.Rollout) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, end, err := m.deps.Store.List(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	d.busy = false
	if err != nil {
		m.counters.storeFailed.Add(1)
		return
	}
	now := time.Now()
	var previous *Record
	for i := range records {
		m.records[records[i].Service] = records[i]
		if records[i].Service == o.Service {
			previous = &records[i]
		}
	}
	if previous != nil && m.otherDecides(d, previous, now) {
		return
	}
	d.end, d.listed = end, true
	d.decider = NewDecider(m.settings, o, previous, m.deps.Node, now)
	fields := log.Fields{
		"event": "rollout_order", "service": o.Service, "order": o.Position, "target_version": o.TargetVersion,
		"duration": o.Duration.String(), "state": d.decider.record.State, "term": d.decider.record.Term,
	}
	if previous != nil {
		fields["decider_before"], fields["share_before"], fields["before"] = previous.Decider, previous.Share, previous.Target
	}
	m.deps.Log.WithFields(fields).Info("this node decides about a rollout")
	m.logIfInForce(d.decider, &o)
}

// otherDecides reports whether another node that may be alive wrote the record a short time ago. A node that is cut off
// from the others takes them for dead, so the record in the store says whether the decider works.
func (m *Manager) otherDecides(d *duty, r *Record, now time.Time) bool {
	if r.Decider == "" || r.Decider == m.deps.Node || r.state().Final() {
		return false
	}
	if v := m.deps.View(); v != nil && v.Nodes[r.Decider] != nil && v.Nodes[r.Decider].State == endpoint.Left {
		return false
	}
	if d.seen.Term != r.Term || d.seen.Revision != r.Revision || d.seenSince.IsZero() {
		d.seen, d.seenSince = *r, now
	}
	return now.Sub(d.seenSince) < takeoverWait
}

// release ends a duty of which another node has become the decider, and says so in the record.
func (m *Manager) release(ctx context.Context, service string, d *duty) {
	if d.busy {
		return
	}
	delete(m.duties, service)
	if d.decider == nil || !d.decider.isStored() || d.decider.State().Final() || !d.listed {
		return
	}
	r := d.decider.Record()
	r.Decider = ""
	end := d.end
	m.deps.Log.WithFields(log.Fields{"event": "rollout_released", "service": service, "order": r.Order}).
		Info("this node leaves the decision about the rollout to another one")
	m.work.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		// Without it the other node waits until the record has been unchanged for takeoverWait.
		_, _, _ = m.deps.Store.Replace(ctx, r, end)
	})
}

// saveIfDue writes the record or the status if the store lacks them, and reports whether it does.
func (m *Manager) saveIfDue(ctx context.Context, d *duty, now time.Time) (unsaved bool) {
	final := d.decider.State().Final()
	unsaved = d.decider.Unsaved()
	due := unsaved || (!final && now.Sub(d.savedAt) >= saveInterval)
	status := !unsaved && d.status != d.decider.State()
	if d.busy || now.Before(d.retryAt) || (!due && !status) {
		return unsaved || status
	}
	d.busy = true
	decider := d.decider
	switch {
	case !d.listed:
		m.work.Go(func() { m.readBack(ctx, d, decider) })
	case due:
		r, end := decider.Record(), d.end
		m.work.Go(func() { m.save(ctx, d, decider, r, end) })
	default:
		s := Status{Service: decider.record.Service, Target: decider.record.Target, State: decider.State()}
		m.work.Go(func() { m.writeStatus(ctx, d, decider, s) })
	}
	return true
}

func (m *Manager) save(ctx context.Context, d *duty, decider *Decider, r Record, end uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	newEnd, replaced, err := m.deps.Store.Replace(ctx, r, end)
	m.mu.Lock()
	defer m.mu.Unlock()
	d.busy = false
	m.counters.storeWrites.Add(1)
	if err != nil || !replaced {
		// The record may have been written although the response was lost, and the records of other services move the end.
		d.listed = false
	}
	if err != nil {
		m.counters.storeFailed.Add(1)
		d.retryAt = time.Now().Add(storeRetry)
		return
	}
	if replaced {
		d.end, d.savedAt = newEnd, time.Now()
		decider.Stored(r)
	}
}

// readBack reads what the store holds after a write that failed. If another node has taken over, this one stops deciding.
func (m *Manager) readBack(ctx context.Context, d *duty, decider *Decider) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, end, err := m.deps.Store.List(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	d.busy = false
	if err != nil {
		m.counters.storeFailed.Add(1)
		d.retryAt = time.Now().Add(storeRetry)
		return
	}
	d.end, d.listed = end, true
	for i := range records {
		r := &records[i]
		if r.Service != decider.record.Service {
			continue
		}
		own := r.Decider == decider.record.Decider && r.Term <= decider.record.Term
		switch {
		case own:
			decider.Stored(*r)
		case r.Term >= decider.taken:
			m.deps.Log.WithFields(log.Fields{
				"event": "rollout_released", "service": r.Service, "order": r.Order, "decider": r.Decider, "term": r.Term,
			}).Warn("another node has taken over the decision about the rollout")
			d.decider, d.seenSince = nil, time.Time{}
		}
	}
}

func (m *Manager) writeStatus(ctx context.Context, d *duty, decider *Decider, s Status) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := m.deps.Store.WriteStatus(ctx, s)
	m.mu.Lock()
	defer m.mu.Unlock()
	d.busy = false
	if err != nil {
		m.counters.storeFailed.Add(1)
		d.retryAt = time.Now().Add(storeRetry)
		return
	}
	if d.decider != decider {
		return
	}
	d.status = s.State
	switch s.State {
	case wire.RolloutCompleted:
		m.counters.completed.Add(1)
	case wire.RolloutRolledBack:
		m.counters.rolledBack.Add(1)
	}
	m.deps.Log.WithFields(log.Fields{
		"event": "rollout_status", "service": s.Service, "target_version": s.Target, "state": s.State.String(),
	}).Info("status of the rollout is in the store")
}

func (m *Manager) logChange(o *config.Rollout, c *Change) {
	fields := log.Fields{
		"event": "rollout_step", "service": o.Service, "target_version": o.TargetVersion, "state": c.State.String(),
		"share": c.Share, "reason": c.Reason, "sent_new": c.Spent, "total": c.Total,
	}
	if len(c.Focus) > 0 {
		fields["targets"] = c.Focus
	}
	if c.Evidence.Reason != "" {
		fields["kind"], fields["requests"], fields["failures"] = c.Evidence.Kind, c.Evidence.Requests, c.Evidence.Failures
		fields["old_requests"], fields["old_failures"] = c.Evidence.OldRequests, c.Evidence.OldFailures
	}
	entry := m.deps.Log.WithFields(fields)
	if c.State == wire.RolloutRolledBack {
		entry.Warn("rollout rolled back")
		return
	}
	entry.Info("step of a rollout")
}

// fleetOf returns the nodes that may send requests, and the targets of both versions.
func fleetOf(v *view.View, o *config.Rollout) Fleet {
	var f Fleet
	for name, e := range v.Nodes {
		if e.Live() {
			f.Live = append(f.Live, name)
		}
	}
	for _, e := range v.ByService[o.Service] {
		if e.State != endpoint.Alive || e.Withdrawn {
			continue
		}
		if e.SoftwareVersion == o.TargetVersion {
			f.NewTargets++
			f.New = append(f.New, e.Node)
		} else {
			f.OldTargets++
		}
	}
	return f
}
