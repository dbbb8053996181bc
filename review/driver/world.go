package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"wagtailford.example/standin/platform"
)

// Bounds of the site kerbanc, from SYSTEM.md.
const (
	drainBound     = 2 * time.Second
	stabilityBound = 3 * time.Second
	heartbeat      = 1500 * time.Millisecond
	graceBound     = 6 * time.Second
)

const (
	program  = "target/wagtaild"
	template = "deploy/settings.ini"
	host     = "bench.example"
	// configText is a small configuration in the form of the pages: its version, and the rules after the first ones.
	configText = `{"version":%d,"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},
"listeners":[{"host":"bench.example","rules":[
{"name":"r-read","kind":"idempotent","target-latency-s":0.5,"priority":2,"match":{"path-prefix":"/read/"},"action":{"service":"vitrine","timeout-s":1.2,"max-attempts":2}},
{"name":"r-write","kind":"non_idempotent","target-latency-s":0.6,"priority":1,"match":{"path-prefix":"/write/"},"action":{"service":"vitrine","timeout-s":1.5,"max-attempts":2}},
{"name":"r-order","kind":"non_idempotent","target-latency-s":0.3,"priority":0,"match":{"path-prefix":"/order/"},"action":{"service":"atelier","timeout-s":0.8,"max-attempts":2}}%s]}],
"clusters":[{"name":"vitrine","health-path":"/healthz","max-connections":110,"protocol":"h1","tls":false},
{"name":"atelier","health-path":"/healthz","max-connections":110,"protocol":"h1","tls":false}]}`
	// laterRule is a rule that a later configuration adds.
	laterRule = `,
{"name":"r-page","kind":"idempotent","target-latency-s":0.5,"priority":2,"match":{"path-prefix":"/page/"},"action":{"service":"vitrine","timeout-s":1.2,"max-attempts":2}}`
)

// world is one small deployment on loopback addresses.
type world struct {
	dir     string
	began   time.Time
	store   *platform.Store
	nodes   []*node
	backend []*backend

	// budget is the time budget of the clients.
	budget time.Duration

	mu     sync.Mutex
	record *os.File
	lastID int
	closed bool
	// answers are what the clients got, by request.
	answers map[string]answer
}

func newWorld(record string) (*world, error) {
	dir, err := os.MkdirTemp("", "wagtailford-review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, began: time.Now(), budget: defaultBudget, record: file, answers: make(map[string]answer)}
	if w.store, err = platform.StartStore("127.0.0.1:0", 1); err != nil {
		return nil, err
	}
	w.publish(7, "")
	return w, nil
}

// publish writes a configuration to the store, as the operator does.
func (w *world) publish(version int, rules string) {
	offset := w.store.PublishConfig(fmt.Appendf(nil, configText, version, rules))
	w.note("the operator writes version %d, offset %d", version, offset)
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

// noteLogs copies what the nodes logged of their backends to the record.
func (w *world) noteLogs() {
	for _, n := range w.nodes {
		text, err := os.ReadFile(n.log())
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, `"event":"target_`) {
				w.note("log of %s: %s", n.name, strings.TrimSpace(line))
			}
		}
	}
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.end(syscall.SIGKILL)
	}
	for _, b := range w.backend {
		b.crash()
	}
	w.store.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		w.record.Close()
		os.RemoveAll(w.dir)
	}
}

// nextID returns a new request id.
func (w *world) nextID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(w.lastID))
}

// node is one machine: a process of the project with a backend beside it.
type node struct {
	world            *world
	name, zone, ip   string
	service          string
	peer, out, ready string
	control, appAddr string
	admin, operator  string
	settings         string
	mu               sync.Mutex
	cmd              *exec.Cmd
	ended            chan struct{}
	touched          time.Time
}

// addNode prepares a machine. Its process is started by start.
func (w *world) addNode(name, zone, service string) (*node, error) {
	n := &node{world: w, name: name, zone: zone, service: service, ip: fmt.Sprintf("127.61.%d.%d", os.Getpid()%250, len(w.nodes)+1)}
	for _, address := range []*string{&n.peer, &n.out, &n.ready, &n.control, &n.appAddr, &n.admin, &n.operator} {
		l, err := net.Listen("tcp", n.ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		*address = l.Addr().String()
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(w.dir, name+".ini")
	if err := os.WriteFile(n.settings, []byte(n.render(string(text))), 0o600); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, nil
}

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

// render fills in the template of the deploy file.
func (n *node) render(text string) string {
	port := func(address string) string { _, p, _ := net.SplitHostPort(address); return p }
	values := map[string]string{
		"node": n.name, "region": "bretagne", "zone": n.zone, "seeds": "", "limits.link-mbps": "1000.0", "ip": n.ip,
		"listen.inbound": n.peer, "listen.outbound": n.out, "listen.control": n.control, "listen.ready": n.ready,
		"port-range.0": port(n.admin), "port-range.1": port(n.operator), "platform.address": n.world.store.Address(),
		"service": n.service, "bounds.grace-s": "6", "bounds.retry-budget-ratio": "0.2", "bounds.budget-window-s": "10",
		"bounds.budget-slack": "58",
	}
	return placeholder.ReplaceAllStringFunc(text, func(field string) string {
		return values[strings.Trim(field, "{}")]
	})
}

// log is the file that takes the output of the process.
func (n *node) log() string { return filepath.Join(n.world.dir, n.name+".log") }

// start starts the process.
func (n *node) start() error {
	log, err := os.OpenFile(n.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd = exec.Command(program, "run", n.settings)
	n.cmd.Env = append(os.Environ(), "WAGTAILFORD_CONFIG="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.touched = time.Now()
	if err := n.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.ended = ended
	cmd := n.cmd
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	n.world.note("%s: process started", n.name)
	return nil
}

// end ends the process with a signal, with SIGKILL after the grace time, and waits for it.
func (n *node) end(s syscall.Signal) {
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.touched = time.Now()
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	select {
	case <-ended:
	case <-time.After(graceBound):
		_ = cmd.Process.Kill()
		<-ended
	}
	n.mu.Lock()
	n.touched = time.Now()
	n.mu.Unlock()
}

// restart ends the process with a signal and starts it again.
func (n *node) restart(s syscall.Signal) error {
	n.world.note("%s: gets %v", n.name, s)
	n.end(s)
	return n.start()
}

// inTouch reports whether the process was neither signaled nor started within the stability bound.
func (n *node) inTouch() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.touched) >= stabilityBound
}

// awaitReady waits until every node is ready and every one serves a request of its clients.
func (w *world) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		served := 0
		for _, n := range w.nodes {
			if resp, err := http.Get("http://" + n.ready + "/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK && n.send(http.MethodGet, "/read/warm", "").status == http.StatusOK {
					served++
				}
			}
		}
		if served == len(w.nodes) {
			return nil
		}
		if time.Now().After(end) {
			return errors.New("the nodes do not serve")
		}
	}
}

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Time
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	if a.status >= http.StatusBadRequest {
		return fmt.Sprintf("status %d, signature %q, body %q", a.status, a.header.Get("Response-Signature"), a.body)
	}
	return fmt.Sprintf("status %d, signature %q", a.status, a.header.Get("Response-Signature"))
}

// answerOf returns what the client of a request got.
func (w *world) answerOf(id string) answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answers[id]
}

// defaultBudget is the time budget of a client.
const defaultBudget = 1500 * time.Millisecond

// send sends one request of a client on this machine, on a connection of its own, and notes it.
func (n *node) send(method, path, body string) answer {
	a := answer{id: n.world.nextID(), sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+n.out+path, strings.NewReader(body))
	if err != nil {
		panic(err) // The URL is well formed.
	}
	req.Host = host
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(n.world.budget.Milliseconds()))
	// A connection of its own: the library never sends such a request twice.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: n.world.budget + 500*time.Millisecond}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
	} else {
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		a.status, a.header, a.body, a.err = resp.StatusCode, resp.Header, string(data), err
	}
	n.world.mu.Lock()
	n.world.answers[a.id] = a
	n.world.mu.Unlock()
	n.world.note("%s: client sends %s %s %s; %v", n.name, a.id, method, path, a)
	return a
}

// zones are those of the site kerbanc.
var zones = []string{"quimper", "morlaix", "vannes"}

// deploy starts one machine with a backend for each of the given services.
func (w *world) deploy(services ...string) ([]*backend, error) {
	var list []*backend
	for i, service := range services {
		zone := zones[i%len(zones)]
		n, err := w.addNode(fmt.Sprintf("sidecar-%s-%d", zone, i/len(zones)+1), zone, service)
		if err != nil {
			return nil, err
		}
		if err := n.start(); err != nil {
			return nil, err
		}
		b, err := n.startBackend(fmt.Sprintf("i-7f3a91c%d", i))
		if err != nil {
			return nil, err
		}
		list = append(list, b)
	}
	return list, w.awaitReady()
}
