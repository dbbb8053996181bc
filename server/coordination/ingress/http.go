package ingress

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"wagtailford.example/server/coordination/ownership"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/transport/httpserver"
)

// serverLimitFactor is the ratio of the server's size limits to the handler's. The server closes the connection of a
// request that exceeds its limits; the handler only refuses the request.
const serverLimitFactor = 2

// Register installs the handler for all requests of a server that has not been started, and sets the server's body and
// header limits to serverLimitFactor times those of the handler.
func (h *Handler) Register(s *server.Hertz) {
	options := s.GetOptions()
	options.MaxRequestBodySize = serverLimitFactor * h.settings.BodyMaxBytes
	options.MaxHeaderBytes = serverLimitFactor * h.settings.HeaderMaxBytes
	// The library would parse and re-encode a multipart body, so the target would receive different bytes.
	options.DisablePreParseMultipartForm = true
	options.NoDefaultServerHeader = true
	httpserver.AnswerFaults(s, h.faultResponse)
	s.Use(h.Serve)
}

// faultResponse returns the response to a request that did not reach Serve. The outcome after a read timeout is
// unknown, because the unread request may have carried a caller's key.
func (h *Handler) faultResponse(f httpserver.Fault) httpserver.Answer {
	response := refuse(outcome.ReasonMalformed)
	switch f {
	case httpserver.BodyTooLarge:
		response = refuse(outcome.ReasonTooLarge)
	case httpserver.HeaderTooLarge:
		response = refuse(outcome.ReasonHeaderTooLarge)
	case httpserver.ReadTimeout:
		response = unknown(outcome.ReasonDeadline)
	}
	h.counters.count(response.Outcome, response.Reason)
	headers := make(http.Header)
	headers.Set(outcome.HeaderOutcome, response.Outcome.String())
	headers.Set(outcome.HeaderReason, string(response.Reason))
	return httpserver.Answer{Status: f.Status(), Headers: headers, Body: outcomeText(response)}
}

// outcomeText returns the body of a response that does not come from the target.
func outcomeText(r *wire.Response) string {
	return r.Outcome.String() + ": " + string(r.Reason) + "\n"
}

// Serve handles one HTTP request. ctx is cancelled when the caller disconnects.
func (h *Handler) Serve(ctx context.Context, c *app.RequestContext) {
	result := h.Do(ctx, readRequest(c))
	writeResult(c, result)
	c.Abort()
}

// headerCapacityHint is the initial capacity of the slice of header fields.
const headerCapacityHint = 12

// readRequest copies the request, because the server reuses its buffers and a worker may still be sending their
// contents.
func readRequest(c *app.RequestContext) *Request {
	uri := c.Request.URI()
	path := string(uri.PathOriginal())
	if path == "" {
		path = "/"
	}
	if query := uri.QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	r := &Request{
		Method:    string(c.Request.Method()),
		RoutePath: string(uri.Path()),
		Path:      path,
		Body:      httpserver.BodyOf(c).First,
	}
	r.Headers = make([]wire.Header, 0, headerCapacityHint)
	c.Request.Header.VisitAll(func(name, value []byte) {
		r.Headers = append(r.Headers, wire.Header{Name: string(name), Value: string(value)})
	})
	return r
}

// writeResult writes a result as an HTTP response, following the mapping of outcomes in section 3.4 of the design.
func writeResult(c *app.RequestContext, r *Result) {
	header := &c.Response.Header
	header.SetNoDefaultContentType(true)
	c.SetStatusCode(outcome.HTTPStatus(r.Outcome, r.Reason, r.Status))
	if r.Outcome == outcome.Answered {
		for _, field := range wire.Forwarded(r.Headers, strippedResponseHeaders) {
			httpserver.AddField(header, field.Name, field.Value)
		}
		httpserver.SetBody(c, r.Body, contentLength(r.Headers))
		header.Set(outcome.HeaderOutcome, r.Outcome.String())
		return
	}
	header.Set(outcome.HeaderOutcome, r.Outcome.String())
	header.Set(outcome.HeaderReason, string(r.Reason))
	if r.Outcome == outcome.Unknown && r.Key != "" {
		header.Set(ownership.HeaderKey, r.Key)
	}
	if outcome.MayPass(r.Outcome, r.Reason) {
		header.Set("Retry-After", strconv.Itoa(outcome.RetryAfterSeconds))
	}
	header.SetContentType("text/plain; charset=utf-8")
	c.Response.SetBodyString(outcomeText(r.Response))
}

// contentLength returns the Content-Length of a target's response, or 0 if there is no valid one. It is needed for a
// response to HEAD, which has no body to measure.
func contentLength(headers []wire.Header) int {
	for _, field := range headers {
		if !strings.EqualFold(field.Name, "Content-Length") {
			continue
		}
		if length, err := strconv.Atoi(field.Value); err == nil && length > 0 {
			return length
		}
	}
	return 0
}
