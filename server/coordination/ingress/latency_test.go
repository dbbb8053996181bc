package ingress

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/protocol/wire"
)

// withinPrecision reports whether a value is within the precision of the histogram.
func withinPrecision(got int64, want time.Duration) bool {
	return got >= want.Microseconds() && got <= want.Microseconds()*102/100
}

// TestLatency guards the percentiles of answered requests, the exclusion of refused requests, and the expiry of older
// windows from the recent values.
func TestLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := time.Duration(0)
		h := newTestHandler(t, &fakeNet{}, func(_ *Settings, deps *Dependencies) {
			deps.Call = func(_ context.Context, _, _ string, _, reply any) error {
				served += time.Millisecond
				time.Sleep(served)
				*reply.(*wire.Response) = wire.Response{Outcome: outcome.Answered, Status: 200}
				return nil
			}
		})
		defer h.Shutdown(context.Background())
		for range 1000 {
			h.Do(t.Context(), request("GET"))
		}
		h.Do(t.Context(), request("GET", "Wagtail-Depth", "16"))
		values := h.Counters().Values()
		assert.Equal(t, values.Latency.Count, int64(1000))
		for want, got := range map[time.Duration]int64{
			500 * time.Millisecond: values.Latency.P50Micros, 990 * time.Millisecond: values.Latency.P99Micros,
			999 * time.Millisecond: values.Latency.P999Micros, time.Second: values.Latency.MaxMicros,
		} {
			assert.Check(t, withinPrecision(got, want), "%v: %d", want, got)
		}
		assert.Assert(t, values.LatencyRecent.Count > 0 && values.LatencyRecent.Count < 1000)
		time.Sleep(2 * latencyWindow)
		assert.Equal(t, h.Counters().Values().LatencyRecent.Count, int64(0))
		h.Counters().latencies.record(time.Hour, time.Now())
		assert.Assert(t, withinPrecision(h.Counters().Values().LatencyRecent.MaxMicros, latencyMax))
		assert.Assert(t, newHistogram().ByteSize() < 64<<10)
	})
}
