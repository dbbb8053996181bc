package transfer

import (
	"errors"
	"sync"

	"wagtailford.example/server/protocol/wire"
)

// InlineMax is the largest body, in bytes, that travels inside the message of its request.
const InlineMax = 16 << 10

// errNoBody means that the attempt of a body has ended here.
var errNoBody = errors.New("no body of this attempt")

// Outbox holds the large bodies of attempts in progress, for the executing nodes to fetch. The zero value is ready to
// use, and safe for concurrent use.
type Outbox struct {
	mu     sync.Mutex
	bodies map[uint64][]byte
}

// Add offers a body until the returned function is called.
func (o *Outbox) Add(id uint64, body []byte) (remove func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.bodies == nil {
		o.bodies = make(map[uint64][]byte)
	}
	o.bodies[id] = body
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.bodies, id)
	}
}

// Receiver returns the net/rpc receiver, to be registered as wire.ServiceBody.
func (o *Outbox) Receiver() *Receiver { return &Receiver{outbox: o} }

// Receiver serves the net/rpc service wire.ServiceBody.
type Receiver struct {
	outbox *Outbox
}

// Read returns the next piece of a body. The error means that the body is not offered any more.
func (r *Receiver) Read(args *wire.BodyArgs, reply *wire.BodyReply) error {
	r.outbox.mu.Lock()
	body, offered := r.outbox.bodies[args.ID]
	r.outbox.mu.Unlock()
	if !offered || args.Offset < 0 || args.Offset > len(body) {
		return errNoBody
	}
	end := min(args.Offset+PieceBytes, len(body))
	reply.Body = body[args.Offset:end]
	return nil
}
