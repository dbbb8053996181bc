package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

// largeConfiguration returns a published configuration with a number of routes.
func largeConfiguration(offset uint64, routes int) *config.Whole {
	w := &config.Whole{Offset: offset, Sequence: offset}
	w.Content.Services = []config.Service{{Name: "orders"}}
	for i := range routes {
		w.Content.Routes = append(w.Content.Routes, config.Route{
			Name: fmt.Sprintf("r-%06d", i), Host: "shop.example", Caller: config.AnyCaller, PathPrefix: fmt.Sprintf("/p%d/", i),
			Timeout: time.Second, MaxAttempts: 2, Destinations: []config.Destination{{Service: "orders", Weight: 1}},
		})
	}
	return w
}

// Guards against a configuration that the readers of the source install and every other node refuses, so that most of the
// fleet keeps the previous one.
func TestPeersInstallWhatReadersInstall(t *testing.T) {
	for _, routes := range []int{4096, 4097, 5333, 20_000} {
		t.Run(fmt.Sprint(routes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := Settings{
					Shape:    fanout.Topology{Mode: fanout.ModeTree, FollowersPerDomain: 2, RelayChildren: 4},
					SyncHold: time.Second, SyncAdmissionRate: 100, DeltaWindowRecords: 16,
				}
				reader := New(settings, endpoint.Entry{Node: "n1", FailureDomain: "d"})
				go reader.Run(t.Context())
				child := New(settings, endpoint.Entry{Node: "n2", FailureDomain: "d"})
				go child.Run(t.Context())
				assert.NilError(t, reader.InstallWhole(largeConfiguration(5, routes)))
				reply, err := reader.HandleSync(t.Context(), &wire.SyncArgs{Node: "n2"})
				assert.NilError(t, err)
				child.HandleSyncResult(fanout.SyncResult{
					From: fanout.Peer{Node: "n1"}, Relation: fanout.ToParent, Reply: reply, Sent: time.Now(),
				})
				assert.Equal(t, child.Offset(), uint64(5))
				assert.Equal(t, len(child.View().Content.Routes), routes)
			})
		})
	}
}
