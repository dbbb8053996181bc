package httpclient

import "context"

// firstByteKey is the context key of the function that is called when the first byte of a response arrives.
type firstByteKey struct{}

// WithFirstByte returns a context with which f is called once when the first byte of a response has arrived, before the
// response is read.
func WithFirstByte(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, firstByteKey{}, f)
}

// withFirstByte adds the call of the function in ctx, if there is one, to what is called for bytes that arrived.
func withFirstByte(ctx context.Context, progress func()) func() {
	first, ok := ctx.Value(firstByteKey{}).(func())
	if !ok {
		return progress
	}
	return func() {
		if first != nil {
			first()
			first = nil
		}
		if progress != nil {
			progress()
		}
	}
}
