package ingress

import (
	"bytes"
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

// serverLimitFactor is how far the limits of the server exceed those of the handler. What exceeds the server's limits
// ends its connection, while the handler refuses one request.
const serverLimitFactor = 2

// Register makes a server that does not run yet hand every request to the handler, and raises its limits on body and
// header to serverLimitFactor times those of the handler.
func (h *Handler) Register(s *server.Hertz) {
	options := s.GetOptions()
	options.MaxRequestBodySize = serverLimitFactor * h.settings.BodyMaxBytes
	options.MaxHeaderBytes = serverLimitFactor * h.settings.HeaderMaxBytes
	// The library would parse a multipart body and write it anew, with other bytes than the caller sent.
	options.DisablePreParseMultipartForm = true
	options.NoDefaultServerHeader = true
	httpserver.AnswerFaults(s, h.answerFault)
	s.Use(h.Serve)
}

// answerFault answers a request that never reached Serve. One that was not read in time may have had a caller's key.
func (h *Handler) answerFault(f httpserver.Fault) httpserver.Answer {
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
	return httpserver.Answer{Status: f.Status(), Headers: headers, Body: statement(response)}
}

// statement is the body of a response that is not the target's.
func statement(r *wire.Response) string {
	return r.Outcome.String() + ": " + string(r.Reason) + "\n"
}

// Serve handles one HTTP request. ctx ends when the caller disconnects.
func (h *Handler) Serve(ctx context.Context, c *app.RequestContext) {
	result := h.Do(ctx, readRequest(c))
	writeResult(c, result)
	c.Abort()
}

// usualHeaders is the number of header fields for which there is space at first.
const usualHeaders = 12

// readRequest copies the request, because the server reuses its buffers while a worker may still send them.
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
		Body:      bytes.Clone(c.Request.Body()),
	}
	r.Headers = make([]wire.Header, 0, usualHeaders)
	c.Request.Header.VisitAll(func(name, value []byte) {
		r.Headers = append(r.Headers, wire.Header{Name: string(name), Value: string(value)})
	})
	return r
}

// writeResult writes the outcome as section 3.4 of the design maps it to HTTP.
func writeResult(c *app.RequestContext, r *Result) {
	header := &c.Response.Header
	header.SetNoDefaultContentType(true)
	c.SetStatusCode(outcome.HTTPStatus(r.Outcome, r.Reason, r.Status))
	if r.Outcome == outcome.Answered {
		for _, field := range wire.Forwarded(r.Headers, responseDropped) {
			header.Add(field.Name, field.Value)
		}
		httpserver.SetBody(c, r.Body, statedLength(r.Headers))
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
	c.Response.SetBodyString(statement(r.Response))
}

// statedLength is the length that a target states in its response to HEAD, which has no body to measure.
func statedLength(headers []wire.Header) int {
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
