package operator

import (
	"fmt"
	"math"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"
)

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
