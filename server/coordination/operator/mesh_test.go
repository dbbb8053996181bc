package operator

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
)

// Guards against pages that repeat or skip an entry which exists all the time while others come and go.
func TestPaging(t *testing.T) {
	n := startNode(t, &fakeLog{})
	ctx := context.Background()
	n.control.nodes = make(map[string]*endpoint.Entry)
	for i := range 6 {
		name := fmt.Sprint("s", i)
		_, err := n.putService(name, 0, name)
		assert.NilError(t, err)
		_, err = n.putRoute("r"+name, name, name)
		assert.NilError(t, err)
		n.control.nodes[name] = &endpoint.Entry{Node: name, Service: "x"}
	}
	list := map[string]func(token string) ([]string, string, error){
		"services": func(token string) (names []string, next string, err error) {
			r, err := n.ListServices(ctx, &pb.ListServicesRequest{PageSize: 2, PageToken: token})
			for _, s := range r.GetServices() {
				names = append(names, s.GetName())
			}
			return names, r.GetNextPageToken(), err
		},
		"routes": func(token string) (names []string, next string, err error) {
			r, err := n.ListRoutes(ctx, &pb.ListRoutesRequest{PageSize: 2, PageToken: token})
			for _, s := range r.GetRoutes() {
				names = append(names, s.GetName())
			}
			return names, r.GetNextPageToken(), err
		},
		"targets": func(token string) (names []string, next string, err error) {
			r, err := n.ListTargets(ctx, &pb.ListTargetsRequest{Service: "x", PageSize: 2, PageToken: token})
			for _, s := range r.GetTargets() {
				names = append(names, s.GetNode())
			}
			return names, r.GetNextPageToken(), err
		},
	}
	tokens := make(map[string]string)
	for kind, f := range list {
		names, next, err := f("")
		assert.NilError(t, err)
		assert.DeepEqual(t, names, []string{"s0", "s1"})
		tokens[kind] = next
	}
	// The last entry of the first page goes, and one comes before and one after the position.
	_, err := n.DeleteRoute(ctx, &pb.DeleteRouteRequest{Name: "s1"})
	assert.NilError(t, err)
	_, err = n.DeleteService(ctx, &pb.DeleteServiceRequest{Name: "s1"})
	assert.NilError(t, err)
	delete(n.control.nodes, "s1")
	for _, name := range []string{"s00", "s35"} {
		_, err = n.putService(name, 0, name)
		assert.NilError(t, err)
		_, err = n.putRoute("r"+name, name, name)
		assert.NilError(t, err)
		n.control.nodes[name] = &endpoint.Entry{Node: name, Service: "x"}
	}
	for kind, f := range list {
		var rest []string
		for token := tokens[kind]; token != ""; {
			names, next, err := f(token)
			assert.NilError(t, err)
			rest = append(rest, names...)
			token = next
		}
		assert.DeepEqual(t, rest, []string{"s2", "s3", "s35", "s4", "s5"})
	}
	_, err = n.ListServices(ctx, &pb.ListServicesRequest{PageSize: maxPageSize + 1})
	assert.Equal(t, status.Code(err), codes.InvalidArgument)
}

// Guards against pages of the history that repeat a version when newer ones are added in between.
func TestPagingOfVersions(t *testing.T) {
	n := startNode(t, &fakeLog{})
	put := func(i int) {
		name := fmt.Sprint("s", i)
		_, err := n.putService(name, 0, name)
		assert.NilError(t, err)
	}
	for i := range 5 {
		put(i)
	}
	var versions []uint64
	request := &pb.ListVersionsRequest{PageSize: 2}
	for {
		page, err := n.ListVersions(context.Background(), request)
		assert.NilError(t, err)
		for _, v := range page.GetVersions() {
			versions = append(versions, v.GetVersion())
		}
		if request.PageToken = page.GetNextPageToken(); request.PageToken == "" {
			break
		}
		put(10 + len(versions))
	}
	assert.DeepEqual(t, versions, []uint64{5, 4, 3, 2, 1})
}

// threeNodes is a follower, its child and a node that nobody reaches.
func threeNodes(n *node) fakeCaller {
	n.control.nodes = map[string]*endpoint.Entry{
		"n1": {Node: "n1", Address: "a1", FailureDomain: "d1", Service: "x", Slots: 18, Key: endpoint.Key{State: endpoint.Alive}},
		"n2": {Node: "n2", Address: "a2", Parent: "n1"},
		"n3": {Node: "n3", Address: "a3"},
	}
	return fakeCaller{
		"a1 Control.Status": wire.StatusReply{Nodes: []wire.NodeStatus{
			{Node: "n1", Offset: 1, Version: 1, Ready: true}, {Node: "n2", Offset: 0},
		}},
		"a2 Control.Drain": wire.DrainReply{State: endpoint.Draining},
		"a2 Control.Dump":  wire.DumpReply{JSON: []byte(`{"other":1}`)},
	}
}

// Guards against a node that counts as converged without a report, and against reports that are lost on the way.
func TestStatus(t *testing.T) {
	caller := fakeCaller{}
	n := startNode(t, &fakeLog{}, func(_ *Settings, d *Deps) { d.Caller = caller })
	for k, v := range threeNodes(n) {
		caller[k] = v
	}
	_, err := n.putService("a", 0, "a")
	assert.NilError(t, err)
	report, err := n.GetStatus(context.Background(), &pb.GetStatusRequest{})
	assert.NilError(t, err)
	assert.Equal(t, report.GetVersion(), uint64(1))
	assert.Equal(t, report.GetConverged(), uint32(1))
	var got []string
	for _, s := range report.GetNodes() {
		got = append(got, fmt.Sprint(s.GetNode(), s.GetVersion(), s.GetReady(), s.GetUnreachable(), s.GetState()))
	}
	assert.DeepEqual(t, got, []string{"n11 true falsealive", "n20 false falseno_target", "n30 false trueno_target"})
}

// Guards against a drain or dump that reaches another node than the named one, or hides that the node is out of reach.
func TestDrainAndDump(t *testing.T) {
	caller := fakeCaller{}
	undrained := false
	n := startNode(t, &fakeLog{}, func(_ *Settings, d *Deps) {
		d.Caller = caller
		d.Drain = func(undrain bool) (string, error) {
			undrained = undrain
			return "alive", nil
		}
	})
	for k, v := range threeNodes(n) {
		caller[k] = v
	}
	ctx := context.Background()
	remote, err := n.DrainTarget(ctx, &pb.DrainTargetRequest{Node: "n2"})
	assert.NilError(t, err)
	assert.Equal(t, remote.GetState(), "draining")
	local, err := n.UndrainTarget(ctx, &pb.UndrainTargetRequest{Node: "n1"})
	assert.NilError(t, err)
	assert.Equal(t, local.GetState(), "alive")
	assert.Assert(t, undrained)
	for name, want := range map[string]string{"": `{"own":1}`, "n1": `{"own":1}`, "n2": `{"other":1}`} {
		dump, err := n.DumpState(ctx, &pb.DumpStateRequest{Node: name})
		assert.NilError(t, err)
		assert.Equal(t, string(dump.GetJson()), want)
	}
	for name, code := range map[string]codes.Code{"n3": codes.Unavailable, "n9": codes.NotFound} {
		_, err := n.DrainTarget(ctx, &pb.DrainTargetRequest{Node: name})
		assert.Equal(t, status.Code(err), code)
		_, err = n.DumpState(ctx, &pb.DumpStateRequest{Node: name})
		assert.Equal(t, status.Code(err), code)
	}
	targets, err := n.ListTargets(ctx, &pb.ListTargetsRequest{})
	assert.NilError(t, err)
	assert.Assert(t, slices.ContainsFunc(targets.GetTargets(), func(x *pb.Target) bool {
		return x.GetNode() == "n1" && x.GetSlots() == 18 && x.GetFailureDomain() == "d1"
	}))
	assert.Equal(t, len(targets.GetTargets()), 1)
}
