package transfer

import (
	"errors"
	"sync"

	"wagtailford.example/server/protocol/wire"
)

// MaxInlineBytes is the maximum size of a body that is sent within the request message.
const MaxInlineBytes = 16 << 10

// errNoBody means that the attempt has ended on this node or that the offset is invalid.
var errNoBody = errors.New("no body of this attempt")

// BodyStore holds the large bodies of attempts in progress, which executing nodes fetch. The zero value is ready
// to use, and it is safe for concurrent use.
type BodyStore struct {
	mu     sync.Mutex
	bodies map[uint64]*storedBody
	// streams are the streamed bodies of attempts.
	streams map[uint64]*storedStream
	counts  StreamCounts
}

// storedBody is a body available for fetching.
type storedBody struct {
	body []byte
	// complete is true once the last chunk has been sent.
	complete bool
}

// Add makes a body available until the returned function is called. That function reports whether the last chunk
// has been sent; if not, no node can have run the request or will run it.
func (s *BodyStore) Add(id uint64, body []byte) (remove func() (complete bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bodies == nil {
		s.bodies = make(map[uint64]*storedBody)
	}
	stored := &storedBody{body: body}
	s.bodies[id] = stored
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.bodies, id)
		return stored.complete
	}
}

// chunk returns the chunk of a body that starts at the given offset.
func (s *BodyStore) chunk(id uint64, offset int) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, offered := s.bodies[id]
	if !offered || offset < 0 || offset > len(stored.body) {
		return nil, errNoBody
	}
	end := min(offset+ChunkBytes, len(stored.body))
	stored.complete = stored.complete || end == len(stored.body)
	return stored.body[offset:end], nil
}

// Receiver returns the net/rpc receiver to register as wire.ServiceBody.
func (s *BodyStore) Receiver() *Receiver { return &Receiver{store: s} }

// Receiver implements the net/rpc service wire.ServiceBody.
type Receiver struct {
	store *BodyStore
}

// Read returns the next chunk of a body. An error means that the body is no longer available.
func (r *Receiver) Read(args *wire.BodyArgs, reply *wire.BodyReply) error {
	if stream := r.store.ask(args.ID, args.Offset); stream != nil {
		piece, end, err := stream.piece(args.Offset)
		reply.Body, reply.End = piece, end
		return err
	}
	chunk, err := r.store.chunk(args.ID, args.Offset)
	reply.Body = chunk
	return err
}
