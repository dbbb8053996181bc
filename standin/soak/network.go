package soak

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// Ports of a node. The links are those of startNode, the servers the processes behind them.
const (
	claimPort  = 7100
	firstLink  = 7101
	lastLink   = 7103
	firstLocal = 7202
	lastLocal  = 7207
)

// networksMax is how many networks are tried. The first is 127.0.x.0/24, as a function of the seed.
const networksMax = 64

// network is a loopback network that one run uses alone. Addresses are fixed ports, because the processes of a run start again
// on the same ones, so that two runs on one network would fail with addresses in use.
type network struct {
	prefix string
	// claim is open as long as the network is in use. Other runs fail to listen on its address.
	claim net.Listener
}

// claimNetwork returns the first of the networks with the given third octet on which no run and no other process listens.
func claimNetwork(third, nodes int) (*network, error) {
	for second := range networksMax {
		n := &network{prefix: fmt.Sprintf("127.%d.%d", second, third)}
		err := n.open(nodes)
		if err == nil {
			return n, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return nil, fmt.Errorf("all of %d networks 127.*.%d.0/24: %w", networksMax, third, syscall.EADDRINUSE)
}

func (n *network) open(nodes int) (err error) {
	if n.claim, err = net.Listen("tcp", fmt.Sprintf("%s.254:%d", n.prefix, claimPort)); err != nil {
		return err
	}
	for id := range nodes {
		if err := n.probe(id); err != nil {
			n.release()
			return err
		}
	}
	return nil
}

// probe returns an error if a process listens on an address of a node, for example one that an interrupted run has left.
func (n *network) probe(id int) error {
	for port := firstLink; port <= lastLocal; port++ {
		if port > lastLink && port < firstLocal {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.ip(id), port))
		if err != nil {
			return err
		}
		l.Close()
	}
	return nil
}

func (n *network) ip(id int) string { return fmt.Sprintf("%s.%d", n.prefix, id+1) }

func (n *network) release() { n.claim.Close() }
