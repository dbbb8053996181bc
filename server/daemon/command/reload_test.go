package command

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/daemon/settings"
)

const hostedSettings = `[node]
name = n1
cluster = c
region = r
failure_domain = d
[listen]
peer = 10.0.0.1:1
ingress = 10.0.0.1:2
announce = 10.0.0.1:3
ready = 10.0.0.1:4
admin = 10.0.0.1:5
[security]
cluster_credential = 0123456789abcdef
[platform]
store = 10.0.0.2:1
[routing]
repeat_slack = `

// reloads records the settings that a node was given.
type reloads struct {
	mu   sync.Mutex
	list []int
	next chan struct{}
}

func (r *reloads) Run(context.Context) error { return nil }

func (r *reloads) Reload(s *settings.Settings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, s.Routing.RepeatSlack)
	r.next <- struct{}{}
}

// Guards against a process that ends at SIGHUP, takes over an invalid file, or does not notice a change without signal.
func TestReload(t *testing.T) {
	log.SetHandler(discard.Default)
	file := filepath.Join(t.TempDir(), "node.ini")
	write := func(value string) {
		assert.NilError(t, os.WriteFile(file, []byte(hostedSettings+value+"\n"), 0o600))
	}
	write("10")
	node := &reloads{next: make(chan struct{}, 10)}
	signals := hangups()
	r := reloader{file: file, node: node}
	go r.watch(t.Context(), signals)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	<-node.next
	write("-5")
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(reloadInterval + reloadInterval/2)
	write("1234")
	<-node.next
	assert.DeepEqual(t, node.list, []int{10, 1234})
}

// Guards against changed keys that a reload does not name.
func TestChanged(t *testing.T) {
	a, err := settings.Parse("a", []byte(hostedSettings+"10\n"))
	assert.NilError(t, err)
	b, err := settings.Parse("b", []byte(hostedSettings+"11\nmax_depth = 3\n"))
	assert.NilError(t, err)
	assert.DeepEqual(t, settings.Changed(a, b), []string{"Routing.MaxDepth", "Routing.RepeatSlack"})
}
