package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/config"
)

// countingSink counts the configurations that are installed.
type countingSink struct{ installed int }

func (s *countingSink) Offset() uint64 { return uint64(s.installed) }

func (s *countingSink) InstallWhole(*config.Whole) error {
	s.installed++
	return nil
}

// Guards against a node that takes requests by a configuration from the store before it knows what else the store holds, against
// one that never serves because a part of the store is down, and against later configurations that are delayed.
func TestFirstConfigurationWaitsForTheRestoredState(t *testing.T) {
	for _, c := range []struct {
		restored time.Duration
		want     time.Duration
	}{{0, 0}, {time.Second, time.Second}, {time.Hour, restoreGrace}} {
		synctest.Test(t, func(t *testing.T) {
			sink := &countingSink{}
			restored := make(chan struct{})
			time.AfterFunc(c.restored, func() { close(restored) })
			first := &restoredSink{SourceSink: sink, restored: restored}
			began := time.Now()
			assert.NilError(t, first.InstallWhole(nil))
			assert.Equal(t, time.Since(began), c.want)
			assert.NilError(t, first.InstallWhole(nil))
			assert.Equal(t, time.Since(began), c.want)
			assert.Equal(t, sink.installed, 2)
		})
	}
}

// Guards against a directory that is never listed because the store takes longer than one attempt, and against attempts that all
// outlast the end of an outage.
func TestDirectoryTimeouts(t *testing.T) {
	patient := 0
	for failures := range 8 {
		if directoryLimit(failures) == patientTimeout {
			patient++
		}
	}
	assert.Equal(t, patient, 2)
	assert.Equal(t, directoryLimit(0), directoryTimeout)
}
