package bench

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// closedLoop returns the latency of answered calls in microseconds and the number of the others.
func closedLoop(caller *openCaller, url string, callers int, duration time.Duration) (*hdrhistogram.Histogram, int64) {
	latency := hdrhistogram.New(1, callerTimeout.Microseconds(), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed atomic.Int64
	end := time.Now().Add(duration)
	for range callers {
		wg.Go(func() {
			for time.Now().Before(end) {
				start := time.Now()
				if caller.send(url) != "answered" {
					failed.Add(1)
					continue
				}
				micros := time.Since(start).Microseconds()
				mu.Lock()
				_ = latency.RecordValue(max(1, micros))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return latency, failed.Load()
}
