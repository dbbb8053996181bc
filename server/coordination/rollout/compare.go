package rollout

import (
	"math"
	"time"

	"wagtailford.example/server/protocol/wire"
)

// sums are the outcomes of requests at one version.
type sums struct {
	requests, failures, refused float64
	times                       [timeBuckets]float64
}

func (s *sums) add(o *sums) {
	s.requests += o.requests
	s.failures += o.failures
	s.refused += o.refused
	for i := range s.times {
		s.times[i] += o.times[i]
	}
}

// addScaled adds a part of other sums.
func (s *sums) addScaled(o *sums, part float64) {
	s.requests += part * o.requests
	s.failures += part * o.failures
	s.refused += part * o.refused
	for i := range s.times {
		s.times[i] += part * o.times[i]
	}
}

// addShifted adds other sums whose response times are moved down by a number of buckets.
func (s *sums) addShifted(o *sums, shift int) {
	s.requests += o.requests
	s.failures += o.failures
	s.refused += o.refused
	for i, n := range o.times {
		s.times[min(max(i-shift, 0), timeBuckets-1)] += n
	}
}

// addCounts adds counts whose response times are moved down by a number of buckets.
func (s *sums) addCounts(c *wire.RolloutCounts, shift int) {
	s.requests += float64(c.Requests)
	s.failures += float64(min(c.Failures, c.Requests))
	s.refused += float64(c.Refused)
	for i, n := range c.Times[:min(len(c.Times), timeBuckets)] {
		s.times[min(max(i-shift, 0), timeBuckets-1)] += float64(n)
	}
}

// responses returns the number of measured response times.
func (s *sums) responses() float64 {
	n := 0.0
	for _, count := range s.times {
		n += count
	}
	return n
}

// slowBeyond returns the number of response times in buckets above a given one.
func (s *sums) slowBeyond(bucket int) float64 {
	n := 0.0
	for _, count := range s.times[min(bucket+1, timeBuckets):] {
		n += count
	}
	return n
}

// quantile returns the bucket of a quantile.
func (s *sums) quantile(q float64) int {
	limit, n := q*s.responses(), 0.0
	for i, count := range s.times {
		if n += count; n >= limit {
			return i
		}
	}
	return timeBuckets - 1
}

// suspicion is the result of a comparison.
type suspicion uint8

const (
	unsuspected suspicion = iota
	// suspected halts the rollout at its lowest share until more is known.
	suspected
	convicted
)

const (
	// suspectLikelihood and convictLikelihood are limits of the log-likelihood ratio between different and equal rates. A
	// rollout makes some 10,000 comparisons, of which few are independent: 13 is exceeded by chance in 3 of 10 million.
	suspectLikelihood = 7
	convictLikelihood = 13
	// suspectEventsMin and convictEventsMin are the least numbers of bad responses of a suspicion and a conviction.
	suspectEventsMin = 3
	convictEventsMin = 4
	// referenceMin is the number of responses of the old version below which a window is compared with all earlier ones.
	referenceMin = 200
	// failureExcess is the least difference between the portions of failed responses.
	failureExcess = 0.01
	// refusedExcess is the same for refusals. Refusals depend on the load, which the two versions share unevenly, but a
	// version whose targets refuse much more than the old ones cannot carry all requests.
	refusedExcess = 0.2
)

const (
	// slowSuspected and slowConvicted are limits of the log-likelihood ratio between the portion of slow responses and the
	// largest one that a good version has by chance of its targets. That one is an extreme already, so they are low.
	slowSuspected = 4
	slowConvicted = 6
	// slowReferenceMin is the least number of responses of the old version of which the ninth decile is known well enough.
	slowReferenceMin = 30
	// slowEventsMin is the least number of slow responses of a conviction.
	slowEventsMin = 16
	// marginTargets is the number of targets of a version for which the margins below hold.
	marginTargets = 8
	marginMax     = 3
	// slowWindowMargin widens the margins for the window of ten seconds, and slowRampMargin while the share rises at the end:
	// a few disturbed targets then serve most of the requests that are compared.
	slowWindowMargin = 1.4
	slowRampMargin   = 2
)

// slowMargins say how many more responses of a good version than of the old one may be slower than a bound, which is given in
// buckets above the ninth decile of the old version: a factor of 1.25 for each bucket. In replays with 3000 requests/s, the
// 99th of 100 differences between two good versions of 8 targets each, with speeds from 0.5 to 1.5, of which 15% at a time are
// 2.5 times slower, is half of the margin. Half of it rolled back 21 of 60 good versions at 700 requests/s. If 3 in 10
// responses take 5 times as long, the least differences are 0.066, 0.053, 0.028 and 0.011.
var slowMargins = []struct {
	buckets int
	margin  float64
}{{0, 0.032}, {2, 0.017}, {4, 0.009}, {6, 0.0045}}

// compare compares the outcomes of two versions. margin widens the margins for versions with few targets.
func compare(older, newer *sums, margin float64) (level suspicion, reason string) {
	level = judge(newer.failures, newer.requests, older.failures, older.requests, failureExcess)
	reason = "failures"
	l := judge(newer.refused, newer.requests+newer.refused, older.refused, older.requests+older.refused, refusedExcess)
	if l > level {
		level, reason = l, "refusals"
	}
	if older.responses() < slowReferenceMin {
		return level, reason
	}
	decile := older.quantile(0.9)
	for _, m := range slowMargins {
		bound := decile + m.buckets
		l := judgeSlow(newer.slowBeyond(bound), newer.responses(), older.slowBeyond(bound), older.responses(), margin*m.margin)
		if l > level {
			level, reason = l, "latency"
		}
	}
	return level, reason
}

// marginFor returns the factor of the margins for a number of targets of each version.
func marginFor(fleet Fleet) float64 {
	n := max(1, min(fleet.OldTargets, fleet.NewTargets))
	return min(max(1, math.Sqrt(marginTargets/float64(n))), marginMax)
}

// judgeSlow compares a portion of slow responses with the largest one that a good version may have.
func judgeSlow(slow, n, slowOld, nOld, margin float64) suspicion {
	limit := min((slowOld+0.5)/(nOld+1)+margin, 0.99)
	if slow < slowEventsMin/2 || slow/n <= limit {
		return unsuspected
	}
	ratio := logLikelihood(slow, n, slow/n) - logLikelihood(slow, n, limit)
	switch {
	case ratio >= slowConvicted && slow >= slowEventsMin:
		return convicted
	case ratio >= slowSuspected:
		return suspected
	}
	return unsuspected
}

// judge compares two portions of bad events. Few responses of the old version, none of them bad, do not prove that it never
// fails: half a bad response is added to them.
func judge(bad, n, badOld, nOld, excess float64) suspicion {
	badOld, nOld = badOld+0.5, max(nOld, 1)+1
	if n == 0 || bad < suspectEventsMin || bad/n < badOld/nOld+excess || bad/n < 1.5*badOld/nOld {
		return unsuspected
	}
	pooled := (bad + badOld) / (n + nOld)
	ratio := logLikelihood(bad, n, bad/n) + logLikelihood(badOld, nOld, badOld/nOld) -
		logLikelihood(bad, n, pooled) - logLikelihood(badOld, nOld, pooled)
	switch {
	case ratio >= convictLikelihood && bad >= convictEventsMin:
		return convicted
	case ratio >= suspectLikelihood:
		return suspected
	}
	return unsuspected
}

func logLikelihood(bad, n, p float64) float64 {
	result := 0.0
	if bad > 0 {
		result += bad * math.Log(p)
	}
	if bad < n {
		result += (n - bad) * math.Log(1-p)
	}
	return result
}

const (
	slotTime = 500 * time.Millisecond
	// slots cover the longest window, shortSlots the short one. A version that turns bad late shows in the short one
	// before its good time is outweighed.
	slots      = 20
	shortSlots = 4
	// kindsMax bounds the kinds that are compared one by one; further ones are compared together.
	kindsMax = 32
)

// pair are the sums of both versions.
type pair struct{ older, newer sums }

func (p *pair) add(o *pair) {
	p.older.add(&o.older)
	p.newer.add(&o.newer)
}

// history holds the outcomes by kind, of the last seconds and since the order.
type history struct {
	slot  int64
	ring  [slots]map[uint32]*pair
	total map[uint32]*pair
	speed speeds
	// loaded are the outcomes of targets at full load.
	loaded loadedHistory
}

func newHistory() *history {
	return &history{total: make(map[uint32]*pair), speed: make(speeds), loaded: newLoadedHistory()}
}

// advance removes the slots that have left the window.
func (h *history) advance(now time.Time) {
	slot := now.UnixMilli() / slotTime.Milliseconds()
	for n := min(slot-h.slot, slots); n > 0; n-- {
		h.ring[(slot-n+1)%slots] = nil
	}
	h.slot = max(h.slot, slot)
	h.loaded.advance(now)
}

// add takes over the counts of a report. tested reports whether a target of the new version is tested at full load.
func (h *history) add(now time.Time, counts []wire.RolloutCounts, tested func(target uint32) bool) {
	h.advance(now)
	current := &h.ring[h.slot%slots]
	if *current == nil {
		*current = make(map[uint32]*pair)
	}
	for i := range counts {
		c := &counts[i]
		kind := c.Kind
		if h.total[kind] == nil && len(h.total) >= kindsMax {
			kind = 0
		}
		reference := h.total[kind]
		if reference != nil && reference.older.responses() >= slowReferenceMin {
			h.loaded.add(c, kind, reference.older.quantile(0.5))
		}
		if c.New && tested(c.Target) {
			// One target answers most of these, so their times are compared with those of the same load only. It may also
			// be slower than the others, and refuse what is too much for it.
			tail := *c
			tail.Refused, tail.Times = 0, nil
			c = &tail
		}
		shift := 0
		if reference != nil {
			shift = h.speed.add(c, &reference.older)
		}
		for _, m := range []map[uint32]*pair{*current, h.total} {
			p := m[kind]
			if p == nil {
				p = new(pair)
				m[kind] = p
			}
			if c.New {
				p.newer.addCounts(c, shift)
			} else {
				p.older.addCounts(c, shift)
			}
		}
	}
}

// last returns the sums by kind of the last n slots.
func (h *history) last(n int) map[uint32]*pair { return collect(&h.ring, h.slot, n) }

func collect(ring *[slots]map[uint32]*pair, slot int64, n int) map[uint32]*pair {
	result := make(map[uint32]*pair)
	for i := range int64(n) {
		for kind, p := range ring[(slot-i+slots)%slots] {
			if result[kind] == nil {
				result[kind] = new(pair)
			}
			result[kind].add(p)
		}
	}
	return result
}

// evidence says why a version is suspected.
type evidence struct {
	level  suspicion
	reason string
	// kind is the kind of request, 0 for all together.
	kind uint32
	// loaded is true if the targets were at full load.
	loaded bool
	// The numbers describe the new and the old version.
	requests, failures, requestsOld, failuresOld float64
}

// judge compares the versions over the last seconds, and since the order, by kind and over all kinds. A version that is bad
// on one route only shows in its kind, one that is bad everywhere under little traffic in the sum of the kinds. tested is true
// at the end of a test at full load.
func (h *history) judge(now time.Time, margin float64, tested bool) evidence {
	h.advance(now)
	var worst evidence
	for i, window := range []map[uint32]*pair{h.last(shortSlots), h.last(slots), h.total} {
		margin := margin
		switch i {
		case 0:
			// Within two seconds a disturbed target of a good version may serve many of its requests.
			margin = math.Inf(1)
		case 1:
			margin *= slowWindowMargin
		}
		var all sums
		for kind, p := range window {
			reference := &p.older
			if reference.requests < referenceMin {
				// The old version gets few requests at the end of a rollout.
				reference = &h.total[kind].older
			}
			worst = worse(worst, kind, reference, &p.newer, margin)
			all.add(&p.newer)
		}
		if len(window) > 1 {
			worst = worse(worst, 0, mixed(window, h.total), &all, margin)
		}
	}
	return h.loaded.judge(worst, tested)
}

// mixed returns the sum of the old version with the kinds in the proportions of the new version, so that a different mix of
// kinds is no difference between the versions. No response counts more than once.
func mixed(window, total map[uint32]*pair) *sums {
	references := make(map[uint32]*sums)
	scale := math.Inf(1)
	for kind, p := range window {
		reference := &p.older
		if reference.requests < referenceMin {
			reference = &total[kind].older
		}
		if reference.requests > 0 && p.newer.requests > 0 {
			references[kind] = reference
			scale = min(scale, reference.requests/p.newer.requests)
		}
	}
	var result sums
	for kind, reference := range references {
		result.addScaled(reference, scale*window[kind].newer.requests/reference.requests)
	}
	return &result
}

func worse(worst evidence, kind uint32, older, newer *sums, margin float64) evidence {
	level, reason := compare(older, newer, margin)
	if level <= worst.level {
		return worst
	}
	return evidence{
		level: level, reason: reason, kind: kind, requests: newer.requests, failures: newer.failures,
		requestsOld: older.requests, failuresOld: older.failures,
	}
}
