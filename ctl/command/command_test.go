package command

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/ctl/client"
)

// Guards against an exit code that scripts would misread: above all, an outcome that is unknown and is reported as
// anything else, or without the id under which the change can be repeated.
func TestExitCodes(t *testing.T) {
	put := []string{"services", "create", "a"}
	withID := append(put, "--change-id", "c1")
	notAppended := detailed(codes.Unavailable, &pb.ChangeUnknown{ChangeId: "c1", NotAppended: true})
	unknown := detailed(codes.Unavailable, &pb.ChangeUnknown{ChangeId: "c1"})
	for _, test := range []struct {
		name   string
		daemon fakeDaemon
		args   []string
		code   int
		stderr string
	}{
		{"done", fakeDaemon{}, put, 0, ""},
		{"refused", fakeDaemon{changeErr: detailed(codes.FailedPrecondition, &pb.Rejected{Reason: "in_use", Detail: "why"})}, put, 3, "refused (in_use): why"},
		{"conflict", fakeDaemon{changeErr: detailed(codes.Aborted, &pb.Conflict{WinnerChangeId: "w", WinnerOperator: "ann", CurrentVersion: 9})}, put, 4, `change w by "ann" came first; base the next attempt on version 9`},
		{"not appended", fakeDaemon{changeErr: notAppended}, put, 5, "not changed: cause"},
		{"not appended, may be a repeat", fakeDaemon{changeErr: notAppended}, withID, 6, "--change-id c1"},
		{"unknown", fakeDaemon{changeErr: unknown}, withID, 6, "--change-id c1"},
		{"connection lost", fakeDaemon{changeErr: status.Error(codes.Unavailable, "lost")}, withID, 6, "--change-id c1"},
		{"stream reset", fakeDaemon{changeErr: status.Error(codes.Internal, "reset")}, withID, 6, "--change-id c1"},
		{"not permitted", fakeDaemon{changeErr: status.Error(codes.PermissionDenied, "no")}, put, 5, "no"},
		{"daemon out of reach before the change", fakeDaemon{listErr: status.Error(codes.Unavailable, "gone")}, put, 5, "gone"},
		{"earlier version out of reach", fakeDaemon{readErr: status.Error(codes.Unavailable, "gone")}, []string{"versions", "roll-forward", "3"}, 5, "gone"},
		{"earlier version forgotten", fakeDaemon{readErr: status.Error(codes.NotFound, "forgotten")}, []string{"versions", "roll-forward", "3"}, 3, "forgotten"},
		{"no such node", fakeDaemon{}, []string{"drain", "n9"}, 3, "no node"},
		{"status out of reach", fakeDaemon{statusErr: status.Error(codes.Unavailable, "gone")}, []string{"status"}, 5, "gone"},
		{"other", fakeDaemon{statusErr: status.Error(codes.Internal, "bug")}, []string{"status"}, 1, "bug"},
		{"in force everywhere", fakeDaemon{nodes: []*pb.NodeStatus{{Node: "n1", Version: 8}, {Node: "n2", State: "dead", Unreachable: true}}}, append(put, "--wait"), 0, ""},
		{"not in force everywhere", fakeDaemon{nodes: []*pb.NodeStatus{{Node: "n1", Version: 8}, {Node: "n2", Version: 7}, {Node: "n3", Unreachable: true}}}, append(put, "--wait", "--timeout", "300ms"), 1, "version 8 is accepted, but not in force on 2 nodes: n2, n3"},
		{"accepted, status out of reach", fakeDaemon{statusErr: status.Error(codes.Unavailable, "gone")}, append(put, "--wait", "--timeout", "300ms"), 1, "version 8 is accepted, but the nodes could not be asked"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := ctl(t, &test.daemon, test.args...)
			assert.Equal(t, r.code, test.code, "%s", r.errors)
			assert.Assert(t, strings.Contains(r.errors, test.stderr), r.errors)
			if strings.Contains(r.errors, "version 8 is accepted") {
				assert.Assert(t, strings.Contains(r.out, "CHANGE ID"), "the accepted change is not printed")
			}
		})
	}
}

// Guards against mistakes in the arguments that reach the daemon or end with the code of success.
func TestUsageErrors(t *testing.T) {
	for _, args := range []string{
		"bogus", "service", "services bogus", "targets", "completion tcsh", "services list extra", "services create",
		"services list -o yaml", "services list --bogus", "services list --timeout 0s", "services list --cert x",
		"versions diff 1", "versions diff a 1", "versions roll-forward x", "versions roll-forward 0",
		"versions publish -f /nonexistent", "routes create r --to", "routes create r --to a:x", "routes create r --to a,b",
		"routes create r --to :3",
	} {
		daemon := &fakeDaemon{}
		r := ctl(t, daemon, strings.Fields(args)...)
		assert.Equal(t, r.code, client.ExitUsage, args)
		assert.Assert(t, strings.HasPrefix(r.errors, "wagtailctl: "), args)
		assert.Equal(t, len(daemon.changes), 0, args)
	}
	r := run(context.Background(), `{"services":[{"name":"a","color":"red"}]}`, "versions", "publish")
	assert.Equal(t, r.code, client.ExitUsage)
}

// Guards against a refused connection that is reported as a change of unknown outcome.
func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	for _, args := range []string{"services create a", "routes update r", "versions roll-forward 3", "status", "drain n1"} {
		r := run(context.Background(), "", append([]string{"--server", address}, strings.Fields(args)...)...)
		assert.Equal(t, r.code, client.ExitUnreachable, "%s: %s", args, r.errors)
	}
}

// Guards against a command that cannot be interrupted.
func TestInterrupt(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	address := serve(t, &fakeDaemon{})
	assert.Equal(t, run(ctx, "", "--server", address, "status").code, client.ExitOther)
	lagging := serve(t, &fakeDaemon{nodes: []*pb.NodeStatus{{Node: "n1"}}})
	ctx, cancel = context.WithCancel(context.Background())
	ended := make(chan result)
	go func() {
		ended <- run(ctx, "", "--server", lagging, "--timeout", "1h", "services", "create", "a", "--wait")
	}()
	cancel()
	assert.Assert(t, (<-ended).code != client.ExitDone)
}

// Guards against destinations that are read differently from what the help says.
func TestParseDestination(t *testing.T) {
	for text, want := range map[string]*pb.Destination{
		"a":             {Service: "a", Weight: 1},
		"a:30":          {Service: "a", Weight: 30},
		"a:3,k=v,l=x=y": {Service: "a", Weight: 3, Labels: map[string]string{"k": "v", "l": "x=y"}},
		"a,k=":          {Service: "a", Weight: 1, Labels: map[string]string{"k": ""}},
	} {
		got, err := parseDestination(text)
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(got, want), "%s: %v", text, got)
		again, err := parseDestination(formatDestinations([]*pb.Destination{got}))
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(again, want), text)
	}
}

// Guards against an update that resets the fields it does not name, or that is not based on what it read.
func TestUpdateKeepsFields(t *testing.T) {
	daemon := &fakeDaemon{}
	r := ctl(t, daemon, "routes", "update", "r", "--max-attempts", "2", "--operator", "ann")
	assert.Equal(t, r.code, 0, r.errors)
	want := oldRoute()
	want.MaxAttempts = 2
	sent := daemon.changes[0].(*pb.PutRouteRequest)
	assert.Assert(t, proto.Equal(sent.GetRoute(), want), sent.GetRoute())
	assert.Equal(t, sent.GetOptions().GetBaseVersion(), uint64(7))
	assert.Equal(t, sent.GetOptions().GetOperator(), "ann")
	assert.Assert(t, sent.GetOptions().GetChangeId() != "")
	ctl(t, daemon, "routes", "update", "r", "--to", "b", "--base-version", "5")
	sent = daemon.changes[1].(*pb.PutRouteRequest)
	assert.Equal(t, formatDestinations(sent.GetRoute().GetDestinations()), "b:1")
	assert.Equal(t, sent.GetOptions().GetBaseVersion(), uint64(5))
}

// Guards against a roll-forward that publishes anything but the content of the earlier version.
func TestRollForward(t *testing.T) {
	earlier := &pb.Content{Services: []*pb.Service{{Name: "a"}}, Routes: []*pb.Route{oldRoute()}}
	daemon := &fakeDaemon{contents: map[uint64]*pb.Content{3: earlier}}
	assert.Equal(t, ctl(t, daemon, "versions", "roll-forward", "3").code, 0)
	assert.Assert(t, proto.Equal(daemon.changes[0].(*pb.PublishRequest).GetContent(), earlier))
}

// Guards against a difference that is missed or shown on the wrong side.
func TestDiff(t *testing.T) {
	other := oldRoute()
	other.MaxAttempts = 0
	daemon := &fakeDaemon{contents: map[uint64]*pb.Content{
		1: {Services: []*pb.Service{{Name: "a"}, {Name: "b"}}, Routes: []*pb.Route{oldRoute()}},
		2: {Services: []*pb.Service{{Name: "a"}, {Name: "c"}}, Routes: []*pb.Route{other}},
	}}
	const fields = "caller=shop path-prefix=/r to=[a:2] timeout-ms=100 max-attempts="
	r := ctl(t, daemon, "versions", "diff", "1", "2")
	assert.Equal(t, r.out, "~ route r\n    before: "+fields+"4 idempotent-methods=[POST]\n    after:  "+fields+
		"default idempotent-methods=[POST]\n- service b\n+ service c\n")
	var list []difference
	assert.NilError(t, json.Unmarshal([]byte(ctl(t, daemon, "versions", "diff", "1", "2", "-o", "json").out), &list))
	assert.Equal(t, len(list), 3)
	assert.DeepEqual(t, list[1], difference{Change: removed, Kind: "service", Name: "b"})
	assert.Equal(t, strings.TrimSpace(ctl(t, daemon, "versions", "diff", "1", "1", "-o", "json").out), "[]")
}

// Guards against lists that stop at the first page, and JSON that leaves fields out.
func TestOutput(t *testing.T) {
	assert.Equal(t, ctl(t, &fakeDaemon{}, "services", "list").out, "NAME  DESCRIPTION\na     \nb     text\n")
	var list struct {
		Services []map[string]string
		Version  string
	}
	assert.NilError(t, json.Unmarshal([]byte(ctl(t, &fakeDaemon{}, "services", "list", "-o", "json").out), &list))
	assert.DeepEqual(t, list.Services, []map[string]string{{"name": "a", "description": ""}, {"name": "b", "description": "text"}})
	assert.Equal(t, list.Version, "7")
	r := ctl(t, &fakeDaemon{nodes: []*pb.NodeStatus{{Node: "n1", Unreachable: true, State: "dead"}}}, "versions", "status")
	assert.Assert(t, strings.Contains(r.out, "unreachable"), r.out)
	r = ctl(t, &fakeDaemon{repeated: true}, "services", "create", "a", "--change-id", "c1", "-o", "json")
	var changed struct {
		Version, ChangeID string
		Repeated          bool
	}
	assert.NilError(t, json.Unmarshal([]byte(r.out), &changed))
	assert.Equal(t, r.out, "{\n  \"version\": \"8\",\n  \"changeId\": \"c1\",\n  \"repeated\": true\n}\n")
	assert.Assert(t, changed.Repeated && changed.Version == "8" && changed.ChangeID == "c1", r.out)
}

// Guards against a completion script that does not know the commands.
func TestCompletion(t *testing.T) {
	script := run(context.Background(), "", "completion", "bash")
	assert.Equal(t, script.code, 0)
	assert.Assert(t, strings.Contains(script.out, "__start_wagtailctl"))
	for args, want := range map[string]string{
		"__complete ":          "services",
		"__complete versions ": "roll-forward",
		"__complete drain --o": "--output",
	} {
		words := strings.Split(args, " ")
		r := run(context.Background(), "", words...)
		assert.Equal(t, r.code, 0)
		assert.Assert(t, strings.Contains(r.out, want), "%q: %s", args, r.out)
	}
}
