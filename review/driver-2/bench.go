package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bench is one play of a case.
type bench struct {
	trouble bool
	began   time.Time
	dir     string
	// network are the first three bytes of the addresses of this play.
	network string

	mu     sync.Mutex
	record *os.File
	lastIP int
	nodes  []*node
}

func newBench(record string, trouble bool) (*bench, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bench{
		trouble: trouble, began: time.Now(), dir: dir, record: f,
		network: fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250)),
	}
	b.note("trouble %v", trouble)
	return b, nil
}

// note writes a line to the record.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail ends a case that could not run.
func (b *bench) fail(format string, args ...any) {
	b.note("cannot run: "+format, args...)
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	b.close()
	os.Exit(2)
}

// close ends the processes that the case started.
func (b *bench) close() {
	for _, n := range b.nodes {
		n.kill()
	}
	if err := os.RemoveAll(b.dir); err != nil {
		b.note("temporary folder not removed: %v", err)
	}
}

// newIP returns a loopback address that this play has not used.
func (b *bench) newIP() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastIP++
	return b.network + strconv.Itoa(b.lastIP)
}

// listen listens on a port of an address that this play alone uses.
func (b *bench) listen(address string) net.Listener {
	var l net.Listener
	var err error
	for range 40 {
		if l, err = net.Listen("tcp", address); err == nil {
			return l
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.fail("listen: %v", err)
	return nil
}

// Ports of a machine.
const (
	portReady    = "8140"
	portOutbound = "8141"
	portInbound  = "8145"
	portControl  = "8146"
	portBackend  = "8147"
	portAdmin    = "7660"
	portOperator = "7675"
)

// node is one process of the system.
type node struct {
	name, ip, service string
	settings          string
	bench             *bench
	cmd               *exec.Cmd
	ended             chan struct{}
}

func (n *node) outbound() string { return n.ip + ":" + portOutbound }
func (n *node) control() string  { return n.ip + ":" + portControl }

var (
	inverted    = regexp.MustCompile(`\{\{\^([a-z.0-9-]+)\}\}(.*?)\{\{/[a-z.0-9-]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z.0-9-]+)\}\}`)
)

// newNode renders the settings of a machine from the template of the deploy file and starts the process.
func (b *bench) newNode(name, service, zone, store string) *node {
	n := &node{name: name, ip: b.newIP(), service: service, bench: b}
	values := map[string]string{
		"node": name, "region": "tt-south", "zone": zone, "seeds": "", "limits.link-mbps": "1000.0", "service": service,
		"listen.inbound": n.ip + ":" + portInbound, "listen.outbound": n.outbound(), "listen.control": n.control(),
		"listen.ready": n.ip + ":" + portReady, "ip": n.ip, "port-range.0": portAdmin, "port-range.1": portOperator,
		"platform.address": store, "bounds.grace-s": "6", "bounds.retry-budget-ratio": "0.2", "bounds.budget-window-s": "10",
		"bounds.budget-slack": "64",
	}
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		b.fail("%v", err)
	}
	text := inverted.ReplaceAllStringFunc(string(template), func(section string) string {
		parts := inverted.FindStringSubmatch(section)
		if values[parts[1]] != "" {
			return ""
		}
		return parts[2]
	})
	text = placeholder.ReplaceAllStringFunc(text, func(name string) string { return values[strings.Trim(name, "{}")] })
	n.settings = filepath.Join(b.dir, name+".ini")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		b.fail("%v", err)
	}
	b.nodes = append(b.nodes, n)
	n.start()
	return n
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	n.cmd = exec.Command("target/wagtaild", "run", n.settings)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.bench.dir, "WAGTAILFORD_CONFIG=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = io.Discard, io.Discard
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		n.bench.fail("start %s: %v", n.name, err)
	}
	ended, cmd := make(chan struct{}), n.cmd
	n.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	n.bench.note("%s started, service %s, clients at %s", n.name, n.service, n.outbound())
}

// isRunning reports whether the process has not ended.
func (n *node) isRunning() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// kill ends the process at once.
func (n *node) kill() {
	if n.cmd != nil && n.isRunning() {
		_ = n.cmd.Process.Kill()
		<-n.ended
	}
}

// terminate stops the process as planned work does, and waits for its end.
func (n *node) terminate() {
	n.bench.note("%s gets SIGTERM", n.name)
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
		n.bench.note("%s has ended", n.name)
	case <-time.After(6 * time.Second):
		n.kill()
		n.bench.note("%s was killed after the grace time", n.name)
	}
}

// waitReady waits until the node says that it is ready.
func (n *node) waitReady() {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for range 200 {
		resp, err := client.Get("http://" + n.ip + ":" + portReady + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n.bench.note("%s is ready", n.name)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	n.bench.fail("%s is not ready", n.name)
}

// peakBytes returns the peak of the resident memory of the process.
func (n *node) peakBytes() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10, err
		}
	}
	return 0, errors.New("no VmHWM")
}
