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

// Guards against a node that knows of a newer configuration, does not get it from its peers, and never looks for it
// elsewhere, and against one that looks for each of many configurations that arrive a little late.
func TestMissingConfigurationIsReportedAsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = time.Second
		loop := New(Settings{
			Shape: fanout.Topology{Mode: fanout.ModeTree, FollowersPerDomain: 2, RelayChildren: 4}, SyncAdmissionRate: 100,
			LagLimit: limit,
		}, endpoint.Entry{Node: "n1", FailureDomain: "d"})
		var reported []Lag
		loop.OnLag(func(l Lag) { reported = append(reported, l) })
		go loop.Run(t.Context())
		install := func(offset uint64) {
			assert.NilError(t, loop.InstallWhole(&config.Whole{Offset: offset, Sequence: offset}))
		}
		hear := func(offset uint64) { receive(loop, "n2", wire.SyncReply{HighestOffset: offset}) }
		install(1)
		for offset := uint64(2); offset < 40; offset++ {
			hear(offset)
			time.Sleep(limit / 4)
			hear(offset + 1)
			time.Sleep(limit / 4)
			install(offset)
		}
		synctest.Wait()
		assert.Equal(t, len(reported), 0, "each one arrives within the limit")

		install(40)
		hear(41)
		time.Sleep(limit + 2*tickInterval)
		synctest.Wait()
		assert.Equal(t, len(reported), 1)
		assert.Assert(t, reported[0].Active && reported[0].Offset == 40 && reported[0].Target == 41, "%+v", reported[0])
		install(41)
		time.Sleep(2 * tickInterval)
		synctest.Wait()
		assert.Equal(t, len(reported), 2)
		assert.Assert(t, !reported[1].Active && reported[1].Offset == 41, "%+v", reported[1])
	})
}

// Guards against a node that refuses unknown routes and reads the store for ever, because a peer that is gone stated the offset of a
// publication that this node has read and that has the same number as the one in force, as after an append whose response was
// lost, or a lower one.
func TestSkippedPublicationIsNoLag(t *testing.T) {
	for _, sequence := range []uint64{9, 5} {
		testSkippedPublication(t, sequence)
	}
}

func testSkippedPublication(t *testing.T, sequence uint64) {
	synctest.Test(t, func(t *testing.T) {
		loop := New(testLoopSettings(time.Second), endpoint.Entry{Node: "n1", FailureDomain: "d"})
		var last Lag
		loop.OnLag(func(l Lag) { last = l })
		go loop.Run(t.Context())
		assert.NilError(t, loop.InstallWhole(&config.Whole{Offset: 10, Sequence: 9}))
		receive(loop, "n2", wire.SyncReply{HighestOffset: 20})
		assert.NilError(t, loop.InstallWhole(&config.Whole{Offset: 20, Sequence: sequence}))
		time.Sleep(time.Hour)
		synctest.Wait()
		assert.Assert(t, !last.Active, "lags for an hour")
		assert.Assert(t, !loop.IsBehind(loop.View().Offset), "unknown routes get 503 for an hour")
	})
}
