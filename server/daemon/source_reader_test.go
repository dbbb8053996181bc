package daemon

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/state/endpoint"
)

// Guards against a fleet that starts at once in which every node reads the configuration from the store, and against one
// in which none does.
func TestFewNodesReadAtStart(t *testing.T) {
	const domains, perDomain = 6, 50
	shape := fanout.Topology{Mode: fanout.ModeTree, FollowersPerDomain: 4, RelayChildren: 16}
	var all []*endpoint.Entry
	for d := range domains {
		for i := range perDomain {
			all = append(all, &endpoint.Entry{Node: fmt.Sprintf("n%d-%d", d, i), FailureDomain: fmt.Sprintf("d%d", d)})
		}
	}
	readers := make(map[string]int)
	for i, self := range all {
		others := append(append([]*endpoint.Entry(nil), all[:i]...), all[i+1:]...)
		if readsAmong(self, others, shape) {
			readers[self.FailureDomain]++
		}
	}
	assert.Equal(t, len(readers), domains)
	for domain, n := range readers {
		assert.Equal(t, n, shape.FollowersPerDomain, domain)
	}
	assert.Assert(t, readsAmong(all[0], nil, shape), "a node that is alone reads")
}

// Guards against a node that reads before it knows whether others do, and against roles that are forgotten meanwhile.
func TestReadingBeginsWhenRolesAreKnown(t *testing.T) {
	for _, assigned := range []bool{true, false} {
		r := newSourceReader()
		r.setAssigned(!assigned)
		r.setAssigned(assigned)
		ctx, cancel := context.WithCancel(t.Context())
		started := make(chan struct{}, 8)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r.run(ctx, func(ctx context.Context) {
				started <- struct{}{}
				<-ctx.Done()
			})
		}()
		assert.Equal(t, len(started), 0)
		r.followRoles()
		r.followRoles()
		if assigned {
			<-started
		} else {
			r.setAssigned(true)
			<-started
		}
		cancel()
		<-ended
		assert.Equal(t, len(started), 0)
	}
}

// Guards against a node that lacks a configuration which its peers do not pass on, and that does not read the source because
// its roles do not include this.
func TestLaggingNodeReadsTheSource(t *testing.T) {
	r := newSourceReader()
	r.setAssigned(false)
	r.followRoles()
	ctx, cancel := context.WithCancel(t.Context())
	started, stopped := make(chan struct{}), make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.run(ctx, func(ctx context.Context) {
			started <- struct{}{}
			<-ctx.Done()
			stopped <- struct{}{}
		})
	}()
	r.setLagging(true)
	<-started
	r.setAssigned(true)
	r.setLagging(false)
	select {
	case <-stopped:
		t.Fatal("a node that is a reader by its roles stopped reading")
	default:
	}
	r.setAssigned(false)
	<-stopped
	cancel()
	<-ended
}
