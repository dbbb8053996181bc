package operator

import (
	"context"
	"errors"

	"github.com/google/uuid"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/server/state/config"
)

// PutService creates or replaces one service.
func (s *Server) PutService(ctx context.Context, r *pb.PutServiceRequest) (*pb.ChangeResponse, error) {
	service := serviceFromProto(r.GetService())
	return s.change(ctx, r.GetOptions(), config.Change{
		Op: config.OpPutService, Service: &service, CreateOnly: r.GetCreateOnly(), UpdateOnly: r.GetUpdateOnly(),
	})
}

// DeleteService removes a service that no route names.
func (s *Server) DeleteService(ctx context.Context, r *pb.DeleteServiceRequest) (*pb.ChangeResponse, error) {
	return s.change(ctx, r.GetOptions(), config.Change{Op: config.OpDeleteService, Name: r.GetName()})
}

// PutRoute creates or replaces one route.
func (s *Server) PutRoute(ctx context.Context, r *pb.PutRouteRequest) (*pb.ChangeResponse, error) {
	route := routeFromProto(r.GetRoute())
	return s.change(ctx, r.GetOptions(), config.Change{
		Op: config.OpPutRoute, Route: &route, CreateOnly: r.GetCreateOnly(), UpdateOnly: r.GetUpdateOnly(),
	})
}

// DeleteRoute removes a route.
func (s *Server) DeleteRoute(ctx context.Context, r *pb.DeleteRouteRequest) (*pb.ChangeResponse, error) {
	return s.change(ctx, r.GetOptions(), config.Change{Op: config.OpDeleteRoute, Name: r.GetName()})
}

// Publish replaces the whole content. A request without content is refused: it would remove everything.
func (s *Server) Publish(ctx context.Context, r *pb.PublishRequest) (*pb.ChangeResponse, error) {
	if r.GetContent() == nil {
		return nil, rejected(config.RejectInvalidField, "content is missing")
	}
	return s.change(ctx, r.GetOptions(), config.Change{Op: config.OpPublish, Content: contentFromProto(r.GetContent())})
}

// change appends a change to the log and waits for the fold's verdict.
func (s *Server) change(ctx context.Context, o *pb.ChangeOptions, c config.Change) (*pb.ChangeResponse, error) {
	c.Rule = config.RuleVersion
	c.ID = o.GetChangeId()
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	c.Operator = o.GetOperator()
	c.Base = o.GetBaseVersion()
	state := s.deps.Control.State()
	if c.Base == 0 {
		c.Base = state.Version()
	}
	if verdict, ok := state.Verdict(c.ID); ok {
		return verdictResponse(verdict, true)
	}
	if reason := state.BlockedReason(); reason != "" {
		return nil, changeUnknown(c.ID, true, &blockedError{reason})
	}
	data, err := encode(c)
	if err != nil {
		return nil, err
	}
	offset, err := s.append(ctx, data)
	if err != nil {
		return nil, changeUnknown(c.ID, s.deps.NotAppended(err), err)
	}
	return s.decided(ctx, c.ID, offset)
}

// encode returns the record of a change. It refuses a change for which the fold could not remember a verdict, since
// the caller would wait for that verdict in vain.
func encode(c config.Change) ([]byte, error) {
	data, err := config.EncodeChange(c)
	var large *config.TooLargeError
	if errors.As(err, &large) {
		return nil, rejected(config.RejectTooLarge, err.Error())
	}
	if err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "encode change: %v", err)
	}
	first := config.Record{Offset: 1, Data: data}
	folded, verdict := config.New().Apply(first)
	if _, remembered := folded.Verdict(c.ID); !remembered {
		return nil, rejected(verdict.Reason, verdict.Detail)
	}
	return data, nil
}

// decided waits until this node has folded the record at the offset and returns the verdict on its change id.
func (s *Server) decided(ctx context.Context, id string, offset uint64) (*pb.ChangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.VerdictTimeout)
	defer cancel()
	waitErr := s.deps.Control.WaitOffset(ctx, offset)
	state := s.deps.Control.State()
	verdict, ok := state.Verdict(id)
	switch {
	case ok:
		return verdictResponse(verdict, verdict.Offset != offset)
	case state.BlockedReason() != "":
		return nil, changeUnknown(id, false, &blockedError{state.BlockedReason()})
	case waitErr != nil:
		return nil, changeUnknown(id, false, &behindError{appended: offset, folded: state.Offset(), cause: waitErr})
	default:
		return nil, changeUnknown(id, false, errForgotten)
	}
}

func (s *Server) append(ctx context.Context, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.AppendTimeout)
	defer cancel()
	return s.deps.Log.Append(ctx, StreamConfig, data)
}

// verdictResponse turns a verdict into a response or a typed error. repeated is true if another record of the
// same change id was decided first.
func verdictResponse(v config.Verdict, repeated bool) (*pb.ChangeResponse, error) {
	result := v.Result
	if result == config.Repeated {
		result = v.First
	}
	switch result {
	case config.Accepted:
		return &pb.ChangeResponse{Version: v.Version, ChangeId: v.ChangeID, Repeated: repeated}, nil
	case config.Conflicted:
		return nil, withDetail(codes.Aborted, "another change came first", &pb.Conflict{
			WinnerChangeId: v.WinnerID, WinnerOperator: v.WinnerOperator, CurrentVersion: v.Current,
		})
	default:
		return nil, rejected(v.Reason, v.Detail)
	}
}

// GetService returns one service.
func (s *Server) GetService(_ context.Context, r *pb.GetServiceRequest) (*pb.GetServiceResponse, error) {
	state := s.deps.Control.State()
	for _, service := range state.Content().Services {
		if service.Name == r.GetName() {
			return &pb.GetServiceResponse{
				Service:     serviceToProto(service),
				LastChanged: state.LastChanged(config.KindService, service.Name),
				Version:     state.Version(),
			}, nil
		}
	}
	return nil, status.Errorf(codes.NotFound, "no service %q", r.GetName())
}

// ListServices lists services by name.
func (s *Server) ListServices(_ context.Context, r *pb.ListServicesRequest) (*pb.ListServicesResponse, error) {
	state := s.deps.Control.State()
	services := state.Content().Services
	names := make([]string, len(services))
	for i, service := range services {
		names[i] = service.Name
	}
	from, to, next, err := page(names, r.GetPageSize(), r.GetPageToken())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	response := &pb.ListServicesResponse{NextPageToken: next, Version: state.Version()}
	for _, service := range services[from:to] {
		response.Services = append(response.Services, serviceToProto(service))
	}
	return response, nil
}

// GetRoute returns one route.
func (s *Server) GetRoute(_ context.Context, r *pb.GetRouteRequest) (*pb.GetRouteResponse, error) {
	state := s.deps.Control.State()
	for _, route := range state.Content().Routes {
		if route.Name == r.GetName() {
			return &pb.GetRouteResponse{
				Route:       routeToProto(route),
				LastChanged: state.LastChanged(config.KindRoute, route.Name),
				Version:     state.Version(),
			}, nil
		}
	}
	return nil, status.Errorf(codes.NotFound, "no route %q", r.GetName())
}

// ListRoutes lists routes by name.
func (s *Server) ListRoutes(_ context.Context, r *pb.ListRoutesRequest) (*pb.ListRoutesResponse, error) {
	state := s.deps.Control.State()
	routes := state.Content().Routes
	names := make([]string, len(routes))
	for i, route := range routes {
		names[i] = route.Name
	}
	from, to, next, err := page(names, r.GetPageSize(), r.GetPageToken())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	response := &pb.ListRoutesResponse{NextPageToken: next, Version: state.Version()}
	for _, route := range routes[from:to] {
		response.Routes = append(response.Routes, routeToProto(route))
	}
	return response, nil
}

// GetVersion returns the content of a remembered version.
func (s *Server) GetVersion(_ context.Context, r *pb.GetVersionRequest) (*pb.GetVersionResponse, error) {
	state := s.deps.Control.State()
	version := r.GetVersion()
	if version == 0 {
		version = state.Version()
	}
	content, ok := state.ContentOf(version)
	if !ok {
		return nil, status.Errorf(codes.NotFound, "version %d is not remembered; this node has version %d in force", version, state.Version())
	}
	response := &pb.GetVersionResponse{Content: contentToProto(content), Info: &pb.VersionInfo{Version: version}}
	for _, info := range state.History() {
		if info.Version == version {
			response.Info = infoToProto(info)
		}
	}
	return response, nil
}

// ListVersions lists the remembered versions, newest first.
func (s *Server) ListVersions(_ context.Context, r *pb.ListVersionsRequest) (*pb.ListVersionsResponse, error) {
	history := s.deps.Control.State().History()
	names := make([]string, len(history))
	for i, info := range history {
		names[i] = descendingToken(info.Version)
	}
	from, to, next, err := page(names, r.GetPageSize(), r.GetPageToken())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	response := &pb.ListVersionsResponse{NextPageToken: next}
	for _, info := range history[from:to] {
		response.Versions = append(response.Versions, infoToProto(info))
	}
	return response, nil
}
