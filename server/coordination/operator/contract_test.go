package operator

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/server/state/config"
)

// Guards against a field that is lost between the schema and the fold, and against a history in the wrong order.
func TestChangesAndReads(t *testing.T) {
	n := startNode(t, &fakeLog{})
	ctx := context.Background()
	route := &pb.Route{
		Name: "r", Caller: "shop", PathPrefix: "/r", TimeoutMs: 250, MaxAttempts: 2, IdempotentMethods: []string{"POST"},
		Destinations: []*pb.Destination{{Service: "a", Weight: 3, Labels: map[string]string{"k": "v"}}},
	}
	_, err := n.PutService(ctx, &pb.PutServiceRequest{
		Service: &pb.Service{Name: "a", Description: "text"}, Options: options("c1", 0), CreateOnly: true,
	})
	assert.NilError(t, err)
	_, err = n.PutRoute(ctx, &pb.PutRouteRequest{Route: route, Options: options("c2", 0), CreateOnly: true})
	assert.NilError(t, err)
	service, err := n.GetService(ctx, &pb.GetServiceRequest{Name: "a"})
	assert.NilError(t, err)
	assert.Equal(t, service.String(), (&pb.GetServiceResponse{
		Service: &pb.Service{Name: "a", Description: "text"}, LastChanged: 1, Version: 2,
	}).String())
	got, err := n.GetRoute(ctx, &pb.GetRouteRequest{Name: "r"})
	assert.NilError(t, err)
	assert.Equal(t, got.String(), (&pb.GetRouteResponse{Route: route, LastChanged: 2, Version: 2}).String())

	_, err = n.DeleteRoute(ctx, &pb.DeleteRouteRequest{Name: "r", Options: options("c3", 0)})
	assert.NilError(t, err)
	_, err = n.DeleteService(ctx, &pb.DeleteServiceRequest{Name: "a", Options: options("c4", 0)})
	assert.NilError(t, err)
	_, err = n.publish("c5", 4, "b")
	assert.NilError(t, err)

	versions, err := n.ListVersions(ctx, &pb.ListVersionsRequest{})
	assert.NilError(t, err)
	var summaries []string
	for _, v := range versions.GetVersions() {
		summaries = append(summaries, fmt.Sprint(v.GetVersion(), " ", v.GetOperator(), " ", v.GetSummary()))
	}
	assert.DeepEqual(t, summaries, []string{
		"5 op-c5 publish 1 services, 0 routes", "4 op-c4 delete service a", "3 op-c3 delete route r",
		"2 op-c2 put route r", "1 op-c1 put service a",
	})
	version, err := n.GetVersion(ctx, &pb.GetVersionRequest{Version: 2})
	assert.NilError(t, err)
	assert.Equal(t, version.GetInfo().GetChangeId(), "c2")
	assert.Equal(t, version.GetContent().GetRoutes()[0].String(), route.String())
	current, err := n.GetVersion(ctx, &pb.GetVersionRequest{})
	assert.NilError(t, err)
	assert.Equal(t, current.GetInfo().GetVersion(), uint64(5))
}

// Guards against a refusal without its typed detail, a status code that hides the kind of the refusal, and a
// refused change that takes effect.
func TestRefusals(t *testing.T) {
	n := startNode(t, &fakeLog{})
	ctx := context.Background()
	_, err := n.publish("start", 0, "a")
	assert.NilError(t, err)
	_, err = n.putRoute("route", "r", "a")
	assert.NilError(t, err)
	many := make([]string, 5000)
	for i := range many {
		many[i] = fmt.Sprintf("s%d", i)
	}
	put := func(o *pb.ChangeOptions, create, update bool, name string) error {
		_, err := n.PutService(ctx, &pb.PutServiceRequest{
			Service: &pb.Service{Name: name}, Options: o, CreateOnly: create, UpdateOnly: update,
		})
		return err
	}
	for _, test := range []struct {
		name   string
		call   func() error
		code   codes.Code
		reason config.RejectReason
	}{
		{"exists", func() error { return put(nil, true, false, "a") }, codes.AlreadyExists, config.RejectAlreadyExists},
		{"not there", func() error { return put(nil, false, true, "b") }, codes.NotFound, config.RejectNotFound},
		{"bad name", func() error { return put(nil, false, false, "A b") }, codes.InvalidArgument, config.RejectInvalidName},
		{"future base", func() error { return put(options("x", 99), false, false, "b") }, codes.FailedPrecondition, config.RejectUnknownBase},
		{"long id", func() error { return put(options(strings.Repeat("x", 65), 0), false, false, "b") }, codes.InvalidArgument, config.RejectInvalidChangeID},
		{"in use", func() error {
			_, err := n.DeleteService(ctx, &pb.DeleteServiceRequest{Name: "a"})
			return err
		}, codes.FailedPrecondition, config.RejectServiceInUse},
		{"unknown service", func() error { _, err := n.putRoute("y", "q", "b"); return err }, codes.FailedPrecondition, config.RejectUnknownService},
		{"no service", func() error { _, err := n.PutService(ctx, &pb.PutServiceRequest{}); return err }, codes.InvalidArgument, config.RejectInvalidName},
		{"no content", func() error { _, err := n.Publish(ctx, &pb.PublishRequest{}); return err }, codes.InvalidArgument, config.RejectInvalidField},
		{"too many", func() error { _, err := n.publish("z", 0, many...); return err }, codes.InvalidArgument, config.RejectUndecodable},
		{"too large", func() error {
			_, err := n.publish("l", 0, strings.Repeat("x", 300<<10))
			return err
		}, codes.InvalidArgument, config.RejectTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := test.call()
			assert.Equal(t, status.Code(err), test.code, "%v", err)
			rejected := detail[*pb.Rejected](t, err)
			assert.Equal(t, rejected.GetReason(), string(test.reason))
			assert.Assert(t, rejected.GetDetail() != "")
			assert.Equal(t, n.control.State().Version(), uint64(2))
		})
	}
	for name, call := range map[string]func() error{
		"service": func() error { _, err := n.GetService(ctx, &pb.GetServiceRequest{Name: "q"}); return err },
		"route":   func() error { _, err := n.GetRoute(ctx, &pb.GetRouteRequest{Name: "q"}); return err },
		"version": func() error { _, err := n.GetVersion(ctx, &pb.GetVersionRequest{Version: 9}); return err },
	} {
		assert.Equal(t, status.Code(call()), codes.NotFound, name)
	}
}

// Guards against two winners, and against a loser that is not told what to base its next attempt on.
func TestRace(t *testing.T) {
	l := &fakeLog{}
	nodes := []*node{startNode(t, l), startNode(t, l)}
	start, err := nodes[0].publish("start", 0, "a")
	assert.NilError(t, err)
	type result struct {
		id       string
		response *pb.ChangeResponse
		err      error
	}
	results := make(chan result)
	for i, n := range nodes {
		go func() {
			id := fmt.Sprint("race-", i)
			response, err := n.publish(id, start.GetVersion(), "a", id)
			results <- result{id, response, err}
		}()
	}
	winner, loser := <-results, <-results
	if winner.err != nil {
		winner, loser = loser, winner
	}
	assert.NilError(t, winner.err)
	assert.Equal(t, status.Code(loser.err), codes.Aborted)
	conflict := detail[*pb.Conflict](t, loser.err)
	assert.Equal(t, conflict.GetWinnerChangeId(), winner.id)
	assert.Equal(t, conflict.GetWinnerOperator(), "op-"+winner.id)
	assert.Equal(t, conflict.GetCurrentVersion(), winner.response.GetVersion())
	_, err = nodes[0].publish("rebased", conflict.GetCurrentVersion(), "a", loser.id)
	assert.NilError(t, err)
}

// Guards against a change that takes effect twice when its answer was lost, at the same node or at another one that
// has not read the first record yet.
func TestRepeatAfterLostAnswer(t *testing.T) {
	for _, behind := range []bool{false, true} {
		l := &fakeLog{}
		first, second := startNode(t, l), startNode(t, l)
		second.control.hold(true)
		l.setFault(errAnswerLost)
		_, err := first.putService("c1", 0, "a")
		assert.Equal(t, status.Code(err), codes.Unavailable)
		unknown := detail[*pb.ChangeUnknown](t, err)
		assert.Equal(t, unknown.GetChangeId(), "c1")
		assert.Assert(t, !unknown.GetNotAppended())
		l.setFault(nil)
		again := first
		if behind {
			again = second
			l.appended = func() { second.control.hold(false) }
		}
		response, err := again.putService("c1", 0, "a")
		assert.NilError(t, err)
		assert.Equal(t, response.String(), (&pb.ChangeResponse{Version: 1, ChangeId: "c1", Repeated: true}).String())
		assert.Equal(t, len(first.control.State().History()), 1)
	}
}

// Guards against a repeat that reports a change as accepted when the first record of it lost.
func TestRepeatOfRefusal(t *testing.T) {
	n := startNode(t, &fakeLog{})
	_, err := n.publish("start", 0, "a")
	assert.NilError(t, err)
	for range 2 {
		_, err = n.publish("late", 0, "A b")
		assert.Equal(t, detail[*pb.Rejected](t, err).GetReason(), string(config.RejectInvalidName))
	}
	_, err = n.publish("next", 1, "b")
	assert.NilError(t, err)
	for range 2 {
		_, err = n.publish("lost", 1, "c")
		assert.Equal(t, detail[*pb.Conflict](t, err).GetWinnerChangeId(), "next")
	}
}

// Guards against an outage of the log that leaves the operator without the change id, or that claims to be uncertain
// about a change that certainly had no effect.
func TestLogDown(t *testing.T) {
	l := &fakeLog{}
	n := startNode(t, l)
	l.setFault(errDown)
	_, err := n.PutService(context.Background(), &pb.PutServiceRequest{Service: &pb.Service{Name: "a"}})
	assert.Equal(t, status.Code(err), codes.Unavailable)
	unknown := detail[*pb.ChangeUnknown](t, err)
	assert.Assert(t, unknown.GetNotAppended())
	assert.Assert(t, unknown.GetChangeId() != "")
	_, err = n.ListServices(context.Background(), &pb.ListServicesRequest{})
	assert.NilError(t, err)
	l.setFault(nil)
	response, err := n.putService(unknown.GetChangeId(), 0, "a")
	assert.NilError(t, err)
	assert.Assert(t, !response.GetRepeated())
	l.setFault(errDown)
	response, err = n.putService(unknown.GetChangeId(), 0, "a")
	assert.NilError(t, err, "a decided change needs no log to be repeated")
	assert.Assert(t, response.GetRepeated())
}

// Guards against a node that is behind: it must not decide from its old state, nor turn an unrelated change into a
// conflict, and must say that the outcome is unknown if it does not catch up.
func TestNodeBehind(t *testing.T) {
	l := &fakeLog{}
	ahead := startNode(t, l)
	late := startNode(t, l, func(s *Settings, _ *Deps) { s.VerdictTimeout = 50 * time.Millisecond })
	_, err := ahead.publish("start", 0, "a")
	assert.NilError(t, err)
	assert.Equal(t, late.control.State().Version(), uint64(1))
	late.control.hold(true)
	_, err = ahead.putService("b", 0, "b")
	assert.NilError(t, err)

	_, err = late.putRoute("r", "r", "b")
	unknown := detail[*pb.ChangeUnknown](t, err)
	assert.Assert(t, !unknown.GetNotAppended())
	_, err = late.publish("stale", 0, "c")
	assert.Equal(t, status.Code(err), codes.Unavailable)

	late.control.hold(false)
	response, err := late.putRoute(unknown.GetChangeId(), "r", "b")
	assert.NilError(t, err, "a route change without a base conflicts with a change of another resource")
	assert.Equal(t, response.GetVersion(), uint64(3))
	_, err = late.publish("stale", 0, "c")
	assert.Equal(t, detail[*pb.Conflict](t, err).GetCurrentVersion(), uint64(3))
}

// Guards against a node that appends changes, or waits for ever, although it cannot decide them.
func TestBlockedReader(t *testing.T) {
	l := &fakeLog{}
	n := startNode(t, l)
	_, err := n.putService("a", 0, "a")
	assert.NilError(t, err)
	data, err := config.EncodeChange(config.Change{Rule: config.RuleVersion + 1, ID: "new"})
	assert.NilError(t, err)
	_, err = l.Append(context.Background(), StreamConfig, data)
	assert.NilError(t, err)

	_, err = n.putService("b", 0, "b")
	assert.Equal(t, status.Code(err), codes.Unavailable)
	assert.Assert(t, detail[*pb.ChangeUnknown](t, err).GetNotAppended())
	assert.Equal(t, len(l.read(0)), 2)
	repeated, err := n.putService("a", 0, "a")
	assert.NilError(t, err)
	assert.Assert(t, repeated.GetRepeated())
	report, err := n.GetStatus(context.Background(), &pb.GetStatusRequest{})
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(report.GetBlockedReason(), "rule version 2"), report.GetBlockedReason())
}
