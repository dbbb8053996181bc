package platform

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a race between the start of a target and its end by one of its first requests.
func TestTargetEndedByItsFirstRequest(t *testing.T) {
	const address, path, starts = "127.0.38.1:7203", "/crash", 100
	sending, stop := context.WithCancel(t.Context())
	var senders sync.WaitGroup
	for range 4 {
		senders.Go(func() {
			caller := NewCaller(address)
			defer caller.Close()
			for sending.Err() == nil {
				caller.Do(sending, Call{ID: "q", Method: "POST", Host: "h", Path: path, Patience: time.Second})
			}
		})
	}
	for range starts {
		crashed := make(chan struct{})
		var once sync.Once
		target, err := StartTarget(TargetSettings{
			Instance: "i", Service: "s", Listen: address, Control: "127.0.38.1:9", Slots: 4, Beat: time.Second, CrashPath: path,
			Crashed: func(t *Target) {
				t.Crash()
				once.Do(func() { close(crashed) })
			},
		})
		assert.NilError(t, err)
		<-crashed
		target.Crash()
	}
	stop()
	senders.Wait()
}
