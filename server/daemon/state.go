package daemon

import (
	"encoding/json"
	"expvar"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"wagtailford.example/server/coordination/operator"
	"wagtailford.example/server/daemon/admin"
	"wagtailford.example/server/protocol/wire"
)

// metricsName is the name of the expvar variable with all counters.
const metricsName = "wagtaild"

// source has the counters of a process.
type source interface {
	metrics() map[string]any
}

// published is the node whose counters the expvar variable shows.
var published atomic.Value

// publishOnce registers the variable once per process, since a second registration of a name panics.
var publishOnce = sync.OnceFunc(func() {
	expvar.Publish(metricsName, expvar.Func(func() any { return published.Load().(metricsHolder).metrics() }))
})

// metricsHolder gives the values of an atomic.Value one type.
type metricsHolder struct {
	source
}

// publishMetrics makes the counters of all parts one expvar variable. With several nodes in one process it shows the
// one that started last.
func publishMetrics(s source) {
	published.Store(metricsHolder{s})
	publishOnce()
}

// metrics returns the counters of all parts.
func (d *Daemon) metrics() map[string]any {
	return map[string]any{
		"PeerServer":  d.peers.Counters().Values(),
		"ControlPool": d.controlPool.Counters().Values(),
		"TrafficPool": d.trafficPool.Counters().Values(),
		"Log":         d.log.Stats(),
		"Follower":    d.follower.Stats(),
		"Control":     d.control.Counters(),
		"Fanout":      d.syncer.Counters.Values(),
		"Ingress":     d.ingress.Counters().Values(),
		"Process": map[string]any{
			"Goroutines":    runtime.NumGoroutine(),
			"UptimeSeconds": int64(time.Since(d.started).Seconds()),
		},
		"Execute":   d.executor.Dump(),
		"Announce":  d.announce.Dump(),
		"Ownership": d.keys.Dump(),
	}
}

// dump returns the state of the process as JSON.
func (d *Daemon) dump() ([]byte, error) {
	return encodeDump(map[string]any{
		"node":      d.settings.Node,
		"listen":    d.settings.Listen,
		"started":   d.started,
		"control":   d.control.Dump(),
		"roles":     d.control.Roles(),
		"follower":  d.follower.Stats(),
		"ownership": d.keys.Dump(),
		"execute":   d.executor.Dump(),
		"announce":  d.announce.Dump(),
		"ingress":   d.ingress.Dump(),
	})
}

// encodeDump encodes the parts of a dump within its bound.
func encodeDump(parts map[string]any) ([]byte, error) {
	data, err := json.MarshalIndent(parts, "", "  ")
	if err != nil {
		return nil, err
	}
	if len(data) > admin.DumpMaxBytes {
		return nil, fmt.Errorf("the dump has %d bytes, the limit is %d", len(data), admin.DumpMaxBytes)
	}
	return data, nil
}

func (d *Daemon) drainForPeer(args wire.DrainArgs) (wire.DrainReply, error) {
	return wire.DrainReply{State: d.announce.Drain(args.Undrain)}, nil
}

func (d *Daemon) drainForOperator(undrain bool) (string, error) {
	return operator.StateName(d.announce.Drain(undrain)), nil
}
