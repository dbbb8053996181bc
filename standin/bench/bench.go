// Package bench measures a fleet of real processes on this machine. Its benchmarks need the built programs in the
// directory that the environment variable WAGTAILFORD_BIN names; make bench sets it.
package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"wagtailford.example/standin/fleet"
)

// BinVariable names the environment variable with the directory of the built programs.
const BinVariable = "WAGTAILFORD_BIN"

// Places of the fleets under measurement.
const (
	regionCount        = 2
	failureDomainCount = 7
	nodesPerAddress    = 250
)

// Plans spreads n nodes evenly over regions, failure domains and services.
func Plans(n, services int) []fleet.Plan {
	network := fleet.Network()
	all := make([]fleet.Plan, n)
	for i := range all {
		domain := i % failureDomainCount
		all[i] = fleet.Plan{
			Name:          fmt.Sprintf("n%03d", i),
			Region:        fmt.Sprintf("r%d", domain%regionCount),
			FailureDomain: fmt.Sprintf("d%d", domain),
			Service:       ServiceName(i % services),
			IP:            fmt.Sprintf("%s.%d.%d", network, 1+i/nodesPerAddress, 1+i%nodesPerAddress),
		}
	}
	return all
}

// ServiceName returns the name of service number i.
func ServiceName(i int) string { return fmt.Sprintf("service-%02d", i) }

// ListenAsTargets accepts connections at the target address of every node and never answers, which is all that a
// node needs to take an announced target for alive.
func ListenAsTargets(plans []fleet.Plan) (stop func(), err error) {
	var listeners []net.Listener
	stop = func() {
		for _, l := range listeners {
			l.Close()
		}
	}
	for _, p := range plans {
		l, err := net.Listen("tcp", p.Address(fleet.TargetPort))
		if err != nil {
			stop()
			return nil, err
		}
		listeners = append(listeners, l)
		go hold(l)
	}
	return stop, nil
}

// hold keeps accepted connections open until the other end closes them.
func hold(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(io.Discard, conn)
			conn.Close()
		}()
	}
}

// Start starts a fleet in a temporary directory.
func Start(o fleet.Options) (*fleet.Fleet, error) {
	dir, err := os.MkdirTemp("", "wagtailford-bench-")
	if err != nil {
		return nil, err
	}
	o.Dir = dir
	o.Bin = os.Getenv(BinVariable)
	f, err := fleet.New(o)
	if err != nil {
		return nil, err
	}
	return f, f.Start()
}

// Finish ends all processes and removes their files.
func Finish(f *fleet.Fleet) {
	f.KillAll()
	_ = os.RemoveAll(f.Dir)
}

// TargetSettings keep announcements alive for a whole measurement, since targets that exist in name only announce
// themselves once.
const TargetSettings = "[target]\nannounce_lease = 10m\nhealth_interval = 10m\n"

// Configure creates the services with a route each and announces a target at each node.
func Configure(f *fleet.Fleet, services int) error {
	for i := range services {
		name := ServiceName(i)
		if _, err := f.Ctl(f.Plans[0], "service", "create", name); err != nil {
			return err
		}
		if _, err := f.Ctl(f.Plans[0], "route", "create", name, "--path-prefix", "/"+name, "--to", name); err != nil {
			return err
		}
	}
	var wg sync.WaitGroup
	for _, p := range f.Plans {
		wg.Go(func() { Announce(f, p) })
	}
	wg.Wait()
	return nil
}

// Announce announces a target that exists in name only. A node that does not answer is left out.
func Announce(f *fleet.Fleet, p fleet.Plan) {
	body, _ := json.Marshal(map[string]any{
		"service": p.Service, "address": p.Address(fleet.TargetPort), "slots": 18,
		"start": time.Now().UTC().Format(time.RFC3339Nano),
	})
	headers := map[string]string{"Content-Type": "application/json"}
	_, _ = f.HTTP.Do("PUT", p.URL(fleet.AnnouncePort)+"/v1/target", headers, body)
}
