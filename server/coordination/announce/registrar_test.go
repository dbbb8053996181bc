package announce

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/coordination/execute"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/endpoint"
)

// lastTarget is a TargetRunner that keeps the latest target.
type lastTarget struct{ execute.Target }

func (l *lastTarget) SetTarget(t execute.Target) { l.Target = t }

// registrarOf returns a registrar whose target has sent a report and is verified, and what it publishes.
func registrarOf(t *testing.T, born int64) (*Registrar, *lastTarget) {
	runner := &lastTarget{}
	r := NewRegistrar(RegistrarSettings{Lease: time.Minute}, runner, func(change func(*endpoint.Entry)) { change(&endpoint.Entry{}) },
		func(context.Context, Report) bool { return false }, &log.Logger{Handler: discard.New()})
	for sequence := range uint64(renewalsMin + 1) {
		assert.NilError(t, r.Take(Report{
			Instance: "i-1", BornMS: born, Sequence: sequence + 1, Service: "orders", Address: "127.0.0.1:80", Slots: 18,
		}))
	}
	assert.Equal(t, runner.Refuse, outcome.ReasonNone)
	return r, runner
}

// Guards against one report with a start in the far future after which all reports of the running target count as older.
func TestReportFromTheFutureReplacesNoTarget(t *testing.T) {
	now := time.Now()
	r, runner := registrarOf(t, now.UnixMilli())
	malformed := Report{
		Instance: "i-2", BornMS: now.Add(24 * time.Hour).UnixMilli(), Sequence: 1, Service: "orders", Address: "127.0.0.1:81",
	}
	assert.Assert(t, errors.Is(r.Take(malformed), ErrStartInFuture))
	assert.Equal(t, runner.Instance, "i-1")
	assert.Equal(t, r.Current().Report.Instance, "i-1")
}

// Guards against a statement of one process that it leaves which ends the service of another one under the same name, and
// against a later report of the same process that undoes it.
func TestStatedLeavingHoldsForOneProcess(t *testing.T) {
	born := time.Now().UnixMilli()
	r, runner := registrarOf(t, born)
	r.LeaveStated("i-1/1", "q1")
	assert.Equal(t, runner.Refuse, outcome.ReasonNone)
	r.LeaveStated(runner.Start, "q2")
	assert.Equal(t, runner.Refuse, outcome.ReasonDraining)
	next := Report{Instance: "i-1", BornMS: born, Sequence: 9, Service: "orders", Address: "127.0.0.1:80", Slots: 18}
	assert.NilError(t, r.Take(next))
	assert.Equal(t, runner.Refuse, outcome.ReasonDraining)
	next.BornMS++
	assert.NilError(t, r.Take(next))
	assert.Equal(t, runner.Refuse, outcome.ReasonNone)
}
