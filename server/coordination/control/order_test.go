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
// is lower, a node that starts installs it, and the peers of that node take it from there because its offset is higher.
func TestPublicationWithLowerSequence(t *testing.T) {
	const running, started = 9, 5
	synctest.Test(t, func(t *testing.T) {
		start := func(name string) *Loop {
			loop := New(testLoopSettings(time.Second), endpoint.Entry{Node: name, FailureDomain: "d"})
			go loop.Run(t.Context())
			return loop
		}
		first, starting := start("first"), start("starting")
		assert.NilError(t, first.InstallWhole(&config.Whole{Offset: 10, Sequence: running}))
		skipped := config.Whole{Offset: 20, Sequence: started}
		assert.NilError(t, first.InstallWhole(&skipped))
		assert.Equal(t, first.State().Offset(), uint64(10))
		assert.NilError(t, starting.InstallWhole(&skipped))
		reply, err := starting.HandleSync(t.Context(), &wire.SyncArgs{Node: "first", Offset: 10})
		assert.NilError(t, err)
		first.HandleSyncResult(fanout.SyncResult{From: fanout.Peer{Node: "starting"}, Reply: reply, Sent: time.Now()})
		assert.Equal(t, first.State().Sequence(), starting.State().Sequence(), "both nodes have one configuration")
		assert.Equal(t, first.State().Sequence(), uint64(running), "a snapshot installs what the node skipped as a publication")
	})
}
