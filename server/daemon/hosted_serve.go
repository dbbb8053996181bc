package daemon

import (
	"context"
	"net"
	"runtime"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app/server"

	"wagtailford.example/server/coordination/transfer"
	"wagtailford.example/server/daemon/admin"
	"wagtailford.example/server/transport/account"
	"wagtailford.example/server/transport/httpserver"
)

// serve starts every server and returns a channel that receives the first failure.
func (h *Hosted) serve(ctx context.Context) <-chan error {
	r := newRunner(ctx)
	l := h.listeners
	limits := h.httpLimits()
	limits.Requests, limits.Account = h.callerLimits, h.callerBytes
	limits.WholeBodyMaxBytes = transfer.MaxWholeBytes
	callers := httpserver.New(l.track(l.ingress), limits)
	h.platform.ServeCallers(callers, h.dispatch, h.closing.Load, h.isTargetHost)
	few := h.httpLimits()
	few.ConnectionsMax = adminConnectionsMax
	targets := httpserver.New(l.track(l.announce), few)
	h.platform.ServeTargets(targets, h.registrar)
	ready := httpserver.New(l.track(l.ready), few)
	h.platform.ServeReady(ready, h.Ready)
	metrics := admin.New(l.track(l.admin), few, admin.Deps{
		Dump:        h.dump,
		Ready:       h.Ready,
		Convergence: func() any { return h.control.Installs() },
		Profile:     h.settings.Listen.Profile,
	})
	h.work.Go(func() { h.closeIdleCallers(ctx, callers) })
	l.http = []*server.Hertz{callers, targets, ready, metrics}
	r.run("peer listener", func() error { return h.peers.Serve(l.peer) })
	r.run("ingress listener", callers.Run)
	r.run("announce listener", targets.Run)
	r.run("ready listener", ready.Run)
	r.run("admin listener", metrics.Run)
	if l.operator != nil {
		r.run("operator listener", func() error { return l.grpc.Serve(l.operator) })
	}
	return r.failed
}

// isTargetHost reports whether an IP address is that of the local target. Calls of its running requests come from there.
func (h *Hosted) isTargetHost(ip string) bool {
	host, _, err := net.SplitHostPort(h.executor.Target().Address)
	return err == nil && host == ip
}

// callerLimits returns the limits of requests that the configuration in force sets.
func (h *Hosted) callerLimits() httpserver.RequestLimits {
	content := h.control.View().Content
	if content == nil {
		return httpserver.RequestLimits{}
	}
	limits := content.CallerLimits
	return httpserver.RequestLimits{
		HeaderMaxBytes: int(limits.HeaderMaxBytes), BodyMaxBytes: int(limits.BodyMaxBytes), HeaderTimeout: limits.HeaderTimeout,
	}
}

// bodyMaxBytes returns the limit of request bodies.
func (h *Hosted) bodyMaxBytes() int {
	if published := h.callerLimits().BodyMaxBytes; published > 0 {
		return published
	}
	return int(h.settings.Limits.BodyMax)
}

// newCallerBytes returns the account of the bytes that requests of callers hold.
func newCallerBytes(limit int64) *account.Shared {
	a := account.New(limit)
	a.OnShedding = func(shedding bool, values account.Values) {
		entry := log.WithField("bytes", values)
		if shedding {
			entry.WithField("event", "shedding_started").Warn("callers hold too many bytes; connections are closed, unfinished requests first")
			return
		}
		entry.WithField("event", "shedding_ended").Info("callers hold less than half of the bytes allowed")
	}
	return a
}

// idleInterval is the time between two searches for idle connections. Callers stay well below the idle timeout, so a
// search that is a little late costs nothing but connections.
const idleInterval = time.Second

// closeIdleCallers closes connections of callers that wait longer than the configuration allows.
func (h *Hosted) closeIdleCallers(ctx context.Context, callers *server.Hertz) {
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if content := h.control.View().Content; content != nil && content.CallerIdleTimeout > 0 {
			httpserver.CloseIdle(callers, content.CallerIdleTimeout)
		}
	}
}

// metrics returns the counters of all parts.
func (h *Hosted) metrics() map[string]any {
	return map[string]any{
		"PeerServer":  h.peers.Counters().Values(),
		"ControlPool": h.controlPool.Counters().Values(),
		"TrafficPool": h.trafficPool.Counters().Values(),
		"Control":     h.control.Counters(),
		"Source":      h.follower.Counters.Values(),
		"Fanout":      h.syncer.Counters.Values(),
		"Dispatch":    h.dispatch.Dump(),
		"Rollout":     h.rollouts.Counters(),
		"Execute":     h.executor.Dump(),
		"Quota":       h.quota.Counters(),
		"Store":       h.platform.Counters(),
		"CallerBytes": h.callerBytes.Values(),
		"Process": map[string]any{
			"Goroutines":    runtime.NumGoroutine(),
			"UptimeSeconds": int64(time.Since(h.started).Seconds()),
		},
	}
}

// dump returns the state of the process as JSON.
func (h *Hosted) dump() ([]byte, error) {
	return encodeDump(map[string]any{
		"node":     h.settings.Node,
		"listen":   h.settings.Listen,
		"started":  h.started,
		"control":  h.control.Dump(),
		"roles":    h.control.Roles(),
		"target":   h.registrar.Current(),
		"dispatch": h.dispatch.Dump(),
		"execute":  h.executor.Dump(),
		"quota":    h.quota.Dump(),
		"store":    h.platform.Counters(),
		"callers":  h.callerBytes.Values(),
		"rollouts": h.rollouts.Dump(),
	})
}
