package platformlog

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrTrimmed is matched by every *TrimmedError.
var ErrTrimmed = errors.New("offset was removed by retention")

// TrimmedError means that a read asked for an offset that the stream no longer keeps.
type TrimmedError struct {
	Stream string
	From   uint64
	// First is the first offset still kept, Next the offset of the next record.
	First, Next uint64
}

// Error returns the offsets.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: %v: asked for %d, first is %d", e.Stream, ErrTrimmed, e.From, e.First)
}

// Is reports whether target is ErrTrimmed.
func (e *TrimmedError) Is(target error) bool { return target == ErrTrimmed }

// NotAppendedError means that a record certainly was not appended.
type NotAppendedError struct {
	Stream string
	Err    error
}

// Error returns the cause.
func (e *NotAppendedError) Error() string {
	return fmt.Sprintf("stream %s: not appended: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *NotAppendedError) Unwrap() error { return e.Err }

// UnknownError means that a record may have been appended.
type UnknownError struct {
	Stream string
	Err    error
}

// Error returns the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("stream %s: outcome of the append is unknown: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// UnavailableError means that a read got no usable answer.
type UnavailableError struct {
	Stream string
	Err    error
}

// Error returns the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("stream %s: not readable: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// statusError is an HTTP status that the protocol does not expect.
type statusError int

// Error returns the status.
func (e statusError) Error() string {
	return fmt.Sprintf("HTTP status %d %s", int(e), http.StatusText(int(e)))
}
