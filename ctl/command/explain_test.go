package command

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const explainLog = `n2 {"time":"2026-12-04T08:00:00.200Z","level":"info","message":"request not answered here","fields":{"event":"execute","request":"q1","outcome":"refused-not-run","reason":"queue_full","in_use":18}}
n1 {"time":"2026-12-04T08:00:00.300Z","level":"info","message":"request ended","fields":{"event":"request_failed","request":"q1","attempts":"n2@4 refused-not-run queue_full in_use=18 queued=2 arrived=false 1ms; n3@2 unknown connection_silent in_use=0 queued=0 arrived=true 1000ms","outcome":"unknown"}}
not a log line
n1 {"time":"2026-12-04T08:00:00.100Z","level":"info","message":"target changed","fields":{"event":"target_report","instance":"i-1"}}
n1 {"time":"2026-12-04T08:00:00.050Z","level":"info","message":"configuration in force","fields":{"event":"configuration","version":7}}
n1 {"time":"2026-12-04T08:00:00.060Z","level":"info","message":"request ended","fields":{"event":"request","request":"q2","version":7}}
`

// Guards against an explanation that leaves out a decision, takes in those of others, or hides that one is missing.
func TestExplain(t *testing.T) {
	cases := []struct {
		name      string
		selection selection
		messages  []string
		missing   int
	}{
		{"request", selection{request: "q1"}, []string{"request not answered here", "request ended"}, 1},
		{"target", selection{instance: "i-1"}, []string{"target changed"}, 0},
		{"version", selection{version: 7}, []string{"configuration in force"}, 0},
		{"unknown", selection{request: "q9"}, nil, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			lines, err := collect(strings.NewReader(explainLog), nil, c.selection)
			assert.NilError(t, err)
			var messages []string
			for _, l := range lines {
				messages = append(messages, l.Message)
			}
			assert.DeepEqual(t, messages, c.messages)
			assert.Equal(t, len(c.selection.missing(lines)), c.missing, "%v", c.selection.missing(lines))
		})
	}
}
