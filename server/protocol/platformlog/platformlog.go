// Package platformlog is the client of the platform's log service over HTTP.
//
// A stream is an append-only sequence of records with dense offsets from 1. The service removes old records;
// the first offset still kept is called first, the offset of the next record next.
package platformlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"wagtailford.example/server/state/config"
	"wagtailford.example/server/transport/httpclient"
)

// Names of the streams.
const (
	StreamConfig    = "config"
	StreamSnapshots = "config-snapshots"
	StreamSeeds     = "seeds"
)

// connectionsPerHost covers the follower's long poll, appends of operators, snapshots and seeds.
const connectionsPerHost = 16

// idleTimeout is how long an unused connection is kept.
const idleTimeout = 30 * time.Second

// Batch is the result of a read: records without a gap from the offset asked for.
type Batch struct {
	// First is the first offset that the stream still keeps.
	First uint64
	// Next is the offset that the next record will get.
	Next    uint64
	Records []config.Record
}

// Settings are the limits in time of a client.
type Settings struct {
	DialTimeout time.Duration
	// AppendTimeout limits an append, and a read beyond the time that it asked the service to wait.
	AppendTimeout time.Duration
}

// Stats are the totals of a client since its start.
type Stats struct {
	// BytesRead counts the bodies of the answers to reads.
	BytesRead     int64
	Records       int64
	Reads         int64
	FailedReads   int64
	Appends       int64
	BytesAppended int64
	// NotAppended counts appends that certainly had no effect, UnknownAppends those that may have had one.
	NotAppended    int64
	UnknownAppends int64
}

// Client reads and appends. It is safe for concurrent use and never repeats a request.
type Client struct {
	base     string
	settings Settings
	http     *httpclient.Client

	bytesRead, records, reads, failedReads              atomic.Int64
	appends, bytesAppended, notAppended, unknownAppends atomic.Int64
}

// New returns a client of the log service at an http URL without a path.
func New(rawURL string, settings Settings) (*Client, error) {
	u, err := url.Parse(rawURL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, fmt.Errorf("log URL %q is not of the form http://HOST:PORT", rawURL)
	}
	c, err := httpclient.New(httpclient.Limits{
		DialTimeout:        settings.DialTimeout,
		ConnectionsPerHost: connectionsPerHost,
		IdleTimeout:        idleTimeout,
	})
	if err != nil {
		return nil, err
	}
	return &Client{base: strings.TrimSuffix(u.String(), "/"), settings: settings, http: c}, nil
}

// Stats returns the totals.
func (c *Client) Stats() Stats {
	return Stats{
		BytesRead: c.bytesRead.Load(), Records: c.records.Load(),
		Reads: c.reads.Load(), FailedReads: c.failedReads.Load(),
		Appends: c.appends.Load(), BytesAppended: c.bytesAppended.Load(),
		NotAppended: c.notAppended.Load(), UnknownAppends: c.unknownAppends.Load(),
	}
}

// Close closes the connections that no request uses.
func (c *Client) Close() { c.http.CloseIdle() }

// Append adds a record and returns its offset. The error is a *NotAppendedError if the record certainly was not
// added, otherwise an *UnknownError.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (offset uint64, err error) {
	c.appends.Add(1)
	offset, err = c.append(ctx, stream, data)
	var not *NotAppendedError
	switch {
	case err == nil:
		c.bytesAppended.Add(int64(len(data)))
	case errors.As(err, &not):
		c.notAppended.Add(1)
	default:
		c.unknownAppends.Add(1)
	}
	return offset, err
}

func (c *Client) append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if ctx.Err() != nil {
		return 0, &NotAppendedError{Stream: stream, Err: ctx.Err()}
	}
	req := &protocol.Request{}
	req.SetMethod(consts.MethodPost)
	req.SetRequestURI(c.recordsURL(stream))
	req.Header.SetContentTypeBytes([]byte("application/octet-stream"))
	req.SetBody(data)
	resp, err := c.do(ctx, req, c.settings.AppendTimeout)
	if err != nil {
		if neverSent(err) {
			return 0, &NotAppendedError{Stream: stream, Err: err}
		}
		return 0, &UnknownError{Stream: stream, Err: err}
	}
	status := resp.StatusCode()
	if status >= 400 && status < 500 {
		return 0, &NotAppendedError{Stream: stream, Err: statusError(status)}
	}
	if status != consts.StatusOK && status != consts.StatusCreated {
		return 0, &UnknownError{Stream: stream, Err: statusError(status)}
	}
	var answer appendAnswer
	if err := json.Unmarshal(resp.Body(), &answer); err != nil || answer.Offset == 0 {
		return 0, &UnknownError{Stream: stream, Err: errors.New("answer without an offset")}
	}
	return answer.Offset, nil
}

type appendAnswer struct {
	Offset uint64 `json:"offset"`
}

type readAnswer struct {
	First   uint64       `json:"first"`
	Next    uint64       `json:"next"`
	Records []readRecord `json:"records"`
}

type readRecord struct {
	Offset uint64 `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// Read returns the records from an offset on, as many as fit into limitBytes but at least one. If there is none,
// the service waits up to wait for one and then answers without records. The error is a *TrimmedError if the
// offset was removed, otherwise an *UnavailableError.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limitBytes int, wait time.Duration) (Batch, error) {
	c.reads.Add(1)
	batch, err := c.read(ctx, stream, from, limitBytes, wait)
	var trimmed *TrimmedError
	if err != nil && !errors.As(err, &trimmed) {
		c.failedReads.Add(1)
	}
	c.records.Add(int64(len(batch.Records)))
	return batch, err
}

func (c *Client) read(ctx context.Context, stream string, from uint64, limitBytes int, wait time.Duration) (Batch, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("limit_bytes", strconv.Itoa(limitBytes))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req := &protocol.Request{}
	req.SetMethod(consts.MethodGet)
	req.SetRequestURI(c.recordsURL(stream) + "?" + query.Encode())
	resp, err := c.do(ctx, req, wait+c.settings.AppendTimeout)
	if err != nil {
		return Batch{}, &UnavailableError{Stream: stream, Err: err}
	}
	c.bytesRead.Add(int64(len(resp.Body())))
	status := resp.StatusCode()
	if status != consts.StatusOK && status != consts.StatusGone {
		return Batch{}, &UnavailableError{Stream: stream, Err: statusError(status)}
	}
	var answer readAnswer
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return Batch{}, &UnavailableError{Stream: stream, Err: fmt.Errorf("answer: %w", err)}
	}
	if status == consts.StatusGone {
		return Batch{}, &TrimmedError{Stream: stream, From: from, First: answer.First, Next: answer.Next}
	}
	return answer.batch(stream, from)
}

// batch checks that the records follow each other from the offset asked for.
func (a *readAnswer) batch(stream string, from uint64) (Batch, error) {
	out := Batch{First: a.First, Next: a.Next, Records: make([]config.Record, 0, len(a.Records))}
	for i, r := range a.Records {
		if r.Offset != from+uint64(i) || r.Offset >= a.Next {
			err := fmt.Errorf("record %d has offset %d, asked for %d", i, r.Offset, from)
			return Batch{}, &UnavailableError{Stream: stream, Err: err}
		}
		out.Records = append(out.Records, config.Record{Offset: r.Offset, TimeMS: r.TimeMS, Data: r.Data})
	}
	return out, nil
}

func (c *Client) recordsURL(stream string) string {
	return c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// do sends a request once. It returns early when ctx ends; the request then runs on in the background until its
// own timeout, which closes its connection.
func (c *Client) do(ctx context.Context, req *protocol.Request, timeout time.Duration) (*protocol.Response, error) {
	type result struct {
		resp *protocol.Response
		err  error
	}
	done := make(chan result, 1)
	go func() {
		resp := &protocol.Response{}
		err := c.http.Do(ctx, req, resp, timeout)
		done <- result{resp, err}
	}()
	select {
	case r := <-done:
		return r.resp, r.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// neverSent says whether an error proves that no connection was made.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
