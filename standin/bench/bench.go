// Package bench measures a fleet of real processes on this machine. Its benchmarks need the built programs in the
// directory that the environment variable WAGTAILFORD_BIN names; make bench sets it.
package bench

import (
	"fmt"
	"io"
	"net"
	"os"

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

// plans spreads n nodes evenly over regions, failure domains and services.
func plans(n, services int) []fleet.Plan {
	network := fleet.Network()
	all := make([]fleet.Plan, n)
	for i := range all {
		domain := i % failureDomainCount
		all[i] = fleet.Plan{
			Name:          fmt.Sprintf("n%03d", i),
			Region:        fmt.Sprintf("r%d", domain%regionCount),
			FailureDomain: fmt.Sprintf("d%d", domain),
			Service:       serviceName(i % services),
			IP:            fmt.Sprintf("%s.%d.%d", network, 1+i/nodesPerAddress, 1+i%nodesPerAddress),
		}
	}
	return all
}

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

// listenAsTargets accepts connections at the target address of every node and never answers, which is all that a
// node needs to take an announced target for alive.
func listenAsTargets(plans []fleet.Plan) (stop func(), err error) {
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

// start starts a fleet in a temporary directory.
func start(o fleet.Options) (*fleet.Fleet, error) {
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

// finish ends all processes and removes their files.
func finish(f *fleet.Fleet) {
	f.KillAll()
	_ = os.RemoveAll(f.Dir)
}
