package control

import (
	"time"

	"wagtailford.example/server/state/config"
)

// Lag describes a node that lacks a configuration which it knows to exist.
type Lag struct {
	// Active is true if the node has not reached Target within Settings.LagLimit, and false once it has.
	Active bool
	// Offset and Version are those in force, Target is the offset that the node heard of at Since.
	Offset  uint64
	Version config.Version
	Target  uint64
	Since   time.Time
}

// lagTracker decides whether a node lags. It compares the state in force with the highest one known some time ago, so
// that a node which receives each of many successive configurations a little late does not lag.
type lagTracker struct {
	target config.Order
	since  time.Time
	active bool
}

// update returns whether the state has changed between lagging and not lagging.
func (t *lagTracker) update(reached, highest config.Order, now time.Time, limit time.Duration) (changed bool) {
	if !t.target.Above(reached) {
		t.target, t.since = highest, now
	}
	active := t.target.Above(reached) && now.Sub(t.since) >= limit
	changed = active != t.active
	t.active = active
	return changed
}

// updateLag reports when the node begins or ceases to lag.
func (l *Loop) updateLag(now time.Time) {
	if l.settings.LagLimit <= 0 {
		return
	}
	state := l.state.Load()
	target, since := l.lag.target, l.lag.since
	if !l.lag.update(l.reached(), l.highest(), now, l.settings.LagLimit) {
		return
	}
	lag := Lag{Active: l.lag.active, Offset: state.Offset(), Version: state.Version(), Target: target.Offset, Since: since}
	l.notify.post(func() { l.notify.lag = &lag })
}
