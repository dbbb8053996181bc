// Package announce manages the lifecycle of the local target, from its announcement until it leaves: the local HTTP
// interface, the lease of an announcement, drain, shutdown, and health polling.
//
// Lifecycle makes the decisions without I/O; Announcer applies them.
package announce

import (
	"time"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/endpoint"
)

// Phase is the phase of the lifecycle.
type Phase uint8

// Phases of a target.
const (
	// Unannounced means that there is no target.
	Unannounced Phase = iota
	// Starting means that the target announced itself and does not accept connections yet.
	Starting
	// Alive means that the target accepts requests.
	Alive
	// Down means that the target crashed or did not renew its announcement. The node stays the owner of its keys, so
	// its entry does not change.
	Down
	// Draining means that the target completes its requests and that the node transfers its key records.
	Draining
	// Left means that no request is in flight and the key records were transferred.
	Left
)

var phaseNames = [...]string{"unannounced", "starting", "alive", "down", "draining", "left"}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// Announcement is the description that a target sends of itself.
type Announcement struct {
	Service    string            `json:"service"`
	Address    string            `json:"address"`
	Slots      int               `json:"slots"`
	Labels     map[string]string `json:"labels"`
	HealthPath string            `json:"health_path"`
	LoadPath   string            `json:"load_path"`
	// Start identifies one start of the target's process; it may be empty.
	Start string `json:"start"`
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	// EventAnnounced is an announcement or its renewal.
	EventAnnounced EventKind = iota + 1
	// EventConnected means that the target accepts connections.
	EventConnected
	// EventTick means that the lease may have expired.
	EventTick
	// EventCrashed means that the target was found to have crashed.
	EventCrashed
	// EventUnhealthy means that the target answers neither requests nor health polls.
	EventUnhealthy
	// EventWithdrawn means that the target leaves.
	EventWithdrawn
	// EventDrain and EventUndrain are commands of an operator.
	EventDrain
	EventUndrain
	// EventStop means that the node shuts down.
	EventStop
	// EventClosed means that the draining state has reached the other nodes, so new requests are refused from now on.
	EventClosed
	// EventDrained means that no request is in flight and the key records were transferred.
	EventDrained
)

// Event is an event that may change the state of the target.
type Event struct {
	Kind EventKind
	At   time.Time
	// Announcement is set for EventAnnounced.
	Announcement Announcement
}

// Effect is an action that a transition requires.
type Effect uint8

// Effects.
const (
	// EffectPublish changes the entry of the node.
	EffectPublish Effect = 1 << iota
	// EffectConnect waits until the target accepts connections.
	EffectConnect
	// EffectJoin publishes the entry and then makes the node an owner of keys of the service.
	EffectJoin
	// EffectDrain publishes the entry and then drains.
	EffectDrain
)

// Lifecycle is the state of the target. The zero value is a node without a target.
type Lifecycle struct {
	Phase        Phase
	Announcement Announcement
	// LeaseUntil is the time at which the announcement expires.
	LeaseUntil time.Time
	// Started is the time from which slow start counts.
	Started time.Time
	// Held is true after an operator has drained the target, until the operator undrains it.
	Held bool
	// Withdrawn is true if the target has left and not announced itself since. Entry.Withdrawn is also true while the target
	// drains or is down.
	Withdrawn bool
	// Stopping is true if the node shuts down.
	Stopping bool
	// Closed is true if new requests are refused while draining.
	Closed bool
}

// Step returns the state after an event and the effect of the transition.
func (l Lifecycle) Step(e Event, lease time.Duration) (Lifecycle, Effect) {
	switch e.Kind {
	case EventAnnounced:
		return l.announced(e, lease)
	case EventConnected:
		return l.connected(e)
	case EventTick:
		return l.tick(e)
	case EventCrashed, EventUnhealthy:
		return l.down()
	case EventWithdrawn:
		return l.withdrawn()
	case EventDrain:
		l.Held = true
		return l.drain()
	case EventUndrain:
		return l.undrain(e)
	case EventStop:
		l.Stopping = true
		return l.drain()
	case EventClosed:
		l.Closed = l.Closed || l.Phase == Draining
		return l, 0
	case EventDrained:
		return l.drained(e)
	default:
		return l, 0
	}
}

func (l Lifecycle) announced(e Event, lease time.Duration) (Lifecycle, Effect) {
	previous := l.Announcement
	l.Announcement = e.Announcement
	l.LeaseUntil = e.At.Add(lease)
	l.Withdrawn = false
	switch l.Phase {
	case Unannounced:
		l.Phase = Starting
		return l, EffectConnect
	case Down:
		l.Phase = Alive
		l.Started = e.At
		return l, EffectPublish
	case Alive:
		if previous.Start != e.Announcement.Start || previous.Address != e.Announcement.Address {
			l.Started = e.At
			return l, EffectPublish
		}
		if !sameTarget(previous, e.Announcement) {
			return l, EffectPublish
		}
	}
	return l, 0
}

func (l Lifecycle) connected(e Event) (Lifecycle, Effect) {
	if l.Phase != Starting {
		return l, 0
	}
	l.Phase = Alive
	l.Started = e.At
	return l, EffectJoin
}

func (l Lifecycle) tick(e Event) (Lifecycle, Effect) {
	if e.At.Before(l.LeaseUntil) {
		return l, 0
	}
	if l.Phase == Starting {
		l.Phase = Unannounced
		return l, 0
	}
	return l.down()
}

func (l Lifecycle) down() (Lifecycle, Effect) {
	if l.Phase == Alive {
		l.Phase = Down
	}
	return l, 0
}

func (l Lifecycle) withdrawn() (Lifecycle, Effect) {
	if l.Phase == Unannounced {
		return l, 0
	}
	l.Withdrawn = true
	if l.Phase == Starting {
		l.Phase = Unannounced
		return l, 0
	}
	return l.drain()
}

func (l Lifecycle) drain() (Lifecycle, Effect) {
	if l.Phase == Draining || l.Phase == Left {
		return l, 0
	}
	// Without a target that accepts requests, the other nodes need not be told before new requests are refused.
	l.Closed = l.Phase != Alive
	l.Phase = Draining
	return l, EffectDrain
}

func (l Lifecycle) undrain(e Event) (Lifecycle, Effect) {
	l.Held = false
	if l.Phase != Left || l.Stopping {
		return l, 0
	}
	return l.resume(e)
}

func (l Lifecycle) drained(e Event) (Lifecycle, Effect) {
	if l.Phase != Draining {
		return l, 0
	}
	if l.Held || l.Stopping {
		l.Phase = Left
		return l, EffectPublish
	}
	return l.resume(e)
}

// resume ends a drain; the target becomes usable again if it is still announced.
func (l Lifecycle) resume(e Event) (Lifecycle, Effect) {
	l.Closed = false
	if l.Withdrawn || !e.At.Before(l.LeaseUntil) {
		l.Phase = Unannounced
		return l, EffectPublish
	}
	l.Phase = Starting
	return l, EffectPublish | EffectConnect
}

// State returns the state of the node's entry.
func (l Lifecycle) State() endpoint.State {
	switch l.Phase {
	case Alive, Down:
		return endpoint.Alive
	case Draining:
		return endpoint.Draining
	case Left:
		return endpoint.Left
	default:
		return endpoint.NoTarget
	}
}

// Refuse returns the reason for which new requests are refused; none if the target accepts requests.
func (l Lifecycle) Refuse() outcome.Reason {
	switch {
	case l.Phase == Alive, l.Phase == Draining && !l.Closed:
		return outcome.ReasonNone
	case l.Stopping:
		return outcome.ReasonShutdown
	case l.Phase == Draining, l.Phase == Left:
		return outcome.ReasonDraining
	case l.Phase == Down:
		return outcome.ReasonTargetDown
	default:
		return outcome.ReasonNoTarget
	}
}
