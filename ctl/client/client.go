// Package client connects to a daemon's operator listener and classifies the errors of its calls.
package client

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
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

// Options say how to reach a daemon.
type Options struct {
	// Server is the host:port of the operator listener.
	Server string
	// CertFile, KeyFile and CAFile are PEM files for mutual TLS; empty for a connection without TLS.
	CertFile, KeyFile, CAFile string
}

// Client calls one daemon.
type Client struct {
	Config pb.ConfigServiceClient
	Mesh   pb.MeshServiceClient
	conn   *grpc.ClientConn
}

// New returns a client; the connection is opened by the first call.
func New(options Options) (*Client, error) {
	creds, err := transportCredentials(options)
	if err != nil {
		return nil, err
	}
	conn, err := grpc.NewClient("passthrough:///"+options.Server, grpc.WithTransportCredentials(creds))
	if err != nil {
		return nil, fmt.Errorf("set up connection to %s: %w", options.Server, err)
	}
	return &Client{
		Config: pb.NewConfigServiceClient(conn),
		Mesh:   pb.NewMeshServiceClient(conn),
		conn:   conn,
	}, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

func transportCredentials(options Options) (credentials.TransportCredentials, error) {
	if options.CertFile == "" && options.KeyFile == "" && options.CAFile == "" {
		return insecure.NewCredentials(), nil
	}
	cert, err := tls.LoadX509KeyPair(options.CertFile, options.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("load operator certificate: %w", err)
	}
	pem, err := os.ReadFile(options.CAFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no certificate", options.CAFile)
	}
	return credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
	}), nil
}

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
	Nodes   []string
}

func (e *NotConvergedError) Error() string {
	return fmt.Sprintf("version %d is accepted, but not in force on %d nodes: %v", e.Version, len(e.Nodes), e.Nodes)
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

// ChangeError turns the error of a change into one that says whether the change may have taken effect. Without an
// answer from the daemon it may have.
func ChangeError(err error, changeID string) error {
	if err == nil {
		return nil
	}
	s, ok := status.FromError(err)
	if !ok || len(s.Details()) > 0 {
		return err
	}
	if s.Code() != codes.Unavailable && s.Code() != codes.DeadlineExceeded && s.Code() != codes.Canceled {
		return err
	}
	withDetail, detailErr := status.New(s.Code(), s.Message()).WithDetails(&pb.ChangeUnknown{ChangeId: changeID})
	if detailErr != nil {
		return err
	}
	return withDetail.Err()
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
	return s.Message()
}
