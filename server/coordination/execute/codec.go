package execute

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"wagtailford.example/server/protocol/wire"
)

// ResponseKind is what a whole response says about the request that was sent.
type ResponseKind uint8

// Meanings of a response.
const (
	// ResponseValid is the target's own answer.
	ResponseValid ResponseKind = iota
	// ResponseShed means that the target did not run the request.
	ResponseShed
	// ResponseWrongInstance means that another instance than the expected one answered, without running the request.
	ResponseWrongInstance
	// ResponseMismatched means that the response belongs to another request.
	ResponseMismatched
	// ResponseCorrupt means that the response cannot be what the target meant; the request may have run.
	ResponseCorrupt
)

// Codec is how requests and answers look on the connection to the target. It is safe for concurrent use.
type Codec interface {
	// Write fills in the request. remaining is the time that is left for it.
	Write(req *protocol.Request, r *wire.Request, t Target, remaining time.Duration)
	// Read says what a whole response means.
	Read(r *wire.Request, resp *protocol.Response) ResponseKind
	// ReadHealth returns the instance that answered a health check, and whether it serves and does not leave.
	ReadHealth(resp *protocol.Response) (instance string, serving bool)
}

// plainDialect is the product's own: carried headers of section 3.4 of the design, and every answer counts.
type plainDialect struct{}

func (plainDialect) Write(req *protocol.Request, r *wire.Request, t Target, remaining time.Duration) {
	fillRequest(req, r, t, remaining)
}

func (plainDialect) ReadHealth(resp *protocol.Response) (string, bool) {
	return "", resp.StatusCode() == http.StatusOK
}

func (plainDialect) Read(*wire.Request, *protocol.Response) ResponseKind { return ResponseValid }

// CheckHealth asks the target at an address for its health and reports whether the instance serves and does not leave.
func (e *Executor) CheckHealth(ctx context.Context, address, path, instance string, timeout time.Duration) bool {
	req := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(req)
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(resp)
	req.Header.SetMethod(http.MethodGet)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(address)
	if err := e.client.DoAddress(ctx, address, req, resp, timeout); err != nil {
		e.deps.Log.WithError(err).WithField("address", address).Info("health of the target not known")
		return false
	}
	answered, serving := e.settings.Codec.ReadHealth(resp)
	return serving && answered == instance
}
