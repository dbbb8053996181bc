package bench

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/uuid"

	"wagtailford.example/standin/fleet"
	"wagtailford.example/standin/target"
)

func needPrograms(b *testing.B) {
	b.Helper()
	if os.Getenv(BinVariable) == "" {
		b.Skip(BinVariable + " is not set")
	}
}

// twoNodes starts two nodes with the services "near" beside the first and "far" beside the second.
func twoNodes(b *testing.B) *fleet.Fleet {
	b.Helper()
	network := fleet.Network()
	f, err := Start(fleet.Options{WithTargets: true, Settings: profileSettings(), Plans: []fleet.Plan{
		{Name: "n1", Region: "r", FailureDomain: "d1", Service: "near", IP: network + ".1.1"},
		{Name: "n2", Region: "r", FailureDomain: "d2", Service: "far", IP: network + ".1.2"},
	}})
	b.Cleanup(func() { Finish(f) })
	if err != nil {
		b.Fatal(err)
	}
	for _, service := range []string{"near", "far"} {
		mustCtl(b, f, "service", "create", service)
		mustCtl(b, f, "route", "create", service, "--path-prefix", "/"+service, "--to", service, "--wait")
	}
	waitTargets(b, f, 2)
	return f
}

func mustCtl(b *testing.B, f *fleet.Fleet, args ...string) {
	b.Helper()
	if _, err := f.Ctl(f.Plans[0], args...); err != nil {
		b.Fatal(err)
	}
}

// waitTargets waits until the first node lists n targets as alive.
func waitTargets(b *testing.B, f *fleet.Fleet, n int) {
	b.Helper()
	err := fleet.Eventually(fleet.ReadyTimeout, fmt.Sprint(n, " targets are alive"), func() bool {
		out, err := f.Ctl(f.Plans[0], "target", "list")
		return err == nil && strings.Count(out, "alive") == n
	})
	if err != nil {
		b.Fatal(err)
	}
}

// send makes one request and returns its outcome; a direct answer has no outcome header and counts as answered.
func send(f *fleet.Fleet, method, url string) string {
	id := uuid.NewString()
	reply, err := f.HTTP.Do(method, url, map[string]string{target.HeaderRequestID: id}, nil)
	switch {
	case err != nil:
		return "error"
	case reply.Outcome == "" && reply.Status == 200:
		return "answered"
	default:
		return reply.Outcome
	}
}
