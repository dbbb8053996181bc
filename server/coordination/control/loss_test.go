package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lossTime is the virtual time for which each loss rate is measured.
const lossTime = 3 * time.Minute

// Guards against nodes that stay removed, or a fleet that does not converge again, after messages were lost; and
// measures false suspicions and deaths at 1%, 5% and 20% loss. At 1% no live node may be declared dead.
func TestFalseRemovalsUnderLoss(t *testing.T) {
	for _, p := range []struct {
		name    string
		profile profile
	}{{"convergence-first", convergenceFirst}, {"bytes-first", bytesFirst}} {
		for _, loss := range []float64{0.01, 0.05, 0.2} {
			t.Run(fmt.Sprintf("%s/loss=%g", p.name, loss), func(t *testing.T) {
				runProfile(t, p.profile, 2, 9, func(t *testing.T, c *cluster) { measureLoss(t, c, loss) })
			})
		}
	}
}

func measureLoss(t *testing.T, c *cluster, loss float64) {
	before := falseDecisions(c)
	c.setLoss(loss)
	time.Sleep(lossTime)
	after := falseDecisions(c)
	c.setLoss(0)
	nodeHours := float64(len(c.list())) * lossTime.Hours()
	t.Logf("per node and hour: suspected %.2f, declared dead %.3f",
		float64(after.Suspected-before.Suspected)/nodeHours, float64(after.DeclaredDead-before.DeclaredDead)/nodeHours)
	if loss <= 0.01 {
		assert.Equal(t, after.DeclaredDead, before.DeclaredDead)
	}
	assert.Assert(t, c.waitUntil(time.Minute, hasConverged(4, 18)))
}

func (c *cluster) setLoss(loss float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss = loss
}

// falseDecisions sums the false liveness decisions of all nodes; in these tests every node is alive.
func falseDecisions(c *cluster) CounterValues {
	var sum CounterValues
	for _, n := range c.list() {
		v := n.loop.Counters()
		sum.Suspected += v.Suspected
		sum.DeclaredDead += v.DeclaredDead
	}
	return sum
}
