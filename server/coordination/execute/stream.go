package execute

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/transfer"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/suspect"
	"wagtailford.example/server/transport/httpclient"
)

// requestDigest identifies a request by its content; a streamed body counts with its first part and its length.
func requestDigest(r *wire.Request) uint64 {
	if r.Stream == nil {
		return suspect.Digest(r.Service, r.Method, r.Path, r.Body)
	}
	body := binary.LittleEndian.AppendUint64(nil, r.Stream.Digest)
	body = binary.LittleEndian.AppendUint64(body, uint64(r.Stream.Bytes))
	return suspect.Digest(r.Service, r.Method, r.Path, body)
}

// checkStream returns the reason to refuse a streamed body before anything is read: it is too long, or the link of the node
// needs more time for it than the request has.
func (e *Executor) checkStream(r *wire.Request, deadline time.Time) outcome.Reason {
	switch {
	case r.Stream == nil:
		return outcome.ReasonNone
	case r.Key != "":
		// Records of keys cover whole bodies only.
		return outcome.ReasonMalformed
	case e.deps.Bodies == nil || !e.deps.Bodies.AcceptsStream(r.Stream.Bytes):
		return outcome.ReasonTooLarge
	case time.Now().Add(e.deps.Bodies.StreamTime(r.Stream.Bytes)).After(deadline):
		return outcome.ReasonQueueFull
	}
	return outcome.ReasonNone
}

// openBody reads the first piece of a streamed body, so that a sender that is gone is noticed before the target gets a byte.
// It returns nil for other bodies.
func (e *Executor) openBody(ctx context.Context, r *wire.Request) (*httpclient.Body, outcome.Reason) {
	if r.Stream == nil {
		return nil, outcome.ReasonNone
	}
	pieces := e.deps.Bodies.Stream(r)
	first, err := pieces.Next(ctx)
	if err != nil {
		e.deps.Log.WithError(err).WithFields(log.Fields{
			"event": "body_not_received", "request": r.RequestID, "from": r.From, "bytes": r.Stream.Bytes,
		}).Warn("failed to read the first piece of a request body")
		return nil, bodyErrorReason(err)
	}
	next := func(ctx context.Context) ([]byte, error) {
		if piece := first; piece != nil {
			first = nil
			return piece, nil
		}
		piece, err := pieces.Next(ctx)
		if err != nil && !errors.Is(err, io.EOF) {
			e.deps.Log.WithError(err).WithFields(log.Fields{
				"event": "body_cut", "request": r.RequestID, "from": r.From, "bytes": r.Stream.Bytes,
			}).Info("request body ended early")
		}
		return piece, err
	}
	return &httpclient.Body{Bytes: r.Stream.Bytes, Next: next}, outcome.ReasonNone
}

// bodyErrorReason returns the reason why a piece of a body was not read.
func bodyErrorReason(err error) outcome.Reason {
	switch {
	case errors.Is(err, context.Canceled):
		return outcome.ReasonCanceled
	case errors.Is(err, transfer.ErrTooLarge):
		return outcome.ReasonTooLarge
	}
	return outcome.ReasonBodyNotReceived
}
