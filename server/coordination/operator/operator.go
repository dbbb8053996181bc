// Package operator serves the operators' gRPC schema. Any node answers any call: a change is appended to the log
// and decided by the fold, so the answering node needs no special role.
package operator

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/server/coordination/dispatch"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/view"
)

// StreamConfig is the log stream of configuration changes.
const StreamConfig = "config"

// Control is the part of the control loop that operators' calls need.
type Control interface {
	State() *config.State
	View() *view.View
	// WaitOffset returns when the node has folded the offset.
	WaitOffset(ctx context.Context, offset uint64) error
}

// Log appends change records.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
}

// Caller calls a net/rpc method of another node.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Settings of the operator service.
type Settings struct {
	// Node is the name of this node.
	Node string
	// AppendTimeout limits an append to the log.
	AppendTimeout time.Duration
	// VerdictTimeout limits the wait for this node to fold an appended change.
	VerdictTimeout time.Duration
	// CallTimeout limits a call to another node.
	CallTimeout time.Duration
	// ParallelCalls limits the calls to other nodes that one operator's call makes at the same time.
	ParallelCalls int
}

// Deps are the collaborators of the service.
type Deps struct {
	Control Control
	Log     Log
	Caller  Caller
	// NotAppended reports whether an error of Log.Append means that the record certainly did not reach the log.
	NotAppended func(error) bool
	// Drain drains or undrains the target beside this node.
	Drain func(undrain bool) (string, error)
	// Dump returns the state of this process as JSON.
	Dump func() ([]byte, error)
	// ExplainRoute explains how this node would place a request, with the status of the response if it would be refused. It is
	// nil at nodes without the dispatch of hosted nodes.
	ExplainRoute func(*dispatch.ExplainRequest) (e *dispatch.Explanation, status int)
}

// Server implements both services of the schema.
type Server struct {
	pb.UnimplementedConfigServiceServer
	pb.UnimplementedMeshServiceServer
	settings Settings
	deps     Deps
}

// New returns a server.
func New(settings Settings, deps Deps) *Server {
	return &Server{settings: settings, deps: deps}
}

// Register adds the services to a gRPC server.
func (s *Server) Register(g *grpc.Server) {
	pb.RegisterConfigServiceServer(g, s)
	pb.RegisterMeshServiceServer(g, s)
}

// page returns the bounds of a page in a sorted list, and the token of the next one. The token is the position of
// the last entry's successor by name, so a change between two pages neither repeats nor skips other entries.
func page(names []string, size uint32, token string) (from, to int, next string, err error) {
	if size > maxPageSize {
		return 0, 0, "", fmt.Errorf("page_size %d is above %d", size, maxPageSize)
	}
	if size == 0 {
		size = defaultPageSize
	}
	for from < len(names) && token != "" && names[from] <= token {
		from++
	}
	to = min(from+int(size), len(names))
	if to < len(names) {
		next = names[to-1]
	}
	return from, to, next, nil
}

// Page sizes of list calls.
const (
	defaultPageSize = 100
	maxPageSize     = 1000
)
