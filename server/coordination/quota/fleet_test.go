package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
)

// newcomers is a group of processes that start at about the same time while the directory of the nodes cannot be read.
type newcomers struct {
	// at is the start of the first process, readable the time at which the directory can be read.
	at, readable time.Duration
	// met is the time after which the processes of the group know each other, without a number of nodes; 0 if they do not.
	met time.Duration
	// asked is the time after which a node of the fleet finds them and states the number; 0 if only the directory leads there.
	asked time.Duration
}

// join starts a process that knows itself only. The other nodes of the group are those for which inGroup holds.
func (r *replay) join(n *replayNode, g newcomers, inGroup func(int) bool) {
	for i := range r.nodes {
		n.left[i] = i != n.index
	}
	n.fleet = fleetSize{}
	r.start(n)
	process := n.process
	learn := func(after time.Duration, of func(int) bool) {
		r.after(after, func() {
			if n.process != process {
				return
			}
			for i := range r.nodes {
				if of(i) {
					delete(n.left, i)
				}
			}
			r.members(n)
		})
	}
	if g.met > 0 {
		learn(g.met, inGroup)
	}
	// The nodes that it finds send it what they know, and the others learn of it.
	meet := func(after time.Duration) {
		learn(after+time.Duration(r.random.Int64N(int64(contactTime))), func(int) bool { return true })
		r.after(after, func() {
			r.judge(n.index, contactTime, func(o *replayNode) { delete(o.left, n.index) })
		})
	}
	if g.asked > 0 {
		first := r.random.IntN(len(r.nodes))
		for inGroup(first) {
			first = r.random.IntN(len(r.nodes))
		}
		learn(g.asked, func(i int) bool { return i == first })
		r.after(g.asked, func() {
			if n.process == process {
				r.hearNodes(n, len(r.nodes))
			}
		})
		meet(g.asked)
	}
	// A node reads the directory within half a second.
	read := max(g.readable-r.now, 0) + time.Duration(r.random.Int64N(int64(discoveryTime)))
	r.after(read, func() {
		if n.process == process {
			n.fleet.state(len(r.nodes), r.now)
			r.members(n)
		}
	})
	meet(read)
}

const (
	discoveryTime = 500 * time.Millisecond
	contactTime   = 2 * time.Second
)

// drawNewcomers draws a group that starts about when a flood does.
func drawNewcomers(random *rand.Rand) newcomers {
	draw := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	g := newcomers{at: floodAt - 2*time.Second + draw(4*time.Second)}
	// An outage of the store lasts 4.5 s on the page, a third of the groups meets a longer one.
	g.readable = g.at + draw(4500*time.Millisecond)
	if random.IntN(3) == 0 {
		g.readable = g.at + draw(12*time.Second)
	}
	if random.IntN(2) == 0 {
		g.met = time.Millisecond + draw(2*time.Second)
	}
	if random.IntN(3) == 0 {
		g.asked = time.Millisecond + draw(4*time.Second)
	}
	return g
}

// playNewcomers plays a fleet to which nodes are added within two seconds while the directory cannot be read.
func playNewcomers(seed uint64, settled, added int, g newcomers, change func(r *replay)) *replay {
	r := newReplay(seed, settled+added, 26*time.Second, rates...)
	isAdded := func(i int) bool { return i >= settled }
	for _, n := range r.nodes {
		for i := range r.nodes {
			if isAdded(i) {
				n.left[i] = true
			}
		}
		n.down = isAdded(n.index)
		r.members(n)
	}
	for _, n := range r.nodes[settled:] {
		r.after(g.at+time.Duration(r.random.Int64N(int64(2*time.Second))), func() { r.join(n, g, isAdded) })
	}
	change(r)
	r.run()
	return r
}

// Guards against nodes that take themselves for the whole fleet because the directory cannot be read: each admitted the whole rate
// of an organisation beside what the others admitted. Fleets from 1 to 101 nodes get one or many more, which may know each other.
func TestFloodsWhileAddedNodesCannotReadTheDirectory(t *testing.T) {
	for k, settled := range []int{1, 2, 3, 5, 8, 8, 8, 12, 20, 33, 50, 75, 75, 90, 99, 100, 101} {
		random := rand.New(rand.NewPCG(uint64(k), 12))
		added := 1
		if k%3 != 0 {
			added = 1 + random.IntN((settled+3)/2)
		}
		g := drawNewcomers(random)
		t.Run(fmt.Sprintf("%d and %d, seed %d", settled, added, k), func(t *testing.T) {
			t.Parallel()
			r := playNewcomers(uint64(k), settled, added, g, (*replay).floodAll)
			r.check(t, floodAt)
		})
	}
}

// Guards against processes that start again without the directory after all of them were killed, and each admit the whole rate: what
// their predecessors admitted is in the same windows, and nobody knows it.
func TestFloodsWhileRestartedNodesCannotReadTheDirectory(t *testing.T) {
	for k, nodes := range []int{1, 2, 3, 8, 8, 12, 30, 75, 75, 101} {
		random := rand.New(rand.NewPCG(uint64(k), 13))
		g := drawNewcomers(random)
		// No node is left that knows the number.
		g.asked = 0
		t.Run(fmt.Sprintf("%d, seed %d", nodes, k), func(t *testing.T) {
			t.Parallel()
			r := newReplay(uint64(k), nodes, 26*time.Second, rates...)
			r.floodAll()
			for _, n := range r.nodes {
				r.after(g.at+time.Duration(r.random.Int64N(int64(300*time.Millisecond))), func() {
					r.join(n, g, func(int) bool { return true })
				})
			}
			r.run()
			r.check(t, floodAt)
		})
	}
}

// Guards against nodes that refuse an organisation below its rate for longer than it takes them to learn the number of nodes: from a
// directory that can be read at once, after an outage of 4.5 s, and from a node of the fleet.
func TestAddedNodesServeOnceTheNumberOfNodesIsKnown(t *testing.T) {
	const settled, added = 8, 2
	for _, c := range []struct {
		name string
		g    newcomers
		// after is the time from the start of the first added node after which calm organisations are not refused there. It has the
		// second in which the nodes start, the read of the directory, the contact and the time in which a new process uses its part only.
		after time.Duration
	}{
		{"readable", newcomers{at: floodAt, readable: floodAt}, 6 * time.Second},
		{"after 4.5 s", newcomers{at: floodAt, readable: floodAt + 4500*time.Millisecond}, 8500 * time.Millisecond},
		{"from a node", newcomers{at: floodAt, readable: floodAt + 30*time.Second, asked: 500 * time.Millisecond}, 6 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			refusedAt, total := 0, 0
			for seed := range uint64(6) {
				r := playNewcomers(seed, settled, added, c.g, func(*replay) {})
				for _, o := range r.orgs {
					late := since(o.refused, c.g.at+c.after)
					t.Logf("seed %d, rate %v: refused %d, %d of them %v after the start, admitted %d", seed, o.config.RatePerSecond,
						since(o.refused, c.g.at), late, c.after, since(o.admitted, c.g.at))
					refusedAt += late
					total += since(o.admitted, c.g.at+c.after) + late
				}
			}
			assert.Check(t, float64(refusedAt) < 0.01*float64(total), "%d of %d refused", refusedAt, total)
		})
	}
}

// Guards against a node that counts for a partition, or admits more than a part of a request, before any source has stated the
// number of nodes, however long that takes and however many such nodes it knows.
func TestUnstatedNumberOfNodes(t *testing.T) {
	o := config.Organisation{Name: "o", RatePerSecond: 40, Burst: 40}
	rates := RatesOf([]config.Organisation{o})
	for _, known := range []int{1, 2, 30} {
		var live []Peer
		for i := range known {
			live = append(live, Peer{Node: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), FailureDomain: "d"})
		}
		admitted := 0
		for k := range known {
			e := NewEntry(live[k].Node, uint64(k))
			owner := NewOwner(live[k].Node, DefaultLimit(), 1)
			var f fleetSize
			for now := time.Duration(0); now < 2*time.Minute; now += replayTick {
				m := f.members(live, known, rates.Partitions, now)
				assert.Assert(t, m.Partial && m.Unstated && m.Known >= unstatedNodes)
				e.SetMembers(m, rates, 1, now)
				owner.SetMembers(m, rates, 1)
				assert.Equal(t, len(e.Due(now)), 0)
				_, ok := owner.Report(&wire.QuotaReport{Node: "other", Nodes: 1, Partitions: rates.Partitions}, now)
				assert.Assert(t, !ok, "a report was taken")
				if ok, wait := e.Admit(&o, now); ok {
					admitted++
				} else {
					assert.Assert(t, wait >= waitMin)
				}
			}
		}
		t.Logf("%d nodes: %d admitted of %d", known, admitted, known*2400)
		assert.Check(t, float64(admitted) <= 0.1*o.RatePerSecond*120, "%d admitted", admitted)
	}
}

// Guards against a number of nodes that replaces a larger view, and against a view that is taken for whole while it has fewer nodes
// than were stated, however much time has passed.
func TestStatedNumberOfNodes(t *testing.T) {
	var f fleetSize
	nodes, partial := f.apply(75, 75, 0)
	assert.Assert(t, nodes == unstatedNodes && partial, "a view proves nothing by itself")
	f.state(10, time.Second)
	for _, c := range []struct {
		live, known int
		now         time.Duration
		nodes       int
		partial     bool
	}{
		{1, 1, 1900 * time.Millisecond, 10, true},
		{4, 6, 1900 * time.Millisecond, 10, true},
		{7, 7, 1900 * time.Millisecond, 10, true},
		{7, 7, 2 * time.Second, 10, false},
		// Records of nodes that are gone stay in the directory for some time.
		{8, 8, 1900 * time.Millisecond, 10, false},
		{4, 6, 4 * time.Second, 10, true},
		{5, 5, 4 * time.Second, 10, false},
		{1, 1, 40 * time.Second, 10, false},
		{1, 1, 24 * time.Hour, 10, false},
		{11, 12, 24 * time.Hour, 12, false},
		// Nodes that leave the view after it was whole are gone.
		{4, 4, 25 * time.Hour, 4, false},
	} {
		nodes, partial := f.apply(c.live, c.known, c.now)
		assert.Check(t, nodes == c.nodes && partial == c.partial, "%+v: %d, %v", c, nodes, partial)
	}
	// The directory is read again, and has fewer records.
	f = fleetSize{}
	f.state(10, 0)
	f.state(4, time.Minute)
	nodes, _ = f.apply(3, 3, time.Minute)
	assert.Equal(t, nodes, 4)
	// Read, and nobody there.
	f = fleetSize{}
	f.state(1, 0)
	nodes, partial = f.apply(1, 1, 0)
	assert.Assert(t, nodes == 1 && !partial)
}

// Guards against a restarted node that takes the reports of the others as their owner before it knows their number, and divides
// the rate by the number that it assumes: the fleet would get next to nothing. Only the directory is away; the others know the node.
func TestRestartedOwnersWithoutTheDirectory(t *testing.T) {
	const at = floodAt
	admitted, refused := make([]int, len(rates)), make([]int, len(rates))
	for seed := range uint64(12) {
		r := newReplay(seed, 8, 26*time.Second, rates...)
		r.after(at, func() {
			for _, n := range r.ownersOfAll() {
				r.restartKnown(n)
			}
		})
		r.run()
		r.check(t, at)
		for i, o := range r.orgs {
			admitted[i] += since(o.admitted, at)
			refused[i] += since(o.refused, at)
		}
	}
	for i, rate := range rates {
		part := float64(refused[i]) / float64(admitted[i]+refused[i])
		t.Logf("rate %v: %.4f refused", rate, part)
		assert.Check(t, part < 0.05, "rate %v: %.4f refused", rate, part)
	}
}

// ownersOfAll returns the owners of all partitions, by index.
func (r *replay) ownersOfAll() (list []*replayNode) {
	for _, n := range r.nodes {
		if slices.Contains(r.nodes[0].entry.members.Owners, n.peer) {
			list = append(list, n)
		}
	}
	return list
}

// restartKnown restarts a node that the others look for, as it was there. It sees itself alone until one of them finds it.
func (r *replay) restartKnown(n *replayNode) {
	n.fleet = fleetSize{}
	for i := range r.nodes {
		n.left[i] = i != n.index
	}
	r.start(n)
	r.after(time.Duration(r.random.Int64N(int64(contactTime))), func() {
		clear(n.left)
		r.members(n)
		r.hearNodes(n, len(r.nodes))
	})
}
