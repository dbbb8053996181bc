// Package membership decides on the liveness of nodes: who watches a node, when it is suspected or declared dead,
// how its owner refutes a verdict, and when a node must stop serving keys because it may have been declared dead.
//
// Everything here is pure; times are arguments.
package membership

import (
	"time"

	"wagtailford.example/server/state/endpoint"
)

// Timeouts are the settings that verdicts depend on.
type Timeouts struct {
	// SuspectAfter and DeadAfter count from the last sign of life.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// SelfFence is the contact age above which a node starts no request with a key. It is less than DeadAfter.
	SelfFence time.Duration
}

// Watcher describes the node that watches others.
type Watcher struct {
	Node          string
	FailureDomain string
	// Follower is true if the watcher is a log follower of its failure domain.
	Follower bool
	// Followers are the log followers of the failure domain in rank order, as the watcher sees them.
	Followers []string
}

// Watches reports whether the watcher is responsible for the liveness of e. parent is the entry of e's parent; nil
// if e has none or it is not known. A node with a live parent is watched by that parent, a follower by the next
// follower in the ring, and a node whose parent is dead or unknown by every follower of the failure domain.
func (w Watcher) Watches(e, parent *endpoint.Entry) bool {
	if e.Node == w.Node || !e.Live() {
		return false
	}
	if parent != nil && parent.Live() {
		return parent.Node == w.Node
	}
	if !w.Follower || e.FailureDomain != w.FailureDomain {
		return false
	}
	for i, follower := range w.Followers {
		if follower == e.Node {
			return w.Followers[(i+1)%len(w.Followers)] == w.Node
		}
	}
	return true
}

// Observation are the signs of life that a watcher has of a node.
type Observation struct {
	// LastHeard is the time at which the last poll was answered, or at which the watch began.
	LastHeard time.Time
	// PollOpen is true while a poll of the node is open.
	PollOpen bool
	// ConnectionClosed is true if the node's process closed its connection since Heard.
	ConnectionClosed bool
	// Joining is true if the node has not found a parent yet.
	Joining bool
}

// joiningFactor multiplies the times for a node that has not found a parent yet. After the loss of many nodes it may
// try several dead parents first, at one to two seconds each.
const joiningFactor = 3

// Evaluate returns the verdict on e: Suspect, Dead, or e.State if nothing changes. Nodes of another failure domain are
// never declared dead, since the link to their failure domain may be what is down.
func (w Watcher) Evaluate(e *endpoint.Entry, signs Observation, now time.Time, rules Timeouts) endpoint.State {
	if signs.PollOpen || !e.Live() {
		return e.State
	}
	silent := now.Sub(signs.LastHeard)
	if signs.Joining {
		silent /= joiningFactor
	}
	if silent >= rules.DeadAfter && e.FailureDomain == w.FailureDomain {
		return endpoint.Dead
	}
	if silent >= rules.SuspectAfter || signs.ConnectionClosed {
		return endpoint.Suspect
	}
	return e.State
}

// ApplyDecision returns e with a verdict: the owner's last revision with a larger state.
func ApplyDecision(e endpoint.Entry, verdict endpoint.State, now time.Time) endpoint.Entry {
	e.State = verdict
	if verdict == endpoint.Dead {
		e.DiedMS = now.UnixMilli()
	}
	return e
}

// Refutation is the owner's answer to a foreign value of its own entry.
type Refutation struct {
	// Key replaces the incarnation and revision of the owner's entry if Refute is true; the state stays the owner's.
	Key    endpoint.Key
	Refute bool
	// DeclaredDead is true if others may have acted on the owner's death.
	DeclaredDead bool
}

// Refute compares the owner's entry with a value of it that came from others. A death verdict on an older revision
// counts too, unless the owner has answered it: others have acted on it.
func Refute(own, seen *endpoint.Entry) Refutation {
	answer := Refutation{Key: own.Key}
	answer.DeclaredDead = seen.State == endpoint.Dead && seen.Incarnation == own.Incarnation &&
		seen.Revision >= own.Rejoined
	answer.Refute = answer.DeclaredDead || seen.Key.Compare(own.Key) > 0
	switch {
	case !answer.Refute:
	case seen.Incarnation > own.Incarnation:
		answer.Key.Incarnation = Incarnation(own.Incarnation, seen.Incarnation)
	default:
		answer.Key.Revision = max(own.Revision, seen.Revision) + 1
	}
	return answer
}

// Incarnation returns the incarnation of a process that started at startNS (Unix nanoseconds) when highest is the
// highest incarnation that a peer reported for the node. A process on a VM whose clock runs behind still outranks
// its predecessor.
func Incarnation(startNS, highest int64) int64 {
	return max(startNS, highest+1)
}

// ContactTime returns the time of the contact that a reply proves. The poll was sent at sent, and the other end held
// it for held and then answered with its own contact age. Counting from the sending keeps a process that was paused
// before it read the reply from believing that the contact is recent.
func ContactTime(sent time.Time, held, age time.Duration) time.Time {
	return sent.Add(held).Add(-age)
}

// Fenced reports whether a node with this contact age must not start a request that has a key.
func Fenced(age time.Duration, rules Timeouts) bool {
	return age > rules.SelfFence
}

// PauseCompensation returns by how much the signs of life must be moved forward after a tick that came late: a watcher
// that was paused could not hear the polls that arrived meanwhile. last is the time of the previous tick.
func PauseCompensation(last, now time.Time, interval time.Duration) time.Duration {
	gap := now.Sub(last)
	if gap <= 2*interval {
		return 0
	}
	return gap
}
