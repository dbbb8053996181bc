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
	// directoryTopic is the part of the store in which nodes find each other.
	directoryTopic = "keyed.wagtailford-nodes"
	// directoryAwayMax is the longest time that it is away, directoryGapMax the longest pause before that.
	directoryAwayMax = 4500 * time.Millisecond
	directoryGapMax  = 6 * time.Second
	// absentMax is how long a node is away before it comes back as one that the others do not look for.
	absentMax = 1500 * time.Millisecond
)

// playDirectoryOutages takes the directory of the nodes away and lets nodes start meanwhile, by the seed, until the length of the
// run has passed. Killed nodes are looked for by the others; nodes that had left come back like added ones. It draws from a sequence
// of its own.
func (r *run) playDirectoryOutages(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.settings.Seed, 41))
	for end := time.Now().Add(r.settings.Length); ; {
		time.Sleep(time.Duration(random.Int64N(int64(directoryGapMax))))
		if time.Now().After(end) || ctx.Err() != nil {
			return
		}
		mode := platform.Mode(1 + random.IntN(4))
		away := time.Duration(random.Int64N(int64(directoryAwayMax)))
		signal := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[random.IntN(2)]
		started := random.Perm(len(r.nodes))[:1+random.IntN(len(r.nodes))]
		absent := time.Duration(random.Int64N(int64(absentMax)))
		if now := time.Now(); len(started) == len(r.nodes) && r.check.isDisturbed(storeID, now.Add(-stability), now) {
			// Counts of crashes may be known to the nodes only, so one of them stays.
			started = started[1:]
		}
		fmt.Fprintf(r.settings.Out, "seed=%d directory away for=%v mode=%d nodes=%v signal=%v\n", r.settings.Seed, away.Round(time.Millisecond), mode, started, signal)
		r.playDirectoryOutage(mode, away, absent, signal, started)
	}
}

func (r *run) playDirectoryOutage(mode platform.Mode, away, absent time.Duration, signal syscall.Signal, started []int) {
	defer r.check.disturb(storeID)()
	ends := time.Now().Add(away)
	r.store.SetFaults(platform.Faults{Mode: mode, Topics: map[string]bool{directoryTopic: true}})
	var wg sync.WaitGroup
	for _, i := range started {
		n := r.nodes[i]
		wg.Go(func() {
			defer r.check.disturb(n.id)()
			n.exclusively(func() { n.restartAfter(signal, absent) })
		})
	}
	time.Sleep(time.Until(ends))
	r.store.SetFaults(platform.Faults{})
	wg.Wait()
}
