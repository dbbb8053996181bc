package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"wagtailford.example/server/protocol/wire"
)

const (
	// loadedPart is the least load of a target, in relation to the one that it has with all requests at its version, from
	// which its responses are compared as those at full load.
	loadedPart = 0.6
	// A period lasts at least periodMin and until a target at full load has periodResponses responses, at most periodMax.
	periodResponses = 40
	periodMin       = 250 * time.Millisecond
	periodMax       = 3 * time.Second
	// periodKindMin is the least number of responses to a kind in a period that says something of the kind.
	periodKindMin = 3
	// referencePeriods is the number of periods of old targets with which one of a new target is compared, and
	// referencePeriodsMin the least one.
	referencePeriods    = 1000
	referencePeriodsMin = 40
	// scoreMax bounds a score, in standard deviations, and loadedPeriodsMin and loadedResponsesMin are the least
	// numbers of scores and of their responses that are compared.
	scoreMax           = 5
	loadedPeriodsMin   = 12
	loadedResponsesMin = 200
	// deviationMin is the least deviation for one response: times that are all in one bucket would give none.
	deviationMin = 0.02
	// loadedExcess is the least mean score.
	loadedExcess = 0.25
	// shapeShiftMax bounds the speed of a target in a period, in buckets.
	shapeShiftMax = 8
	// shapeFloor is the part of a bucket that had no response.
	shapeFloor = 0.0005
	// slowPart is the part of slow responses for which periods are searched, slowShiftLow and slowShiftHigh how much slower
	// they are, in buckets: 3 and 5 times.
	slowPart      = 0.3
	slowShiftLow  = 5
	slowShiftHigh = 7
)

// loadedLimits are limits of the mean score, in its own standard deviations. The one for the end of a test is applied once,
// not at any time. In replays of 240 good versions at 700 requests/s, 3 had a value of 2.4 or more at the end of a test for all
// kinds together. The scores for one of four kinds have a longer tail: the largest value was 3.36.
type loadedLimits struct{ suspected, convicted, tested float64 }

var (
	limitsOfAll  = loadedLimits{suspected: 3.7, convicted: 4.3, tested: 2.7}
	limitsOfKind = loadedLimits{suspected: 4.2, convicted: 4.8, tested: 3.5}
)

// loadedDoubtful is the value for all kinds together from which a test is made longer.
const loadedDoubtful = 1.7

// loadedHistory compares targets at full load. The response times of one target in a period have a score: how much better
// they are explained if a part of the responses is slow than by the distribution of the old version, each at the speed of the
// target that fits best. So a target that is slower as a whole, always or for some tenths of a second, has no higher score
// unless its speed changes within the period, and this is as frequent at the targets of the old version. The mean score
// of the new version is compared with the scores of the old one.
type loadedHistory struct {
	// oldTargets is the number of targets of the old version.
	oldTargets int
	began      time.Time
	period     map[periodKey]*targetPeriod
	responses  float64
	slot       int64
	// shapes are the response times of the old version by kind, in relation to the median of the kind. Each target is
	// corrected for its speed in the period.
	shapes map[uint32]*sums
	// all are the scores for all kinds together, kinds those of one kind; 0 are the kinds beyond kindsMax.
	all   loadedKind
	kinds map[uint32]*loadedKind
}

// periodKey identifies a target. Its node may get a target of the other version within a period.
type periodKey struct {
	target uint32
	newer  bool
}

func (k periodKey) compare(o periodKey) int {
	return cmp.Or(cmp.Compare(k.target, o.target), compareBool(k.newer, o.newer))
}

// targetPeriod are the response times of one target in a period, by kind and in relation to the median of the kind.
type targetPeriod struct {
	newer bool
	kinds map[uint32]*sums
	all   sums
}

// loadedKind are the scores for one kind, or for all kinds.
type loadedKind struct {
	// older are the latest scores of the old version, from next on the oldest ones.
	older []periodScore
	next  int
	// mean and deviation are those of the old version for one response. The score of a period is a sum over its responses,
	// so its mean increases with their number and its deviation with the square root.
	mean, deviation float64
	// recent are the scores of the new version in the last slots, in standard deviations of the old one.
	recent [slots]scores
	total  scores
}

// periodScore is the score of a target of the old version in a period, of a number of responses.
type periodScore struct{ score, responses float64 }

// scores are the number and the sum of scores, and the number of responses.
type scores struct{ n, sum, responses float64 }

func (s *scores) add(o scores) {
	s.n += o.n
	s.sum += o.sum
	s.responses += o.responses
}

// deviations returns by how many of its standard deviations the mean score of the new version is higher.
func (s *scores) deviations() float64 {
	if s.n < loadedPeriodsMin || s.responses < loadedResponsesMin || s.sum < loadedExcess*s.n {
		return 0
	}
	return s.sum / math.Sqrt(s.n)
}

// refresh updates the mean and the deviation of the scores of the old version.
func (k *loadedKind) refresh() {
	var sum, responses, squares float64
	for _, s := range k.older {
		sum += s.score
		responses += s.responses
	}
	k.mean = sum / max(responses, 1)
	for _, s := range k.older {
		difference := s.score - k.mean*s.responses
		squares += difference * difference
	}
	k.deviation = max(math.Sqrt(squares/max(responses, 1)), deviationMin)
}

func newLoadedHistory() loadedHistory {
	return loadedHistory{period: make(map[periodKey]*targetPeriod), shapes: make(map[uint32]*sums), kinds: make(map[uint32]*loadedKind)}
}

// add takes over counts. median is the median bucket of the kind at the old version.
func (l *loadedHistory) add(c *wire.RolloutCounts, kind uint32, median int) {
	if c.Target == 0 {
		// Counts of several targets that did not fit into a report.
		for _, n := range c.Times {
			l.responses += float64(n)
		}
		return
	}
	key := periodKey{c.Target, c.New}
	t := l.period[key]
	if t == nil {
		t = &targetPeriod{newer: c.New, kinds: make(map[uint32]*sums)}
		l.period[key] = t
	}
	if t.kinds[kind] == nil {
		t.kinds[kind] = new(sums)
	}
	before := t.all.responses()
	t.kinds[kind].addCounts(c, median-speedCentre)
	t.all.addCounts(c, median-speedCentre)
	l.responses += t.all.responses() - before
}

// advance ends a period that has enough responses.
func (l *loadedHistory) advance(now time.Time) {
	slot := now.UnixMilli() / slotTime.Milliseconds()
	for n := min(slot-l.slot, slots); n > 0; n-- {
		l.all.recent[(slot-n+1)%slots] = scores{}
		for _, k := range l.kinds {
			k.recent[(slot-n+1)%slots] = scores{}
		}
	}
	l.slot = max(l.slot, slot)
	age := now.Sub(l.began)
	full := l.responses / float64(max(l.oldTargets, 1))
	if age < periodMin || (full < periodResponses && age < periodMax) {
		return
	}
	shapes := l.logShapes()
	for _, newer := range []bool{false, true} {
		l.all.refresh()
		for _, k := range l.kinds {
			k.refresh()
		}
		// In a fixed order: when the scores of the old version are full, it decides which ones are replaced.
		for _, target := range slices.SortedFunc(maps.Keys(l.period), periodKey.compare) {
			t := l.period[target]
			if t.newer == newer && t.all.responses() >= loadedPart*full {
				l.end(t, shapes)
			}
		}
	}
	l.period, l.responses, l.began = make(map[periodKey]*targetPeriod), 0, now
}

// shape are the logarithms of the probabilities of the buckets, without and with slow responses.
type shape struct{ usual, slow [timeBuckets]float64 }

func (l *loadedHistory) logShapes() map[uint32]*shape {
	result := make(map[uint32]*shape)
	for kind, s := range l.shapes {
		n := s.responses()
		if n < referenceMin {
			continue
		}
		p := func(i int) float64 {
			if i < 0 {
				return shapeFloor
			}
			return (s.times[i]/n + shapeFloor) / (1 + timeBuckets*shapeFloor)
		}
		r := new(shape)
		for i := range timeBuckets {
			r.usual[i] = math.Log(p(i))
			r.slow[i] = math.Log((1-slowPart)*p(i) + slowPart/2*(p(i-slowShiftLow)+p(i-slowShiftHigh)))
		}
		result[kind] = r
	}
	return result
}

// likelihoods are those of the response times of a target for each of its possible speeds.
type likelihoods [2*shapeShiftMax + 1]float64

func (l *likelihoods) best() float64 { return slices.Max(l[:]) }

// end adds the scores of a target in a period.
func (l *loadedHistory) end(t *targetPeriod, shapes map[uint32]*shape) {
	var usual, slow likelihoods
	kinds := make(map[uint32]*likelihoods)
	// In a fixed order: sums of floating-point numbers depend on it.
	for _, kind := range slices.Sorted(maps.Keys(t.kinds)) {
		s := t.kinds[kind]
		shape := shapes[kind]
		if shape == nil {
			continue
		}
		difference := new(likelihoods)
		for i, n := range s.times {
			if n == 0 {
				continue
			}
			for shift := range usual {
				to := min(max(i-shift+shapeShiftMax, 0), timeBuckets-1)
				usual[shift] += n * shape.usual[to]
				slow[shift] += n * shape.slow[to]
				difference[shift] += n * (shape.slow[to] - shape.usual[to])
			}
		}
		if s.responses() >= periodKindMin {
			kinds[kind] = difference
		}
	}
	if len(kinds) > 0 {
		best := usual.best()
		l.all.score(l.slot, t, t.all.responses(), slow.best()-best)
		for kind, difference := range kinds {
			for shift := range difference {
				difference[shift] += usual[shift]
			}
			if l.kinds[kind] == nil {
				l.kinds[kind] = &loadedKind{}
			}
			l.kinds[kind].score(l.slot, t, t.kinds[kind].responses(), difference.best()-best)
		}
	}
	if t.newer {
		return
	}
	n := t.all.responses()
	shift := int(math.Round(float64(t.all.quantile(0.5)-speedCentre) * n / (n + speedResponses)))
	for kind, s := range t.kinds {
		if l.shapes[kind] == nil {
			l.shapes[kind] = new(sums)
		}
		l.shapes[kind].addShifted(s, shift)
	}
}

// score adds the score of a target in a period.
func (k *loadedKind) score(slot int64, t *targetPeriod, responses, score float64) {
	if !t.newer {
		if len(k.older) < referencePeriods {
			k.older = append(k.older, periodScore{score, responses})
			return
		}
		k.older[k.next] = periodScore{score, responses}
		k.next = (k.next + 1) % referencePeriods
		return
	}
	if len(k.older) < referencePeriodsMin {
		return
	}
	r := scores{1, min((score-k.mean*responses)/(k.deviation*math.Sqrt(responses)), scoreMax), responses}
	k.recent[slot%slots].add(r)
	k.total.add(r)
}

// doubtful reports whether more responses may show that the version is slow.
func (l *loadedHistory) doubtful() bool {
	return l.all.total.deviations() >= loadedDoubtful
}

// judge returns the strongest evidence since the order and in the last slots. tested is true at the end of a test.
func (l *loadedHistory) judge(worst evidence, tested bool) evidence {
	worst = l.all.judge(worst, 0, &limitsOfAll, tested)
	for _, kind := range slices.Sorted(maps.Keys(l.kinds)) {
		worst = l.kinds[kind].judge(worst, kind, &limitsOfKind, tested)
	}
	return worst
}

func (k *loadedKind) judge(worst evidence, kind uint32, limits *loadedLimits, tested bool) evidence {
	var last scores
	for i := range k.recent {
		last.add(k.recent[i])
	}
	for _, s := range []*scores{&k.total, &last} {
		level := unsuspected
		switch z := s.deviations(); {
		case z >= limits.convicted, tested && z >= limits.tested:
			level = convicted
		case z >= limits.suspected:
			level = suspected
		}
		if level > worst.level {
			worst = evidence{level: level, reason: "latency", kind: kind, loaded: true, requests: s.responses}
		}
	}
	return worst
}
