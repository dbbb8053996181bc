package operator

import (
	"errors"
	"fmt"
	"math"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/server/state/config"
)

// errForgotten means that the verdict on a folded change has left the window of remembered verdicts.
var errForgotten = errors.New("the verdict on the change is no longer remembered")

// blockedError means that the answering node cannot decide changes until it runs a newer build.
type blockedError struct {
	reason string
}

func (e *blockedError) Error() string {
	return "this node cannot decide changes; ask a node of a newer build: " + e.reason
}

// behindError means that the record of a change is in the log, and that the answering node has not folded it in time.
type behindError struct {
	appended, folded uint64
	cause            error
}

func (e *behindError) Error() string {
	return fmt.Sprintf("the change is record %d of the log, this node has read up to %d: %v", e.appended, e.folded, e.cause)
}

func (e *behindError) Unwrap() error { return e.cause }

// withDetail returns a gRPC error with a typed detail.
func withDetail(code codes.Code, message string, detail protoadapt.MessageV1) error {
	s, err := status.New(code, message).WithDetails(detail)
	if err != nil {
		return status.Error(code, message)
	}
	return s.Err()
}

// descendingToken returns a page token that sorts newer versions first.
func descendingToken(version uint64) string {
	return fmt.Sprintf("%020d", math.MaxUint64-version)
}

func rejected(reason config.RejectReason, detail string) error {
	return withDetail(rejectCode(reason), "change rejected: "+detail, &pb.Rejected{Reason: string(reason), Detail: detail})
}

func rejectCode(r config.RejectReason) codes.Code {
	switch r {
	case config.RejectNotFound:
		return codes.NotFound
	case config.RejectAlreadyExists:
		return codes.AlreadyExists
	case config.RejectUnknownService, config.RejectServiceInUse, config.RejectUnknownBase, config.RejectUnknownRule:
		return codes.FailedPrecondition
	default:
		return codes.InvalidArgument
	}
}

func changeUnknown(id string, notAppended bool, cause error) error {
	return withDetail(codes.Unavailable, cause.Error(), &pb.ChangeUnknown{ChangeId: id, NotAppended: notAppended})
}
