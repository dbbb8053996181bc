package policysim

import (
	"math"
	"slices"
)

// Phases of the demand in a run of Balance.
const (
	LowLoad = iota
	NormalLoad
	PeakLoad
	balancePhases
)

// phaseSwing is the deviation from the mean demand from which the demand counts as low or as a peak.
const phaseSwing = 0.25

// swingAt is the deviation of the demand from its mean.
func swingAt(ms float64) float64 { return balanceSwing * math.Sin(2*math.Pi*ms/balancePeriodMS) }

func demandPhase(swing float64) int {
	switch {
	case swing < -phaseSwing:
		return LowLoad
	case swing > phaseSwing:
		return PeakLoad
	}
	return NormalLoad
}

// BalancePhase is the result of the requests that were sent in one phase of the demand.
type BalancePhase struct {
	Requests int
	// Spread is the standard deviation of the slots in use over the targets, WaitingBesideFree the mean number of
	// requests that wait while as many slots are free at other targets.
	Spread, WaitingBesideFree float64
	// WaitMS and WaitP95MS are the mean time and the 95th percentile of the time from the first offer to the start.
	WaitMS, WaitP95MS float64
	// Refused, InTime and CrossDomain are shares of the requests: refused, answered within balanceObjective, and sent to
	// another failure domain. Offers is the number of targets that a request was sent to.
	Refused, InTime, CrossDomain, Offers float64
	P50MS, P95MS, P99MS                  float64
	// Burst is the largest number of arrivals at one target within burstWindowMS, MeanArrivals the mean over all targets
	// and windows.
	Burst, MeanArrivals float64
}

// BalanceReport is the result of a run.
type BalanceReport struct {
	Phases [balancePhases]BalancePhase
	// ReportAgeMS is the mean age of the report of the chosen target.
	ReportAgeMS float64
}

// burstWindowMS is about the mean age of the reports by which targets are chosen, for all policies alike.
const burstWindowMS = 400.0

// balanceMeasure collects the figures of a run.
type balanceMeasure struct {
	phases [balancePhases]phaseMeasure
	// arrivals are the arrivals by window and target.
	arrivals [][]int
	ageMS    float64
	aged     int
}

type phaseMeasure struct {
	requests, refused, inTime, remote, offers int
	spread, beside                            float64
	samples                                   int
	waits, times                              []float64
}

func (m *balanceMeasure) offer(o *balanceOffer, ageMS int64) {
	p := &m.phases[o.phase]
	p.offers++
	if o.remote {
		p.remote++
	}
	if ageMS < startMS {
		m.ageMS += float64(ageMS)
		m.aged++
	}
}

func (m *balanceMeasure) arrive(target int, nowMS float64) {
	if window := int(nowMS / burstWindowMS); window < len(m.arrivals) {
		m.arrivals[window][target]++
	}
}

func (m *balanceMeasure) served(o *balanceOffer, nowMS float64) {
	p := &m.phases[o.phase]
	took := nowMS - o.startedMS
	p.times = append(p.times, took)
	p.waits = append(p.waits, o.startMS-o.startedMS)
	if took <= float64(balanceObjective.Milliseconds()) {
		p.inTime++
	}
}

// sample records the slots in use at all targets and schedules the next sample.
func (r *balanceRun) sample() {
	if r.nowMS >= r.DurationMS {
		return
	}
	r.after(sampleMS, r.sample)
	if r.nowMS < balancePeriodMS/8 {
		// The senders know nothing yet.
		return
	}
	var sum, squares, queued, free float64
	for _, t := range r.targets {
		used := float64(t.state.InUse())
		sum += used
		squares += used * used
		queued += float64(t.state.Queued())
		free += balanceSlots - used
	}
	n := float64(len(r.targets))
	p := &r.measure.phases[demandPhase(swingAt(r.nowMS))]
	p.spread += math.Sqrt(max(squares/n-sum/n*sum/n, 0))
	p.beside += min(queued, free)
	p.samples++
}

func (m *balanceMeasure) report() BalanceReport {
	report := BalanceReport{ReportAgeMS: m.ageMS / float64(max(m.aged, 1))}
	for i := range m.phases {
		report.Phases[i] = m.phases[i].report()
	}
	var windows [balancePhases]float64
	for i, window := range m.arrivals[:len(m.arrivals)-1] {
		n := demandPhase(swingAt((float64(i) + 0.5) * burstWindowMS))
		phase := &report.Phases[n]
		windows[n] += float64(len(window))
		for _, count := range window {
			phase.Burst = max(phase.Burst, float64(count))
			phase.MeanArrivals += float64(count)
		}
	}
	for n := range windows {
		report.Phases[n].MeanArrivals /= max(windows[n], 1)
	}
	return report
}

func (p *phaseMeasure) report() BalancePhase {
	requests, samples := float64(max(p.requests, 1)), float64(max(p.samples, 1))
	return BalancePhase{
		Requests: p.requests, Spread: p.spread / samples, WaitingBesideFree: p.beside / samples,
		WaitMS: mean(p.waits), WaitP95MS: percentile(p.waits, 95),
		Refused: float64(p.refused) / requests, InTime: float64(p.inTime) / requests,
		CrossDomain: float64(p.remote) / requests, Offers: float64(p.offers) / requests,
		P50MS: percentile(p.times, 50), P95MS: percentile(p.times, 95), P99MS: percentile(p.times, 99),
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

func percentile(values []float64, percent int) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)*percent/100]
}
