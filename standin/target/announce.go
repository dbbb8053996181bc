package target

import (
	"context"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// Time limits of calls to the node. Leaving waits until the node has finished the requests in flight.
const (
	announceTimeout = time.Second
	leaveTimeout    = 30 * time.Second
)

// KeepAnnounced announces the target and renews the announcement until ctx ends. A node that is down is tried again.
func (t *Target) KeepAnnounced(ctx context.Context) error {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()))
	if err != nil {
		return fmt.Errorf("set up announcements: %w", err)
	}
	body, err := t.announcement()
	if err != nil {
		return err
	}
	ticker := time.NewTicker(t.options.RenewInterval)
	defer ticker.Stop()
	for {
		// A failed announcement is repeated at the next tick.
		_ = t.call(ctx, c, consts.MethodPut, body, announceTimeout)
		select {
		case <-ctx.Done():
			return t.call(context.Background(), c, consts.MethodDelete, nil, leaveTimeout)
		case <-ticker.C:
		}
	}
}

func (t *Target) call(ctx context.Context, c *client.Client, method string, body []byte, timeout time.Duration) error {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI(t.options.Announce + "/v1/target")
	req.SetBody(body)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	if err := c.DoTimeout(ctx, req, resp, timeout); err != nil {
		return err
	}
	if resp.StatusCode() >= consts.StatusBadRequest {
		return fmt.Errorf("node answered %d: %s", resp.StatusCode(), resp.Body())
	}
	return nil
}
