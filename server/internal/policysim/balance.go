package policysim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"wagtailford.example/server/coordination/admission"
	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/endpoint"
)

// Balance is a run of nodes that send the requests of one service to uneven and noisy targets in several failure domains.
// Each node is beside one target, and knows the load of a target from the responses to its own requests only.
type Balance struct {
	Policy BalancePolicy
	// Grants lets the nodes of targets grant free slots with their responses.
	Grants bool
	// Backoff lets senders offer less and less to failure domains that refuse, as with the policy even-load.
	Backoff bool
	// Load is the mean share of the capacity that the requests need; demand swings around it by balanceSwing.
	Load       float64
	Targets    int
	DurationMS float64
	Seed       uint64
}

// Sizes of the model. Targets have relative speeds of balanceSpeedMin to balanceSpeedMax, and a share of noiseShare of
// them is slower by noiseFactor for spells of noiseSpellMS.
const (
	balanceSlots      = 9
	balanceQueue      = 300
	balanceDomains    = 3
	balanceServiceMS  = 120.0
	balanceSpread     = 0.5
	balanceTailShare  = 0.03
	balanceTailFactor = 7.0
	balanceSpeedMin   = 0.55
	balanceSpeedMax   = 1.5
	balanceSwing      = 0.55
	balancePeriodMS   = 6_000.0
	balanceObjective  = 400 * time.Millisecond
	balanceTimeout    = 2 * time.Second
	balanceOffersMax  = 4
	balanceBytes      = 1024
	noiseShare        = 0.15
	noiseFactor       = 2.5
	noiseSpellMS      = 600.0
	insideDomainMS    = 0.1
	betweenDomainsMS  = 0.9
	sampleMS          = 20.0
	balanceKind       = 1
)

// balanceWeights are the costs of distance with the defaults of the settings.
var balanceWeights = routing.CostWeights{DomainByteCost: 40 * time.Millisecond, RegionCost: 50 * time.Millisecond}

type balanceRun struct {
	clock
	Balance
	// arrivals draws the requests, random everything else, so that two policies get the same requests.
	arrivals, random *rand.Rand

	perMS   float64
	senders []*balanceSender
	targets []*balanceTarget
	entries []*endpoint.Entry
	index   map[string]int
	lastID  uint64
	measure balanceMeasure
}

type balanceSender struct {
	tracker *routing.Tracker
	domains routing.FullDomains
	// candidates are the targets in the sender's order, near of them in its own failure domain.
	candidates []*endpoint.Entry
	near       int
	// grants are the slots granted by targets, probes the latest responses; only some policies use them.
	grants map[string]*slotGrants
	probes []probe
}

type balanceTarget struct {
	state  *admission.State
	grants slotGrants
	queued map[uint64]*balanceOffer
	speed  float64
	// phaseMS is the offset of the noise spells, slow whether the target is slow in each of them.
	phaseMS float64
	slow    []bool
	// running is the number of running requests, startedMS the sum of their start times.
	running   int
	startedMS float64
}

type balanceRequest struct {
	sender     int
	phase      int
	startedMS  float64
	durationMS float64
	tried      map[string]bool
	waits      routing.WaitLimit
}

// balanceOffer is a request at one target.
type balanceOffer struct {
	*balanceRequest
	target    int
	attempt   routing.Attempt
	granted   bool
	remote    bool
	latencyMS float64
	// heldMS is how long the request holds its slot.
	heldMS, startMS float64
}

// RunBalance plays the requests until all of them have a result.
func RunBalance(p Balance) BalanceReport {
	m := runBalance(p)
	return m.report()
}

func runBalance(p Balance) *balanceMeasure {
	r := &balanceRun{
		Balance: p, arrivals: rand.New(rand.NewPCG(p.Seed, 17)), random: rand.New(rand.NewPCG(p.Seed, 18)),
		index: make(map[string]int),
	}
	layout := rand.New(rand.NewPCG(p.Seed, 19))
	capacity := 0.0
	for i := range p.Targets {
		t := r.addTarget(i, layout)
		capacity += t.speed * balanceSlots * (1 - noiseShare + noiseShare/noiseFactor)
	}
	r.perMS = p.Load * capacity / (balanceServiceMS * (1 - balanceTailShare + balanceTailShare*balanceTailFactor))
	r.measure.arrivals = make([][]int, int(p.DurationMS/burstWindowMS)+1)
	for _, e := range r.entries {
		s := &balanceSender{tracker: routing.NewTracker(routing.DefaultSettings()), grants: make(map[string]*slotGrants)}
		s.domains.Backoff = r.Backoff
		for _, target := range r.entries {
			s.grants[target.Node] = &slotGrants{}
		}
		s.candidates, s.near = routing.OrderByLocality(r.entries, locality(e), e.Node)
		r.senders = append(r.senders, s)
	}
	for i := range r.measure.arrivals {
		r.measure.arrivals[i] = make([]int, p.Targets)
	}
	r.after(0, r.arrive)
	r.after(sampleMS, r.sample)
	r.run()
	return &r.measure
}

func (r *balanceRun) addTarget(i int, layout *rand.Rand) *balanceTarget {
	t := &balanceTarget{
		state:   admission.New(admission.Settings{Slots: balanceSlots, Queue: balanceQueue}),
		queued:  make(map[uint64]*balanceOffer),
		speed:   balanceSpeedMin + (balanceSpeedMax-balanceSpeedMin)*layout.Float64(),
		phaseMS: noiseSpellMS * layout.Float64(),
	}
	for range int(r.DurationMS/noiseSpellMS) + 20 {
		t.slow = append(t.slow, layout.Float64() < noiseShare)
	}
	e := &endpoint.Entry{
		Node: fmt.Sprintf("t%d", i), Slots: balanceSlots, FailureDomain: fmt.Sprintf("d%d", i%balanceDomains), Region: "r",
		Key: endpoint.Key{State: endpoint.Alive, Revision: 1},
	}
	r.index[e.Node] = i
	r.targets, r.entries = append(r.targets, t), append(r.entries, e)
	return t
}

func locality(e *endpoint.Entry) routing.Locality {
	return routing.Locality{FailureDomain: e.FailureDomain, Region: e.Region}
}

func (r *balanceRun) unixMS() int64 { return startMS + int64(r.nowMS) }

func (r *balanceRun) time() time.Time {
	return time.UnixMilli(startMS).Add(time.Duration(r.nowMS * float64(time.Millisecond)))
}

// arrive starts one request and schedules the next one, with exponential gaps at the current demand.
func (r *balanceRun) arrive() {
	if r.nowMS >= r.DurationMS {
		return
	}
	swing := swingAt(r.nowMS)
	r.after(r.arrivals.ExpFloat64()/(r.perMS*(1+swing)), r.arrive)
	duration := balanceServiceMS * math.Exp(balanceSpread*r.arrivals.NormFloat64()-balanceSpread*balanceSpread/2)
	if r.arrivals.Float64() < balanceTailShare {
		duration *= balanceTailFactor
	}
	q := &balanceRequest{
		sender: r.arrivals.IntN(len(r.senders)), startedMS: r.nowMS, durationMS: duration, phase: demandPhase(swing),
		tried: make(map[string]bool),
	}
	r.measure.phases[q.phase].requests++
	r.offer(q)
}

// offer sends a request to the target of its sender's choice.
func (r *balanceRun) offer(q *balanceRequest) {
	s, self := r.senders[q.sender], r.entries[q.sender]
	objective := balanceObjective - time.Duration((r.nowMS-q.startedMS)*float64(time.Millisecond))
	var selection routing.Selection
	s.tracker.WithStats(balanceKind, r.unixMS(), func(statOf func(string) routing.NodeStats) {
		selection = r.Policy(s, &routing.Choice{
			Candidates: s.candidates, NearCount: s.near, Exclude: q.tried, NowMS: r.unixMS(), Locality: locality(self), Stat: statOf,
			DomainFull: func(domain string) bool { return s.domains.IsFull(domain, balanceKind, r.unixMS()) },
			Settings:   routing.DefaultSettings(), Random: r.random.Uint64,
		}, routing.Demand{ExpectedBytes: balanceBytes, Objective: objective}, self)
	})
	if selection.Target == nil && q.waits.Reconsider(q.tried) {
		r.offer(q)
		return
	}
	if selection.Target == nil || len(q.tried) >= balanceOffersMax {
		r.measure.phases[q.phase].refused++
		return
	}
	q.waits.Max = selection.MaxWait
	e := selection.Target
	q.tried[e.Node] = true
	reportedMS := s.tracker.Stat(e.Node).ReportedMS
	o := &balanceOffer{balanceRequest: q, target: r.index[e.Node], latencyMS: insideDomainMS, attempt: s.tracker.Begin(e.Node, r.unixMS())}
	switch {
	case e == self:
		o.latencyMS = 0
	case e.FailureDomain != self.FailureDomain:
		o.remote, o.latencyMS = true, betweenDomainsMS
		s.domains.Offer(e.FailureDomain, balanceKind, r.unixMS())
	}
	o.granted = s.grants[e.Node].use(r.nowMS)
	r.measure.offer(o, r.unixMS()-reportedMS)
	maxWait := q.waits.Limit()
	r.after(o.latencyMS, func() { r.receive(o, maxWait) })
}

func (r *balanceRun) receive(o *balanceOffer, maxWait time.Duration) {
	r.lastID++
	left := time.Duration((o.startedMS - r.nowMS) * float64(time.Millisecond))
	a := admission.Arrival{
		ID: r.lastID, Kind: balanceKind, Deadline: r.time().Add(left + balanceTimeout), Due: r.time().Add(left + balanceObjective),
		MaxWait: maxWait, CrossDomain: o.remote,
	}
	t := r.targets[o.target]
	if o.granted {
		t.grants.use(r.nowMS)
	}
	r.measure.arrive(o.target, r.nowMS)
	switch verdict, reason := t.state.Admit(r.time(), a); verdict {
	case admission.Granted:
		r.start(o)
	case admission.Queued:
		t.queued[a.ID] = o
	case admission.Refused:
		r.respond(o, reason)
	}
}

// durationAt returns how long a request that starts now takes at a target.
func (t *balanceTarget) durationAt(nowMS, durationMS float64) float64 {
	spell := min(int((nowMS+t.phaseMS)/noiseSpellMS), len(t.slow)-1)
	if t.slow[spell] {
		durationMS *= noiseFactor
	}
	return durationMS / t.speed
}

func (r *balanceRun) start(o *balanceOffer) {
	t := r.targets[o.target]
	o.startMS, o.heldMS = r.nowMS, t.durationAt(r.nowMS, o.durationMS)
	t.running++
	t.startedMS += r.nowMS
	r.after(o.heldMS, func() {
		t.running--
		t.startedMS -= o.startMS
		t.state.Observe(time.Duration(o.heldMS*float64(time.Millisecond)), balanceKind)
		actions := t.state.ReleaseSlot(r.time(), balanceKind)
		r.respond(o, outcome.ReasonNone)
		for _, action := range actions {
			next := t.queued[action.ID]
			delete(t.queued, action.ID)
			if action.Reason == outcome.ReasonNone {
				r.start(next)
			} else {
				r.respond(next, action.Reason)
			}
		}
	})
}

// serviceTime is the service time that the node of a target reports: the estimate of the requests that ended, or more if
// the running ones are older, as admission.Controller reports it.
func (t *balanceTarget) serviceTime(nowMS float64) time.Duration {
	const ageShare, ageCountMin = 0.6, 3
	known := t.state.KindTime(balanceKind)
	if t.running < ageCountMin {
		return known
	}
	age := nowMS - t.startedMS/float64(t.running)
	return max(known, time.Duration(ageShare*age*float64(time.Millisecond)))
}

// respond sends the response of a target, with its load, to the sender. reason is set if the target refused the request.
func (r *balanceRun) respond(o *balanceOffer, reason outcome.Reason) {
	t := r.targets[o.target]
	report := &routing.Report{
		InUse: t.state.InUse(), Queued: t.state.Queued(), Kind: balanceKind,
		ServiceTime: t.serviceTime(r.nowMS).Truncate(time.Millisecond),
		Full:        reason == outcome.ReasonQueueFull, Wait: t.state.Wait(r.time(), balanceKind).Truncate(time.Millisecond),
	}
	granted := r.Grants && !o.remote && t.grants.grant(r.nowMS, balanceSlots-report.InUse-report.Queued)
	r.after(o.latencyMS, func() {
		if s := r.senders[o.sender]; granted {
			*s.grants[r.entries[o.target].Node] = append(*s.grants[r.entries[o.target].Node], r.nowMS+grantLifeMS)
		}
		r.end(o, reason, report)
	})
}

// end lets the sender observe a response.
func (r *balanceRun) end(o *balanceOffer, reason outcome.Reason, report *routing.Report) {
	s, node := r.senders[o.sender], r.entries[o.target]
	s.tracker.EndWithReport(o.attempt, routing.Succeeded, report, r.unixMS())
	s.observe(node.Node)
	if o.remote {
		full := report.Full || r.Backoff && reason == outcome.ReasonWaitExceeded
		s.domains.Record(node.FailureDomain, balanceKind, full, report.Wait, r.unixMS())
	}
	switch reason {
	case outcome.ReasonNone:
		r.measure.served(o, r.nowMS)
	case outcome.ReasonDeadline:
		r.measure.phases[o.phase].refused++
	default:
		if reason == outcome.ReasonWaitExceeded {
			o.waits.Record(node.Node, o.tried)
		}
		r.offer(o.balanceRequest)
	}
}
