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

func testLoopSettings(hold time.Duration) Settings {
	return Settings{
		Shape:    fanout.Topology{Mode: fanout.ModeTree, FollowersPerDomain: 2, RelayChildren: 4},
		SyncHold: hold, SyncAdmissionRate: 100, DeltaWindowRecords: 16, LagLimit: time.Second,
	}
}

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
					args.Offset, args.Rejected = state.Offset, state.Rejected["n1"]
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
				args.Offset, args.Rejected = state.Offset, state.Rejected["n1"]
				reply, err := parent.HandleSync(t.Context(), &args)
				assert.NilError(t, err)
				assert.Assert(t, len(reply.Snapshot) > 0, "a newer state is sent at once")
			})
		})
	}
}

// Guards against records that the poller cannot apply (an unknown rule version) and gets again with each poll, at once.
func TestBlockedRecordIsNotSentWithEveryPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hold, length = 500 * time.Millisecond, 20 * time.Second
		parent := New(testLoopSettings(hold), endpoint.Entry{Node: "n1", FailureDomain: "d"})
		go parent.Run(t.Context())
		child := New(testLoopSettings(hold), endpoint.Entry{Node: "n2", FailureDomain: "d"})
		go child.Run(t.Context())
		raw, err := config.EncodeChange(config.Change{Rule: config.RuleVersion + 1, ID: "newer", Op: config.OpDeleteRoute, Name: "a"})
		assert.NilError(t, err)
		parent.DeliverRecords([]config.Record{record(1), record(2)})
		child.DeliverRecords([]config.Record{record(1)})
		polls, bytes := 0, 0
		args := wire.SyncArgs{Node: "n2", HoldMS: hold.Milliseconds()}
		for began := time.Now(); time.Since(began) < length; polls++ {
			state, err := child.LocalState(0)
			assert.NilError(t, err)
			args.Offset, args.Rejected = state.Offset, state.Rejected["n1"]
			reply, err := parent.HandleSync(t.Context(), &args)
			assert.NilError(t, err)
			args.ParentInstance, args.TableSequence = reply.ParentInstance, reply.TableSequence
			for i := range reply.Records {
				if reply.Records[i].Offset == 2 {
					reply.Records = append([]config.Record(nil), reply.Records...)
					reply.Records[i].Data = raw
					bytes += len(raw)
				}
			}
			child.HandleSyncResult(fanout.SyncResult{From: fanout.Peer{Node: "n1"}, Relation: fanout.ToParent, Reply: reply, Sent: time.Now()})
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, child.Offset(), uint64(1))
		assert.Assert(t, polls <= int(length/rejectedRetryInterval)+int(length/hold), "%d polls in %v", polls, length)
	})
}

// Guards against one peer whose state cannot be decoded (of a newer build, or damaged) and because of which all other peers withhold theirs.
func TestRejectedStateOfOnePeerDoesNotHoldBackOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hold = 500 * time.Millisecond
		good := New(testLoopSettings(hold), endpoint.Entry{Node: "good", FailureDomain: "d"})
		go good.Run(t.Context())
		child := New(testLoopSettings(hold), endpoint.Entry{Node: "n2", FailureDomain: "d"})
		go child.Run(t.Context())
		assert.NilError(t, good.InstallWhole(&config.Whole{Offset: 5, Sequence: 2}))
		receive(child, "bad", wire.SyncReply{HighestOffset: 5, Snapshot: unusableSnapshot(t, 5, 100)})
		began := time.Now()
		for child.Offset() < 5 && time.Since(began) < 20*time.Second {
			state, err := child.LocalState(0)
			assert.NilError(t, err)
			reply, err := good.HandleSync(t.Context(), &wire.SyncArgs{Node: "n2", HoldMS: hold.Milliseconds(), Offset: state.Offset, Rejected: state.Rejected["good"]})
			assert.NilError(t, err)
			receive(child, "good", *reply)
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, time.Since(began) < time.Second, "state of the other peer after %v", time.Since(began))
	})
}
