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

// Guards against a configuration that comes into force without any record of the peer that sent it and of its age.
func TestSnapshotInstallsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state, err := config.FromWhole(&config.Whole{Offset: 5, Sequence: 2, TimeMS: time.Now().UnixMilli()})
		assert.NilError(t, err)
		data, err := state.EncodeSnapshot()
		assert.NilError(t, err)
		data, err = compress(data)
		assert.NilError(t, err)
		loop := New(Settings{
			Shape: fanout.Topology{Mode: fanout.ModeTree, FollowersPerDomain: 2, RelayChildren: 4},
		}, endpoint.Entry{Node: "n1", FailureDomain: "d"})
		var reported []SnapshotInstall
		loop.OnSnapshotInstalled(func(i SnapshotInstall) { reported = append(reported, i) })
		go loop.Run(t.Context())
		time.Sleep(300 * time.Millisecond)
		reply := &wire.SyncReply{Snapshot: data, HighestOffset: 6, Ready: true}
		for range 2 {
			loop.HandleSyncResult(fanout.SyncResult{From: fanout.Peer{Node: "n2", Address: "a2"}, Reply: reply, Sent: time.Now()})
		}
		synctest.Wait()
		assert.DeepEqual(t, reported, []SnapshotInstall{{
			Version: 5, Sequence: 2, From: "n2", AgeMS: 300, HighestSeen: 6,
		}})
	})
}
