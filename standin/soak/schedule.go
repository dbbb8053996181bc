package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"wagtailford.example/standin/platform"
)

const (
	// gapMax is the longest pause between the starts of two faults. Faults overlap.
	gapMax = 700 * time.Millisecond
	// faultMax is the longest time that a fault lasts.
	faultMax = 2500 * time.Millisecond
)

// disturb starts faults by the seed until the length of the run has passed, and waits for their ends.
func (r *run) disturb(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	end := time.Now().Add(r.settings.Length)
	for time.Now().Before(end) && ctx.Err() == nil {
		n := r.nodes[r.random.IntN(len(r.nodes))]
		lasts := time.Duration(r.random.Int64N(int64(faultMax)))
		kind := r.random.IntN(len(kinds))
		choice := r.random.IntN(1 << 16)
		fmt.Fprintf(r.settings.Out, "seed=%d %s node=%d for=%v choice=%d\n", r.settings.Seed, kinds[kind].name, n.id, lasts.Round(time.Millisecond), choice)
		wg.Go(func() {
			if kinds[kind].disturbs {
				defer r.check.disturb(n.id)()
			}
			kinds[kind].play(r, n, lasts, choice)
		})
		time.Sleep(time.Duration(r.random.Int64N(int64(gapMax))))
	}
}

// kind is one kind of fault.
type kind struct {
	name string
	// disturbs is true if the process of the node or a link of it is disturbed.
	disturbs bool
	play     func(r *run, n *node, lasts time.Duration, choice int)
}

var kinds = []kind{
	{"kill", true, func(_ *run, n *node, _ time.Duration, _ int) { n.exclusively(func() { n.restart(syscall.SIGKILL) }) }},
	{"terminate", true, func(_ *run, n *node, _ time.Duration, _ int) { n.exclusively(func() { n.restart(syscall.SIGTERM) }) }},
	{"pause", true, func(_ *run, n *node, lasts time.Duration, _ int) {
		n.exclusively(func() {
			n.signal(syscall.SIGSTOP)
			time.Sleep(lasts)
			n.signal(syscall.SIGCONT)
		})
	}},
	{"hangup", false, func(_ *run, n *node, _ time.Duration, _ int) { n.exclusively(func() { n.signal(syscall.SIGHUP) }) }},
	{"link", true, func(_ *run, n *node, lasts time.Duration, choice int) {
		link := []*proxy{n.storeLink, n.peerLink, n.targetLink}[choice%3]
		link.set(linkMode(1 + choice/3%int(linkModes-1)))
		time.Sleep(lasts)
		link.set(linkUp)
	}},
	{"store", false, func(r *run, _ *node, lasts time.Duration, choice int) {
		defer r.check.disturb(storeID)()
		r.store.SetFaults(platform.Faults{Mode: platform.Mode(choice % 5), LoseAnswers: float64(choice/5%3) / 4})
		time.Sleep(lasts)
		r.store.SetFaults(platform.Faults{})
	}},
	{"history", false, func(r *run, _ *node, _ time.Duration, _ int) { r.store.DropHistory("keyed.op") }},
	{"configuration", false, func(r *run, _ *node, _ time.Duration, _ int) { r.publish() }},
	{"target faults", false, func(_ *run, n *node, lasts time.Duration, choice int) {
		share := 0.3
		f := []platform.TargetFaults{{Slow: 20}, {Shed: share}, {Fail: share}, {Lose: share}, {Cut: share}, {Extra: share}, {Unframed: share}}[choice%7]
		n.current().SetFaults(f)
		time.Sleep(lasts)
		n.current().SetFaults(platform.TargetFaults{})
	}},
	{"target limit", false, func(_ *run, n *node, lasts time.Duration, choice int) {
		limits := []string{"0", "1.6", "8", "25.5", "60"}
		n.current().SetFaults(platform.TargetFaults{Limits: limits[choice%len(limits) : choice%len(limits)+1]})
		time.Sleep(lasts + limitStability + limitWindow)
		n.current().SetFaults(platform.TargetFaults{})
	}},
	{"target states leaving", false, func(r *run, n *node, lasts time.Duration, _ int) {
		n.replaceTarget(r, drainBound+lasts, func(t *platform.Target) bool {
			t.SetFaults(platform.TargetFaults{StatesLeaving: true})
			return false
		})
	}},
	{"target crash", false, func(r *run, n *node, lasts time.Duration, _ int) { n.replaceTarget(r, lasts, nil) }},
	{"target drain", false, func(r *run, n *node, lasts time.Duration, _ int) {
		n.replaceTarget(r, drainBound+lasts, (*platform.Target).Drain)
	}},
	{"target leave", false, func(r *run, n *node, lasts time.Duration, _ int) {
		n.replaceTarget(r, drainBound+lasts, (*platform.Target).Leave)
	}},
}

func (n *node) current() *platform.Target {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.target
}

// exclusively runs one fault of the process at a time.
func (n *node) exclusively(fault func()) {
	if !n.claim() {
		return
	}
	defer n.release()
	fault()
}

func (n *node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused {
		return false
	}
	n.paused = true
	return true
}

func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused = false
}

// replaceTarget ends the target, after it has left if leave is given, and starts the next one.
func (n *node) replaceTarget(r *run, lasts time.Duration, leave func(*platform.Target) bool) {
	n.exclusively(func() {
		target := n.current()
		if leave != nil && leave(target) {
			r.check.acknowledged(target.Instance())
		}
		if leave != nil {
			time.Sleep(lasts)
		}
		target.Crash()
		if leave == nil {
			time.Sleep(lasts)
		}
		if err := n.startTarget(); err != nil {
			r.check.fault("START", err.Error())
			return
		}
		r.check.ended(target)
	})
}

// heal ends every fault.
func (r *run) heal() {
	r.store.SetFaults(platform.Faults{})
	for _, n := range r.nodes {
		n.signal(syscall.SIGCONT)
		for _, link := range []*proxy{n.storeLink, n.peerLink, n.targetLink} {
			link.set(linkUp)
		}
		n.current().SetFaults(platform.TargetFaults{})
	}
}
