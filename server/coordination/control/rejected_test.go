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

// Guards against a snapshot that the poller cannot decode and gets again with each poll, at once, so that the fleet
// transfers it as fast as its links carry it.
func TestRejectedSnapshotIsNotSentWithEveryPoll(t *testing.T) {
	const hold, length = 500 * time.Millisecond, 20 * time.Second
	for _, c := range []struct {
		name     string
		snapshot func(t *testing.T) []byte
	}{
		{"known offset", func(t *testing.T) []byte { return unusableSnapshot(t, 5, 100) }},
		{"unknown offset", func(*testing.T) []byte { return []byte("garbage") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := Settings{
					Shape:    fanout.Topology{Mode: fanout.ModeTree, FollowersPerDomain: 2, RelayChildren: 4},
					SyncHold: hold, SyncAdmissionRate: 100, DeltaWindowRecords: 16,
				}
				parent := New(settings, endpoint.Entry{Node: "n1", FailureDomain: "d"})
				go parent.Run(t.Context())
				child := New(settings, endpoint.Entry{Node: "n2", FailureDomain: "d"})
				go child.Run(t.Context())
				assert.NilError(t, parent.InstallWhole(&config.Whole{Offset: 5, Sequence: 2}))
				polls, snapshots := 0, 0
				args := wire.SyncArgs{Node: "n2", HoldMS: hold.Milliseconds()}
				for began := time.Now(); time.Since(began) < length; polls++ {
					state, err := child.LocalState(0)
					assert.NilError(t, err)
					args.Offset, args.Rejected = state.Offset, state.Rejected
					reply, err := parent.HandleSync(t.Context(), &args)
					assert.NilError(t, err)
					args.ParentInstance, args.TableSequence = reply.ParentInstance, reply.TableSequence
					if len(reply.Snapshot) > 0 {
						snapshots++
						reply.Snapshot = c.snapshot(t)
					}
					child.HandleSyncResult(fanout.SyncResult{
						From: fanout.Peer{Node: "n1"}, Relation: fanout.ToParent, Reply: reply, Sent: time.Now(),
					})
					// A call takes some time, so that the loop ends when every poll is answered at once.
					time.Sleep(time.Millisecond)
				}
				assert.Equal(t, snapshots, int(length/rejectedRetryInterval))
				assert.Assert(t, polls <= snapshots+int(length/hold), "%d polls", polls)

				assert.NilError(t, parent.InstallWhole(&config.Whole{Offset: 6, Sequence: 3}))
				state, err := child.LocalState(0)
				assert.NilError(t, err)
				args.Offset, args.Rejected = state.Offset, state.Rejected
				reply, err := parent.HandleSync(t.Context(), &args)
				assert.NilError(t, err)
				assert.Assert(t, len(reply.Snapshot) > 0, "a newer state is sent at once")
			})
		})
	}
}
