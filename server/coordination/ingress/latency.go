package ingress

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyMax is the largest recorded latency; longer ones are recorded as this value. It equals the longest
	// allowed timeout of a route.
	latencyMax = 10 * time.Minute
	// latencyDigits is the number of significant digits kept; with 2 a histogram stays below 64 KiB.
	latencyDigits = 2
	// latencyWindow is the length of a window; recent values cover the last complete window and the current one.
	latencyWindow = time.Minute
)

// Latency is the distribution of the time from receiving a request to its response, in microseconds.
type Latency struct {
	Count                            int64
	P50Micros, P99Micros, P999Micros int64
	MaxMicros                        int64
}

// latencies records the latency of answered requests. Its zero value is ready to use. It is safe for concurrent use.
type latencies struct {
	mu sync.Mutex
	// total covers the time since the start, current and previous one window each. They are nil until first used.
	total, current, previous *hdrhistogram.Histogram
	// window is the index of the current window, counted from the Unix epoch.
	window int64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, latencyMax.Microseconds(), latencyDigits)
}

func (l *latencies) record(elapsed time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	micros := min(max(elapsed.Microseconds(), 1), latencyMax.Microseconds())
	// The value is within the range of the histogram, so RecordValue returns no error.
	_ = l.total.RecordValue(micros)
	_ = l.current.RecordValue(micros)
}

// rotate advances to the window that contains now and discards older windows.
func (l *latencies) rotate(now time.Time) {
	if l.total == nil {
		l.total, l.current, l.previous = newHistogram(), newHistogram(), newHistogram()
	}
	window := now.UnixNano() / int64(latencyWindow)
	passed := window - l.window
	if passed <= 0 {
		return
	}
	l.window = window
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
	if passed > 1 {
		l.previous.Reset()
	}
}

// values returns the distribution since the start and the one over the last one to two windows.
func (l *latencies) values(now time.Time) (total, recent Latency) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	merged := newHistogram()
	merged.Merge(l.current)
	merged.Merge(l.previous)
	return distribution(l.total), distribution(merged)
}

func distribution(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count:      h.TotalCount(),
		P50Micros:  h.ValueAtPercentile(50),
		P99Micros:  h.ValueAtPercentile(99),
		P999Micros: h.ValueAtPercentile(99.9),
		MaxMicros:  h.Max(),
	}
}
