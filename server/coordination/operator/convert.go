package operator

import (
	"time"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

func serviceFromProto(s *pb.Service) config.Service {
	return config.Service{Name: s.GetName(), Description: s.GetDescription()}
}

func serviceToProto(s config.Service) *pb.Service {
	return &pb.Service{Name: s.Name, Description: s.Description}
}

func routeFromProto(r *pb.Route) config.Route {
	route := config.Route{
		Name:              r.GetName(),
		Caller:            r.GetCaller(),
		PathPrefix:        r.GetPathPrefix(),
		Timeout:           time.Duration(r.GetTimeoutMs()) * time.Millisecond,
		MaxAttempts:       r.GetMaxAttempts(),
		IdempotentMethods: r.GetIdempotentMethods(),
	}
	for _, d := range r.GetDestinations() {
		route.Destinations = append(route.Destinations, config.Destination{
			Service: d.GetService(), Labels: d.GetLabels(), Weight: d.GetWeight(),
		})
	}
	return route
}

func routeToProto(r config.Route) *pb.Route {
	route := &pb.Route{
		Name:              r.Name,
		Caller:            r.Caller,
		PathPrefix:        r.PathPrefix,
		TimeoutMs:         uint32(r.Timeout.Milliseconds()),
		MaxAttempts:       r.MaxAttempts,
		IdempotentMethods: r.IdempotentMethods,
	}
	for _, d := range r.Destinations {
		route.Destinations = append(route.Destinations, &pb.Destination{
			Service: d.Service, Labels: d.Labels, Weight: d.Weight,
		})
	}
	return route
}

func contentFromProto(c *pb.Content) *config.Content {
	content := &config.Content{}
	for _, s := range c.GetServices() {
		content.Services = append(content.Services, serviceFromProto(s))
	}
	for _, r := range c.GetRoutes() {
		content.Routes = append(content.Routes, routeFromProto(r))
	}
	return content
}

func contentToProto(c *config.Content) *pb.Content {
	content := &pb.Content{}
	for _, s := range c.Services {
		content.Services = append(content.Services, serviceToProto(s))
	}
	for _, r := range c.Routes {
		content.Routes = append(content.Routes, routeToProto(r))
	}
	return content
}

func infoToProto(i config.VersionInfo) *pb.VersionInfo {
	return &pb.VersionInfo{
		Version:     i.Version,
		ChangeId:    i.ChangeID,
		Operator:    i.Operator,
		BaseVersion: i.Base,
		Summary:     i.Summary,
		TimeMs:      i.TimeMS,
	}
}

// StateName returns the name of a state as operators see it.
func StateName(s endpoint.State) string {
	switch s {
	case endpoint.NoTarget:
		return "no_target"
	case endpoint.Alive:
		return "alive"
	case endpoint.Draining:
		return "draining"
	case endpoint.Suspect:
		return "suspect"
	case endpoint.Dead:
		return "dead"
	case endpoint.Left:
		return "left"
	default:
		return "unknown"
	}
}

func targetToProto(e *endpoint.Entry) *pb.Target {
	return &pb.Target{
		Node:          e.Node,
		Service:       e.Service,
		Address:       e.TargetAddress,
		FailureDomain: e.FailureDomain,
		Labels:        e.Labels,
		Slots:         uint32(e.Slots),
		State:         StateName(e.State),

		LimitPerSecond: e.LimitPerSecond,
	}
}
