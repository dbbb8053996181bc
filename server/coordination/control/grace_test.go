package control

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

// Guards against a whole configuration that is sent to every node although each reads it itself, and against nodes that
// don't read it, or have none yet, and have to wait.
func TestSourceGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := New(Settings{
			Shape:       fanout.Topology{Mode: fanout.ModeTree, FollowersPerDomain: 2, RelayChildren: 4},
			SourceGrace: 800 * time.Millisecond, SyncHold: time.Second, SyncAdmissionRate: 100, DeltaWindowRecords: 16,
		}, endpoint.Entry{Node: "n1", FailureDomain: "d"})
		go loop.Run(t.Context())
		assert.NilError(t, loop.InstallWhole(&config.Whole{Offset: 5, Sequence: 2, Content: config.Content{}}))
		poll := func(reads bool, offset uint64) []byte {
			reply, err := loop.HandleSync(t.Context(), &wire.SyncArgs{Node: "n2", Reads: reads, Offset: offset})
			assert.NilError(t, err)
			return reply.Snapshot
		}
		assert.Equal(t, len(poll(true, 3)), 0)
		assert.Assert(t, len(poll(false, 3)) > 0)
		assert.Assert(t, len(poll(true, 0)) > 0, "a node that has just started needs it at once")
		time.Sleep(800 * time.Millisecond)
		data, err := decompress(poll(true, 3))
		assert.NilError(t, err)
		state, err := config.DecodeSnapshot(data)
		assert.NilError(t, err)
		assert.Equal(t, state.Sequence(), uint64(2))
	})
}

// Guards against a peer that cannot read the source and gets nothing for as long as states follow each other faster than
// they are held back: each new one began the wait anew.
func TestSourceGraceInAStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace, gap = 800 * time.Millisecond, 250 * time.Millisecond
		loop := New(Settings{
			Shape:       fanout.Topology{Mode: fanout.ModeTree, FollowersPerDomain: 2, RelayChildren: 4},
			SourceGrace: grace, SyncHold: time.Second, SyncAdmissionRate: 100, DeltaWindowRecords: 16,
		}, endpoint.Entry{Node: "n1", FailureDomain: "d"})
		go loop.Run(t.Context())
		var offset uint64
		install := func() {
			offset++
			assert.NilError(t, loop.InstallWhole(&config.Whole{Offset: offset, Sequence: offset, Content: config.Content{}}))
		}
		install()
		// The peer has the first state, and polls while more follow.
		got := make(chan *wire.SyncReply, 1)
		began := time.Now()
		go func() {
			args := &wire.SyncArgs{Node: "n2", Reads: true, Offset: 1, HoldMS: 500}
			for {
				reply, err := loop.HandleSync(t.Context(), args)
				if err != nil || len(reply.Snapshot) > 0 {
					got <- reply
					return
				}
				args.ParentInstance, args.TableSequence = reply.ParentInstance, reply.TableSequence
				time.Sleep(time.Millisecond)
			}
		}()
		for range 12 {
			time.Sleep(gap)
			install()
		}
		reply := <-got
		data, err := decompress(reply.Snapshot)
		assert.NilError(t, err)
		state, err := config.DecodeSnapshot(data)
		assert.NilError(t, err)
		// The second state came after one gap, the grace later the newest one was the fifth.
		assert.Equal(t, state.Sequence(), uint64(5))
		assert.Assert(t, time.Since(began) >= grace)
	})
}

// Guards against a small message that becomes a large one in memory.
func TestDecompressIsBounded(t *testing.T) {
	large, err := compress(bytes.Repeat([]byte{0}, 16*config.MaxSnapshotBytes))
	assert.NilError(t, err)
	data, err := decompress(large)
	assert.NilError(t, err)
	assert.Equal(t, len(data), config.MaxSnapshotBytes+1)
	_, err = decompress([]byte{0xff, 0xff})
	assert.Assert(t, err != nil)
}
