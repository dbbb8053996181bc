package keyedstore

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// StaleEraError means that a response came from an older era of the store than one seen before. What it states, also that an
// append is done, no longer holds.
type StaleEraError struct {
	Era, Highest uint64
}

func (e *StaleEraError) Error() string {
	return fmt.Sprintf("stale response of the store: era %d, after era %d was seen", e.Era, e.Highest)
}

// EraRise is a restore of the store from a copy, after which records of this system may be missing.
type EraRise struct {
	From, To uint64
}

// Eras is the highest era of a store that is known. It is safe for concurrent use.
type Eras struct {
	rises, stale atomic.Int64

	mu sync.Mutex
	// known is false until an era was stated. The first one is no rise: nothing was read or written before.
	known   bool
	current uint64
	onRise  []func(EraRise)
}

// Highest returns the highest era that is known.
func (e *Eras) Highest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Rises returns how often the highest era rose after the first one that was stated.
func (e *Eras) Rises() int64 { return e.rises.Load() }

// Stale returns how many responses were older than the highest era.
func (e *Eras) Stale() int64 { return e.stale.Load() }

// OnRise adds a function that is called after the era rose. It must not block and must be added before the first call of the
// store.
func (e *Eras) OnRise(f func(EraRise)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onRise = append(e.onRise, f)
}

// Learn records an era that was learned otherwise than from a response: from another node. An era of 0 says nothing.
func (e *Eras) Learn(era uint64) {
	if era > 0 {
		e.observe(era)
	}
}

// Check records the era that a response states. It returns a *StaleEraError if that is older than the highest one.
func (e *Eras) Check(era uint64) error {
	if highest := e.observe(era); era < highest {
		e.stale.Add(1)
		return &StaleEraError{Era: era, Highest: highest}
	}
	return nil
}

// observe records an era and returns the highest one. Callbacks for a rise are called before it returns.
func (e *Eras) observe(era uint64) uint64 {
	e.mu.Lock()
	rise := EraRise{From: e.current, To: era}
	rose := e.known && era > e.current
	e.known = true
	e.current = max(e.current, era)
	current, onRise := e.current, e.onRise
	e.mu.Unlock()
	if rose {
		e.rises.Add(1)
		for _, f := range onRise {
			f(rise)
		}
	}
	return current
}
