package main

import (
	"context"
	"fmt"
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

// program is what the build line of deploy/system.toml leaves in the repository.
const program = "target/wagtaild"

// template is what the deploy file names as the template of the settings.
const template = "deploy/settings.ini"

// machine is one sidecar machine: a node process and the backend beside it.
type machine struct {
	name, ip, zone, service string
	outbound, inbound       string
	ready, control          string
	ports                   [2]string
	settings, logFile       string
	backend                 *backend

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	starts int
}

// deployment is a set of machines and the store.
type deployment struct {
	dir      string
	record   *record
	store    *store
	storeAt  string
	machines []*machine
	bounds   map[string]string
}

// newDeployment returns a deployment without machines in a temporary folder.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: r}
	// The bounds of cpuro-rates.
	d.bounds = map[string]string{
		"grace-s": "6", "retry-budget-ratio": "0.2", "budget-window-s": "10", "budget-slack": "64",
	}
	d.store, err = startStore()
	if err != nil {
		return nil, err
	}
	d.storeAt = d.store.address
	return d, nil
}

// freeAddresses sets addresses of an IP that nobody listens on, all of them different.
func freeAddresses(ip string, addresses ...*string) error {
	for _, at := range addresses {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer l.Close()
		*at = l.Addr().String()
	}
	return nil
}

// add adds a machine with a backend that does not run yet.
func (d *deployment) add(zone, service string) (*machine, error) {
	i := len(d.machines) + 1
	m := &machine{
		name: fmt.Sprintf("sidecar-%s-%d", zone, i), ip: fmt.Sprintf("127.%d.%d.%d", 30+os.Getpid()%190, os.Getpid()/190%250, i),
		zone: zone, service: service,
	}
	err := freeAddresses(m.ip, &m.outbound, &m.inbound, &m.ready, &m.control, &m.ports[0], &m.ports[1])
	if err != nil {
		return nil, err
	}
	if m.backend, err = newBackend(m, fmt.Sprintf("i-%04d", i)); err != nil {
		return nil, err
	}
	m.settings = filepath.Join(d.dir, m.name+".ini")
	m.logFile = filepath.Join(d.dir, m.name+".log")
	d.machines = append(d.machines, m)
	return m, d.render(m)
}

var (
	inverted    = regexp.MustCompile(`(?s)\{\{\^([a-z0-9.-]+)\}\}(.*?)\{\{/[a-z0-9.-]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`)
)

// render fills in the template of the settings for a machine.
func (d *deployment) render(m *machine) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	port := func(address string) string { return address[strings.LastIndexByte(address, ':')+1:] }
	values := map[string]string{
		"node": m.name, "region": "tt-south", "zone": m.zone, "seeds": "", "limits.link-mbps": "1000",
		"listen.inbound": m.inbound, "listen.outbound": m.outbound, "listen.control": m.control, "listen.ready": m.ready,
		"ip": m.ip, "port-range.0": port(m.ports[0]), "port-range.1": port(m.ports[1]),
		"platform.address": d.storeAt, "address": d.storeAt, "service": m.service, "app-addr": m.backend.address,
	}
	for name, value := range d.bounds {
		values["bounds."+name] = value
	}
	out := inverted.ReplaceAllStringFunc(string(text), func(s string) string {
		parts := inverted.FindStringSubmatch(s)
		if values[parts[1]] != "" {
			return ""
		}
		return parts[2]
	})
	out = placeholder.ReplaceAllStringFunc(out, func(s string) string { return values[strings.Trim(s, "{}")] })
	return os.WriteFile(m.settings, []byte(out), 0o600)
}

// start starts the process of a machine.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	out, err := os.OpenFile(m.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, "run", m.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WAGTAILFORD_CONFIG=" + m.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.starts++
	m.cmd, m.ended = cmd, make(chan struct{})
	ended := m.ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// wait waits until the process has ended.
func (m *machine) wait() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// lives reports whether the process runs.
func (m *machine) lives() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// memory returns the resident memory of the process without the pages of files, in bytes.
func (m *machine) memory() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kib, _ := strconv.ParseInt(fields[1], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// memoryInterval is the time between two samples of the memory of the processes.
const memoryInterval = 50 * time.Millisecond

// watchMemory samples the memory of all processes until stop is closed, and returns the highest value of each machine.
func (d *deployment) watchMemory(stop <-chan struct{}) (peaks func() map[*machine]int64) {
	highest := make(map[*machine]int64)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(memoryInterval)
		defer ticker.Stop()
		for {
			for _, m := range d.machines {
				highest[m] = max(highest[m], m.memory())
			}
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	return func() map[*machine]int64 {
		<-done
		return highest
	}
}

// descriptors returns the number of open descriptors of the process.
func (m *machine) descriptors() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.cmd.Process.Pid))
	return len(list)
}

// isReady asks as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all processes and backends and waits until all nodes are ready.
func (d *deployment) startAll(limit time.Duration) error {
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return err
		}
		m.backend.start()
	}
	return d.awaitReady(limit)
}

func (d *deployment) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range d.machines {
		for !m.isReady() {
			if time.Now().After(end) {
				text, _ := os.ReadFile(m.logFile)
				d.record.line("log of %s:\n%s", m.name, text)
				return fmt.Errorf("%s is not ready within %v", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes.
func (d *deployment) close() {
	for _, m := range d.machines {
		m.signal(syscall.SIGKILL)
		m.wait()
		m.backend.close()
	}
	d.store.close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}

// dialFrom opens a connection from the IP address of a machine, as its clients do.
func (m *machine) dialFrom(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(m.ip)}}
	return dialer.DialContext(ctx, "tcp", m.outbound)
}
