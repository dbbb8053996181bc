package wire

import "wagtailford.example/server/transport/peer"

// Requests and responses carry their bodies outside gob.
var (
	_ peer.Bodied = (*Request)(nil)
	_ peer.Bodied = (*Response)(nil)
	_ peer.Bodied = (*BodyReply)(nil)
)

// WithoutBody returns an empty reply, and the piece.
func (r *BodyReply) WithoutBody() (value any, body []byte) { return &BodyReply{End: r.End}, r.Body }

// SetBody sets the piece.
func (r *BodyReply) SetBody(body []byte) { r.Body = body }

// WithoutBody returns a copy without the body, and the body.
func (r *Request) WithoutBody() (value any, body []byte) {
	bare := *r
	bare.Body = nil
	return &bare, r.Body
}

// SetBody sets the body.
func (r *Request) SetBody(body []byte) { r.Body = body }

// WithoutBody returns a copy without the body, and the body.
func (r *Response) WithoutBody() (value any, body []byte) {
	bare := *r
	bare.Body = nil
	return &bare, r.Body
}

// SetBody sets the body.
func (r *Response) SetBody(body []byte) { r.Body = body }
