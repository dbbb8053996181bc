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

// lagTracker decides whether a node lags. It compares the offset in force with the highest offset known some time ago, so
// that a node which receives each of many successive configurations a little late does not lag.
type lagTracker struct {
	target uint64
	since  time.Time
	active bool
}

// update returns whether the state has changed between lagging and not lagging.
func (t *lagTracker) update(offset, highest uint64, now time.Time, limit time.Duration) (changed bool) {
	if offset >= t.target {
		t.target, t.since = highest, now
	}
	active := offset < t.target && now.Sub(t.since) >= limit
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
	reached := max(state.Offset(), l.skipped.Load())
	if !l.lag.update(reached, l.highestOffset.Load(), now, l.settings.LagLimit) {
		return
	}
	lag := Lag{Active: l.lag.active, Offset: state.Offset(), Version: state.Version(), Target: target, Since: since}
	l.notify.post(func() { l.notify.lag = &lag })
}
