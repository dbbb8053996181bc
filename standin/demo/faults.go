package demo

import (
	"errors"
	"fmt"
	"os/exec"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"wagtailford.example/standin/fleet"
	"wagtailford.example/standin/target"
)

const (
	// freezeTime is longer than dead_after, so that the others declare the frozen node dead.
	freezeTime = 4 * time.Second
	// crashesMax is how often one request may crash its target: once while it is not suspect, as often alone as the default of
	// the setting crash_limit says, and once in a trial.
	crashesMax = 1 + 2 + 1
	// crashSends is how often the request that crashes its target is sent.
	crashSends = 8
	// exitConflict is wagtailctl's exit code for a change that lost against another one.
	exitConflict = 4
	fragilePath  = "/fragile"
)

// race lets two operators change the same route on the same base version; exactly one must win.
func (m *mesh) race() error {
	version, err := m.version()
	if err != nil {
		return err
	}
	codes := make([]int, 2)
	var wg sync.WaitGroup
	for i := range codes {
		wg.Go(func() {
			_, err := m.Ctl(m.Plans[i], "routes", "update", "catalog", "--base-version", strconv.FormatUint(version, 10),
				"--timeout-ms", strconv.Itoa(5000+i))
			var exit *exec.ExitError
			if errors.As(err, &exit) {
				codes[i] = exit.ExitCode()
			}
		})
	}
	wg.Wait()
	if codes[0]+codes[1] != exitConflict || codes[0]*codes[1] != 0 {
		return fmt.Errorf("two operators with the same base version ended with exit codes %v, want 0 and %d", codes, exitConflict)
	}
	return nil
}

// freeze pauses a node for longer than it takes to be declared dead.
func (m *mesh) freeze(p fleet.Plan) error {
	if err := m.Nodes[p.Name].Freeze(); err != nil {
		return err
	}
	time.Sleep(freezeTime)
	return m.Nodes[p.Name].Thaw()
}

// crash sends a request that ends its target's process again and again, and restarts the target each time. The mesh
// must stop the request after a few crashes.
func (m *mesh) crash(p fleet.Plan) error {
	crashes := 0
	for range crashSends {
		headers := map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String(), target.HeaderRequestID: "crash"}
		_, err := m.HTTP.Do("POST", m.Plans[0].URL(fleet.IngressPort)+target.CrashPath, headers, []byte("crash"))
		if err != nil {
			return err
		}
		process := m.Targets[p.Name]
		if !process.Ended() {
			continue
		}
		crashes++
		if err := process.Start(); err != nil {
			return err
		}
		if err := m.waitAlive(p); err != nil {
			return err
		}
	}
	if crashes > crashesMax {
		return fmt.Errorf("one request crashed its target %d times, the limit is %d", crashes, crashesMax)
	}
	if crashes == 0 {
		return errors.New("the request that crashes its target never reached it")
	}
	return nil
}

// waitAlive waits until an ordinary request to the service of a node is answered again.
func (m *mesh) waitAlive(p fleet.Plan) error {
	return fleet.Eventually(fleet.ReadyTimeout, "target-"+p.Name+" answers", func() bool {
		headers := map[string]string{target.HeaderRequestID: "probe"}
		r, err := m.HTTP.Do("GET", m.Plans[0].URL(fleet.IngressPort)+fragilePath, headers, nil)
		return err == nil && r.Outcome == string(answered)
	})
}
