package control

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/transport/peer"
)

// crowdedEntry is an entry after a day of crashes: it carries as many counts and clearances as an entry may.
func crowdedEntry(random *rand.Rand, node string, now time.Time) endpoint.Entry {
	e := endpoint.Entry{
		Node: node, Key: endpoint.Key{Incarnation: now.UnixNano(), Revision: 1, State: endpoint.Alive}, FailureDomain: "d",
		Address: "10.128.0.9:8080", Service: "orders", TargetAddress: "10.128.0.9:8081",
	}
	for range 64 {
		e.Crashes = append(e.Crashes, endpoint.CrashCount{
			Digest: random.Uint64(), Process: now.UnixNano(), Count: 1, ExpiresMS: now.Add(time.Hour).UnixMilli(),
		})
		e.Cleared = append(e.Cleared, endpoint.Clearance{Digest: random.Uint64(), UpToMS: now.Add(time.Hour).UnixMilli()})
	}
	e.Crashes, e.Cleared = endpoint.JoinCrashes(e.Crashes, nil), endpoint.JoinCleared(e.Cleared, nil)
	return e
}

// Guards against a fleet whose table of nodes no message can carry, so that a node that joins is refused by every parent, each
// time with its connection, and never becomes ready; and against entries that a bounded reply leaves out for good.
func TestCrowdedTableReachesNewNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 2048
		random := rand.New(rand.NewPCG(41, 2))
		start := func(node string) *Loop {
			loop := New(Settings{
				Shape:    fanout.Topology{Mode: fanout.ModeTree, FollowersPerDomain: 2, RelayChildren: 4},
				SyncHold: time.Second, SyncAdmissionRate: 100, DeltaWindowRecords: 16, KeyRetention: time.Hour,
			}, endpoint.Entry{Node: node, FailureDomain: "d"})
			go loop.Run(t.Context())
			return loop
		}
		parent, child := start("parent"), start("child")
		var entries []endpoint.Entry
		for i := range nodes {
			entries = append(entries, crowdedEntry(random, fmt.Sprintf("n%04d", i), time.Now()))
		}
		dead := endpoint.Entry{Node: "child", Key: endpoint.Key{Incarnation: 1, Revision: 1, State: endpoint.Dead}, FailureDomain: "d"}
		parent.MergeEntries(entries)
		_, err := parent.HandleSync(t.Context(), &wire.SyncArgs{Node: "n0000", PushOnly: true, Entries: []endpoint.Entry{dead}})
		assert.NilError(t, err)
		check := func(message any) {
			var encoded bytes.Buffer
			assert.NilError(t, gob.NewEncoder(&encoded).Encode(message))
			assert.Assert(t, encoded.Len() <= peer.DefaultLimits().MaxMessageBytes/2, "message of %d bytes", encoded.Len())
		}
		args := &wire.SyncArgs{Node: "child"}
		for len(child.View().Nodes) < nodes+2 {
			before := len(child.View().Nodes)
			reply, err := parent.HandleSync(t.Context(), args)
			assert.NilError(t, err)
			check(reply)
			assert.Assert(t, slices.ContainsFunc(reply.Entries, func(e endpoint.Entry) bool { return e.Node == "child" }),
				"a reply proves contact, so it holds any verdict on the poller")
			child.HandleSyncResult(fanout.SyncResult{From: fanout.Peer{Node: "parent"}, Reply: reply, Sent: time.Now()})
			args.ParentInstance, args.TableSequence = reply.ParentInstance, reply.TableSequence
			time.Sleep(time.Second)
			assert.Assert(t, len(child.View().Nodes) > before, "%d entries", before)
		}
		local, err := parent.LocalState(0)
		assert.NilError(t, err)
		check(local.Entries)
	})
}
