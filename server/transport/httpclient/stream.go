package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// Body is a request body that is read while it is sent.
type Body struct {
	// Bytes is the length of the body; -1 if it is not known, and the body is sent in chunks.
	Bytes int64
	// Next returns the next piece, which is not empty; io.EOF after the last one. It must return when ctx ends.
	Next func(ctx context.Context) ([]byte, error)
}

// ErrBody means that the body of a request could not be read to its end. It is wrapped in a *LostError.
var ErrBody = errors.New("request body not read to its end")

// exchangeStreamed writes a request while its body is read, and reads the response at the same time. It closes the
// connection: the server may have responded before it has read the body.
func (c *Client) exchangeStreamed(
	ctx context.Context, cn *conn, req *protocol.Request, body *Body, resp *protocol.Response, matcher Matcher,
) error {
	cn.written = 0
	req.Header.SetContentLength(int(body.Bytes))
	head := bytes.Clone(req.Header.Header())
	sending, stop := context.WithCancel(ctx)
	defer stop()
	sent := make(chan error, 1)
	go func() {
		err := writeStreamed(sending, cn, head, body)
		if errors.Is(err, ErrBody) && sending.Err() != nil {
			err = endedBodyError(ctx, sending, err)
		}
		if errors.Is(err, ErrBody) {
			cn.abort()
		}
		sent <- err
	}()
	_, err := c.receive(cn, req, resp, matcher)
	stop()
	cn.abort()
	if sendErr := <-sent; err != nil && errors.Is(sendErr, ErrBody) {
		return sendErr
	}
	return err
}

// endedBodyError returns the error of a body whose sending was ended: nil if the exchange has ended for another reason than ctx, and
// the end of ctx if that ended the body, since ctx may close the connection before its end has reached sending.
func endedBodyError(ctx, sending context.Context, err error) error {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(err, sending.Err()):
		return fmt.Errorf("%w: %w", ErrBody, ctx.Err())
	default:
		return err
	}
}

// writeStreamed writes a request. An error of the connection is left to the reader of the response, which may have arrived.
func writeStreamed(ctx context.Context, cn *conn, head []byte, body *Body) error {
	w := bufio.NewWriterSize(cn, readBufferBytes)
	_, _ = w.Write(head)
	for left := body.Bytes; ; {
		piece, err := body.Next(ctx)
		switch {
		case err == io.EOF && left > 0:
			return fmt.Errorf("%w: %d bytes missing", ErrBody, left)
		case err == io.EOF:
			if body.Bytes < 0 {
				_, _ = w.WriteString("0\r\n\r\n")
			}
			return w.Flush()
		case err != nil:
			return fmt.Errorf("%w: %w", ErrBody, err)
		case body.Bytes >= 0:
			if left -= int64(len(piece)); left < 0 {
				return fmt.Errorf("%w: longer than stated", ErrBody)
			}
			_, _ = w.Write(piece)
		default:
			_, _ = fmt.Fprintf(w, "%x\r\n", len(piece))
			_, _ = w.Write(piece)
			_, _ = w.WriteString("\r\n")
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}
