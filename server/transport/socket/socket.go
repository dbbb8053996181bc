// Package socket sets options of TCP sockets that the standard library has no function for.
package socket

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// LimitUnacknowledged ends a connection when bytes that were sent on it are not acknowledged within limit. Without it,
// a connection whose other end has vanished hangs for many minutes.
func LimitUnacknowledged(raw syscall.RawConn, limit time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", failed)
	}
	return nil
}
