package client

import (
	"errors"
	"fmt"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "wagtailford.example/api/wagtailford/v1"
)

// Exit codes of the command line.
const (
	ExitDone        = 0
	ExitOther       = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitConflict    = 4
	ExitUnreachable = 5
	ExitUnknown     = 6
)

// UsageError is a mistake in the command's arguments.
type UsageError struct {
	Cause error
}

func (e *UsageError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

// NotConvergedError means that some nodes lack a version at the end of the wait.
type NotConvergedError struct {
	Version uint64
	// Asked is true if the nodes could be asked at least once, Nodes are those that lacked the version then.
	Asked bool
	Nodes []string
}

func (e *NotConvergedError) Error() string {
	if !e.Asked {
		return fmt.Sprintf("version %d is accepted, but the nodes could not be asked whether it is in force; see wagtailctl status", e.Version)
	}
	return fmt.Sprintf("version %d is accepted, but not in force on %d nodes: %s",
		e.Version, len(e.Nodes), strings.Join(e.Nodes, ", "))
}

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	var usage *UsageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	s, ok := status.FromError(err)
	if !ok {
		return ExitOther
	}
	if unknown := changeUnknown(s); unknown != nil && !unknown.GetNotAppended() {
		return ExitUnknown
	}
	switch s.Code() {
	case codes.FailedPrecondition, codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.ResourceExhausted:
		return ExitRefused
	case codes.Aborted:
		return ExitConflict
	case codes.Unavailable, codes.DeadlineExceeded, codes.Unimplemented, codes.Unauthenticated, codes.PermissionDenied:
		return ExitUnreachable
	default:
		return ExitOther
	}
}

func changeUnknown(s *status.Status) *pb.ChangeUnknown {
	for _, detail := range s.Details() {
		if unknown, ok := detail.(*pb.ChangeUnknown); ok {
			return unknown
		}
	}
	return nil
}

// ChangeError turns the error of a change that was sent into one that says whether the change may have taken effect.
// Without an answer from the daemon it may have. mayRepeat is true if the change may have been sent before under the
// same id; that the last attempt did not reach the log then says nothing about the earlier ones.
func ChangeError(err error, changeID string, mayRepeat bool) error {
	s, ok := status.FromError(err)
	if !ok {
		return err
	}
	if unknown := changeUnknown(s); unknown != nil {
		if mayRepeat && unknown.GetNotAppended() {
			return asUnknown(s.Code(), "this attempt had no effect, an earlier one may have had: "+s.Message(), changeID)
		}
		return err
	}
	if len(s.Details()) > 0 || neverHandled(s.Code()) {
		return err
	}
	return asUnknown(s.Code(), s.Message(), changeID)
}

// neverHandled says whether a status without details means that the daemon refused the call before it appended.
func neverHandled(code codes.Code) bool {
	switch code {
	case codes.InvalidArgument, codes.Unimplemented, codes.Unauthenticated, codes.PermissionDenied, codes.ResourceExhausted:
		return true
	default:
		return false
	}
}

func asUnknown(code codes.Code, message, changeID string) error {
	s, err := status.New(code, message).WithDetails(&pb.ChangeUnknown{ChangeId: changeID})
	if err != nil {
		return status.Error(code, message)
	}
	return s.Err()
}

// Explain returns the message for the operator.
func Explain(err error) string {
	s, ok := status.FromError(err)
	if !ok {
		return err.Error()
	}
	for _, detail := range s.Details() {
		switch d := detail.(type) {
		case *pb.Rejected:
			return fmt.Sprintf("refused (%s): %s", d.GetReason(), d.GetDetail())
		case *pb.Conflict:
			return fmt.Sprintf("conflict: change %s by %q came first; base the next attempt on version %d",
				d.GetWinnerChangeId(), d.GetWinnerOperator(), d.GetCurrentVersion())
		case *pb.ChangeUnknown:
			if d.GetNotAppended() {
				return fmt.Sprintf("not changed: %s", s.Message())
			}
			return fmt.Sprintf("outcome unknown: %s; repeat with --change-id %s, which is safe", s.Message(), d.GetChangeId())
		}
	}
	if s.Code() == codes.Unavailable || s.Code() == codes.DeadlineExceeded {
		return "daemon not reachable: " + s.Message()
	}
	return s.Message()
}
