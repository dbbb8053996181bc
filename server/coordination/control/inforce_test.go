package control

import (
	"bytes"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

// runAlone runs a loop without other nodes. It returns the rejections that the loop reports.
func runAlone(t *testing.T) (*Loop, *[]SnapshotRejection) {
	loop := New(Settings{
		Shape: fanout.Topology{Mode: fanout.ModeTree, FollowersPerDomain: 2, RelayChildren: 4}, SyncAdmissionRate: 100,
	}, endpoint.Entry{Node: "n1", FailureDomain: "d"})
	var reported []SnapshotRejection
	loop.OnSnapshotRejected(func(r SnapshotRejection) { reported = append(reported, r) })
	go loop.Run(t.Context())
	time.Sleep(time.Second)
	return loop, &reported
}

// receive gives the loop a reply of a peer.
func receive(loop *Loop, from string, reply wire.SyncReply) {
	loop.HandleSyncResult(fanout.SyncResult{From: fanout.Peer{Node: from, Address: from}, Reply: &reply, Sent: time.Now()})
}

// unusableSnapshot returns a compressed snapshot whose header is right and whose content is not, with a number of bytes
// after the header.
func unusableSnapshot(t *testing.T, offset uint64, size int) []byte {
	t.Helper()
	var header bytes.Buffer
	e := msgpack.NewEncoder(&header)
	for _, v := range []uint64{1, uint64(config.RuleVersion), offset} {
		assert.NilError(t, e.EncodeUint(v))
	}
	data, err := compress(append(header.Bytes(), make([]byte, size)...))
	assert.NilError(t, err)
	return data
}

// Guards against a snapshot that cannot be installed and of which no line and no counter says so, and against one line
// for each of the polls that bring it again.
func TestRejectedSnapshotIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop, reported := runAlone(t)
		assert.NilError(t, loop.InstallWhole(&config.Whole{Offset: 5, Sequence: 16}))
		started := time.Now()
		six, seven := unusableSnapshot(t, 6, 100), unusableSnapshot(t, 7, 100)
		tooLarge := unusableSnapshot(t, 8, config.MaxSnapshotBytes)
		garbage := []byte("garbage")
		polls := []struct {
			from string
			data []byte
		}{{"n2", six}, {"n3", six}, {"n2", seven}, {"n2", tooLarge}, {"n2", garbage}}
		const repeats = 50
		received := 0
		for range repeats {
			for _, p := range polls {
				receive(loop, p.from, wire.SyncReply{Snapshot: p.data, HighestOffset: 9})
				received += len(p.data)
			}
		}
		synctest.Wait()
		assert.Equal(t, len(*reported), len(polls))
		for i, want := range []struct {
			from   string
			offset uint64
			bytes  int
		}{{"n2", 6, len(six)}, {"n3", 6, len(six)}, {"n2", 7, len(seven)}, {"n2", 8, len(tooLarge)}, {"n2", 0, len(garbage)}} {
			r := (*reported)[i]
			assert.Assert(t, r.Error != "")
			r.Error, r.DecompressedBytes = "", 0
			assert.DeepEqual(t, r, SnapshotRejection{
				From: want.from, Offset: want.offset, Bytes: want.bytes, Version: 5, Sequence: 16, HighestSeen: 9, At: started,
			})
		}
		c := loop.Counters()
		assert.Equal(t, c.SnapshotsReceived, int64(repeats*len(polls)))
		assert.Equal(t, c.SnapshotsRejected, int64(repeats*len(polls)))
		assert.Equal(t, c.SyncsFailed, int64(repeats*len(polls)))
		assert.Equal(t, c.SnapshotBytesReceived, int64(received))
		assert.Equal(t, loop.Offset(), uint64(5))
	})
}

// Guards against a dump that does not tell what is in force, since when and from whom, and what was refused.
func TestDumpNamesTheConfigurationInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop, _ := runAlone(t)
		since := time.Now()
		state, err := config.FromWhole(&config.Whole{Offset: 5, Sequence: 16})
		assert.NilError(t, err)
		data, err := state.EncodeSnapshot()
		assert.NilError(t, err)
		data, err = compress(data)
		assert.NilError(t, err)
		receive(loop, "n2", wire.SyncReply{Snapshot: data, HighestOffset: 5})
		time.Sleep(time.Second)
		receive(loop, "n3", wire.SyncReply{Snapshot: unusableSnapshot(t, 6, 100), HighestOffset: 7})
		d, ok := loop.Dump().(DumpState)
		assert.Assert(t, ok)
		assert.Equal(t, d.Offset, uint64(5))
		assert.Equal(t, d.Sequence, uint64(16))
		assert.Equal(t, d.From, "n2")
		assert.Assert(t, d.Since.Equal(since))
		assert.Equal(t, d.HighestOffset, uint64(7))
		assert.Equal(t, d.LastRejected.From, "n3")
		assert.Equal(t, d.LastRejected.Offset, uint64(6))
		_, err = json.Marshal(d)
		assert.NilError(t, err)

		assert.NilError(t, loop.InstallWhole(&config.Whole{Offset: 8, Sequence: 17}))
		v := loop.View()
		assert.Equal(t, v.From, FromSource)
		assert.Equal(t, v.Sequence, uint64(17))
		assert.Assert(t, v.Since.Equal(since.Add(time.Second)))
	})
}

// Guards against a node that was told of a newer configuration by a peer, and whose highest offset does not say so
// because no view was published since.
func TestHighestOffsetCountsWhatWasHeardOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop, _ := runAlone(t)
		assert.Equal(t, loop.HighestOffset(), uint64(0))
		loop.HighestSeen(3)
		assert.Equal(t, loop.HighestOffset(), uint64(3))
		receive(loop, "n2", wire.SyncReply{HighestOffset: 4})
		assert.Equal(t, loop.HighestOffset(), uint64(4))
		_, err := loop.HandleSync(t.Context(), &wire.SyncArgs{Node: "n2", Offset: 6, PushOnly: true})
		assert.NilError(t, err)
		assert.Equal(t, loop.HighestOffset(), uint64(6))
		receive(loop, "n2", wire.SyncReply{HighestOffset: 4})
		assert.Equal(t, loop.HighestOffset(), uint64(6))
		assert.NilError(t, loop.InstallWhole(&config.Whole{Offset: 8, Sequence: 1}))
		assert.Equal(t, loop.HighestOffset(), uint64(8))
	})
}

// Guards against snapshots sent to peers whose bytes no counter shows.
func TestSentSnapshotsAreCountedInBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop, _ := runAlone(t)
		assert.NilError(t, loop.InstallWhole(&config.Whole{Offset: 5, Sequence: 1}))
		reply, err := loop.HandleSync(t.Context(), &wire.SyncArgs{Node: "n2"})
		assert.NilError(t, err)
		assert.Assert(t, len(reply.Snapshot) > 0)
		c := loop.Counters()
		assert.Equal(t, c.SnapshotsServed, int64(1))
		assert.Equal(t, c.SnapshotBytesSent, int64(len(reply.Snapshot)))
	})
}
