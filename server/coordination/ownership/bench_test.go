package ownership

import (
	"context"
	"fmt"
	"testing"
	"time"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/endpoint"
)

// handOverPair returns a leaving node with done records and the node that takes them. Calls are made in memory without
// encoding.
func handOverPair(b *testing.B, records int) *simNode {
	c := newCluster(b)
	leaver := c.join("a")
	for i := range records {
		d := leaver.m.Begin(context.Background(), c.request(fmt.Sprintf("key-%d", i)))
		d.Finish(&wire.Response{Outcome: outcome.Answered, Status: 200, Body: make([]byte, 128)})
	}
	c.add("b").update(func(e *endpoint.Entry) { e.Eligible = true })
	// Without a join node b has not taken any record over.
	c.node("b").m.setService(service)
	c.node("b").m.setPhase(phaseEligible)
	return leaver
}

// BenchmarkHandOver measures a planned leave of a node with done records, each with an answer of 128 bytes. The
// simulated latency of 2 ms per message is part of the time.
func BenchmarkHandOver(b *testing.B) {
	for _, records := range []int{1_000, 10_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			var spent time.Duration
			var moved int64
			for b.Loop() {
				b.StopTimer()
				leaver := handOverPair(b, records)
				leaver.m.settings.PageRecords = DefaultSettings("").PageRecords
				b.StartTimer()
				start := time.Now()
				if err := leaver.m.Leave(context.Background()); err != nil {
					b.Fatal(err)
				}
				spent += time.Since(start)
				moved += leaver.m.Counters().RecordsOut
			}
			b.ReportMetric(float64(moved)/float64(b.N), "records/handover")
			b.ReportMetric(float64(spent.Milliseconds())/float64(b.N), "ms/handover")
		})
	}
}
