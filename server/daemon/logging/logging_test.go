package logging

import (
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"
)

// Guards against entries that pass in spite of the level, and against a race of a change with entries.
func TestLevel(t *testing.T) {
	written := memory.New()
	Setup(written, log.WarnLevel)
	log.Info("hidden")
	log.Warn("shown")
	SetLevel(log.InfoLevel)
	log.Info("shown")
	log.Debug("hidden")
	assert.Equal(t, len(written.Entries), 2)
	for _, e := range written.Entries {
		assert.Equal(t, e.Message, "shown")
	}
	var wg sync.WaitGroup
	wg.Go(func() { log.Info("concurrent") })
	SetLevel(log.ErrorLevel)
	wg.Wait()
}
