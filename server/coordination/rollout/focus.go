package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// focusPart is the part of the new targets that is tested at full load at a time, at least one target. It decides about
	// the number of responses within the rollback time, which begins in the first second of a test of a slow version.
	focusPart = 0.375
	// focusShareMax is the largest share of a test at full load: services with fewer targets reach full load only in the
	// last steps.
	focusShareMax = 0.4
	// focusResponses is the number of responses of one test, focusResponsesMin the least one for which there are tests.
	// focusTime is the duration that a test has at least if the exposure allows it, focusTimeMin the least one. A test
	// without a clear result is made longer by focusExtension.
	focusResponses    = 1400
	focusResponsesMin = 400
	focusTime         = 5300 * time.Millisecond
	focusExtension    = 1600 * time.Millisecond
	focusTimeMin      = 2 * time.Second
	// focusExposure is the part of the exposure up to which a test may begin.
	focusExposure = 0.9
	// focusExtra is the part of the exposure for tests beyond what the time of proving uses.
	focusExtra = 0.2
	// focusBudget is the part of the requests before the last steps that one test may take.
	focusBudget = 0.85
	// restPart is the part of the share of levelProve that applies after a test.
	restPart = 0.3
)

// focus is the test of some targets of the new version at full load. A version may be bad only at full load, which all its
// targets together reach when they get all requests. One of n targets reaches it with 1/n of them.
type focus struct {
	// possible is true if the service has enough targets and the share of the time of proving does not load them already.
	possible bool
	active   bool
	// targets are the nodes that get all requests of the new version, until is when the test ends.
	targets []string
	until   time.Time
	// extended is true if the test was made longer.
	extended bool
	share    float64
	// tests is the number of tests that have begun.
	tests int
	// tested are the targets of this and earlier tests, with the time until which reports may have responses of the test.
	tested map[uint32]time.Time
}

// inFocus reports whether responses of a target may come from a test at full load.
func (d *Decider) inFocus(now time.Time) func(target uint32) bool {
	return func(target uint32) bool { return now.Before(d.focus.tested[target]) }
}

// focusGranted reports whether nodes may apply the share of the test: it has to be in the store first.
func (d *Decider) focusGranted() bool {
	return d.focus.active && d.isStored() && d.stored.Share >= d.focus.share
}

// steerFocus begins and ends tests at full load.
func (d *Decider) steerFocus(now time.Time, elapsed time.Duration, fleet Fleet) {
	f := &d.focus
	shareOf := func(count int) float64 {
		return math.Floor(1000*float64(count)/float64(max(fleet.OldTargets, fleet.NewTargets, 1))) / 1000
	}
	rate := float64(d.total()) / elapsed.Seconds()
	expected := rate * d.plan.ramp.Seconds()
	budget := d.intended(expected) + focusExtra*d.settings.ExposureShare*expected
	least := focusTimeMin + 2*d.interval
	count := max(1, int(focusPart*float64(fleet.NewTargets)))
	for count > 1 && shareOf(count)*rate*focusTime.Seconds() > budget*focusBudget {
		// Fewer targets for a longer time.
		count--
	}
	share := shareOf(count)
	fits := f.tests > 0 || budget*focusBudget > max(focusResponsesMin, share*rate*least.Seconds())
	// Responses of targets with less than loadedPart of the load of an old one are not compared.
	counted := float64(fleet.OldTargets) >= loadedPart*float64(fleet.NewTargets)
	f.possible = fits && counted && share <= focusShareMax && share > proveExposure*d.settings.ExposureShare && min(fleet.OldTargets, fleet.NewTargets) > 1
	if f.active {
		if !now.Before(f.until) && !f.extended && d.history.loaded.doubtful() {
			f.extended, f.until = true, now.Add(focusExtension)
		}
		gone := slices.ContainsFunc(f.targets, func(node string) bool { return !slices.Contains(fleet.New, node) })
		if gone || !f.possible || (!now.Before(f.until) && d.evidence.level == unsuspected) {
			d.reason = "end of the test at full load"
			d.endFocus(now)
		}
		return
	}
	early := elapsed < d.plan.prove/2 || d.level < levelHalf
	if !f.possible || early || d.level > levelProve || d.evidence.level != unsuspected || !d.isStored() ||
		(!d.suspectedAt.IsZero() && now.Sub(d.suspectedAt) < suspicionHold) {
		return
	}
	rest := restPart * proveExposure * d.settings.ExposureShare * rate * (d.plan.ramp - elapsed).Seconds()
	left := (budget - float64(d.sumNew) - rest) / (share * rate)
	length := max(focusResponses/(share*rate), focusTime.Seconds())
	length = min(length, left, (d.plan.ramp - elapsed).Seconds())
	if length < least.Seconds() || float64(d.sumNew)+share*rate*length > focusExposure*d.allowance() {
		return
	}
	d.beginFocus(now, time.Duration(length*float64(time.Second)), share, count, fleet)
}

func (d *Decider) beginFocus(now time.Time, length time.Duration, share float64, count int, fleet Fleet) {
	f := &d.focus
	// Rendezvous order, so that the targets do not depend on names that have an order, like those of one failure domain.
	hash := func(node string) uint64 { return xxhash.Sum64String(d.record.Service + "\x00" + node) }
	order := slices.SortedFunc(slices.Values(fleet.New), func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
	f.targets = nil
	for i := range count {
		f.targets = append(f.targets, order[(f.tests*count+i)%len(order)])
	}
	f.tests++
	if f.tested == nil {
		f.tested = make(map[uint32]time.Time)
	}
	f.active, f.extended, f.until, f.share = true, false, now.Add(length), share
	for _, node := range f.targets {
		f.tested[targetHash(node)] = now.Add(math.MaxInt64)
	}
	d.reason = "test at full load"
	d.step++
}

// endFocus ends the test at full load if there is one.
func (d *Decider) endFocus(now time.Time) {
	f := &d.focus
	if !f.active {
		return
	}
	for _, node := range f.targets {
		f.tested[targetHash(node)] = now.Add(newsTTL)
	}
	f.active, f.targets = false, nil
	d.step++
}
