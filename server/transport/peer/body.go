package peer

// Bodied is implemented by arguments and replies with a large byte slice. It travels as raw bytes behind the gob
// values of a message, since gob copies a slice twice on each end.
type Bodied interface {
	// WithoutBody returns a copy without the body, for gob, and the body.
	WithoutBody() (value any, body []byte)
	// SetBody sets the body of a received value. The slice is not used by anyone else.
	SetBody(body []byte)
}

// detach splits a value into what gob encodes and a raw body.
func detach(value any) (any, []byte) {
	if b, ok := value.(Bodied); ok {
		return b.WithoutBody()
	}
	return value, nil
}

// decodeValue decodes the last value of a message and attaches the body that follows it.
func (s *messageStream) decodeValue(value any) error {
	if err := s.decoder.Decode(value); err != nil {
		return err
	}
	rest := s.incoming.Len()
	b, ok := value.(Bodied)
	if !ok || rest == 0 {
		return nil
	}
	body := s.payload[len(s.payload)-rest:]
	if rest < cap(s.payload)/2 {
		// A small body must not keep a large buffer in memory.
		b.SetBody(append([]byte(nil), body...))
		return nil
	}
	b.SetBody(body)
	// The value owns the memory of this message now.
	s.payload = nil
	return nil
}
