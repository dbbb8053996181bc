package daemon

import (
	"slices"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/announce"
	"wagtailford.example/server/coordination/quota"
	"wagtailford.example/server/coordination/retry"
	"wagtailford.example/server/daemon/settings"
)

// adjustable are the settings that a running hosted node takes over; all others need a new process.
var adjustable = []string{
	"Node.ShutdownTimeout", "Platform.LeaveDelay", "Target.Service", "Target.Address",
	"Routing.RetryFraction", "Routing.RepeatWindow", "Routing.RepeatSlack",
	"Quota.Window", "Quota.Overage", "Quota.Slack",
}

// Reload takes over what may change while the node runs, and says what may not.
func (h *Hosted) Reload(next *settings.Settings) {
	changed := settings.Changed(h.live.Load(), next)
	ignored := slices.DeleteFunc(slices.Clone(changed), func(name string) bool { return slices.Contains(adjustable, name) })
	live := *h.live.Load()
	live.Node.ShutdownTimeout = next.Node.ShutdownTimeout
	live.Platform.LeaveDelay = next.Platform.LeaveDelay
	live.Target.Service = next.Target.Service
	live.Target.Address = next.Target.Address
	live.Routing.RetryFraction = next.Routing.RetryFraction
	live.Routing.RepeatWindow = next.Routing.RepeatWindow
	live.Routing.RepeatSlack = next.Routing.RepeatSlack
	live.Quota = next.Quota
	h.live.Store(&live)
	h.quota.SetLimit(quotaLimit(&live))
	h.registrar.SetIdentity(targetIdentity(&live))
	h.dispatch.SetRetryLimit(retryLimit(&live))
	logReload(changed, ignored)
}

// retryLimit returns the limit on repeats of all nodes together.
func retryLimit(s *settings.Settings) retry.FleetLimit {
	return retry.FleetLimit{
		Ratio: s.Routing.RetryFraction, Slack: float64(s.Routing.RepeatSlack), Window: s.Routing.RepeatWindow,
	}
}

// targetIdentity returns what the settings state of the target. It runs on the VM of the node, so in its failure domain.
func targetIdentity(s *settings.Settings) announce.Identity {
	return announce.Identity{Service: s.Target.Service, Address: s.Target.Address, FailureDomain: s.Node.FailureDomain}
}

// quotaLimit returns the bound on the requests of an organisation at all nodes together.
func quotaLimit(s *settings.Settings) quota.Limit {
	return quota.Limit{Window: s.Quota.Window, Overage: s.Quota.Overage, Slack: float64(s.Quota.Slack)}
}

// Reload says that the settings of a node with a log service need a new process.
func (d *Daemon) Reload(next *settings.Settings) {
	changed := settings.Changed(d.settings, next)
	logReload(changed, changed)
}

func logReload(changed, ignored []string) {
	entry := log.WithFields(log.Fields{"event": "reload", "changed": changed, "needs_restart": ignored})
	if len(ignored) > 0 {
		entry.Warn("some changed settings need a new process; the old values stay")
		return
	}
	entry.Info("settings reloaded")
}
