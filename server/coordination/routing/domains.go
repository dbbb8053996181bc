package routing

import (
	"sync"
	"time"
)

const (
	// refusalsUntilFull is the number of consecutive refusals after which a failure domain counts as full.
	refusalsUntilFull = 2
	// domainFullMin and domainFullMax bound the time for which a failure domain counts as full with Backoff. That time doubles
	// with each further refusal, as in a fleet whose domains are all full every offer is refused: on such a day 75 nodes that
	// offered twice in 250 ms sent most of the bytes between domains. With a second as the maximum, three of four offers were
	// still refused.
	domainFullMin = 250 * time.Millisecond
	domainFullMax = 4 * time.Second
	// domainDoublingsMax is the number of doublings from domainFullMin to domainFullMax.
	domainDoublingsMax = 4
	// domainMemory is how long refusals count with Backoff. Without an end, a domain that was full at a peak would get one request
	// at a time hours later, when the targets of the own domain fail.
	domainMemory = 2 * time.Minute
	// domainKindsMax limits the tracked pairs of failure domain and request kind. Beyond it, any pair gives way to a new one.
	domainKindsMax = 1024
)

// FullDomains tracks which other failure domains are full for a kind of requests. Without it, in a large fleet, a
// request would be offered to each of the many targets of a full domain before the domain is known to be full. It is
// safe for concurrent use.
type FullDomains struct {
	// Backoff lengthens the time for which a domain counts as full with each refusal, and is set before the first use.
	Backoff bool

	mu    sync.Mutex
	kinds map[domainKind]domainState
}

type domainKind struct {
	domain string
	kind   uint32
}

type domainState struct {
	refusals    int
	fullUntilMS int64
	// recordedMS is the time of the latest response.
	recordedMS int64
	// offeredUntilMS ends the time for which the domain counts as full because of an outstanding offer; 0 if there is none.
	offeredUntilMS int64
}

// Record records how a node of a domain responded to a request of a kind. wait is the wait that a full node reported.
func (d *FullDomains) Record(domain string, kind uint32, full bool, wait time.Duration, nowMS int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := domainKind{domain, kind}
	if !full {
		d.accept(key, nowMS)
		return
	}
	if d.kinds == nil {
		d.kinds = make(map[domainKind]domainState)
	}
	state, known := d.kinds[key]
	if !known {
		makeRoom(d.kinds, domainKindsMax)
	}
	if d.Backoff {
		if state.isForgotten(nowMS) {
			state.refusals = 0
		}
		// Many concurrent requests are refused at once. Further ones would only delay the return to the domain.
		state.refusals = min(state.refusals, refusalsUntilFull+domainDoublingsMax-1)
	}
	state.refusals++
	state.recordedMS, state.offeredUntilMS = nowMS, 0
	if further := state.refusals - refusalsUntilFull; further >= 0 {
		state.fullUntilMS = (&Report{Full: true, Wait: wait}).fullUntilMS(nowMS)
		if d.Backoff {
			full := max(state.fullUntilMS-nowMS, domainFullMin.Milliseconds()) << min(further, domainDoublingsMax)
			state.fullUntilMS = nowMS + min(full, domainFullMax.Milliseconds())
		}
	}
	d.kinds[key] = state
}

// Offer records that a request of a kind is sent to a domain. With Backoff, a domain that was full counts as full again until
// the response arrives, so that one of many concurrent requests finds out whether it still is. The result is for Withdraw.
func (d *FullDomains) Offer(domain string, kind uint32, nowMS int64) (untilMS int64) {
	if !d.Backoff {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	key := domainKind{domain, kind}
	state := d.kinds[key]
	if state.refusals < refusalsUntilFull || state.isForgotten(nowMS) {
		return 0
	}
	state.offeredUntilMS = nowMS + domainFullMin.Milliseconds()
	d.kinds[key] = state
	return state.offeredUntilMS
}

// Withdraw records that an offer ended without a response that says something of the domain, so that the next request may be
// offered. It has no effect if another offer followed.
func (d *FullDomains) Withdraw(domain string, kind uint32, untilMS int64) {
	if untilMS == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	key := domainKind{domain, kind}
	if state, known := d.kinds[key]; known && state.offeredUntilMS == untilMS {
		state.offeredUntilMS = 0
		d.kinds[key] = state
	}
}

// isForgotten reports whether the refusals of a domain are too old to count.
func (state domainState) isForgotten(nowMS int64) bool {
	return nowMS-state.recordedMS >= domainMemory.Milliseconds()
}

// IsFull reports whether a domain counts as full for a kind. Once that period has ended, a single further refusal marks
// the domain as full again.
func (d *FullDomains) IsFull(domain string, kind uint32, nowMS int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.kinds[domainKind{domain, kind}]
	return nowMS < max(state.fullUntilMS, state.offeredUntilMS)
}

// accept halves the refusals of a domain that has accepted a request. A domain that accepts one offer in six is mostly full: with
// a reset, the other five would be sent again and again.
func (d *FullDomains) accept(key domainKind, nowMS int64) {
	state, known := d.kinds[key]
	if state.refusals /= 2; state.refusals == 0 || !d.Backoff {
		delete(d.kinds, key)
		return
	}
	if known {
		state.fullUntilMS, state.recordedMS, state.offeredUntilMS = 0, nowMS, 0
		d.kinds[key] = state
	}
}
