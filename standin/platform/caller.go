package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Call is a request of a caller.
type Call struct {
	ID, Method, Host, Path, Body string
	// Patience is how long the caller waits.
	Patience time.Duration
	// Headers are further header fields, each as one line without its end.
	Headers []string
}

// Reply is what a caller got. Err is set if there was no whole answer.
type Reply struct {
	Status     int
	ID         string
	Signature  string
	Header     http.Header
	Body       string
	RetryAfter time.Duration
	// Closes is true if the node asked for the end of the connection.
	Closes bool
	Err    error
	Took   time.Duration
}

// Whole reports whether the reply is the target's whole answer to the call.
func (r *Reply) Whole(c Call) bool {
	return r.Err == nil && r.Status == http.StatusOK && r.ID == c.ID &&
		r.Signature == Signature(c.ID) && r.Body == AnswerBody(c.ID)
}

// NotRun reports whether the reply promises that the request has not run and never will.
func (r *Reply) NotRun() bool {
	switch r.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return r.Err == nil
	}
	return false
}

// Caller sends calls on one connection, which it keeps.
type Caller struct {
	// Source is the IP address that the caller connects from; empty for any.
	Source string

	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// NewCaller returns a caller of the node at an address.
func NewCaller(address string) *Caller { return &Caller{address: address} }

// Close closes the connection.
func (c *Caller) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Do sends one call and reads its answer. The end of ctx closes the connection, as a caller does that leaves.
func (c *Caller) Do(ctx context.Context, call Call) (reply Reply) {
	started := time.Now()
	defer func() { reply.Took = time.Since(started) }()
	if err := c.connect(); err != nil {
		return Reply{Err: err}
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if call.Patience > 0 {
		c.conn.SetDeadline(started.Add(call.Patience))
	}
	reply, err := c.exchange(call)
	if err != nil || reply.Closes {
		c.Close()
	}
	if err != nil {
		return Reply{Err: err}
	}
	return reply
}

func (c *Caller) connect() error {
	if c.conn != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: time.Second}
	if c.Source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.Source)}
	}
	conn, err := dialer.Dial("tcp", c.address)
	if err != nil {
		return err
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	return nil
}

func (c *Caller) exchange(call Call) (Reply, error) {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n", call.Method, call.Path, call.Host, call.ID)
	if call.Patience > 0 {
		fmt.Fprintf(&head, "Deadline-Ms: %d\r\n", call.Patience.Milliseconds())
	}
	for _, line := range call.Headers {
		head.WriteString(line + "\r\n")
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(call.Body), call.Body)
	if _, err := io.WriteString(c.conn, head.String()); err != nil {
		return Reply{}, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Reply{}, err
	}
	if err := checkNames(resp.Header); err != nil {
		return Reply{}, err
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return Reply{
		Status: resp.StatusCode, ID: resp.Header.Get("Request-Id"), Signature: resp.Header.Get("Response-Signature"),
		Header: resp.Header, Body: string(body), Closes: resp.Close, RetryAfter: time.Duration(seconds * float64(time.Second)),
	}, nil
}

// checkNames returns an error for a field whose name is no token, which net/http accepts if it has a blank.
func checkNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("field name %q in a response", name)
		}
	}
	return nil
}
