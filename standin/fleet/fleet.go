package fleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Ports of the processes; each process has a loopback address of its own.
const (
	LogPort      = 7300
	TargetPort   = 8000
	PeerPort     = 7400
	IngressPort  = 7480
	OperatorPort = 7490
	AnnouncePort = 7401
	AdminPort    = 7402
)

// ReadyTimeout limits the wait for a process to become ready.
const ReadyTimeout = 30 * time.Second

// seedCount is the number of seed addresses in each node's settings.
const seedCount = 4

// Plan describes one node and the target beside it.
type Plan struct {
	Name, Region, FailureDomain, Service string
	IP                                   string
}

// URL returns the base URL of a listener of the node or its target.
func (p Plan) URL(port int) string { return fmt.Sprintf("http://%s:%d", p.IP, port) }

// Address returns the host:port of a listener of the node or its target.
func (p Plan) Address(port int) string { return fmt.Sprintf("%s:%d", p.IP, port) }

// Options describe a fleet.
type Options struct {
	// Dir holds settings and the output of the processes, Bin the built programs.
	Dir, Bin string
	Plans    []Plan
	// Settings is appended to the settings file of each node.
	Settings string
	// LogArgs are further arguments of the log service.
	LogArgs []string
	// WithTargets is true if each node gets a target process.
	WithTargets bool
}

// Fleet is a running set of processes.
type Fleet struct {
	Options
	Log     *Process
	LogIP   string
	Nodes   map[string]*Process
	Targets map[string]*Process
	HTTP    *HTTPClient

	mu sync.Mutex
	// started are all processes, for an end at any time.
	started []*Process
}

// Network returns the first two parts of the loopback addresses, which depend on the process id, so that two runs at
// the same time do not collide.
func Network() string { return fmt.Sprintf("127.%d", 1+os.Getpid()%250) }

// New prepares a fleet without starting it.
func New(options Options) (*Fleet, error) {
	client, err := NewHTTPClient()
	if err != nil {
		return nil, err
	}
	return &Fleet{
		Options: options, LogIP: Network() + ".255.1",
		Nodes: make(map[string]*Process), Targets: make(map[string]*Process), HTTP: client,
	}, nil
}

// LogURL returns the base URL of the log service.
func (f *Fleet) LogURL() string { return fmt.Sprintf("http://%s:%d", f.LogIP, LogPort) }

// settingsOf returns the settings file of a node. The seeds are the nodes that follow it in the plan.
func (f *Fleet) settingsOf(i int) string {
	p := f.Plans[i]
	var seeds []string
	for k := 1; k <= seedCount && k < len(f.Plans); k++ {
		seeds = append(seeds, f.Plans[(i+k)%len(f.Plans)].Address(PeerPort))
	}
	return fmt.Sprintf(`[node]
name = %s
cluster = demo
region = %s
failure_domain = %s
seeds = %s
[listen]
peer = %s
ingress = %s
operator = %s
announce = %s
admin = %s
[security]
cluster_credential = demo-credential-0123
[log]
url = %s
`, p.Name, p.Region, p.FailureDomain, strings.Join(seeds, ", "), p.Address(PeerPort), p.Address(IngressPort),
		p.Address(OperatorPort), p.Address(AnnouncePort), p.Address(AdminPort), f.LogURL()) + f.Settings
}

// Start starts every process and waits until all nodes are ready.
func (f *Fleet) Start() error {
	if err := f.StartLog(); err != nil {
		return err
	}
	for i := range f.Plans {
		if err := f.startNode(i); err != nil {
			return err
		}
	}
	return f.WaitAllReady()
}

// StartLog starts the log service.
func (f *Fleet) StartLog() error {
	args := append([]string{"--listen", fmt.Sprintf("%s:%d", f.LogIP, LogPort)}, f.LogArgs...)
	var err error
	f.Log, err = f.run("log", filepath.Join(f.Bin, "logservice"), args...)
	return err
}

func (f *Fleet) startNode(i int) error {
	p := f.Plans[i]
	file := filepath.Join(f.Dir, p.Name+".ini")
	if err := os.WriteFile(file, []byte(f.settingsOf(i)), 0o600); err != nil {
		return err
	}
	var err error
	if f.Nodes[p.Name], err = f.run(p.Name, filepath.Join(f.Bin, "wagtaild"), "run", file); err != nil {
		return err
	}
	if !f.WithTargets {
		return nil
	}
	name := "target-" + p.Name
	f.Targets[p.Name], err = f.run(name, filepath.Join(f.Bin, "target"),
		"--name", name, "--service", p.Service, "--listen", p.Address(TargetPort), "--announce", p.URL(AnnouncePort))
	return err
}

// WaitReady waits until a node is ready.
func (f *Fleet) WaitReady(p Plan) error {
	return Eventually(ReadyTimeout, "node "+p.Name+" is ready", func() bool {
		status, _, err := f.HTTP.Get(p.URL(AdminPort) + "/readyz")
		return err == nil && status == 200
	})
}

// WaitAllReady waits until every node is ready.
func (f *Fleet) WaitAllReady() error {
	errs := make([]error, len(f.Plans))
	var wg sync.WaitGroup
	for i, p := range f.Plans {
		wg.Go(func() { errs[i] = f.WaitReady(p) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Eventually waits until a condition holds.
func Eventually(limit time.Duration, what string, condition func() bool) error {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// Ctl runs wagtailctl against a node.
func (f *Fleet) Ctl(p Plan, args ...string) (string, error) {
	args = append([]string{"--server", p.Address(OperatorPort)}, args...)
	out, err := exec.Command(filepath.Join(f.Bin, "wagtailctl"), args...).CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("wagtailctl %s: %w: %s", strings.Join(args, " "), err, out)
	}
	return string(out), nil
}

// SetFaults switches the faults of the log service.
func (f *Fleet) SetFaults(body string) error {
	return f.HTTP.Post(f.LogURL()+"/faults", []byte(body))
}

// Stop ends targets, nodes and the log with SIGTERM.
func (f *Fleet) Stop() error {
	errs := append(stopAll(f.Targets), stopAll(f.Nodes)...)
	if f.Log != nil {
		errs = append(errs, f.Log.Stop())
	}
	return errors.Join(errs...)
}

func stopAll(processes map[string]*Process) []error {
	var mu sync.Mutex
	var errs []error
	var wg sync.WaitGroup
	for _, p := range processes {
		wg.Go(func() {
			err := p.Stop()
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	wg.Wait()
	return errs
}

// KillAll ends every process with SIGKILL: at the end of a measurement, or when the starting process is interrupted.
func (f *Fleet) KillAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.started {
		// A process that has ended already is no error here.
		_ = p.cmd.Process.Kill()
	}
}

// run starts a process and remembers it.
func (f *Fleet) run(name, path string, args ...string) (*Process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, err := StartProcess(f.Dir, name, path, args...)
	if err == nil {
		f.started = append(f.started, p)
	}
	return p, err
}

// Describe lists every process with its addresses.
func (f *Fleet) Describe() {
	fmt.Printf("log       pid %-8d %s\n", f.Log.PID(), f.LogURL())
	for _, p := range f.Plans {
		fmt.Printf("%s        pid %-8d ingress %s operator %s admin %s\n",
			p.Name, f.Nodes[p.Name].PID(), p.URL(IngressPort), p.Address(OperatorPort), p.URL(AdminPort))
		if t := f.Targets[p.Name]; t != nil {
			fmt.Printf("target-%s pid %-8d %s service %s\n", p.Name, t.PID(), p.URL(TargetPort), p.Service)
		}
	}
	fmt.Println("logs and settings:", f.Dir)
}
