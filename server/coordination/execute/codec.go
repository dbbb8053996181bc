package execute

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/ratelimit"
	"wagtailford.example/server/transport/httpclient"
)

// ResponseKind classifies a complete response to a request.
type ResponseKind uint8

// Kinds of responses.
const (
	// ResponseValid is a regular response of the target.
	ResponseValid ResponseKind = iota
	// ResponseShed means that the target refused the request without running it.
	ResponseShed
	// ResponseWrongInstance means that an instance other than the expected one responded, without running the
	// request.
	ResponseWrongInstance
	// ResponseMismatched means that the response belongs to another request.
	ResponseMismatched
	// ResponseCorrupt means that the response is incomplete or does not originate from the target; the request may
	// have run.
	ResponseCorrupt
)

// Codec encodes requests for the target and decodes its responses. It is safe for concurrent use.
type Codec interface {
	// Write fills in req. remaining is the time left for the request.
	Write(req *protocol.Request, r *wire.Request, t Target, remaining time.Duration)
	// Read classifies a complete response.
	Read(r *wire.Request, resp *protocol.Response) ResponseKind
	// ReadNotice returns what the target says of itself in a response of its own.
	ReadNotice(resp *protocol.Response) Notice
	// ReadHealth returns the instance that responded to a health check and whether it is serving, which excludes an
	// instance that is shutting down.
	ReadHealth(resp *protocol.Response) (instance string, serving bool)
}

// defaultCodec is the native protocol: it adds the call chain headers (section 3.4 of the design), and treats
// every response as valid.
type defaultCodec struct{}

func (defaultCodec) Write(req *protocol.Request, r *wire.Request, t Target, remaining time.Duration) {
	fillRequest(req, r, t, remaining)
}

func (defaultCodec) ReadNotice(*protocol.Response) Notice { return Notice{} }

func (defaultCodec) ReadHealth(resp *protocol.Response) (string, bool) {
	return "", resp.StatusCode() == http.StatusOK
}

func (defaultCodec) Read(*wire.Request, *protocol.Response) ResponseKind { return ResponseValid }

// CheckHealth sends a health check to the address and reports whether the expected instance is serving.
func (e *Executor) CheckHealth(ctx context.Context, address, path, instance string, timeout time.Duration) bool {
	req := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(req)
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(resp)
	req.Header.SetMethod(http.MethodGet)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(address)
	err := e.client.DoAddress(ctx, address, req, resp, timeout)
	if errors.Is(err, httpclient.ErrMalformed) {
		e.reportMalformed(err, "", Target{Instance: instance, Address: address})
		return false
	}
	if err != nil {
		e.deps.Log.WithError(err).WithField("address", address).Info("target health check failed")
		return false
	}
	answered, serving := e.settings.Codec.ReadHealth(resp)
	if answered == instance {
		e.observeHealthNotice(instance, e.settings.Codec.ReadNotice(resp))
	}
	return serving && answered == instance
}

// observeHealthNotice takes over a limit that a health check states. The lack of one says nothing: not every target states
// its limit there.
func (e *Executor) observeHealthNotice(instance string, n Notice) {
	target := e.Target()
	if !n.Limited || target.Instance != instance {
		return
	}
	now := time.Now()
	e.changeLimit(target.Start, "", sourceHealthCheck, func(c *condition) {
		c.known = c.known.Observe(ratelimit.Statement{Limited: true, PerSecond: n.PerSecond, Sent: now, Received: now})
		c.own = true
	})
}
