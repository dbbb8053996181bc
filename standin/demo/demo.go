// Package demo runs a small mesh of separate processes, disturbs it, and checks what became of every request against
// the targets' own records.
package demo

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"wagtailford.example/standin/fleet"
	"wagtailford.example/standin/target"
)

// Times of the scenario.
const (
	quietTime  = 2 * time.Second
	drainTime  = 2 * time.Second
	deadTime   = 3 * time.Second
	outageTime = 4 * time.Second
)

// Options of the demonstration.
type Options struct {
	// Bin is the directory with the built programs.
	Bin string
	// Hold keeps the mesh up until a signal arrives.
	Hold bool
}

// Run runs the demonstration. It returns an error if a promise was broken.
func Run(options Options) error {
	dir, err := os.MkdirTemp("", "wagtailford-demo-")
	if err != nil {
		return err
	}
	f, err := fleet.New(fleet.Options{
		Dir: dir, Bin: options.Bin, Plans: plans(fleet.Network()), Settings: settings, WithTargets: true,
	})
	if err != nil {
		return err
	}
	m := &mesh{f}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go endOnSignal(f, interrupted)
	err = m.demonstrate()
	signal.Stop(interrupted)
	if options.Hold {
		if err != nil {
			fmt.Println("failed:", err)
		}
		m.Describe()
		wait := make(chan os.Signal, 1)
		signal.Notify(wait, os.Interrupt, syscall.SIGTERM)
		<-wait
	}
	if stopErr := m.Stop(); stopErr != nil {
		err = errors.Join(err, fmt.Errorf("graceful stop: %w", stopErr))
	}
	if err != nil {
		fmt.Println("logs of the processes:", dir)
		return err
	}
	return os.RemoveAll(dir)
}

// endOnSignal ends all processes and this one, so that an interrupted demonstration leaves none behind.
func endOnSignal(f *fleet.Fleet, interrupted <-chan os.Signal) {
	<-interrupted
	f.KillAll()
	os.Exit(1)
}

// settings shorten the times of failure detection, so that the scenario is short.
const settings = `[membership]
suspect_after = 500ms
dead_after = 2s
self_fence = 1500ms
[keys]
clock_skew_max = 500ms
`

// mesh is the fleet of the demonstration.
type mesh struct {
	*fleet.Fleet
}

// plans returns two failure domains with a target of the services catalog and orders in each, and one target of the
// service fragile, which a request crashes.
func plans(network string) []fleet.Plan {
	const region = "local"
	return []fleet.Plan{
		{Name: "n1", Region: region, FailureDomain: "west", Service: "catalog", IP: network + ".1.1"},
		{Name: "n2", Region: region, FailureDomain: "west", Service: "orders", IP: network + ".1.2"},
		{Name: "n3", Region: region, FailureDomain: "east", Service: "catalog", IP: network + ".2.1"},
		{Name: "n4", Region: region, FailureDomain: "east", Service: "orders", IP: network + ".2.2"},
		{Name: "n5", Region: region, FailureDomain: "east", Service: "fragile", IP: network + ".2.3"},
	}
}

// convergence collects how long each version took on each node, in milliseconds.
type convergence struct {
	byNode   map[string]map[uint64]int64
	versions map[uint64]bool
}

func (m *mesh) demonstrate() error {
	if err := m.Start(); err != nil {
		return err
	}
	if err := m.configure(); err != nil {
		return err
	}
	load := startLoad(m)
	scenarioErr := m.disturb()
	calls := load.finish()
	c, convergeErr := m.convergence()
	table, err := m.verify(calls)
	table.print(c)
	return errors.Join(scenarioErr, convergeErr, err)
}

// configure creates services and routes and waits until they are in force.
func (m *mesh) configure() error {
	for _, args := range [][]string{
		{"service", "create", "catalog"},
		{"service", "create", "orders"},
		{"service", "create", "fragile"},
		{"route", "create", "fragile", "--path-prefix", fragilePath, "--to", "fragile"},
		{"route", "create", "crash", "--path-prefix", target.CrashPath, "--to", "fragile"},
		{"route", "create", "catalog", "--path-prefix", catalogPrefix, "--to", "catalog"},
		{"route", "create", "orders", "--path-prefix", ordersPrefix, "--to", "orders", "--wait"},
	} {
		if out, err := m.Ctl(m.Plans[0], args...); err != nil {
			return fmt.Errorf("%w\n%s", err, out)
		}
	}
	return fleet.Eventually(fleet.ReadyTimeout, "every service has its targets", func() bool {
		out, err := m.Ctl(m.Plans[3], "target", "list", "-o", "json")
		var list struct {
			Targets []struct{ State string }
		}
		if err != nil || json.Unmarshal([]byte(out), &list) != nil {
			return false
		}
		alive := 0
		for _, t := range list.Targets {
			if t.State == "alive" {
				alive++
			}
		}
		return alive == len(m.Plans)
	})
}

// disturb publishes, drains, kills a node and stops the log while callers send requests.
func (m *mesh) disturb() error {
	killed := m.Plans[3]
	steps := []struct {
		name string
		run  func() error
	}{
		{"publish a version", func() error { return m.publish(m.Plans[1], "--max-attempts", "4") }},
		{"two operators race", m.race},
		{"drain target-n2", func() error { return m.drain(m.Plans[1], "drain") }},
		{"wait", func() error { time.Sleep(drainTime); return nil }},
		{"undrain target-n2", func() error { return m.drain(m.Plans[1], "undrain") }},
		{"wait", func() error { time.Sleep(quietTime); return nil }},
		{"freeze n2", func() error { return m.freeze(m.Plans[1]) }},
		{"wait", func() error { time.Sleep(quietTime); return nil }},
		{"send a request that crashes its target", func() error { return m.crash(m.Plans[4]) }},
		{"kill n4", func() error { m.Nodes[killed.Name].Kill(); return nil }},
		{"wait", func() error { time.Sleep(deadTime); return nil }},
		{"restart n4", func() error { return m.Nodes[killed.Name].Start() }},
		{"n4 is ready", func() error { return m.WaitReady(killed) }},
		{"log down", func() error { return m.SetFaults(`{"down":true}`) }},
		{"wait", func() error { time.Sleep(outageTime); return nil }},
		{"log up", func() error { return m.SetFaults(`{"down":false}`) }},
		{"publish a version", func() error { return m.publish(m.Plans[3], "--max-attempts", "5") }},
		{"wait", func() error { time.Sleep(quietTime); return nil }},
	}
	start := time.Now()
	for _, step := range steps {
		fmt.Printf("%6.1fs %s\n", time.Since(start).Seconds(), step.name)
		if err := step.run(); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return nil
}

func (m *mesh) publish(p fleet.Plan, flags ...string) error {
	args := []string{"--timeout", "10s", "route", "update", "catalog", "--path-prefix", catalogPrefix, "--to", "catalog", "--wait"}
	_, err := m.Ctl(p, append(args, flags...)...)
	return err
}

func (m *mesh) drain(p fleet.Plan, verb string) error {
	_, err := m.Ctl(m.Plans[0], "target", verb, p.Name)
	return err
}

// convergence checks that every node has the same version and reads how long each took.
func (m *mesh) convergence() (*convergence, error) {
	c := &convergence{byNode: make(map[string]map[uint64]int64), versions: make(map[uint64]bool)}
	if _, err := m.Ctl(m.Plans[0], "status"); err != nil {
		return c, err
	}
	var newest []uint64
	for _, p := range m.Plans {
		installs, err := m.Installs(p)
		if err != nil {
			return c, err
		}
		c.byNode[p.Name] = make(map[uint64]int64)
		var last uint64
		for _, i := range installs {
			c.byNode[p.Name][i.Version] = i.LagMS
			c.versions[i.Version] = true
			last = max(last, i.Version)
		}
		newest = append(newest, last)
	}
	if slices.Min(newest) != slices.Max(newest) || newest[0] == 0 {
		return c, fmt.Errorf("nodes did not converge: newest versions %v", newest)
	}
	return c, nil
}

// p99 returns the 99th percentile of the lag in milliseconds over nodes and versions.
func (c *convergence) p99() int64 {
	var all []int64
	for _, versions := range c.byNode {
		for _, lag := range versions {
			all = append(all, lag)
		}
	}
	return fleet.Percentile(all, 0.99)
}

// version returns the version in force at the first node.
func (m *mesh) version() (uint64, error) {
	out, err := m.Ctl(m.Plans[0], "status", "-o", "json")
	if err != nil {
		return 0, err
	}
	var status struct {
		Version uint64 `json:"version,string"`
	}
	return status.Version, json.Unmarshal([]byte(out), &status)
}
