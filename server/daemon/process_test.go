package daemon

import (
	"bytes"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/daemon/settings"
)

// startProcess runs the daemon as a process of its own.
func startProcess(t *testing.T, text string) (*settings.Settings, *exec.Cmd, *bytes.Buffer) {
	t.Helper()
	s, err := settings.Parse("test", []byte(text))
	assert.NilError(t, err)
	dir := t.TempDir()
	program := filepath.Join(dir, "wagtaild")
	build, err := exec.Command("go", "build", "-o", program, "wagtailford.example/server/cmd/wagtaild").CombinedOutput()
	assert.NilError(t, err, "%s", build)
	file := filepath.Join(dir, "node.ini")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	cmd := exec.Command(program, "run", file)
	output := &bytes.Buffer{}
	cmd.Stdout = output
	cmd.Stderr = output
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return s, cmd, output
}

// waitExit returns the exit code of a process.
func waitExit(t *testing.T, cmd *exec.Cmd) int {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case <-ended:
		return cmd.ProcessState.ExitCode()
	case <-time.After(limit):
		t.Fatal("the process did not end")
		return 0
	}
}

// Guards against a process that ignores SIGTERM, or waits beyond shutdown_timeout for a request that never ends. The
// route gives the request 10 minutes.
func TestSigterm(t *testing.T) {
	for _, held := range []bool{false, true} {
		l := startLog(t)
		text := strings.Replace(nodeSettings(l, "n1"), "shutdown_timeout = 5m", "shutdown_timeout = 1s", 1)
		s, cmd, output := startProcess(t, text)
		n := &testNode{Daemon: &Daemon{core: core{settings: s}}}
		target := startTarget(t, n)
		defer close(target.release)
		eventually(t, "the process is ready", func() bool { return get(http.DefaultClient, n.adminURL("/readyz")).status == 200 })
		publishTo(t, n.dial(t, nil))
		n.served(t)
		code := 0
		if held {
			code = 1
			go get(&http.Client{}, n.ingressURL("/hold"))
			eventually(t, "the request runs", func() bool { return target.held.Load() == 1 })
		}
		assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
		assert.Equal(t, waitExit(t, cmd), code, "%s", output)
		want := "shutdown finished"
		if held {
			want = "shutdown was not graceful"
		}
		assert.Assert(t, strings.Contains(output.String(), want), output)
	}
}

// Guards against a process that starts with faulty settings, or names only the first fault.
func TestFaultySettings(t *testing.T) {
	text := nodeSettings(startLog(t), "n1") + "operator_cert_file = /nonexistent\n[bogus]\n"
	dir := t.TempDir()
	file := filepath.Join(dir, "node.ini")
	assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(text, "cluster = c", "colour = c", 1)), 0o600))
	for _, verb := range []string{"run", "check-settings"} {
		cmd := exec.Command("go", "run", "wagtailford.example/server/cmd/wagtaild", verb, file)
		output, err := cmd.CombinedOutput()
		assert.Assert(t, err != nil)
		for _, want := range []string{"[bogus]", "key colour", "key cluster: required"} {
			assert.Assert(t, strings.Contains(string(output), want), "%s", output)
		}
	}
}
