package routing

import (
	"time"

	"wagtailford.example/server/state/endpoint"
)

const (
	// defaultSlots applies to an entry that announces none.
	defaultSlots = 18
	// busyLoad is the load, in parts of the slots, from which a farther target is preferred to a near one. It is
	// below 1 because the slot use that a target reported is older than its answer's way back.
	busyLoad = 0.8
	// reportedMaxAge is how long a reported slot use counts. Without a limit a target that reported full slots
	// would lose every comparison and never get the request that corrects the report.
	reportedMaxAge = time.Second
	// coldMin is the smallest share of a fresh target, so that it gets requests to warm up with.
	coldMin = 0.1
	// drawsMax limits the repeated draws when cold targets are passed over.
	drawsMax = 4
)

// Settings are the settings of target selection.
type Settings struct {
	// EjectFailures is the number of consecutive failures after which a target is ejected.
	EjectFailures int
	EjectTime     time.Duration
	SlowStart     time.Duration
	// PanicFraction is the part of a service's targets below which verdicts are not trusted.
	PanicFraction float64
	// TrackedMax limits the nodes that a Tracker keeps observations of.
	TrackedMax int
}

// DefaultSettings are the defaults of the settings file.
func DefaultSettings() Settings {
	return Settings{
		EjectFailures: 3,
		EjectTime:     5 * time.Second,
		SlowStart:     10 * time.Second,
		PanicFraction: 0.5,
		TrackedMax:    4096,
	}
}

// NodeStats is what this node observed of another one. Times are Unix milliseconds.
type NodeStats struct {
	// Outstanding are this node's requests without a response.
	Outstanding int
	// InUse and Queued are the last reported slots in use and queue length, ReportedMS the time of the report.
	InUse, Queued int
	ReportedMS    int64
	// LinkWait is the time for which bodies occupied the node's link at the time of the report.
	LinkWait time.Duration
	// Others are the requests of other nodes at the target at the time of the report.
	Others int
	// ServiceTime is the service time that the target's node stated for the kind of request that is asked about; 0 if it
	// stated none.
	ServiceTime time.Duration
	// FullUntilMS is until when the node counts as full for that kind of request, because it refused one; 0 if it does
	// not.
	FullUntilMS int64
	// Faults is the moving share of attempts that failed or were shed by the target, at FaultsMS.
	Faults   float64
	FaultsMS int64
	// Failures are consecutive failures.
	Failures int
	// EjectedUntilMS is the end of the ejection; 0 if the node is not ejected.
	EjectedUntilMS int64
	// Probing is true while the one request that tests an ejected node is outstanding.
	Probing bool
}

// Usable reports whether a node takes a request: it is not ejected, or its ejection is over and no probe is out.
func (s NodeStats) Usable(nowMS int64) bool {
	if s.EjectedUntilMS == 0 {
		return true
	}
	return nowMS >= s.EjectedUntilMS && !s.Probing
}

// Load is the work of a target in parts of its slots; a cold target has fewer slots.
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
	return work / (float64(slots) * warmth(e, nowMS, settings.SlowStart))
}

// warmth rises from coldMin at the start of a target to 1 at the end of its slow start.
func warmth(e *endpoint.Entry, nowMS int64, slowStart time.Duration) float64 {
	age := nowMS - e.StartedMS
	if slowStart <= 0 || e.StartedMS == 0 || age >= slowStart.Milliseconds() {
		return 1
	}
	return max(coldMin, float64(age)/float64(slowStart.Milliseconds()))
}

// Locality says where the choosing node is.
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

func (p Locality) tier(e *endpoint.Entry) int {
	switch {
	case e.FailureDomain == p.FailureDomain && e.Region == p.Region:
		return tierDomain
	case e.Region == p.Region:
		return tierRegion
	default:
		return tierAnywhere
	}
}

// Choice is the input of Choose.
type Choice struct {
	Candidates []*endpoint.Entry
	// NearCount is the number of candidates of the own failure domain, which come first. Only Cheapest uses it.
	NearCount int
	// Stat returns this node's observations of a node.
	Stat func(node string) NodeStats
	// DomainFull reports whether another failure domain is known to be full; nil if that is not known of any.
	DomainFull func(domain string) bool
	// Exclude are nodes that failed this request already; they are used only if no other candidate remains.
	Exclude  map[string]bool
	Locality Locality
	NowMS    int64
	Settings Settings
	// Random returns uniform values.
	Random func() uint64
}

// Choose returns the target of a request, or nil if there is no candidate: the better of two random choices
// in the nearest tier that is not busy. Ejected candidates are used only if every candidate is ejected.
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

// nearest moves on to the next tier while the choice is busy, and returns the least busy one if all are.
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

// draw returns a random entry other than not. A cold entry is passed over with a probability that falls as it
// warms up, because an idle cold target would otherwise get a full share.
func (c *Choice) draw(tier []*endpoint.Entry, not *endpoint.Entry) *endpoint.Entry {
	var e *endpoint.Entry
	for range drawsMax {
		e = pickOther(tier, not, c.Random())
		share := float64(c.Random()>>11) / (1 << 53)
		if share < warmth(e, c.NowMS, c.Settings.SlowStart) {
			return e
		}
	}
	return e
}

func pickOther(tier []*endpoint.Entry, not *endpoint.Entry, random uint64) *endpoint.Entry {
	if not == nil {
		return tier[random%uint64(len(tier))]
	}
	i := int(random % uint64(len(tier)-1))
	if tier[i] == not {
		return tier[len(tier)-1]
	}
	return tier[i]
}
