package announce

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/execute"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/endpoint"
)

// RegistrarSettings configures a Registrar.
type RegistrarSettings struct {
	// Lease is the time without a report after which the target gets no more requests.
	Lease time.Duration
	// SlowStart is the time over which a cold target gets its full share of requests from other nodes.
	SlowStart time.Duration
	// Identity is what the settings state of the target.
	Identity Identity
}

// Identity is what the settings of a node state of the target beside it; empty fields are not stated. A report that differs from
// it is not the target's.
type Identity struct {
	Service string
	// Address is HOST:PORT.
	Address       string
	FailureDomain string
}

// TargetRunner runs requests at the target. *execute.Executor implements it.
type TargetRunner interface {
	SetTarget(execute.Target)
}

// Asker queries a target for its state. serving is true only if the target of the report itself responded and is not
// leaving.
type Asker func(ctx context.Context, report Report) (serving bool)

// askTimeout limits the wait for a configuration and the query to the target. It is long enough for a node that starts
// while the store is not available and gets its configuration from peers.
const askTimeout = 5 * time.Second

// startAheadMax is how far the start of a target may lie in the future, by the clock of the node. A report with a later start
// would replace that of the running target, and all its further reports would count as older.
const startAheadMax = time.Hour

// ErrStartInFuture means that a report states a start that lies in the future.
var ErrStartInFuture = errors.New("start in the future")

// ErrUnknownService means that a report names a service that this node has no reason to expect.
var ErrUnknownService = errors.New("unknown service")

// ErrOtherVM means that a report states another address or failure domain than the settings of this VM.
var ErrOtherVM = errors.New("target of another VM")

// ErrOtherTarget means that a report names the known process of the target with another service, address or failure domain.
var ErrOtherTarget = errors.New("service, address or failure domain differ from those of the same process")

// ErrIncomplete means that a report lacks a required field.
var ErrIncomplete = errors.New("incomplete report")

// ServiceLookup reports whether the configuration in force names a service. known is false while there is no configuration.
type ServiceLookup func(service string) (named, known bool)

// Registrar maintains the registration of the local target from the reports that the target sends.
type Registrar struct {
	settings   RegistrarSettings
	runner     TargetRunner
	updateSelf func(func(*endpoint.Entry))
	ask        Asker
	lookup     ServiceLookup
	logger     log.Interface

	mu       sync.Mutex
	identity Identity
	current  Registration
	// stopping is true when the node accepts no new requests for its target.
	stopping bool
}

// NewRegistrar returns a registrar without a target.
func NewRegistrar(
	s RegistrarSettings, runner TargetRunner, updateSelf func(func(*endpoint.Entry)), ask Asker, lookup ServiceLookup, logger log.Interface,
) *Registrar {
	return &Registrar{
		settings: s, identity: s.Identity, runner: runner, updateSelf: updateSelf, ask: ask, lookup: lookup, logger: logger,
	}
}

// Run expires the registration of a target that sends no reports, until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	ticker := time.NewTicker(max(r.settings.Lease/4, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.change("lapsed", func(current Registration) (Registration, Verdict) {
				return current.Expire(now, r.settings.Lease)
			})
		}
	}
}

// Take processes a report. When it returns, the TargetRunner has the new state, so the report may be acknowledged. A rejected
// report changes nothing; the error is ErrIncomplete, ErrStartInFuture, ErrUnknownService, ErrOtherVM or ErrOtherTarget. An
// outdated report is no error.
func (r *Registrar) Take(report Report) error {
	now := time.Now()
	if err := r.check(report, now); err != nil {
		return err
	}
	r.change("report", func(current Registration) (Registration, Verdict) { return current.Take(report, now) })
	if r.Current().Unverified {
		go r.verify(report)
	}
	return nil
}

// check returns an error if a report cannot be that of the target beside the node.
func (r *Registrar) check(report Report, now time.Time) error {
	if report.Instance == "" || report.Service == "" || report.Address == "" || report.BornMS <= 0 {
		return ErrIncomplete
	}
	if report.BornMS > now.Add(startAheadMax).UnixMilli() {
		return ErrStartInFuture
	}
	r.mu.Lock()
	current, identity := r.current.Report, r.identity
	r.mu.Unlock()
	if report.Instance == current.Instance && report.BornMS == current.BornMS {
		if !report.hasPlaceOf(current) {
			return ErrOtherTarget
		}
		return nil
	}
	if !r.expects(report.Service, current.Service, identity.Service) {
		return fmt.Errorf("%w: %.64q", ErrUnknownService, report.Service)
	}
	if !matchesSetting(identity.Address, report.Address) || !matchesSetting(identity.FailureDomain, report.FailureDomain) {
		return fmt.Errorf("%w: %.64q in %.64q", ErrOtherVM, report.Address, report.FailureDomain)
	}
	return nil
}

// matchesSetting reports whether a reported value is the one that the settings state, if they state one.
func matchesSetting(setting, value string) bool { return setting == "" || setting == value }

// expects reports whether a process may report a service. If the settings state one, it is the only one, whatever else the
// configuration names: a VM belongs to one service. Otherwise it is that of the process before, which the configuration need not
// name any more, or one that the configuration names. Without all of these, nothing is known about services.
func (r *Registrar) expects(service, registered, stated string) bool {
	if stated != "" {
		return service == stated
	}
	if service == registered {
		return true
	}
	named, known := r.lookup(service)
	if !known {
		return registered == ""
	}
	return named
}

// verify queries a target of which this process has no earlier report.
func (r *Registrar) verify(report Report) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	serving := r.ask(ctx, report)
	r.change("verified", func(current Registration) (Registration, Verdict) {
		return current.Verify(report.Instance, serving)
	})
}

// Leave processes the notice that a target leaves. When it returns without an error, no new request is sent to the process that
// leaves, and the notice may be acknowledged. A notice of an earlier process changes nothing. The error is ErrStartInFuture or
// ErrTooManyLeaves.
func (r *Registrar) Leave(n Notice) error {
	now := time.Now()
	if n.BornMS > now.Add(startAheadMax).UnixMilli() {
		return ErrStartInFuture
	}
	var err error
	r.change("leave", func(current Registration) (next Registration, verdict Verdict) {
		next, verdict, err = current.Leave(n, now)
		return next, verdict
	})
	return err
}

// LeaveStated processes the statement of a process of the target, in a response to a request, that it leaves. When it
// returns, no new request is sent to it.
func (r *Registrar) LeaveStated(start, request string) {
	now := time.Now()
	r.logger.WithFields(log.Fields{"event": "target_states_leaving", "start": start, "request": request}).
		Info("target says that it leaves")
	r.change("leave", func(current Registration) (Registration, Verdict) {
		if current.start() != start {
			return current, Late
		}
		// The response may be of a later process under the same name that has not reported yet.
		next, verdict, err := current.Leave(Notice{Instance: current.Report.Instance}, now)
		if err != nil {
			return current.leave(now)
		}
		return next, verdict
	})
}

// Stop refuses new requests for the target because the node shuts down.
func (r *Registrar) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
	r.publish()
}

// Service returns the service of the local target, also while it leaves.
func (r *Registrar) Service() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Report.Service != "" {
		return r.current.Report.Service
	}
	return r.identity.Service
}

// SetIdentity replaces what the settings state of the target. The registered process keeps what it has reported.
func (r *Registrar) SetIdentity(i Identity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.identity = i
}

// Current returns the registration.
func (r *Registrar) Current() Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

func (r *Registrar) change(event string, decide func(Registration) (Registration, Verdict)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, verdict := decide(r.current)
	r.current = next
	if verdict == Late {
		r.logger.WithFields(log.Fields{
			"event": "target_" + event, "instance": next.Report.Instance, "sequence": next.Report.Sequence, "outcome": "late",
		}).Debug("late report ignored")
		return
	}
	if verdict == Renewed {
		return
	}
	r.publish()
	r.logger.WithFields(log.Fields{
		"event": "target_" + event, "instance": next.Report.Instance, "born_ms": next.Report.BornMS,
		"sequence": next.Report.Sequence, "service": next.Report.Service, "state": next.State.String(),
		"unverified": next.Unverified,
	}).Info("target changed")
}

// publish passes the registration to the TargetRunner, which makes the final decision on each request, and then to the
// other nodes.
func (r *Registrar) publish() {
	c := r.current
	target := execute.Target{
		Service:  c.Report.Service,
		Address:  c.Report.Address,
		Instance: c.Report.Instance,
		Slots:    c.Report.Slots,
		Started:  time.UnixMilli(c.Report.BornMS),
		Start:    c.start(),
	}
	state := c.Usable()
	switch {
	case state == endpoint.Draining:
		target.Refuse = outcome.ReasonDraining
	case state == endpoint.NoTarget:
		target.Refuse = outcome.ReasonNoTarget
	case r.stopping:
		target.Refuse = outcome.ReasonShutdown
		state = endpoint.Draining
	}
	r.runner.SetTarget(target)
	r.updateSelf(func(e *endpoint.Entry) {
		e.State = state
		e.Withdrawn = state != endpoint.Alive
		e.Service = c.Report.Service
		e.TargetAddress = c.Report.Address
		e.TargetStart = target.Start
		e.SoftwareVersion = c.Report.SoftwareVersion
		e.Slots = c.Report.Slots
		e.StartedMS = c.WarmAt.Add(-r.settings.SlowStart).UnixMilli()
	})
}
