package rollout

import (
	"math"

	"wagtailford.example/server/protocol/wire"
)

const (
	// speedResponses is the number of responses at which half of the measured speed of a target is believed.
	speedResponses = 8
	// speedsMax bounds the targets whose speed is measured.
	speedsMax = 1024
	// speedCentre is the bucket of a response that takes as long as the median of its kind.
	speedCentre = timeBuckets / 2
)

// speeds are the response times of the targets in relation to others. Targets of one version differ in speed by a factor of up
// to 3, as much as a bad version from a good one. So every target is compared with itself: the times of each are divided by its
// median, which a version that is slow in a part of its responses changes little.
type speeds map[uint32]*speed

// speed holds the response times of one target in buckets, in relation to the median of each kind at the old version.
type speed struct {
	times sums
	shift int
}

// add takes over the response times of a target, and returns the number of buckets by which the target is slower than the
// others. reference are the outcomes of the kind at the old version, already corrected.
func (s speeds) add(c *wire.RolloutCounts, reference *sums) int {
	if len(c.Times) == 0 || reference.responses() < slowReferenceMin {
		return 0
	}
	t := s[c.Target]
	if t == nil {
		if len(s) >= speedsMax {
			return 0
		}
		t = &speed{}
		s[c.Target] = t
	}
	t.times.addCounts(c, reference.quantile(0.5)-speedCentre)
	n := t.times.responses()
	t.shift = int(math.Round(float64(t.times.quantile(0.5)-speedCentre) * n / (n + speedResponses)))
	return t.shift
}
