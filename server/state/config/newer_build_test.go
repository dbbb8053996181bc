package config

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// Guards against a rolling upgrade to a build whose snapshots have one more field, under the same format and rules, and which
// nodes of this build refuse as undecodable, so that they stay behind until they are upgraded.
func TestSnapshotOfANewerBuild(t *testing.T) {
	state, err := FromWhole(&Whole{Offset: 7, Sequence: 3, Content: wholeContent()})
	assert.NilError(t, err)
	data, err := state.EncodeSnapshot()
	assert.NilError(t, err)
	_, body, err := snapshotHeader(data)
	assert.NilError(t, err)
	header := data[:len(data)-len(body)]
	var fields map[string]any
	assert.NilError(t, msgpack.Unmarshal(body, &fields))
	fields["newer"] = 1
	body, err = msgpack.Marshal(fields)
	assert.NilError(t, err)
	_, err = DecodeSnapshot(append(header[:len(header):len(header)], body...))
	assert.NilError(t, err)
}
