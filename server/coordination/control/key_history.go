package control

import (
	"context"

	"wagtailford.example/server/state/config"
)

// KeyHistoryChange is a rise of what this node knows of keys in earlier configurations.
type KeyHistoryChange struct {
	History config.KeyHistory
	// From is the peer that stated it or sent the configuration, or FromSource.
	From string
}

// OnKeyHistory sets the function that is called after this node has learned more of keys in earlier configurations. It must be set
// before Run.
func (l *Loop) OnKeyHistory(f func(KeyHistoryChange)) { l.notify.onKeyHistory = f }

// StateKeyHistory takes over what a source states of keys in earlier configurations.
func (l *Loop) StateKeyHistory(h config.KeyHistory) {
	_ = l.do(context.Background(), func() { l.heardOfKeys(h, FromSource) })
}

// heardOfKeys takes over what a source or another node states. A node of an older build states nothing.
func (l *Loop) heardOfKeys(h config.KeyHistory, from string) {
	if l.raiseKeyHistory(h, from) {
		l.publishView()
	}
}

// raiseKeyHistory takes over a higher value, and reports whether it is one. The caller publishes the view.
func (l *Loop) raiseKeyHistory(h config.KeyHistory, from string) bool {
	h = min(h, config.KeysIssued)
	if h <= l.keyHistory {
		return false
	}
	l.keyHistory = h
	l.notify.post(func() { l.notify.keyHistory = &KeyHistoryChange{History: h, From: from} })
	return true
}
