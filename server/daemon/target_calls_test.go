package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against calls of a request that an earlier process of the node sent to the target: they are refused for want of a key right
// after the start, or callers need none for ever.
func TestTargetMayCallForRequestsOfAnEarlierProcess(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{{0, true}, {1900 * time.Millisecond, true}, {2100 * time.Millisecond, false}, {time.Hour, false}} {
		assert.Equal(t, mayBeFromEarlierProcess(c.age, time.Second), c.want, c.age.String())
	}
}
