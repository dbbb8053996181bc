package daemon

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/apex/log"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/daemon/admin"
	"wagtailford.example/server/daemon/logging"
)

// Guards against a node that calls itself ready before it has read the log, and against admin endpoints that are not
// JSON, lack a part of the process or exceed their bound.
func TestAdmin(t *testing.T) {
	l := startLog(t)
	l.down.Store(true)
	n := startNode(t, nodeSettings(l, "n1"))
	eventually(t, "the node is up", func() bool { return get(http.DefaultClient, n.adminURL("/healthz")).status == 200 })
	assert.Equal(t, get(http.DefaultClient, n.adminURL("/readyz")).status, 503)
	early := get(http.DefaultClient, n.ingressURL("/x"))
	assert.Equal(t, early.status, 503)
	assert.Equal(t, early.outcome, "refused-not-run")
	l.down.Store(false)
	eventually(t, "the node is ready", func() bool { return get(http.DefaultClient, n.adminURL("/readyz")).status == 200 })

	n.publish(t)
	var vars struct {
		Wagtaild map[string]map[string]any
	}
	assert.NilError(t, json.Unmarshal([]byte(get(http.DefaultClient, n.adminURL("/debug/vars")).body), &vars))
	for _, part := range []string{
		"PeerServer", "ControlPool", "TrafficPool", "Log", "Follower", "Control", "Ingress", "Process", "Execute",
		"Announce", "Ownership",
	} {
		assert.Assert(t, len(vars.Wagtaild[part]) > 0, part)
	}
	dump := get(http.DefaultClient, n.adminURL("/dump"))
	assert.Assert(t, json.Valid([]byte(dump.body)) && len(dump.body) <= admin.DumpMaxBytes)
	assert.Assert(t, !strings.Contains(dump.body, n.settings.Security.ClusterCredential), "the dump shows the credential")
	assert.Assert(t, strings.Contains(get(http.DefaultClient, n.adminURL("/convergence")).body, `"version":1`))
}

// Guards against a log level that cannot be changed while the process runs, or that a typing error changes.
func TestLogLevel(t *testing.T) {
	n := startNode(t, nodeSettings(startLog(t), "n1"))
	defer logging.SetLevel(log.InfoLevel)
	put := func(level string) int {
		request, err := http.NewRequest(http.MethodPut, n.adminURL("/loglevel"), strings.NewReader(level))
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
	eventually(t, "the node is up", func() bool { return get(http.DefaultClient, n.adminURL("/healthz")).status == 200 })
	assert.Equal(t, put("error\n"), 200)
	assert.Equal(t, get(http.DefaultClient, n.adminURL("/loglevel")).body, "error\n")
	assert.Equal(t, put("loud"), 400)
	assert.Equal(t, put("fatal"), 400)
	assert.Equal(t, get(http.DefaultClient, n.adminURL("/loglevel")).body, "error\n")
}
