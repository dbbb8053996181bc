package announce

import (
	"context"
	"errors"
	"fmt"
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

// namedServices is a ServiceLookup of a configuration with two services.
func namedServices(service string) (named, known bool) {
	return service == "orders" || service == "catalog", true
}

// registrarOf returns a registrar whose target has sent a report and is verified, and what it publishes.
func registrarOf(t *testing.T, born int64) (*Registrar, *lastTarget) {
	runner := &lastTarget{}
	r := NewRegistrar(RegistrarSettings{Lease: time.Minute}, runner, func(change func(*endpoint.Entry)) { change(&endpoint.Entry{}) },
		func(context.Context, Report) bool { return false }, namedServices, &log.Logger{Handler: discard.New()})
	assert.NilError(t, r.Take(Report{
		Instance: "i-1", BornMS: born, Sequence: 3, Service: "orders", Address: "127.0.0.1:80", Slots: 18,
	}))
	r.change("verified", func(current Registration) (Registration, Verdict) { return current.Verify("i-1", true) })
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
	// This one started after the statement, which cannot be its own.
	next.BornMS += time.Minute.Milliseconds()
	assert.NilError(t, r.Take(next))
	assert.Equal(t, runner.Refuse, outcome.ReasonNone)
}

// Guards against a report of another writer that replaces the running target although nothing names its service, or that moves
// the running process to another service or address; and against a target that is locked out because its service is not
// named yet or any more.
func TestReportOfUnknownServiceReplacesNoTarget(t *testing.T) {
	born := time.Now().UnixMilli()
	odd := func(change func(*Report)) Report {
		r := Report{Instance: "i-1", BornMS: born, Sequence: 1 << 40, Service: "orders", Address: "127.0.0.1:80", Slots: 18}
		change(&r)
		return r
	}
	r, runner := registrarOf(t, born)
	rejected := []struct {
		report Report
		want   error
	}{
		{odd(func(r *Report) { r.Instance, r.Service, r.BornMS = "i-2", "nosuch", born+1 }), ErrUnknownService},
		{odd(func(r *Report) { r.Service, r.BornMS = "nosuch", born+1 }), ErrUnknownService},
		{odd(func(r *Report) { r.Service = "nosuch" }), ErrOtherTarget},
		{odd(func(r *Report) { r.Service = "catalog" }), ErrOtherTarget},
		{odd(func(r *Report) { r.Address = "127.0.0.1:81" }), ErrOtherTarget},
	}
	for _, c := range rejected {
		assert.Assert(t, errors.Is(r.Take(c.report), c.want), "%+v", c.report)
		assert.Equal(t, r.Service(), "orders")
		assert.Equal(t, runner.Instance, "i-1")
		assert.Equal(t, runner.Refuse, outcome.ReasonNone)
	}
	assert.NilError(t, r.Take(odd(func(r *Report) { r.Sequence = 4 })))
	assert.Equal(t, r.Current().Report.Sequence, uint64(4), "the running target still reports")

	// Its service is removed from the configuration: the running process and the next one keep it.
	r.lookup = func(string) (bool, bool) { return false, true }
	assert.NilError(t, r.Take(odd(func(r *Report) { r.Sequence = 5 })))
	assert.NilError(t, r.Take(odd(func(r *Report) { r.Instance, r.BornMS = "i-3", born+1 })))
	assert.Equal(t, r.Service(), "orders")
	// A named one takes over its VM.
	r.lookup = namedServices
	assert.NilError(t, r.Take(odd(func(r *Report) { r.Instance, r.BornMS, r.Service = "i-4", born+2, "catalog" })))
	assert.Equal(t, r.Service(), "catalog")
}

// Guards against a target that reports before the first configuration and gets no requests, and against another writer's
// report that is taken for it at that time.
func TestReportBeforeTheFirstConfiguration(t *testing.T) {
	runner := &lastTarget{}
	none := func(string) (named, known bool) { return false, false }
	r := NewRegistrar(RegistrarSettings{Lease: time.Minute, Identity: Identity{Service: "orders"}}, runner,
		func(change func(*endpoint.Entry)) { change(&endpoint.Entry{}) },
		func(context.Context, Report) bool { return false }, none, &log.Logger{Handler: discard.New()})
	report := Report{Instance: "i-1", BornMS: 1, Sequence: 1, Service: "nosuch", Address: "127.0.0.1:80"}
	assert.Assert(t, errors.Is(r.Take(report), ErrUnknownService))
	report.Service = "orders"
	assert.NilError(t, r.Take(report))
	assert.Equal(t, runner.Service, "orders")
}

// Guards against a complete report of another writer that replaces the running target although the VM belongs to another service,
// or the report to another VM, and against further reports of the target that have no effect afterwards.
func TestReportOfAnotherVMReplacesNoTarget(t *testing.T) {
	born := time.Now().UnixMilli()
	r, runner := registrarOf(t, born)
	r.SetIdentity(Identity{Service: "orders", Address: "127.0.0.1:80", FailureDomain: "west"})
	next := Report{
		Instance: "i-2", BornMS: born + 1, Sequence: 1, Service: "orders", Address: "127.0.0.1:80", FailureDomain: "west", Slots: 18,
	}
	for _, c := range []struct {
		change func(*Report)
		want   error
	}{
		{func(r *Report) { r.Service = "catalog" }, ErrUnknownService},
		{func(r *Report) { r.Instance, r.Service = "i-1", "catalog" }, ErrUnknownService},
		{func(r *Report) { r.Address = "127.0.0.1:81" }, ErrOtherVM},
		{func(r *Report) { r.FailureDomain = "east" }, ErrOtherVM},
		{func(r *Report) { r.BornMS, r.Instance, r.FailureDomain = born, "i-1", "east" }, ErrOtherTarget},
	} {
		odd := next
		c.change(&odd)
		assert.Assert(t, errors.Is(r.Take(odd), c.want), "%+v", odd)
		assert.Equal(t, r.Service(), "orders")
		assert.Equal(t, runner.Instance, "i-1")
		assert.Equal(t, runner.Refuse, outcome.ReasonNone)
	}
	assert.NilError(t, r.Take(Report{Instance: "i-1", BornMS: born, Sequence: 9, Service: "orders", Address: "127.0.0.1:80", Slots: 18}))
	assert.Equal(t, r.Current().Report.Sequence, uint64(9), "the running target still reports")
	assert.NilError(t, r.Take(next))
	assert.Equal(t, runner.Instance, "i-2")
}

// Guards against a late notice of an earlier process that takes the next one under the same name out of service.
func TestLeaveOfAnEarlierProcess(t *testing.T) {
	born := time.Now().UnixMilli()
	r, runner := registrarOf(t, born)
	assert.NilError(t, r.Leave(Notice{"i-1", born - 1}))
	assert.Equal(t, runner.Refuse, outcome.ReasonNone)
	assert.NilError(t, r.Leave(Notice{"i-1", born}))
	assert.Equal(t, runner.Refuse, outcome.ReasonDraining)
}

// Guards against a node that shuts down and forgets that its target drains, so that waiting requests reach it without limit.
func TestDrainHoldsWhileTheNodeStops(t *testing.T) {
	born := time.Now().UnixMilli()
	r, runner := registrarOf(t, born)
	r.Stop()
	assert.Equal(t, runner.Refuse, outcome.ReasonShutdown)
	assert.NilError(t, r.Leave(Notice{"i-1", born}))
	assert.Equal(t, runner.Refuse, outcome.ReasonDraining)
}

// Guards against a target that started again under its name, announces that it leaves before its first report arrives, gets an
// acknowledgement, and goes on getting requests: through the earlier registration, or once its late report arrives.
func TestLeaveBeforeTheFirstReportOfARestartedTarget(t *testing.T) {
	born := time.Now().UnixMilli()
	for name, notice := range map[string]Notice{"stated": {"i-1", born + 1000}, "unstated": {"i-1", 0}} {
		r, runner := registrarOf(t, born)
		assert.NilError(t, r.Leave(notice))
		assert.Equal(t, runner.Refuse, outcome.ReasonDraining, "%s: through the earlier registration", name)
		late := Report{Instance: "i-1", BornMS: min(born+1000, time.Now().UnixMilli()), Sequence: 1, Service: "orders", Address: "127.0.0.1:80", Slots: 18}
		if notice.BornMS != 0 {
			late.BornMS = notice.BornMS
		}
		assert.NilError(t, r.Take(late))
		assert.Assert(t, runner.Refuse != outcome.ReasonNone, "%s: through its late report", name)
		late.Sequence++
		assert.NilError(t, r.Take(late))
		assert.Assert(t, runner.Refuse != outcome.ReasonNone, "%s: through its next report", name)
		next := late
		next.BornMS = born + time.Minute.Milliseconds()
		assert.NilError(t, r.Take(next))
		assert.Equal(t, runner.Refuse, outcome.ReasonNone, "%s: the next start has not left", name)
	}
}

// Guards against an acknowledged leave that is forgotten because notices of many other processes follow, and against one of a
// start that can never be reached by the reports.
func TestLeavesAreKeptOrRefused(t *testing.T) {
	born := time.Now().UnixMilli()
	r, runner := registrarOf(t, born)
	assert.Assert(t, errors.Is(r.Leave(Notice{"i-1", born + 2*startAheadMax.Milliseconds()}), ErrStartInFuture))
	assert.Equal(t, runner.Refuse, outcome.ReasonNone)
	acknowledged := 0
	for i := range int64(2 * leavesMax) {
		err := r.Leave(Notice{fmt.Sprintf("x-%d", i), born + 1000})
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrTooManyLeaves))
			continue
		}
		acknowledged++
	}
	assert.Equal(t, acknowledged, leavesMax)
	assert.NilError(t, r.Leave(Notice{"x-0", born + 1000}), "a repeat")
	assert.NilError(t, r.Leave(Notice{"x-0", born - 1}), "of a process before the registered one")
	late := Report{Instance: "x-0", BornMS: born + 1000, Sequence: 1, Service: "orders", Address: "127.0.0.1:80", Slots: 18}
	assert.NilError(t, r.Take(late))
	assert.Equal(t, runner.Refuse, outcome.ReasonDraining)
	late.Instance, late.BornMS = "i-2", born+2000
	assert.NilError(t, r.Take(late))
	assert.NilError(t, r.Leave(Notice{"y", born + 3000}), "the others ended before this process started")
}
