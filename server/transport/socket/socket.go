// Package socket sets options of TCP sockets that the standard library has no function for.
package socket

import (
	"errors"
	"fmt"
	"net"
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

// Raw returns the socket of a connection, or of the one that it wraps; nil if there is none.
func Raw(c net.Conn) syscall.RawConn {
	wrapped, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := wrapped.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// IsClosed reports whether the other end has closed a connection and nothing more can be read from it. It does not wait,
// also not for a read in progress.
func IsClosed(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil:
			closed = n == 0
		default:
			closed = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		}
	})
	return err != nil || closed
}

// HasHungUp reports whether the other end has closed a connection, also while bytes that it has sent before are unread.
func HasHungUp(raw syscall.RawConn) bool {
	hungUp := false
	err := raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		hungUp = err == nil && n > 0
	})
	return err != nil || hungUp
}
