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
					loop := New(testLoopSettings(time.Second), endpoint.Entry{Node: name, FailureDomain: "d"})
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

// Guards against a fleet that goes back to an older configuration, because a node that started after a late append of it has
// it at a higher offset; and against nodes that count as behind it or get it with every poll.
func TestSnapshotOfAnOlderPublicationIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := New(testLoopSettings(time.Second), endpoint.Entry{Node: "n1", FailureDomain: "d"})
		var last Lag
		loop.OnLag(func(l Lag) { last = l })
		go loop.Run(t.Context())
		started := New(testLoopSettings(time.Second), endpoint.Entry{Node: "n2", FailureDomain: "d"})
		go started.Run(t.Context())
		assert.NilError(t, loop.InstallWhole(&config.Whole{Offset: 10, Sequence: 22}))
		assert.NilError(t, started.InstallWhole(&config.Whole{Offset: 20, Sequence: 18}))
		reply, err := started.HandleSync(t.Context(), &wire.SyncArgs{Node: "n1", Offset: 10})
		assert.NilError(t, err)
		receive(loop, "n2", *reply)
		assert.Equal(t, loop.State().Sequence(), uint64(22))
		assert.Assert(t, !loop.IsBehind(loop.View().Offset))
		state, err := loop.LocalState(0)
		assert.NilError(t, err)
		assert.Equal(t, state.Rejected["n2"], uint64(20))
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Assert(t, !last.Active, "lags for a minute")
		assert.NilError(t, loop.InstallWhole(&config.Whole{Offset: 30, Sequence: 23}))
		assert.Equal(t, loop.Offset(), uint64(30))
	})
}
