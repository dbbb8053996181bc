// Package quota limits the requests that organisations send through all nodes together.
//
// The organisations are divided into partitions. The owner of a partition is the live node with the highest rendezvous weight
// for it; it holds a token bucket for each active organisation of the partition. Entry nodes report what they admitted and
// refused, and the owner states which organisations are limited and what share of their requests may be admitted. Entry nodes
// decide on each request with what they know and never wait for another node.
//
// Load pattern: one organisation of many sends several times its rate through all nodes evenly, from one moment to the next.
package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
)

// Limit is the bound on all nodes together: in any Window, at most (rate * Window + burst) * (1 + Overage) + Slack requests of
// an organisation.
type Limit struct {
	Window         time.Duration
	Overage, Slack float64
}

// DefaultLimit is the bound if the settings state none.
func DefaultLimit() Limit { return Limit{Window: 5 * time.Second, Overage: 0.1, Slack: 20} }

// ID identifies an organisation in messages: 40 bits of the hash of its name, so that two of 10,000 organisations have the
// same one with a probability of 5 in 100,000.
type ID uint64

// idBits is the number of bits of an ID.
const idBits = 40

// IDOf returns the ID of an organisation.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name) >> (64 - idBits)) }

// partitions is the number of groups of organisations with a common owner. Each node reports to each owner, so more partitions
// mean more messages. 64 partitions took 2.5 times the bytes at 810 nodes, with reports that were 8 times as rare.
const partitions = 8

// Rates are the organisations of a configuration that have a rate. Without any, Organisations is nil.
type Rates struct {
	Organisations map[ID]*config.Organisation
	// Partitions is the number of partitions. It depends on the configuration only, so that all nodes agree on it.
	Partitions int
}

// RatesOf returns the organisations of a configuration that have a rate.
func RatesOf(list []config.Organisation) Rates {
	r := Rates{Partitions: partitions}
	for i := range list {
		if o := &list[i]; o.RatePerSecond > 0 {
			if r.Organisations == nil {
				r.Organisations = make(map[ID]*config.Organisation)
			}
			r.Organisations[IDOf(o.Name)] = o
		}
	}
	return r
}

// partition returns the partition of an organisation.
func (r *Rates) partition(id ID) int { return int(id % ID(max(r.Partitions, 1))) }

// Members is what a node knows of the nodes that share the quotas.
type Members struct {
	// Known is the number of nodes that may admit requests: all but those that have left, since a dead one may only be
	// partitioned.
	Known int
	// Partial means that the process has just started and that most nodes are missing in Live.
	Partial bool
	// Unstated means that no source has stated the number of nodes: Known is more than a fleet has, and there are no owners.
	Unstated bool
	// Owners are the owners of the partitions if all live nodes answer; the zero value if there is none.
	Owners []Peer
	// Live are the nodes to which announcements are pushed.
	Live []Peer
}

// Peer is a node and the address at which other nodes call it.
type Peer struct {
	Node, Address, FailureDomain string
}

// liveOf returns the live nodes by name, and the number of all that have not left.
func liveOf(nodes map[string]*endpoint.Entry) (live []Peer, known int) {
	for _, e := range nodes {
		if e.State != endpoint.Left {
			known++
		}
		if e.State != endpoint.Left && e.State != endpoint.Dead {
			live = append(live, Peer{Node: e.Node, Address: e.Address, FailureDomain: e.FailureDomain})
		}
	}
	slices.SortFunc(live, func(a, b Peer) int { return cmp.Compare(a.Node, b.Node) })
	return live, known
}

// membersOf ranks the live nodes for each partition.
func membersOf(live []Peer, known, partitions int) Members {
	m := Members{Known: known, Live: live, Owners: make([]Peer, partitions)}
	highest := make([]uint64, partitions)
	for _, peer := range live {
		hash := xxhash.Sum64String(peer.Node)
		for p := range m.Owners {
			if w := weightOf(hash, p); m.Owners[p].Node == "" || w > highest[p] {
				m.Owners[p], highest[p] = peer, w
			}
		}
	}
	return m
}

// stated returns the number of nodes to state to others; 0 if no source has stated it.
func (m *Members) stated() int {
	if m.Unstated {
		return 0
	}
	return m.Known
}

// same reports whether members with as many partitions are equal. Owners follow from the rest.
func (m *Members) same(other *Members) bool {
	return m.Known == other.Known && m.Partial == other.Partial && m.Unstated == other.Unstated && slices.Equal(m.Live, other.Live)
}

// weightOf returns the rendezvous weight of a node for a partition: the finalizer of SplitMix64 over both. Hashing names for each
// partition took 8 ms at 810 nodes and 64 partitions.
func weightOf(node uint64, partition int) uint64 {
	z := node + uint64(partition+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

const (
	// baseInterval is the longest time between two reports to an owner in a fleet without collectors.
	baseInterval = time.Second
	// silenceMargin is how much later than the interval the reply to a report may come before a node counts the owner as
	// unreachable. It covers messages that take 0.5 s each way.
	silenceMargin = 700 * time.Millisecond
	// fastMargin is the same in a fleet with collectors while messages are fast. The sooner nodes notice, the more of the bound is
	// left for the others.
	fastMargin = 250 * time.Millisecond
	// lateMargin is the same for reports that an owner waits for. It is shorter, since an owner that leaves out the part of a
	// node too early errs on the safe side.
	lateMargin = 400 * time.Millisecond
)

// ownerInterval returns the longest time between two reports that an owner gets from a node or collector.
func ownerInterval(nodes int) time.Duration {
	if collects(nodes) {
		return relayInterval
	}
	return baseInterval
}

// reportInterval returns the longest time until a request is in a report to an owner, without the time of messages.
func reportInterval(nodes int) time.Duration {
	if collects(nodes) {
		return relayInterval + collectInterval
	}
	return baseInterval
}
