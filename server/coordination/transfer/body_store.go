package transfer

import (
	"errors"
	"sync"

	"wagtailford.example/server/protocol/wire"
)

// MaxInlineBytes is the largest body, in bytes, that travels inside the message of its request.
const MaxInlineBytes = 16 << 10

// errNoBody means that the attempt of a body has ended here.
var errNoBody = errors.New("no body of this attempt")

// BodyStore holds the large bodies of attempts in progress, for the executing nodes to fetch. The zero value is ready to
// use, and safe for concurrent use.
type BodyStore struct {
	mu     sync.Mutex
	bodies map[uint64]*offer
}

// offer is a body that can be fetched.
type offer struct {
	body []byte
	// whole is true after its last piece was handed out.
	whole bool
}

// Add offers a body until the returned function is called. That function reports whether the last piece was handed out
// before: without it, no node can have run the request, or will.
func (o *BodyStore) Add(id uint64, body []byte) (remove func() (whole bool)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.bodies == nil {
		o.bodies = make(map[uint64]*offer)
	}
	own := &offer{body: body}
	o.bodies[id] = own
	return func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.bodies, id)
		return own.whole
	}
}

// piece returns the piece of a body from an offset on.
func (o *BodyStore) piece(id uint64, offset int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own, offered := o.bodies[id]
	if !offered || offset < 0 || offset > len(own.body) {
		return nil, errNoBody
	}
	end := min(offset+ChunkBytes, len(own.body))
	own.whole = own.whole || end == len(own.body)
	return own.body[offset:end], nil
}

// Receiver returns the net/rpc receiver, to be registered as wire.ServiceBody.
func (o *BodyStore) Receiver() *Receiver { return &Receiver{outbox: o} }

// Receiver serves the net/rpc service wire.ServiceBody.
type Receiver struct {
	outbox *BodyStore
}

// Read returns the next piece of a body. The error means that the body is not offered any more.
func (r *Receiver) Read(args *wire.BodyArgs, reply *wire.BodyReply) error {
	piece, err := r.outbox.piece(args.ID, args.Offset)
	reply.Body = piece
	return err
}
