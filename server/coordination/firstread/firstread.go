// Package firstread reads state that a process has to know before it acts. A failed read does not mean that there is none, so it
// is repeated until it succeeds.
package firstread

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"wagtailford.example/server/coordination/pause"
)

const (
	// quickTimeout limits a call. A call to a store that was silent gets no answer even after it is back, so that such a call
	// must end soon.
	quickTimeout = time.Second
	// patientTimeout limits the calls that go on beside the quick ones, for a store that takes longer than quickTimeout.
	patientTimeout = 10 * time.Second
	// retryMin and retryMax bound the delay after a failed call.
	retryMin = 50 * time.Millisecond
	retryMax = 500 * time.Millisecond
)

// Until calls read until it succeeds or ctx ends, and returns its result; ok is false if ctx has ended. Once a call has failed,
// a quick and a patient one run at the same time. failed is called for the first failure.
func Until[T any](ctx context.Context, read func(context.Context) (T, error), failed func(error)) (result T, ok bool) {
	result, err := limited(ctx, quickTimeout, read)
	if err == nil {
		return result, true
	}
	if ctx.Err() != nil {
		return result, false
	}
	failed(err)
	calling, stop := context.WithCancel(ctx)
	results := make(chan T, 2)
	var calls sync.WaitGroup
	for _, timeout := range []time.Duration{quickTimeout, patientTimeout} {
		calls.Go(func() { repeat(calling, timeout, read, results) })
	}
	defer calls.Wait()
	defer stop()
	select {
	case result = <-results:
		return result, true
	case <-ctx.Done():
		return result, false
	}
}

// repeat calls read with a timeout until it succeeds or ctx ends.
func repeat[T any](ctx context.Context, timeout time.Duration, read func(context.Context) (T, error), results chan<- T) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = retryMin, retryMax
	for pause.For(ctx, delays.NextBackOff()) {
		result, err := limited(ctx, timeout, read)
		if err == nil {
			results <- result
			return
		}
	}
}

func limited[T any](ctx context.Context, timeout time.Duration, read func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return read(ctx)
}
