// Package peer carries net/rpc calls between nodes over authenticated TCP connections.
//
// Both ends prove knowledge of the cluster credential before anything else is read. A call that fails
// says whether its request was certainly not sent (NotSentError) or may have been received (LostError).
// A connection that goes silent while calls are pending is closed within Limits.SilenceTimeout.
package peer

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// Credential is what all nodes of a cluster share.
type Credential struct {
	// Cluster is the name of the cluster; nodes of other clusters are refused.
	Cluster string
	Secret  []byte
}

// Limits bound connections in size, number and time.
type Limits struct {
	MaxMessageBytes int
	// MaxConnections limits the connections that a server accepts at the same time.
	MaxConnections int
	// MaxPending limits the requests of one connection that run at the same time.
	MaxPending       int
	DialTimeout      time.Duration
	HandshakeTimeout time.Duration
	// WriteTimeout is how long a request may take to be written, or a part of a reply.
	WriteTimeout time.Duration
	// PingInterval is how long a client with pending calls waits for a frame before it sends a ping.
	PingInterval time.Duration
	// PingTimeout is how long after a ping without a frame new calls use another connection. Pending calls keep theirs
	// until SilenceTimeout, since their responses may still arrive. 0 means never.
	PingTimeout time.Duration
	// SilenceTimeout is how long a client with pending or abandoned calls waits for a frame before it gives the
	// connection up.
	SilenceTimeout time.Duration
	// IdleTimeout is how long a connection without calls is kept.
	IdleTimeout time.Duration
}

// DefaultLimits are the limits of a node's traffic connections.
func DefaultLimits() Limits {
	return Limits{
		MaxMessageBytes:  8 << 20,
		MaxConnections:   2048,
		MaxPending:       1024,
		DialTimeout:      time.Second,
		HandshakeTimeout: 2 * time.Second,
		WriteTimeout:     2 * time.Second,
		PingInterval:     200 * time.Millisecond,
		PingTimeout:      100 * time.Millisecond,
		SilenceTimeout:   time.Second,
		IdleTimeout:      time.Minute,
	}
}

// Counters count the bytes and connections of a server or pool.
type Counters struct {
	bytesSent     atomic.Int64
	bytesReceived atomic.Int64
	opened        atomic.Int64
	open          atomic.Int64
	refused       atomic.Int64
	silent        atomic.Int64
	replaced      atomic.Int64
}

// CounterValues is a copy of the counters, in bytes and connections since the start.
type CounterValues struct {
	BytesSent, BytesReceived int64
	Opened, Open             int64
	// Refused counts connections that failed the credential check or exceeded a limit.
	Refused int64
	// Silent counts connections that were given up because nothing arrived on them.
	Silent int64
	// Replaced counts connections that new calls left because a ping was not answered.
	Replaced int64
}

// Values returns the current values.
func (c *Counters) Values() CounterValues {
	return CounterValues{
		BytesSent:     c.bytesSent.Load(),
		BytesReceived: c.bytesReceived.Load(),
		Opened:        c.opened.Load(),
		Open:          c.open.Load(),
		Refused:       c.refused.Load(),
		Silent:        c.silent.Load(),
		Replaced:      c.replaced.Load(),
	}
}

// NotSentError means that the request of a call certainly did not reach the other end.
type NotSentError struct {
	Cause error
}

func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError means that the request of a call may have reached the other end and no reply arrived.
type LostError struct {
	Cause error
}

func (e *LostError) Error() string { return fmt.Sprintf("reply lost: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// ErrMessageTooLarge means that a request was not sent because its body exceeds the limit of a message.
var ErrMessageTooLarge = errors.New("message too large")

// ErrClosed means that the pool was closed.
var ErrClosed = errors.New("pool closed")
