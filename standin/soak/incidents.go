package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"wagtailford.example/standin/platform"
)

const (
	// popularPath is a page that all callers read with the same content.
	popularPath = "/read/popular"
	// crashPath ends each target that begins to run a request for it.
	crashPath = "/write/crash"
	// crashingInterval is the time between two requests for crashPath.
	crashingInterval = 400 * time.Millisecond
	// crashedTime is how long a target is away that such a request has ended.
	crashedTime = 300 * time.Millisecond
	// incidentGapMax is the longest pause between two incidents.
	incidentGapMax = 1500 * time.Millisecond
	// reportDelayMax is how late a report may arrive, storeAwayMax how long the store is away after all nodes were killed.
	reportDelayMax = 3 * time.Second
	storeAwayMax   = 4 * time.Second
	// claimBound limits the wait for the ends of other faults of all nodes, stableStoreBound that for a stable store.
	claimBound       = 6 * time.Second
	stableStoreBound = 8 * time.Second
	// burstCalls are sent to a node at once, more than its target has slots.
	burstCalls = 16
)

// incident is a disturbance of several parts that belong together. It is drawn from a sequence of its own, so that the single
// faults of a seed stay what they were.
type incident struct {
	name string
	play func(r *run, n *node, random *rand.Rand)
}

var incidents = []incident{
	{"targets crash together", func(r *run, _ *node, random *rand.Rand) {
		var wg sync.WaitGroup
		lasts := time.Duration(random.Int64N(int64(time.Second)))
		for _, i := range random.Perm(len(r.nodes))[:max(2, len(r.nodes)/3)] {
			wg.Go(func() { r.nodes[i].replaceTarget(r, lasts, nil) })
		}
		wg.Wait()
	}},
	{"report of another writer", func(_ *run, n *node, random *rand.Rand) { n.sendOddReport(random) }},
	{"restarted target leaves before its reports arrive", leaveBeforeReports},
	{"all nodes are killed while the store is away", killAllWithoutStore},
	{"slow target drains", func(r *run, n *node, random *rand.Rand) {
		wait := time.Duration(random.Int64N(int64(500 * time.Millisecond)))
		leave := []func(*platform.Target) bool{(*platform.Target).Drain, (*platform.Target).Leave}[random.IntN(2)]
		n.replaceTarget(r, drainBound+time.Second, func(t *platform.Target) bool {
			t.SetFaults(platform.TargetFaults{Least: time.Second + wait})
			r.burst(n)
			time.Sleep(wait)
			return leave(t)
		})
	}},
	{"nodes restart in turn", func(r *run, _ *node, random *rand.Rand) {
		signal := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[random.IntN(2)]
		for _, i := range random.Perm(len(r.nodes)) {
			n := r.nodes[i]
			end := r.check.disturb(n.id)
			n.exclusively(func() { n.restart(signal) })
			end()
		}
	}},
}

// playIncidents starts incidents by the seed until the length of the run has passed, and waits for their ends.
func (r *run) playIncidents(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.settings.Seed, 23))
	var wg sync.WaitGroup
	defer wg.Wait()
	for end := time.Now().Add(r.settings.Length); time.Now().Before(end) && ctx.Err() == nil; {
		n := r.nodes[random.IntN(len(r.nodes))]
		chosen := incidents[random.IntN(len(incidents))]
		part := rand.New(rand.NewPCG(random.Uint64(), 29))
		fmt.Fprintf(r.settings.Out, "seed=%d %s node=%d\n", r.settings.Seed, chosen.name, n.id)
		wg.Go(func() { chosen.play(r, n, part) })
		time.Sleep(time.Duration(random.Int64N(int64(incidentGapMax))))
	}
}

// leaveBeforeReports crashes a target and starts it again under its name, with late reports. It leaves while they are on their way,
// and serves on until the last of them has arrived.
func leaveBeforeReports(r *run, n *node, random *rand.Rand) {
	delay := time.Duration(random.Int64N(int64(reportDelayMax)))
	wait := time.Duration(random.Int64N(int64(delay) + 1))
	leave := []func(*platform.Target) bool{(*platform.Target).Leave, (*platform.Target).LeaveWithStart}[random.IntN(2)]
	n.exclusively(func() {
		first := n.current()
		first.Crash()
		r.check.ended(first)
		if err := n.startTargetAs(first.Instance(), delay); err != nil {
			r.check.fault("START", err.Error())
			return
		}
		second := n.current()
		time.Sleep(wait)
		if leave(second) {
			r.check.acknowledged(second.Instance())
		}
		time.Sleep(delay + drainBound)
		second.Crash()
		if err := n.startTarget(); err != nil {
			r.check.fault("START", err.Error())
			return
		}
		r.check.ended(second)
	})
}

// killAllWithoutStore kills all nodes at once while the store is away. If it has been away just before, counts of crashes may be
// known to the nodes only, and nothing can bring them back. The request that ends targets comes again only when the nodes and the
// store count as undisturbed: runs before are excused, and would make the nodes count anew.
func killAllWithoutStore(r *run, _ *node, random *rand.Rand) {
	mode := platform.Mode(1 + random.IntN(4))
	away := time.Duration(random.Int64N(int64(storeAwayMax)))
	if !r.killingAll.TryLock() {
		return
	}
	defer r.killingAll.Unlock()
	claimed, all := r.claimAll()
	defer func() {
		for _, n := range claimed {
			n.release()
		}
	}()
	if !all || !r.awaitStableStore() {
		return
	}
	r.crashingPauses.Add(1)
	fmt.Fprintf(r.settings.Out, "seed=%d all nodes end, store away for=%v mode=%d\n", r.settings.Seed, away.Round(time.Millisecond), mode)
	defer r.crashingPauses.Add(-1)
	endAway := r.check.disturb(storeID)
	r.store.SetFaults(platform.Faults{Mode: mode})
	var wg sync.WaitGroup
	for _, n := range r.nodes {
		wg.Go(func() {
			defer r.check.disturb(n.id)()
			n.restart(syscall.SIGKILL)
		})
	}
	wg.Wait()
	time.Sleep(away)
	r.store.SetFaults(platform.Faults{})
	endAway()
	if !r.awaitStableStore() {
		return
	}
	for i := range 2 * len(r.nodes) {
		r.send(context.Background(), r.nodes[i%len(r.nodes)], r.check.nextWith(crashPath, "crash"))
	}
}

// awaitStableStore waits until the store has not been disturbed for a while, and reports whether that came in time.
func (r *run) awaitStableStore() bool {
	for end := time.Now().Add(stableStoreBound); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if now := time.Now(); !r.check.isDisturbed(storeID, now.Add(-stability), now) {
			return true
		}
	}
	return false
}

// claimAll claims all nodes, and reports whether it could.
func (r *run) claimAll() (claimed []*node, all bool) {
	for end := time.Now().Add(claimBound); len(claimed) < len(r.nodes); {
		n := r.nodes[len(claimed)]
		switch {
		case n.claim():
			claimed = append(claimed, n)
		case time.Now().After(end):
			return claimed, false
		default:
			time.Sleep(time.Millisecond)
		}
	}
	return claimed, true
}

// burst sends calls to a node at once, each on a connection of its own, and does not wait for their ends.
func (r *run) burst(n *node) {
	for range burstCalls {
		r.bursts.Go(func() { r.send(context.Background(), n, r.check.next("/write/1")) })
	}
}

func (r *run) send(ctx context.Context, n *node, call platform.Call) platform.Reply {
	caller := platform.NewCaller(n.ip + ":7204")
	defer caller.Close()
	reply := caller.Do(ctx, call)
	r.check.seen(n.id, call, reply)
	return reply
}

// readPopular reads the popular page through a node until ctx ends.
func (r *run) readPopular(ctx context.Context, n *node) {
	for ctx.Err() == nil {
		r.send(context.WithoutCancel(ctx), n, r.check.nextWith(popularPath, "popular"))
		time.Sleep(10 * time.Millisecond)
	}
}

// sendCrashing sends the request that ends targets again and again, each time through another node.
func (r *run) sendCrashing(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		if r.crashingPauses.Load() > 0 {
			time.Sleep(crashingInterval)
			continue
		}
		n := r.nodes[i%len(r.nodes)]
		call := r.check.nextWith(crashPath, "crash")
		r.send(context.WithoutCancel(ctx), n, call)
		time.Sleep(crashingInterval)
	}
}

// targetCrashed replaces a target that a request has ended.
func (n *node) targetCrashed(t *platform.Target) {
	t.Crash()
	for !n.claim() {
		if n.run.over.Load() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	defer n.release()
	if n.current() != t {
		return // Another fault has replaced it already.
	}
	time.Sleep(crashedTime)
	if err := n.startTarget(); err != nil {
		n.run.check.fault("START", err.Error())
		return
	}
	n.run.check.ended(t)
}

// What the mesh promises for a request that ends the targets that run it: at most crashRetriesMax runs that were sent later than
// stability after the third one, by nodes that were not disturbed in that time before.
const (
	stability       = 3 * time.Second
	crashRetriesMax = 3
	thirdCrash      = 2
)

// storeID stands for the store among the disturbed nodes.
const storeID = -1

// endCrashing checks the runs of the request that ends targets.
func (c *check) endCrashing(runs []platform.Run) {
	var crashes []platform.Run
	for _, run := range runs {
		if run.Path == crashPath {
			crashes = append(crashes, run)
		}
	}
	if len(crashes) <= thirdCrash {
		return
	}
	sortRuns(crashes)
	third := crashes[thirdCrash].At
	late := 0
	for _, run := range crashes[thirdCrash+1:] {
		e := c.entries[run.RequestID]
		from := e.sent.Add(-stability)
		if e.sent.After(third.Add(stability)) && !c.wasDisturbed(e.node, from, e.sent) && !c.wasDisturbed(storeID, from, e.sent) {
			late++
		}
	}
	if late > crashRetriesMax {
		c.fault("BUDGET", fmt.Sprintf("a request that ends targets reached %d more, later than %v after the third", late, stability))
	}
}
