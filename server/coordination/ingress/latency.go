package ingress

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyMax is the longest time that is told apart; it is the longest time limit of a route.
	latencyMax = 10 * time.Minute
	// latencyDigits is the precision: 2 significant digits keep a histogram below 64 KiB.
	latencyDigits = 2
	// latencyWindow is the length of a window; the recent values cover one whole window and the one in progress.
	latencyWindow = time.Minute
)

// Latency is the distribution of the times from receiving a request to its answer, in microseconds.
type Latency struct {
	Count                            int64
	P50Micros, P99Micros, P999Micros int64
	MaxMicros                        int64
}

// latencies counts the times of answered requests. The zero value is ready to use, and it is safe for concurrent use.
type latencies struct {
	mu sync.Mutex
	// total holds all times since the start, current and previous those of two windows. They are nil before the first.
	total, current, previous *hdrhistogram.Histogram
	// window is the number of the current window since the Unix epoch.
	window int64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, latencyMax.Microseconds(), latencyDigits)
}

func (l *latencies) record(took time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	micros := min(max(took.Microseconds(), 1), latencyMax.Microseconds())
	// The value is in range, so there is no error.
	_ = l.total.RecordValue(micros)
	_ = l.current.RecordValue(micros)
}

// rotate makes the window of now the current one.
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

// values returns the distribution since the start and that of the last one to two windows.
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
