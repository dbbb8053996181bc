package peer

import (
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a large reply that a server gives up on a narrow link although its bytes arrive, and which the client asks for
// again at once, so that no reply of this size ever arrives; and against a server that waits for a client that takes nothing.
func TestSlowReplyIsNotGivenUp(t *testing.T) {
	const size, part, pace = 700 << 10, 16 << 10, 100 * time.Millisecond
	for _, c := range []struct {
		name  string
		taken int
		whole bool
	}{{"slow", size + frameHeaderBytes, true}, {"stuck", size / 2, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := net.Pipe()
				var reading sync.WaitGroup
				defer reading.Wait()
				defer client.Close()
				reading.Go(func() {
					for taken := 0; taken < c.taken; taken += part {
						if _, err := io.CopyN(io.Discard, client, int64(min(part, c.taken-taken))); err != nil {
							return
						}
						time.Sleep(pace)
					}
				})
				s := newServerCodec(server, DefaultLimits(), &Counters{})
				err := s.writer.write(frameData, make([]byte, frameHeaderBytes+size))
				assert.Equal(t, err == nil, c.whole, "%v", err)
			})
		})
	}
}
