// Package httpclient sets up hertz clients that never send a request twice and that report a response as whole
// only if its framing proves it.
package httpclient

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/app/client/retry"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
)

// Limits bound a client in size, number and time.
type Limits struct {
	DialTimeout time.Duration
	// ConnectionsPerHost limits the open connections to one host.
	ConnectionsPerHost int
	// IdleTimeout is how long an idle connection is kept for reuse.
	IdleTimeout time.Duration
}

// ErrCut means that a response ended before its framing said so, or that its framing cannot prove that it is whole.
var ErrCut = errors.New("response cut off")

// identityBody is the content length that hertz reports for a body that ends with the connection.
const identityBody = -2

// Client sends requests over reused connections.
type Client struct {
	hertz *client.Client
}

// New returns a client with the given limits.
func New(limits Limits) (*Client, error) {
	c, err := client.NewClient(
		client.WithDialTimeout(limits.DialTimeout),
		client.WithMaxConnsPerHost(limits.ConnectionsPerHost),
		client.WithMaxIdleConnDuration(limits.IdleTimeout),
		client.WithDialer(standard.NewDialer()),
		client.WithNoDefaultUserAgentHeader(true),
		client.WithRetryConfig(retry.WithMaxAttemptTimes(1)),
	)
	if err != nil {
		return nil, fmt.Errorf("set up HTTP client: %w", err)
	}
	// Without this the library sends an idempotent request again when a reused connection was closed, and its
	// caller could not count attempts.
	c.SetRetryIfFunc(func(*protocol.Request, *protocol.Response, error) bool { return false })
	return &Client{hertz: c}, nil
}

// Do sends the request once and reads the whole response within the timeout. The connection is closed after an
// error, so a late response is never taken for the answer to a later request.
func (c *Client) Do(ctx context.Context, req *protocol.Request, resp *protocol.Response, timeout time.Duration) error {
	if err := c.hertz.DoTimeout(ctx, req, resp, timeout); err != nil {
		return err
	}
	if resp.Header.ContentLength() == identityBody && !resp.SkipBody {
		return ErrCut
	}
	return nil
}

// CloseIdle closes the connections that no request uses.
func (c *Client) CloseIdle() {
	c.hertz.CloseIdleConnections()
}
