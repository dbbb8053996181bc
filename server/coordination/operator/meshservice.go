package operator

import (
	"context"
	"sort"
	"sync"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

// GetStatus asks the parents in the fan-out tree for their children, and the nodes that no parent reports directly.
func (s *Server) GetStatus(ctx context.Context, r *pb.GetStatusRequest) (*pb.GetStatusResponse, error) {
	v := s.deps.Control.View()
	version := r.GetVersion()
	if version == 0 {
		version = v.Version
	}
	reports := s.collect(ctx, v)
	response := &pb.GetStatusResponse{Version: version, BlockedReason: s.deps.Control.State().BlockedReason()}
	for _, name := range sortedNodes(v) {
		entry := v.Nodes[name]
		report, ok := reports[name]
		node := &pb.NodeStatus{
			Node:          name,
			FailureDomain: entry.FailureDomain,
			Version:       report.Version,
			Offset:        report.Offset,
			Ready:         report.Ready,
			Unreachable:   !ok,
			State:         StateName(entry.State),

			LimitPerSecond: entry.LimitPerSecond,
		}
		if ok && report.Version >= version {
			response.Converged++
		}
		response.Nodes = append(response.Nodes, node)
	}
	return response, nil
}

func sortedNodes(v *view.View) []string {
	names := make([]string, 0, len(v.Nodes))
	for name := range v.Nodes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// collect returns the newest report of every node that could be reached directly or through its parent.
func (s *Server) collect(ctx context.Context, v *view.View) map[string]wire.NodeStatus {
	reports := make(map[string]wire.NodeStatus)
	parents := make(map[string]bool)
	for _, e := range v.Nodes {
		if e.Parent == "" {
			parents[e.Node] = true
		} else {
			parents[e.Parent] = true
		}
	}
	s.ask(ctx, v, func(name string) bool { return parents[name] }, reports)
	s.ask(ctx, v, func(name string) bool {
		_, reported := reports[name]
		return !reported
	}, reports)
	return reports
}

// ask calls Control.Status of the chosen nodes and merges their reports. It returns when all have answered or the
// time is up.
func (s *Server) ask(ctx context.Context, v *view.View, chosen func(string) bool, reports map[string]wire.NodeStatus) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(s.settings.ParallelCalls)
	var names []string
	for name, e := range v.Nodes {
		if chosen(name) && e.State != endpoint.Left && e.State != endpoint.Dead {
			names = append(names, name)
		}
	}
	for _, name := range names {
		address := v.Nodes[name].Address
		group.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
			defer cancel()
			var reply wire.StatusReply
			if err := s.deps.Caller.Call(callCtx, address, wire.ServiceControl+".Status", &wire.StatusArgs{}, &reply); err != nil {
				return nil // The node stays without a report and is shown as unreachable.
			}
			mu.Lock()
			defer mu.Unlock()
			for _, n := range reply.Nodes {
				if old, ok := reports[n.Node]; !ok || !old.Order().Above(n.Order()) {
					reports[n.Node] = n
				}
			}
			return nil
		})
	}
	_ = group.Wait()
}

// ListTargets lists the targets that have announced themselves.
func (s *Server) ListTargets(_ context.Context, r *pb.ListTargetsRequest) (*pb.ListTargetsResponse, error) {
	v := s.deps.Control.View()
	var names []string
	for _, name := range sortedNodes(v) {
		e := v.Nodes[name]
		if e.Service != "" && (r.GetService() == "" || r.GetService() == e.Service) {
			names = append(names, name)
		}
	}
	from, to, next, err := page(names, r.GetPageSize(), r.GetPageToken())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	response := &pb.ListTargetsResponse{NextPageToken: next}
	for _, name := range names[from:to] {
		response.Targets = append(response.Targets, targetToProto(v.Nodes[name]))
	}
	return response, nil
}

// DrainTarget stops new work for the target beside a node.
func (s *Server) DrainTarget(ctx context.Context, r *pb.DrainTargetRequest) (*pb.DrainTargetResponse, error) {
	state, err := s.drain(ctx, r.GetNode(), false)
	if err != nil {
		return nil, err
	}
	return &pb.DrainTargetResponse{State: state}, nil
}

// UndrainTarget lets a drained target take work again.
func (s *Server) UndrainTarget(ctx context.Context, r *pb.UndrainTargetRequest) (*pb.UndrainTargetResponse, error) {
	state, err := s.drain(ctx, r.GetNode(), true)
	if err != nil {
		return nil, err
	}
	return &pb.UndrainTargetResponse{State: state}, nil
}

func (s *Server) drain(ctx context.Context, node string, undrain bool) (string, error) {
	if node == s.settings.Node {
		state, err := s.deps.Drain(undrain)
		if err != nil {
			return "", status.Error(codes.FailedPrecondition, err.Error())
		}
		return state, nil
	}
	entry := s.deps.Control.View().Nodes[node]
	if entry == nil {
		return "", status.Errorf(codes.NotFound, "no node %q", node)
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	var reply wire.DrainReply
	err := s.deps.Caller.Call(ctx, entry.Address, wire.ServiceControl+".Drain", &wire.DrainArgs{Undrain: undrain}, &reply)
	if err != nil {
		return "", status.Errorf(codes.Unavailable, "node %s: %v", node, err)
	}
	return StateName(reply.State), nil
}

// DumpState returns the state of one daemon process.
func (s *Server) DumpState(ctx context.Context, r *pb.DumpStateRequest) (*pb.DumpStateResponse, error) {
	if r.GetNode() == "" || r.GetNode() == s.settings.Node {
		data, err := s.deps.Dump()
		if err != nil {
			return nil, status.Error(codes.Internal, err.Error())
		}
		return &pb.DumpStateResponse{Json: data}, nil
	}
	entry := s.deps.Control.View().Nodes[r.GetNode()]
	if entry == nil {
		return nil, status.Errorf(codes.NotFound, "no node %q", r.GetNode())
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	var reply wire.DumpReply
	err := s.deps.Caller.Call(ctx, entry.Address, wire.ServiceControl+".Dump", &wire.DumpArgs{}, &reply)
	if err != nil {
		return nil, status.Errorf(codes.Unavailable, "node %s: %v", r.GetNode(), err)
	}
	return &pb.DumpStateResponse{Json: reply.JSON}, nil
}
