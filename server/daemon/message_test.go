package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/daemon/settings"
	"wagtailford.example/server/state/config"
)

// Guards against a setting with which a node installs a configuration that it cannot pass on to other nodes.
func TestMessagesHoldTheLargestConfiguration(t *testing.T) {
	for _, max := range []int64{64 << 10, 4 << 20, 256 << 20} {
		c := core{settings: &settings.Settings{Limits: settings.Limits{MessageMax: max}}}
		for _, l := range []int{c.trafficLimits().MaxMessageBytes, c.controlLimits().MaxMessageBytes} {
			assert.Assert(t, l >= config.MaxSnapshotBytes+2<<20 && int64(l) >= max, "%d bytes for message_max %d", l, max)
		}
	}
}
