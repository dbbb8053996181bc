package daemon

import (
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/control"
	"wagtailford.example/server/coordination/execute"
	"wagtailford.example/server/state/config"
)

// KeyHistory returns what the node knows of keys in earlier configurations.
func (h *Hosted) KeyHistory() config.KeyHistory { return h.control.View().KeyHistory }

// logKeyHistory logs what the node has learned of keys in earlier configurations.
func logKeyHistory(c control.KeyHistoryChange) {
	log.WithFields(log.Fields{"event": "key_history", "history": c.History.String(), "from": c.From}).
		Info("learned whether a configuration has had a list of organisations")
}

// mayTargetCall reports whether the target may run a request, and so make calls for it.
func (h *Hosted) mayTargetCall() bool {
	now := time.Now()
	return h.executor.MayRunRequest(now) || mayBeFromEarlierProcess(now.Sub(h.started), h.longestTimeout())
}

// mayBeFromEarlierProcess reports whether the target may run a request that an earlier process of this node sent. Such requests are
// not known, so they are assumed until the longest timeout of a route has passed since this process started.
func mayBeFromEarlierProcess(age, longest time.Duration) bool {
	return age < longest+execute.CallMargin
}
