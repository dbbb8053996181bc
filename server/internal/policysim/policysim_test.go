package policysim

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/retry"
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

func chain(refusal float64) Chain {
	return Chain{Depth: 15, Calls: 2000, Refusal: refusal, GapMS: 20, TimeoutMS: 10_000, Seed: 12}
}

// BenchmarkChain reports amplification (attempts in relation to those needed without refusals) and answered calls along a chain 15 deep.
func BenchmarkChain(b *testing.B) {
	policies := []struct {
		name   string
		repeat bool
		decide func(retry.State) retry.Decision
	}{
		{"mesh", false, nil},
		{"mesh_repeating_failures", true, nil},
		{"three_per_hop", true, baseline.FixedRetries(3)},
		{"unlimited", true, baseline.UnlimitedRetries},
	}
	for _, refusal := range []float64{0.01, 0.1, 0.5} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("%g%%/%s", refusal*100, p.name), func(b *testing.B) {
				c := chain(refusal)
				c.RepeatFailures, c.Decide = p.repeat, p.decide
				var report ChainReport
				for b.Loop() {
					report = RunChain(c)
				}
				b.ReportMetric(float64(report.Attempts)/float64(report.Needed), "amplification")
				b.ReportMetric(float64(report.Attempts)/float64(c.Calls), "attempts/call")
				b.ReportMetric(100*float64(report.Answered)/float64(c.Calls), "answered-%")
				b.ReportMetric(float64(report.Cut), "cut-calls")
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

// TestChainAmplification guards that retries add at most a third to the load when half of the attempts are refused.
func TestChainAmplification(t *testing.T) {
	c := chain(0.5)
	c.RepeatFailures = true
	mesh := RunChain(c)
	c.Decide = baseline.UnlimitedRetries
	unlimited := RunChain(c)
	assert.Assert(t, 3*mesh.Attempts < 4*mesh.Needed, "%+v", mesh)
	assert.Assert(t, 3*unlimited.Attempts > 4*unlimited.Needed, "%+v", unlimited)
}
