package daemon

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/control"
	"wagtailford.example/server/coordination/dispatch"
	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/daemon/logging"
	"wagtailford.example/server/daemon/settings"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/view"
)

// refusedAt dispatches a request for a route that the view lacks, and returns the fields of its line.
func refusedAt(t *testing.T, v *view.View, newest uint64, path string) log.Fields {
	t.Helper()
	lines := memory.New()
	o := newObserver(&log.Logger{Handler: lines}, func() uint64 { return newest })
	h := dispatch.New(dispatch.Settings{}, dispatch.Dependencies{View: func() *view.View { return v }, Observe: o.request})
	result := h.Do(t.Context(), &dispatch.Request{ID: "q1", Method: "GET", Host: "shop.example", Path: path})
	assert.Equal(t, result.Outcome, outcome.RefusedNotRun)
	assert.Equal(t, len(lines.Entries), 1)
	return lines.Entries[0].Fields
}

// Guards against a refusal for want of a route whose line does not tell whether the node lacks the newest configuration
// or the match failed.
func TestNoRouteLineNamesTheConfigurationInForce(t *testing.T) {
	v := &view.View{
		Version: 5, Offset: 5, Sequence: 16, From: "n2", Since: time.Now().Add(-time.Minute), Ready: true,
		Content: &config.Content{Routes: []config.Route{{Name: "a", Host: "other.example", PathPrefix: "/"}}},
	}
	fields := refusedAt(t, v, 7, "/orders/1?customer=2")
	inForce, ok := fields["in_force_ms"].(int64)
	assert.Assert(t, ok && inForce >= time.Minute.Milliseconds() && inForce < time.Hour.Milliseconds(), "%v", fields)
	for name, want := range map[string]any{
		"event": eventFailed, "request": "q1", "reason": "no_route", "host": "shop.example", "path": "/orders/1", "path_bytes": 9,
		"version": config.Version(5), "offset": uint64(5), "sequence": uint64(16), "from": "n2", "newest": uint64(7), "routes": 1,
	} {
		assert.Check(t, fields[name] == want, "%s is %v, not %v", name, fields[name], want)
	}
}

// Guards against a caller who fills the log with long paths that match no route.
func TestNoRouteLineBoundsThePath(t *testing.T) {
	v := &view.View{Version: 5, Offset: 5, Ready: true, Content: &config.Content{}}
	path := "/" + strings.Repeat("a", 10*loggedPathMax)
	fields := refusedAt(t, v, 5, path)
	assert.Equal(t, fields["path"], path[:loggedPathMax])
	assert.Equal(t, fields["path_bytes"], len(path))
}

// Guards against the cost and the bytes of these fields on refusals that have nothing to do with the configuration.
func TestOtherRefusalsDoNotNameTheConfiguration(t *testing.T) {
	fields := refusedAt(t, &view.View{}, 7, "/orders/1")
	assert.Equal(t, fields["reason"], "not_ready")
	for _, name := range []string{"host", "path", "from", "in_force_ms", "newest", "routes"} {
		_, found := fields[name]
		assert.Check(t, !found, name)
	}
}

// Guards against a rejection whose line lacks what tells its cause.
func TestRejectionLineNamesPeerAndCause(t *testing.T) {
	fields := rejectionFields(control.SnapshotRejection{
		From: "n2", Offset: 6, Bytes: 100, DecompressedBytes: 1000, Error: "too many", Version: 5, Sequence: 16, HighestSeen: 7,
	})
	assert.DeepEqual(t, fields, log.Fields{
		"event": "configuration_rejected", "version": uint64(6), "from": "n2", "bytes": 100, "decompressed_bytes": 1000,
		"error": "too many", "in_force": config.Version(5), "sequence_in_force": uint64(16), "newest": uint64(7),
	})
}

// Guards against a node whose control loop reports rejections to nobody.
func TestRejectionsReachTheLog(t *testing.T) {
	rejected := make(chan log.Fields, 16)
	logging.Setup(log.HandlerFunc(func(e *log.Entry) error {
		if e.Fields["event"] == "configuration_rejected" {
			rejected <- e.Fields
		}
		return nil
	}), log.InfoLevel)
	t.Cleanup(func() { logging.Setup(discard.Default, log.InfoLevel) })
	s, err := settings.Parse("test", []byte(nodeSettings(startLog(t), "n1")))
	assert.NilError(t, err)
	c := &core{settings: s, started: time.Now()}
	c.buildControl(controlHooks{hold: time.Second, rolesChanged: func(fanout.Roles) {}, declaredDead: func() {}})
	t.Cleanup(c.controlPool.Close)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { c.control.Run(ctx) })
	reply := &wire.SyncReply{Snapshot: []byte("garbage")}
	c.control.HandleSyncResult(fanout.SyncResult{From: fanout.Peer{Node: "n2"}, Reply: reply, Sent: time.Now()})
	select {
	case fields := <-rejected:
		assert.Equal(t, fields["from"], "n2")
	case <-time.After(limit):
		t.Error("no line about the rejection")
	}
	cancel()
	running.Wait()
}
