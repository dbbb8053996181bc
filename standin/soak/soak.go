// Package soak runs a mesh of real processes on loopback addresses, disturbs it from outside by a seeded schedule, and
// checks what callers and targets see against what the mesh promises.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wagtailford.example/standin/platform"
)

// Settings describe a run.
type Settings struct {
	// Program is the path of wagtaild, Dir takes settings and logs.
	Program, Dir string
	Seed         uint64
	Nodes        int
	// Length is how long faults come; afterwards everything is healed.
	Length time.Duration
	Out    io.Writer
}

const (
	// drainBound is the time after which a target that left gets no work.
	drainBound = 2 * time.Second
	// healBound is the time after the last fault within which every node serves again.
	healBound = 15 * time.Second
	callers   = 4
	patience  = 2 * time.Second
	beat      = 200 * time.Millisecond
)

// service is the only service of the mesh.
const service = "orders"

// run is a soak in progress.
type run struct {
	settings Settings
	store    *platform.Store
	// addresses are those of the nodes.
	addresses     *network
	random        *rand.Rand
	nodes         []*node
	check         *check
	organisations *organisations
	// domains is the number of failure domains, followers the number of nodes in each that read the store.
	domains, followers int

	// publishing keeps the order of the versions in the store.
	publishing sync.Mutex
	version    int
	// gained are the routes of the newest configuration beside those that all configurations have.
	gained    routeRange
	published publications
	// bursts are calls that nobody waits for before the end.
	bursts sync.WaitGroup
	// over is true once no target is replaced any more.
	over atomic.Bool
	// killingAll is held while all nodes are being killed.
	killingAll sync.Mutex
	// crashingPauses is above 0 while the request that ends targets is not sent.
	crashingPauses atomic.Int32
}

// node is one process with its target and the links that it uses.
type node struct {
	run *run
	id  int
	// domain is the failure domain of the node and its target.
	domain, ip string
	// storeLink, peerLink and targetLink are the ways to the store, of other nodes to this one, and to the target.
	storeLink, peerLink, targetLink *proxy
	settingsFile                    string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended; expected is true if the soak ended it.
	ended    chan struct{}
	expected bool
	target   *platform.Target
	starts   int
	paused   bool
}

// Run plays one seed and returns the promises that were broken.
func Run(ctx context.Context, s Settings) (faults []string, err error) {
	store, err := platform.StartStore("127.0.0.1:0", s.Seed)
	if err != nil {
		return nil, err
	}
	defer store.Close()
	addresses, err := claimNetwork(40+int(s.Seed%100), s.Nodes)
	if err != nil {
		return nil, err
	}
	defer addresses.release()
	r := &run{settings: s, store: store, addresses: addresses, random: rand.New(rand.NewPCG(s.Seed, 17)), check: newCheck(), organisations: newOrganisations(s.Seed)}
	r.drawShape()
	r.publish()
	defer r.end()
	for i := range s.Nodes {
		n, err := r.startNode(i)
		if err != nil {
			return nil, err
		}
		r.nodes = append(r.nodes, n)
	}
	if err := r.awaitServing(ctx, time.Minute); err != nil {
		return nil, fmt.Errorf("before the first fault: %w", err)
	}
	load, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, n := range r.nodes {
		for range callers {
			wg.Go(func() { r.call(load, n) })
		}
		wg.Go(func() { r.readPopular(load, n) })
		wg.Go(func() { r.probeRoutes(load, n) })
		wg.Go(func() { r.sendKeys(load, n) })
	}
	crashing, stopCrashing := context.WithCancel(ctx)
	wg.Go(func() { r.sendCrashing(crashing) })
	var disturbing sync.WaitGroup
	disturbing.Go(func() { r.playIncidents(ctx) })
	disturbing.Go(func() { r.playGrowth(ctx) })
	disturbing.Go(func() { r.playDirectoryOutages(ctx) })
	r.disturb(ctx)
	disturbing.Wait()
	stopCrashing()
	r.heal()
	if err := r.awaitServing(ctx, healBound); err != nil {
		r.check.fault("RECOVER", err.Error())
	}
	r.awaitNewest(ctx)
	stop()
	wg.Wait()
	r.bursts.Wait()
	r.holdTargets()
	runs := r.allRuns()
	r.check.end(runs)
	r.check.endCrashing(runs)
	r.check.endOrganisations(r.organisations, runs)
	r.check.endConditions(r.allArrivals())
	fmt.Fprintf(s.Out, "seed=%d %s\n", s.Seed, r.check.summary())
	return r.check.faults, nil
}

func (r *run) end() {
	for _, n := range r.nodes {
		n.finish(syscall.SIGKILL)
		n.target.Crash()
		for _, p := range []*proxy{n.storeLink, n.peerLink, n.targetLink} {
			p.close()
		}
	}
}

// publish appends the next configuration; its idle routes differ from version to version.
func (r *run) publish() { r.publishChange(func(*routeRange) {}) }

// publishChange appends the next configuration after a change of its gained routes.
func (r *run) publishChange(change func(gained *routeRange)) {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	r.version++
	change(&r.gained)
	list, limits := r.organisations.draw()
	r.published.begin(publication{version: r.version, gained: r.gained, list: list})
	defer r.published.acknowledge()
	r.store.PublishConfig(fmt.Appendf(nil, `{"version":%[1]d,%[5]s%[6]s"listeners":[{"host":"shop.example","rules":[
		{"name":"read",%[7]s"kind":"idempotent","target-latency-s":0.5,"priority":1,"match":{"path-prefix":"/read/"},"action":{"service":%[2]q,"timeout-s":1.5,"max-attempts":3}},
		{"name":"write",%[7]s"kind":"non_idempotent","target-latency-s":0.5,"priority":0,"match":{"path-prefix":"/write/"},"action":{"service":%[2]q,"timeout-s":1.5,"max-attempts":2}},
		{"name":"idle",%[7]s"kind":"idempotent","target-latency-s":0.5,"priority":1,"match":{"path-prefix":"/idle%[1]d/"},"action":{"service":%[2]q,"timeout-s":1.5,"max-attempts":2}}%[4]s%[8]s]}],
		"clusters":[{"name":%[2]q,"health-path":%[3]q,"max-connections":100}]}`, r.version, service, platform.HealthPath, r.gained.rules(r.organisations.public()),
		limits, list.member(), r.organisations.public(), r.organisations.rule()))
}

func (r *run) startNode(id int) (*node, error) {
	n := &node{run: r, id: id, domain: fmt.Sprintf("d%d", id%r.domains), ip: r.addresses.ip(id)}
	var err error
	if n.storeLink, err = startProxy(n.ip+":7101", r.store.Address()); err != nil {
		return nil, err
	}
	if n.peerLink, err = startProxy(n.ip+":7102", n.ip+":7202"); err != nil {
		return nil, err
	}
	if n.targetLink, err = startProxy(n.ip+":7103", n.ip+":7203"); err != nil {
		return nil, err
	}
	n.settingsFile = filepath.Join(r.settings.Dir, fmt.Sprintf("n%d.ini", id))
	text := fmt.Sprintf(`[node]
name = n%[1]d
cluster = soak
region = r
failure_domain = %[2]s
shutdown_timeout = 4s
[listen]
peer = %[3]s:7202
peer_advertised = %[3]s:7102
ingress = %[3]s:7204
announce = %[3]s:7205
ready = %[3]s:7206
admin = %[3]s:7207
[security]
cluster_credential = soak-credential-of-all-nodes
[platform]
store = %[3]s:7101
leave_delay = 300ms
[fanout]
followers_per_domain = %[5]d
reconnect_jitter = 50ms
[target]
service = %[4]s
address = %[6]s
announce_lease = 1s
`, id, n.domain, n.ip, service, r.followers, n.targetLink.address())
	if err := os.WriteFile(n.settingsFile, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := n.start(); err != nil {
		return nil, err
	}
	return n, n.startTarget()
}

// start starts the process of the node.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startLocked()
}

// startLocked requires n.mu to be held.
func (n *node) startLocked() error {
	logFile, err := os.OpenFile(n.settingsFile+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	n.cmd = exec.Command(n.run.settings.Program, "run", n.settingsFile)
	n.cmd.Stdout = logFile
	n.cmd.Stderr = logFile
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.expected = false
	n.ended = make(chan struct{})
	go n.supervise(n.cmd, n.ended)
	return nil
}

// restartDelay is the time after which the platform starts a process again that ended by itself.
const restartDelay = 200 * time.Millisecond

// supervise starts the process again if it ends by itself, as the platform does. A process can do nothing against a
// SIGHUP that comes before it has set up its signals.
func (n *node) supervise(cmd *exec.Cmd, ended chan struct{}) {
	_ = cmd.Wait()
	n.mu.Lock()
	// Read before the end is announced, since the next start resets it.
	expected := n.expected
	n.mu.Unlock()
	close(ended)
	if expected {
		return
	}
	fmt.Fprintf(n.run.settings.Out, "seed=%d node=%d ended by itself: %v\n", n.run.settings.Seed, n.id, cmd.ProcessState)
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); !ok || !status.Signaled() {
		n.run.check.fault("EXIT", fmt.Sprintf("node %d: %v", n.id, cmd.ProcessState))
	}
	time.Sleep(restartDelay)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.expected || n.cmd != cmd {
		return // Meanwhile a fault has started the next process, or will, or the run is over.
	}
	if err := n.startLocked(); err != nil {
		n.run.check.fault("START", err.Error())
	}
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
}

// finish ends the process with a signal and waits for it.
func (n *node) finish(s syscall.Signal) {
	n.mu.Lock()
	n.expected = true
	ended := n.ended
	n.mu.Unlock()
	n.signal(s)
	<-ended
}

// restart ends the process with a signal and starts it again.
func (n *node) restart(s syscall.Signal) { n.restartAfter(s, 0) }

// restartAfter ends the process with a signal and starts it again after a time.
func (n *node) restartAfter(s syscall.Signal, absent time.Duration) {
	n.finish(s)
	time.Sleep(absent)
	if err := n.start(); err != nil {
		n.run.check.fault("START", err.Error())
	}
}

// addressBound limits the wait for the address of the target before. A process that is being started holds a copy of its
// listener from fork to exec, which keeps the address in use.
const addressBound = 2 * time.Second

// startTarget starts the next target beside the node.
func (n *node) startTarget() error {
	n.starts++
	return n.startTargetAs(fmt.Sprintf("i-%d-%d", n.id, n.starts), 0)
}

// startTargetAs starts a target under a name, with reports that are late by a time. Its address is that of the link to it.
func (n *node) startTargetAs(instance string, reportDelay time.Duration) error {
	settings := platform.TargetSettings{
		Instance: instance, ReportDelay: reportDelay, Service: service, Zone: n.domain, Listen: n.ip + ":7203",
		Reported: n.targetLink.address(), Control: n.ip + ":7205", Slots: 6, Work: 10 * time.Millisecond, Beat: beat,
		Seed: n.run.settings.Seed, CrashPath: crashPath, Crashed: n.targetCrashed,
	}
	target, err := platform.StartTarget(settings)
	for end := time.Now().Add(addressBound); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
		target, err = platform.StartTarget(settings)
	}
	if errors.Is(err, syscall.EADDRINUSE) {
		return fmt.Errorf("%w: held by %s", err, holder(settings.Listen))
	}
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.target = target
	return nil
}

// holder names the instance that answers health checks at an address. A listener that is only held open answers none.
func holder(address string) string {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + address + platform.HealthPath)
	if err != nil {
		return "no instance: " + err.Error()
	}
	resp.Body.Close()
	return "instance " + resp.Header.Get("Instance-Id")
}

// holdTargets waits for replacements of targets that are in progress, and lets no more begin.
func (r *run) holdTargets() {
	r.over.Store(true)
	for _, n := range r.nodes {
		for !n.claim() {
			time.Sleep(time.Millisecond)
		}
	}
}

// allRuns returns the runs of all targets. The targets are held.
func (r *run) allRuns() []platform.Run {
	var all []platform.Run
	for _, n := range r.nodes {
		all = append(all, n.target.Runs()...)
	}
	return append(all, r.check.past...)
}

// allArrivals returns the arrivals at all targets. The targets are held.
func (r *run) allArrivals() []platform.Arrival {
	var all []platform.Arrival
	for _, n := range r.nodes {
		all = append(all, n.target.Arrivals()...)
	}
	return append(all, r.check.pastArrivals...)
}

// awaitServing waits until every node answers a request.
func (r *run) awaitServing(ctx context.Context, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range r.nodes {
		for !r.probe(ctx, n, r.check.next("/write/1")) || !r.probe(ctx, n, r.check.nextWith(popularPath, "popular")) {
			if time.Now().After(end) {
				return fmt.Errorf("node %d does not serve after %v", n.id, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return ctx.Err()
}

func (r *run) probe(ctx context.Context, n *node, call platform.Call) bool {
	reply := r.send(ctx, n, call)
	return reply.Whole(call)
}

// call sends requests to one node until ctx ends, on one connection as long as it lasts.
func (r *run) call(ctx context.Context, n *node) {
	caller := platform.NewCaller(n.ip + ":7204")
	defer caller.Close()
	for i := 0; ctx.Err() == nil; i++ {
		path := "/write/1"
		if i%2 == 1 {
			path = "/read/1"
		}
		call := r.check.next(path)
		reply := caller.Do(context.WithoutCancel(ctx), call)
		r.check.seen(n.id, call, reply)
		if !reply.Whole(call) {
			time.Sleep(max(reply.RetryAfter, 10*time.Millisecond))
		}
	}
}
