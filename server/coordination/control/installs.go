package control

import (
	"slices"
	"sync"
	"time"

	"wagtailford.example/server/state/config"
)

// installsMax is the number of versions whose convergence time is kept.
const installsMax = 256

// Install is one version that this node put in force.
type Install struct {
	Version config.Version `json:"version"`
	// LagMS is the time in milliseconds from when the log stored the record until the version was in force here. It
	// compares two clocks and is only as accurate as they agree.
	LagMS int64 `json:"lag_ms"`
}

// installs keeps the last versions that came into force by applying single records. Versions from before the start of
// the process and those skipped by a snapshot are not among them.
type installs struct {
	mu   sync.Mutex
	last []Install
}

func (i *installs) add(v config.Version, storedMS int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.last) == installsMax {
		i.last = slices.Delete(i.last, 0, 1)
	}
	i.last = append(i.last, Install{Version: v, LagMS: time.Now().UnixMilli() - storedMS})
}

// Installs returns the last versions that came into force here, oldest first.
func (l *Loop) Installs() []Install {
	l.installs.mu.Lock()
	defer l.installs.mu.Unlock()
	return slices.Clone(l.installs.last)
}

// SnapshotInstall describes how a complete state from a peer came into force on this node.
type SnapshotInstall struct {
	Version  config.Version
	Sequence uint64
	Routes   int
	// KeysRequired is whether requests need the key of an organisation.
	KeysRequired bool
	// From is the peer that sent the state.
	From string
	// AgeMS is the time in milliseconds since a reader received the publication from the source. It compares two clocks
	// and is only as accurate as they agree.
	AgeMS int64
	// HighestSeen is the highest offset that the source or any peer had stated by then.
	HighestSeen uint64
	// ContactAge is the time since the last contact in the sense of rule R6.
	ContactAge time.Duration
	// Ready is whether the node was ready with this state.
	Ready bool
}

// reportSnapshotInstall passes the current state, which a peer sent, to the callback for snapshot installs.
func (l *Loop) reportSnapshotInstall(from string, now time.Time) {
	state := l.state.Load()
	i := SnapshotInstall{
		Version: state.Version(), Sequence: state.Sequence(), Routes: len(state.Content().Routes), From: from,
		KeysRequired: state.Content().RequiresKeys(),
		HighestSeen:  l.HighestOffset(), ContactAge: l.ContactAge(), Ready: l.ready,
	}
	if history := state.History(); len(history) > 0 {
		i.AgeMS = now.UnixMilli() - history[0].TimeMS
	}
	l.notify.post(func() { l.notify.installed = append(l.notify.installed, i) })
}
