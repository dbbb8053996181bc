package routing

import (
	"time"

	"wagtailford.example/server/state/endpoint"
)

const (
	// defaultSlots is the number of slots assumed for an entry that announces none.
	defaultSlots = 18
	// busyLoad is the load, as a fraction of the slots, from which a target in a more distant tier is preferred. It is
	// below 1 because reported slot usage is already outdated when the response that carries it arrives.
	busyLoad = 0.8
	// reportedMaxAge limits how long reported slot usage counts. Without a limit, a target that reported full slots
	// would lose every comparison and never get the request whose response corrects the report.
	reportedMaxAge = time.Second
	// slowStartFactorMin is the minimum slow-start factor, so that a new target gets requests to warm up with.
	slowStartFactorMin = 0.1
	// drawsMax limits the repeated draws when targets in slow start are skipped.
	drawsMax = 4
)

// Settings configures target selection.
type Settings struct {
	// EjectFailures is the number of consecutive failures after which a target is ejected.
	EjectFailures int
	EjectTime     time.Duration
	SlowStart     time.Duration
	// PanicFraction is the alive fraction of a service's targets below which failure detection is not trusted.
	PanicFraction float64
	// TrackedMax limits the number of nodes for which a Tracker keeps statistics.
	TrackedMax int
}

// DefaultSettings returns the defaults of the settings file.
func DefaultSettings() Settings {
	return Settings{
		EjectFailures: 3,
		EjectTime:     5 * time.Second,
		SlowStart:     10 * time.Second,
		PanicFraction: 0.5,
		TrackedMax:    4096,
	}
}

// NodeStats holds what this node observed of another node. Times are Unix milliseconds.
type NodeStats struct {
	// Outstanding is the number of requests from this node that have no response yet.
	Outstanding int
	// InUse and Queued are the last reported slots in use and queue length; ReportedMS is the time of that report.
	InUse, Queued int
	ReportedMS    int64
	// LinkWait is the time, as of the report, for which body transfers will occupy the node's link.
	LinkWait time.Duration
	// OtherRequests is the number of requests from other nodes at the target, as of the report.
	OtherRequests int
	// UsualOthers is the moving average of OtherRequests over the reports of the node, MeanOthers that over all nodes that
	// reported on the requested kind.
	UsualOthers, MeanOthers float64
	// ServiceTime is the estimated service time for the requested kind of requests; 0 if nothing is known of the kind.
	ServiceTime time.Duration
	// FullUntilMS is the time until which the node counts as full for the requested kind, because it refused a request
	// of that kind; 0 if it does not.
	FullUntilMS int64
	// FaultRate is the moving average, as of FaultRateMS, of the fraction of attempts that failed or were shed by the
	// target.
	FaultRate   float64
	FaultRateMS int64
	// Failures is the number of consecutive failures.
	Failures int
	// EjectedUntilMS is the end of the ejection; 0 if the node is not ejected.
	EjectedUntilMS int64
	// Probing is true while the single probe request to an ejected node is outstanding.
	Probing bool
	// Unreachable is true if the latest attempt found that the node accepts no requests.
	Unreachable bool
	TargetCondition
}

// Usable reports whether a node may get a request: it is not ejected, or its ejection has ended and no probe is
// outstanding.
func (s NodeStats) Usable(nowMS int64) bool {
	if s.EjectedUntilMS == 0 {
		return true
	}
	return nowMS >= s.EjectedUntilMS && !s.Probing
}

// Load returns the load of a target as a fraction of its slots. A target in slow start counts with fewer slots.
func Load(e *endpoint.Entry, s NodeStats, nowMS int64, settings Settings) float64 {
	slots := e.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	work := float64(s.Outstanding)
	if age := nowMS - s.ReportedMS; age < reportedMaxAge.Milliseconds() {
		remaining := 1 - float64(age)/float64(reportedMaxAge.Milliseconds())
		work += float64(s.InUse+s.Queued) * min(remaining, 1)
	}
	return work / (float64(slots) * slowStartFactor(e, nowMS, settings.SlowStart))
}

// slowStartFactor returns the slow-start factor of a target, which rises from slowStartFactorMin at its start to 1 at
// the end of its slow start.
func slowStartFactor(e *endpoint.Entry, nowMS int64, slowStart time.Duration) float64 {
	age := nowMS - e.StartedMS
	if slowStart <= 0 || e.StartedMS == 0 || age >= slowStart.Milliseconds() {
		return 1
	}
	return max(slowStartFactorMin, float64(age)/float64(slowStart.Milliseconds()))
}

// Locality is the failure domain and region of the node that selects a target.
type Locality struct {
	FailureDomain string
	Region        string
}

// Tiers of distance, nearest first.
const (
	tierDomain = iota
	tierRegion
	tierAnywhere
	tiers
)

func (l Locality) tier(e *endpoint.Entry) int {
	switch {
	case e.FailureDomain == l.FailureDomain && e.Region == l.Region:
		return tierDomain
	case e.Region == l.Region:
		return tierRegion
	default:
		return tierAnywhere
	}
}

// Choice is the input of Choose and ChooseLowestCost.
type Choice struct {
	Candidates []*endpoint.Entry
	// NearCount is the number of candidates in the node's own failure domain, which come first. Only ChooseLowestCost
	// uses it.
	NearCount int
	// Stat returns this node's statistics of a node.
	Stat func(node string) NodeStats
	// DomainFull reports whether another failure domain is known to be full. It may be nil, which means that none is.
	DomainFull func(domain string) bool
	// Exclude holds the nodes that already failed this request. Choose uses them only if no other candidate remains;
	// ChooseLowestCost never does.
	Exclude  map[string]bool
	Locality Locality
	NowMS    int64
	Settings Settings
	// Random returns uniformly distributed values.
	Random func() uint64
	// verdicts takes the verdicts on the candidates if it is not nil. Only Policy.Explain uses it.
	verdicts map[string]Verdict
}

// Choose returns the target of a request, or nil if there is no candidate. It takes the less loaded of two random
// candidates in the nearest tier whose choice is not busy. Ejected candidates are used only if every candidate is
// ejected.
func Choose(c *Choice) *endpoint.Entry {
	var usable, ejected, excluded [tiers][]*endpoint.Entry
	for _, e := range c.Candidates {
		tier := c.Locality.tier(e)
		switch {
		case c.Exclude[e.Node]:
			excluded[tier] = append(excluded[tier], e)
		case c.Stat(e.Node).Usable(c.NowMS):
			usable[tier] = append(usable[tier], e)
		default:
			ejected[tier] = append(ejected[tier], e)
		}
	}
	for _, set := range [...][tiers][]*endpoint.Entry{usable, ejected, excluded} {
		if e := c.nearest(set); e != nil {
			return e
		}
	}
	return nil
}

// nearest tries the tiers in order of distance until the choice in one is not busy. If all are busy it returns the
// least loaded.
func (c *Choice) nearest(set [tiers][]*endpoint.Entry) *endpoint.Entry {
	var best *endpoint.Entry
	var bestLoad float64
	for _, tier := range set {
		if len(tier) == 0 {
			continue
		}
		e, load := c.betterOfTwo(tier)
		if load < busyLoad {
			return e
		}
		if best == nil || load < bestLoad {
			best = e
			bestLoad = load
		}
	}
	return best
}

func (c *Choice) betterOfTwo(tier []*endpoint.Entry) (*endpoint.Entry, float64) {
	first := c.draw(tier, nil)
	firstLoad := Load(first, c.Stat(first.Node), c.NowMS, c.Settings)
	if len(tier) == 1 {
		return first, firstLoad
	}
	second := c.draw(tier, first)
	secondLoad := Load(second, c.Stat(second.Node), c.NowMS, c.Settings)
	if secondLoad < firstLoad {
		return second, secondLoad
	}
	return first, firstLoad
}

// draw returns a random entry other than not. An entry in slow start is skipped with a probability that falls as its
// slow-start factor rises, because an idle target would otherwise get a full share at once.
func (c *Choice) draw(tier []*endpoint.Entry, not *endpoint.Entry) *endpoint.Entry {
	var e *endpoint.Entry
	for range drawsMax {
		e = drawOther(tier, not, c.Random())
		share := float64(c.Random()>>11) / (1 << 53)
		if share < slowStartFactor(e, c.NowMS, c.Settings.SlowStart) {
			return e
		}
	}
	return e
}

func drawOther(tier []*endpoint.Entry, not *endpoint.Entry, random uint64) *endpoint.Entry {
	if not == nil {
		return tier[random%uint64(len(tier))]
	}
	i := int(random % uint64(len(tier)-1))
	if tier[i] == not {
		return tier[len(tier)-1]
	}
	return tier[i]
}
