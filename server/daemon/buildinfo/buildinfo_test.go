package buildinfo

import (
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a program that names no commit, or a clean one, although the build recorded another.
func TestCommitOfBuild(t *testing.T) {
	revision := debug.BuildSetting{Key: "vcs.revision", Value: "0123abcd"}
	modified := debug.BuildSetting{Key: "vcs.modified", Value: "true"}
	for _, c := range []struct {
		info *debug.BuildInfo
		want string
	}{
		{nil, "unknown"},
		{&debug.BuildInfo{}, "unknown"},
		{&debug.BuildInfo{Settings: []debug.BuildSetting{revision}}, "0123abcd"},
		{&debug.BuildInfo{Settings: []debug.BuildSetting{modified, revision}}, "0123abcd-dirty"},
	} {
		assert.Equal(t, commitOf(c.info), c.want)
	}
	commit = "4567"
	defer func() { commit = "" }()
	assert.Equal(t, Commit(), "4567")
}
