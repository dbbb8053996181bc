// Package loadgen sends requests at a fixed rate and records their latency without coordinated omission: latency
// counts from the time at which a request was due, whether or not earlier ones were late.
package loadgen

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histogram, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 60_000_000
	digits        = 3
)

// Options describe a load.
type Options struct {
	// Rate is the number of requests per second.
	Rate int
	// Duration is how long requests are due.
	Duration time.Duration
	// OutstandingMax limits the requests in progress; requests beyond it are counted as skipped.
	OutstandingMax int
	// Do sends request number i and says what became of it, in a word that Result.Outcomes counts.
	Do func(i int) string
}

// Result is the outcome of a load.
type Result struct {
	Sent, Skipped int
	Elapsed       time.Duration
	// Outcomes counts requests by what Do returned, Latency holds microseconds by the same word.
	Outcomes map[string]int
	Latency  map[string]*hdrhistogram.Histogram
}

// Quantile returns a quantile of the latency of one outcome; q is in percent.
func (r *Result) Quantile(outcome string, q float64) time.Duration {
	h := r.Latency[outcome]
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// Run sends the load and waits for the last answer.
func Run(o Options) *Result {
	r := &Result{Outcomes: make(map[string]int), Latency: make(map[string]*hdrhistogram.Histogram)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var outstanding atomic.Int64
	interval := time.Second / time.Duration(o.Rate)
	start := time.Now()
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if due.Sub(start) >= o.Duration {
			break
		}
		time.Sleep(time.Until(due))
		if outstanding.Load() >= int64(o.OutstandingMax) {
			r.Skipped++
			continue
		}
		r.Sent++
		outstanding.Add(1)
		wg.Go(func() {
			defer outstanding.Add(-1)
			outcome := o.Do(i)
			latency := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			r.record(outcome, latency)
		})
	}
	wg.Wait()
	r.Elapsed = time.Since(start)
	return r
}

func (r *Result) record(outcome string, latency time.Duration) {
	r.Outcomes[outcome]++
	h := r.Latency[outcome]
	if h == nil {
		h = hdrhistogram.New(lowestMicros, highestMicros, digits)
		r.Latency[outcome] = h
	}
	// A latency beyond the histogram's range is counted in Outcomes only.
	_ = h.RecordValue(max(lowestMicros, latency.Microseconds()))
}
