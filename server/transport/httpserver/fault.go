package httpserver

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app/server"
)

// Fault is why the server itself answers a request, before any handler.
type Fault uint8

// Faults of a request.
const (
	// Malformed means that the request cannot be parsed.
	Malformed Fault = iota
	BodyTooLarge
	HeaderTooLarge
	// ReadTimeout means that a part of the request arrived, but not all of it in time.
	ReadTimeout
)

// Status returns the HTTP status of a fault.
func (f Fault) Status() int {
	switch f {
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case ReadTimeout:
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}

// Answer is a response to a request with a fault.
type Answer struct {
	Status int
	// Headers are sent in addition to those of the connection and the body.
	Headers http.Header
	Body    string
}

// AnswerFaults sets the responses to requests with a fault, for a server of this package.
func AnswerFaults(h *server.Hertz, answer func(Fault) Answer) {
	if l, ok := h.GetOptions().Listener.(*listener); ok {
		l.answer.Store(&answer)
	}
}

func plainAnswer(f Fault) Answer {
	return Answer{Status: f.Status(), Body: http.StatusText(f.Status()) + "\n"}
}

func (a Answer) text() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.Status, http.StatusText(a.Status))
	// A bytes.Buffer returns no errors.
	_ = a.Headers.Write(&b)
	fmt.Fprintf(&b, "Connection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s", len(a.Body), a.Body)
	return b.Bytes()
}
