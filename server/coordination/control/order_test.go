package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

// Guards against two paths that decide differently about one publication: a reader skips it because the publisher's number
// does not grow, a node that starts installs it, and the peers of that node take it from there because its offset is higher.
func TestPublicationWithLowerSequence(t *testing.T) {
	for _, c := range []struct {
		name             string
		running, started uint64
	}{{"lower", 9, 5}, {"equal", 9, 9}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := func(name string) *Loop {
					loop := New(Settings{
						Shape:    fanout.Topology{Mode: fanout.ModeTree, FollowersPerDomain: 2, RelayChildren: 4},
						SyncHold: time.Second, SyncAdmissionRate: 100, DeltaWindowRecords: 16,
					}, endpoint.Entry{Node: name, FailureDomain: "d"})
					go loop.Run(t.Context())
					return loop
				}
				running, starting := start("running"), start("starting")
				assert.NilError(t, running.InstallWhole(&config.Whole{Offset: 10, Sequence: c.running}))
				skipped := config.Whole{Offset: 20, Sequence: c.started}
				assert.NilError(t, running.InstallWhole(&skipped))
				assert.Equal(t, running.State().Offset(), uint64(10))
				assert.NilError(t, starting.InstallWhole(&skipped))
				reply, err := starting.HandleSync(t.Context(), &wire.SyncArgs{Node: "running", Offset: 10})
				assert.NilError(t, err)
				running.HandleSyncResult(fanout.SyncResult{From: fanout.Peer{Node: "starting"}, Reply: reply, Sent: time.Now()})
				assert.Equal(t, running.State().Sequence(), starting.State().Sequence(), "both nodes have one configuration")
				assert.Equal(t, running.State().Offset(), uint64(10), "a snapshot installs what the node skipped as a publication")
			})
		})
	}
}
