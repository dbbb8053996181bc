package operator

import (
	"context"
	"net"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/server/coordination/dispatch"
	"wagtailford.example/server/coordination/quota"
)

// statedMax is the number of characters of a wrong input that an error states.
const statedMax = 128

// ExplainRoute explains how this node would place a request.
func (s *Server) ExplainRoute(_ context.Context, r *pb.ExplainRouteRequest) (*pb.ExplainRouteResponse, error) {
	if s.deps.ExplainRoute == nil {
		return nil, status.Error(codes.Unimplemented, "this node is not on a platform; only nodes on a platform explain routes")
	}
	if r.GetNode() != "" && r.GetNode() != s.settings.Node {
		return nil, status.Errorf(codes.FailedPrecondition, "this is node %s; connect to node %.*s", s.settings.Node, statedMax, r.GetNode())
	}
	if _, _, err := net.SplitHostPort(r.GetHost()); err == nil || r.GetHost() == "" {
		return nil, status.Errorf(codes.InvalidArgument, "host %.*q must be a name or address without a port", statedMax, r.GetHost())
	}
	if !strings.HasPrefix(r.GetPath(), "/") {
		return nil, status.Errorf(codes.InvalidArgument, "path %.*q must start with a slash", statedMax, r.GetPath())
	}
	request := &dispatch.ExplainRequest{
		Host: strings.ToLower(r.GetHost()), Path: r.GetPath(), Method: r.GetMethod(),
		Organisation: r.GetOrganisation(), Idempotent: r.Idempotent,
	}
	if request.Method == "" {
		request.Method = "GET"
	}
	return explanationToProto(s.deps.ExplainRoute(request)), nil
}

func explanationToProto(e *dispatch.Explanation, refusedStatus int) *pb.ExplainRouteResponse {
	response := &pb.ExplainRouteResponse{
		Node: e.Node, Version: e.Version, Behind: e.Behind, Balance: e.Balance,
		Route: e.Route, Service: e.Service, ServiceUndecided: e.Service != "" && !e.ServiceDecided,
		OrganisationPriority: uint32(e.OrganisationPriority), RoutePriority: uint32(e.Priority), Nested: e.Nested,
		Idempotent: e.Idempotent, MaxAttempts: uint32(e.Attempts),
		TimeoutMs: uint32(e.Timeout.Milliseconds()), ObjectiveMs: uint32(e.Objective.Milliseconds()),
		Order: e.Order, Quota: quotaToProto(e.Organisation, e.Quota),
	}
	if c := e.Rollout; c != nil {
		response.SoftwareVersion = &pb.VersionChoice{
			TargetVersion: c.TargetVersion, State: c.State, Share: c.Share, Newer: c.Newer, Versions: c.Versions,
		}
	}
	for i := range e.Candidates {
		response.Candidates = append(response.Candidates, candidateToProto(&e.Candidates[i]))
	}
	if e.Refused != nil {
		response.Rejection = &pb.Rejection{
			Status: uint32(refusedStatus), Reason: string(e.Refused.Reason),
			RetryAfterS: e.Refused.RetryAfter.Round(time.Millisecond).Seconds(),
		}
	}
	return response
}

func candidateToProto(c *dispatch.ExplainedCandidate) *pb.Candidate {
	candidate := &pb.Candidate{
		Node: c.Entry.Node, FailureDomain: c.Entry.FailureDomain, State: StateName(c.Entry.State),
		SoftwareVersion: c.Entry.SoftwareVersion, Slots: uint32(c.Entry.Slots), Excluded: c.Excluded,
	}
	r := c.Rating
	if r == nil {
		return candidate
	}
	candidate.Rated, candidate.Slots = true, uint32(r.Slots)
	candidate.FreeSlots, candidate.MayBeFirst = r.FreeSlots, r.MayBeFirst
	candidate.ExpectedMs, candidate.WaitMs = milliseconds(r.Expected), milliseconds(r.Wait)
	candidate.RankMs, candidate.RankMinMs, candidate.RankMaxMs = milliseconds(r.Rank), milliseconds(r.RankMin), milliseconds(r.RankMax)
	candidate.ReportAgeMs = age(r.ReportAge)
	candidate.FullForMs, candidate.EjectedForMs = uint64(r.FullFor.Milliseconds()), uint64(r.EjectedFor.Milliseconds())
	return candidate
}

// quotaToProto returns nil for a request without an organisation.
func quotaToProto(organisation string, p *quota.Preview) *pb.QuotaLeft {
	if p == nil {
		return nil
	}
	if !p.Limited {
		return &pb.QuotaLeft{Organisation: organisation}
	}
	return &pb.QuotaLeft{
		Organisation: organisation, HasRate: true, RatePerSecond: p.RatePerSecond, Burst: p.Burst,
		Left: uint32(p.Left), More: p.Unbounded, Owner: p.Owner, Contact: p.Contact, AnsweredAgeMs: age(p.AnsweredAge),
		AdmittedPerMille: uint32(p.PerMille), Nodes: uint32(p.Nodes), PartPerSecond: p.PartPerSecond, RateLowered: p.RateLowered,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// age returns an age in milliseconds; nil if it is negative, which means that there is none.
func age(d time.Duration) *uint64 {
	if d < 0 {
		return nil
	}
	ms := uint64(d.Milliseconds())
	return &ms
}
