package routing

import (
	"math"
	"time"

	"wagtailford.example/server/state/endpoint"
)

// Verdict says how a policy treats a candidate.
type Verdict uint8

// Verdicts on a candidate.
const (
	// Compared means that the candidate is compared with the others by its rank.
	Compared Verdict = iota
	// Ejected means that it is used only if no other candidate is compared.
	Ejected
	// Tried means that the request was sent there before.
	Tried
	// Leaving means that the target said that it leaves.
	Leaving
	// Full means that the node refused a request of the kind lately, DomainFull that several of its failure domain did.
	Full
	DomainFull
	// Unreached means that the node accepted no requests lately, which rules it out after the first attempt.
	Unreached
	// Farther means that candidates of the own failure domain suffice, NotSampled that enough candidates of other domains
	// come before it.
	Farther
	NotSampled
)

// String returns the reason for which a candidate is excluded; empty if it is compared.
func (v Verdict) String() string {
	switch v {
	case Compared:
		return ""
	case Ejected:
		return "ejected"
	case Tried:
		return "tried"
	case Leaving:
		return "target_leaves"
	case Full:
		return "full"
	case DomainFull:
		return "domain_full"
	case Unreached:
		return "unreachable"
	case Farther:
		return "nearer_suffices"
	case NotSampled:
		return "not_sampled"
	default:
		return "unknown"
	}
}

// isCompared reports whether the candidate was rated, be it as a fallback.
func (v Verdict) isCompared() bool { return v == Compared || v == Ejected }

// Rating is what a policy knows and expects of a candidate.
type Rating struct {
	Verdict Verdict
	// Rank is what candidates are compared by, without its random variation, RankMin and RankMax its range with it.
	Rank, RankMin, RankMax time.Duration
	// Expected is the expected time to a response with all penalties, Wait the part of it before the request starts.
	Expected, Wait time.Duration
	// Slots is the number of slots assumed, FreeSlots the estimate of the free ones now.
	Slots     int
	FreeSlots float64
	// ReportAge is the age of the latest report of the node; negative if there is none.
	ReportAge time.Duration
	// FullFor is how long the node counts as full for the kind, EjectedFor how long it is ejected; 0 if it is not.
	FullFor, EjectedFor time.Duration
	// MayBeFirst is true if the policy may select the candidate, depending on the random variation.
	MayBeFirst bool
}

// Draws at the middle and at the ends of the random variation.
const (
	middleDraw uint64 = 1 << 63
	lowestDraw uint64 = 0
	topDraw    uint64 = math.MaxUint64
)

// Explain returns the selection of Choose without random variation, and the ratings of all candidates by node. It draws
// nothing from c.Random.
func (p Policy) Explain(c *Choice, d Demand, w CostWeights, self string) (Selection, map[string]*Rating) {
	own := *c
	own.Random = func() uint64 { return middleDraw }
	own.verdicts = make(map[string]Verdict, len(c.Candidates))
	selection := own.choose(p.model, d, w, self)
	near, remote := c.Candidates[:c.NearCount], c.Candidates[c.NearCount:]
	own.explainRemote(p.model, remote, d, w, self)
	ratings := make(map[string]*Rating, len(c.Candidates))
	for _, e := range c.Candidates {
		ratings[e.Node] = own.explain(p.model, e, d, w, self)
	}
	threshold := time.Duration(math.MaxInt64)
	if len(remote) > 0 {
		away := own.distanceCost(remote[0], d, w, self)
		threshold = away + p.model.extraDistance(away, d)
	}
	markFirst(ratings, near, remote, threshold)
	return selection, ratings
}

// explainRemote completes the verdicts on the candidates in other failure domains, of which a choice looks at no more than it
// needs.
func (c *Choice) explainRemote(m *costModel, remote []*endpoint.Entry, d Demand, w CostWeights, self string) {
	if len(remote) == 0 {
		return
	}
	if _, looked := c.verdicts[remote[0].Node]; !looked {
		c.considerRemote(m, &bestCandidates{}, remote, d, w, self)
		for _, e := range remote {
			if v, sampled := c.verdicts[e.Node]; sampled && v == Compared {
				c.verdicts[e.Node] = Farther
			}
		}
	}
	for _, e := range remote {
		if _, sampled := c.verdicts[e.Node]; !sampled {
			c.verdicts[e.Node] = NotSampled
		}
	}
}

// explain rates a candidate by the functions of the choice.
func (c *Choice) explain(m *costModel, e *endpoint.Entry, d Demand, w CostWeights, self string) *Rating {
	s := c.Stat(e.Node)
	rateAt := func(draw uint64) rating {
		at := *c
		at.Random = func() uint64 { return draw }
		return at.rate(m, e, s, d, w, self)
	}
	middle := rateAt(middleDraw)
	slots := e.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	others := m.others(s, c.NowMS, s.estimatedServiceTime())
	r := &Rating{
		Verdict: c.verdicts[e.Node], Rank: middle.rank, Expected: middle.cost, Wait: middle.wait,
		RankMin: rateAt(lowestDraw).rank, RankMax: rateAt(topDraw).rank,
		Slots:      slots,
		FreeSlots:  max(float64(slots)-others-float64(s.Outstanding), 0),
		ReportAge:  -1,
		FullFor:    max(time.Duration(s.FullUntilMS-c.NowMS)*time.Millisecond, 0),
		EjectedFor: max(time.Duration(s.EjectedUntilMS-c.NowMS)*time.Millisecond, 0),
	}
	if s.ReportedMS != 0 {
		r.ReportAge = max(time.Duration(c.NowMS-s.ReportedMS)*time.Millisecond, 0)
	}
	return r
}

// markFirst marks the candidates that some random variation puts first. Those of other failure domains are compared only if
// the best near one ranks above the threshold.
func markFirst(ratings map[string]*Rating, near, remote []*endpoint.Entry, threshold time.Duration) {
	lowestMax := func(list []*endpoint.Entry, verdicts ...Verdict) time.Duration {
		lowest := time.Duration(math.MaxInt64)
		for _, e := range list {
			for _, v := range verdicts {
				if r := ratings[e.Node]; r.Verdict == v {
					lowest = min(lowest, r.RankMax)
				}
			}
		}
		return lowest
	}
	nearMax, remoteMax := lowestMax(near, Compared), lowestMax(remote, Compared, Farther)
	for _, e := range near {
		r := ratings[e.Node]
		r.MayBeFirst = r.Verdict == Compared && r.RankMin <= nearMax && (r.RankMin <= threshold || r.RankMin <= remoteMax)
	}
	for _, e := range remote {
		r := ratings[e.Node]
		r.MayBeFirst = (r.Verdict == Compared || r.Verdict == Farther) && nearMax > threshold && r.RankMin <= min(nearMax, remoteMax)
	}
	if nearMax != math.MaxInt64 || remoteMax != math.MaxInt64 {
		return
	}
	ejectedMax := min(lowestMax(near, Ejected), lowestMax(remote, Ejected))
	for _, r := range ratings {
		r.MayBeFirst = r.Verdict == Ejected && r.RankMin <= ejectedMax
	}
}
