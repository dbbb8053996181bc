package policysim

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/internal/baseline"
)

var faultNames = map[Fault]string{0: "none", Slow: "slow", Cold: "cold", LyingHealth: "lying"}

func scenario(fault Fault, roundRobin bool, seconds float64) Scenario {
	return Scenario{Fault: fault, RoundRobin: roundRobin, Senders: 9, Targets: 9, DurationMS: seconds * 1000, Seed: 11}
}

// BenchmarkChoice reports p99 and errors of the choice of target against round robin.
func BenchmarkChoice(b *testing.B) {
	for fault := Fault(0); fault <= LyingHealth; fault++ {
		for _, roundRobin := range []bool{false, true} {
			policy := map[bool]string{false: "mesh", true: "round_robin"}[roundRobin]
			b.Run(faultNames[fault]+"/"+policy, func(b *testing.B) {
				var report Report
				for b.Loop() {
					report = Run(scenario(fault, roundRobin, 30))
				}
				b.ReportMetric(report.P99MS, "p99-ms")
				b.ReportMetric(100*float64(report.Errors)/float64(report.Requests), "error-%")
			})
		}
	}
}

func chain(refusal float64, p RetryPolicy) Chain {
	return Chain{RetryPolicy: p, Depth: 15, Calls: 2000, Refusal: refusal, GapMS: 20, TimeoutMS: 10_000, Seed: 12}
}

func overload(p RetryPolicy) Overload {
	return Overload{RetryPolicy: p, Depth: 15, Limited: 7, Nodes: 18, Before: 0.7, Peak: 1.3, PhaseMS: 5000, TimeoutMS: 2000, Seed: 13}
}

type namedPolicy struct {
	name string
	RetryPolicy
}

// alternative is one setting of the mesh's limits.
type alternative struct {
	hop, chain        int
	fraction, unknown float64
}

func (a alternative) policy() namedPolicy {
	p := MeshPolicy()
	p.HopAttempts, p.ChainAttempts = a.hop, a.chain
	p.Budget.Fraction, p.Budget.UnknownCost = a.fraction, a.unknown
	return namedPolicy{fmt.Sprintf("hop=%d,chain=%d,fraction=%g,unknown=%g", a.hop, a.chain, a.fraction, a.unknown), p}
}

var noRetries = alternative{hop: 1, chain: 1}.policy().RetryPolicy

// policies are the mesh's own, its alternatives and the baselines.
func policies() []namedPolicy {
	list := []namedPolicy{{"mesh", MeshPolicy()}, {"no_retries", noRetries}}
	for _, limits := range [][2]int{{3, 3}, {6, 6}, {12, 12}, {3, 12}, {4, 12}} {
		for _, fraction := range []float64{0.1, 0.15, 0.2, 0.3} {
			for _, unknown := range []float64{1, 10} {
				list = append(list, alternative{limits[0], limits[1], fraction, unknown}.policy())
			}
		}
	}
	return append(list,
		namedPolicy{"three_per_hop", RetryPolicy{RepeatFailures: true, Decide: baseline.FixedRetries(3)}},
		namedPolicy{"unlimited", RetryPolicy{RepeatFailures: true, Decide: baseline.UnlimitedRetries}})
}

// withRepeats returns a policy also with the repetition of failures.
func withRepeats(p namedPolicy) []namedPolicy {
	if p.RepeatFailures {
		return []namedPolicy{p}
	}
	repeating := p
	repeating.RepeatFailures = true
	repeating.name += ",repeating"
	return []namedPolicy{p, repeating}
}

func amplification(r ChainReport) float64 { return float64(r.Attempts) / float64(r.Needed) }

// BenchmarkChain reports amplification (attempts in relation to those needed without refusals) and answered calls along
// a chain 15 deep.
func BenchmarkChain(b *testing.B) {
	for _, refusal := range []float64{0.01, 0.1, 0.5} {
		for _, base := range policies() {
			for _, p := range withRepeats(base) {
				b.Run(fmt.Sprintf("%g%%/%s", refusal*100, p.name), func(b *testing.B) {
					c := chain(refusal, p.RetryPolicy)
					var report ChainReport
					for b.Loop() {
						report = RunChain(c)
					}
					b.ReportMetric(amplification(report), "amplification")
					b.ReportMetric(float64(report.Attempts)/float64(c.Calls), "attempts/call")
					b.ReportMetric(100*float64(report.Answered)/float64(c.Calls), "answered-%")
					b.ReportMetric(float64(report.Cut), "cut-calls")
				})
			}
		}
	}
}

// BenchmarkOverload reports the answered calls before, during and after a peak above the capacity of one service, and
// the attempts at that service per call of the peak.
func BenchmarkOverload(b *testing.B) {
	for _, base := range policies() {
		for _, p := range withRepeats(base) {
			b.Run(p.name, func(b *testing.B) {
				var report OverloadReport
				for b.Loop() {
					report = RunOverload(overload(p.RetryPolicy))
				}
				for i, name := range []string{"before-%", "peak-%", "after-%"} {
					b.ReportMetric(100*float64(report[i].Answered)/float64(report[i].Calls), name)
				}
				b.ReportMetric(float64(report[1].Attempts)/float64(report[1].Calls), "attempts/call")
			})
		}
	}
}

// TestChoiceBeatsRoundRobin guards the order of the policies for each fault, in virtual time.
func TestChoiceBeatsRoundRobin(t *testing.T) {
	for _, fault := range []Fault{Slow, Cold, LyingHealth} {
		mesh, other := Run(scenario(fault, false, 10)), Run(scenario(fault, true, 10))
		assert.Assert(t, mesh.Errors <= other.Errors, "%s: %+v %+v", faultNames[fault], mesh, other)
		if fault != LyingHealth {
			assert.Assert(t, mesh.P99MS < other.P99MS, "%s: %+v %+v", faultNames[fault], mesh, other)
		}
	}
}

// TestChainRetries guards the limits on retries when refusals do not depend on the load: 99% of the calls are answered
// when 10% of the attempts are refused, and the load never grows by more than 30%.
func TestChainRetries(t *testing.T) {
	for _, refusal := range []float64{0.01, 0.1, 0.5} {
		for _, p := range withRepeats(namedPolicy{"mesh", MeshPolicy()}) {
			report := RunChain(chain(refusal, p.RetryPolicy))
			assert.Check(t, amplification(report) <= 1.3, "%g %s: %+v", refusal, p.name, report)
			assert.Check(t, refusal > 0.1 || 100*report.Answered >= 99*2000, "%g %s: %+v", refusal, p.name, report)
		}
	}
	unlimited := RunChain(chain(0.5, RetryPolicy{RepeatFailures: true, Decide: baseline.UnlimitedRetries}))
	assert.Check(t, amplification(unlimited) > 1.3, "%+v", unlimited)
}

// TestOverloadRecovers guards that retries neither take most of the capacity of an overloaded service nor keep it
// overloaded after the peak, wherever it is in the chain.
func TestOverloadRecovers(t *testing.T) {
	for _, limited := range []int{7, 14} {
		without := overload(noRetries)
		without.Limited = limited
		best := RunOverload(without)[1]
		for _, p := range withRepeats(namedPolicy{"mesh", MeshPolicy()}) {
			o := overload(p.RetryPolicy)
			o.Limited = limited
			report := RunOverload(o)
			peak, after := report[1], report[2]
			assert.Check(t, 4*peak.Answered*best.Calls >= 3*best.Answered*peak.Calls, "%d %s: %+v", limited, p.name, report)
			assert.Check(t, 100*after.Answered >= 99*after.Calls, "%d %s: %+v", limited, p.name, report)
		}
	}
}
