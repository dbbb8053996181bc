package quota

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/panjf2000/ants/v2"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/view"
)

const (
	// tickInterval is the time between two looks for due reports and changed shares.
	tickInterval = 50 * time.Millisecond
	// inactiveInterval is the time between two looks for a configuration with rates.
	inactiveInterval = time.Second
	// membersInterval is the shortest time between two looks for changed members, since views change often in a large fleet.
	membersInterval = 200 * time.Millisecond
	// callTimeout limits a call to another node. Messages may take 0.5 s each way.
	callTimeout = 1500 * time.Millisecond
	// callsMax limits the calls in progress, pushWorkers those of one push.
	callsMax    = 512
	pushWorkers = 16
	// methodReport and methodAnnounce are the net/rpc methods.
	methodReport   = wire.ServiceQuota + ".Report"
	methodAnnounce = wire.ServiceQuota + ".Announce"
)

// errNotOwner means that this node does not have a configuration with the partition of a report.
var errNotOwner = errors.New("the configuration in force has no such partition")

// Settings configures a Service.
type Settings struct {
	Node  string
	Limit Limit
	// Started is the start of the process.
	Started time.Time
}

// Dependencies are the functions of the node that a Service calls.
type Dependencies struct {
	// View returns the current view.
	View func() *view.View
	// HearFleetSize takes over the number of nodes that another node knows. The next view has it.
	HearFleetSize func(nodes int)
	// Call invokes a net/rpc method of another node.
	Call func(ctx context.Context, address, method string, args, reply any) error
	Log  log.Interface
}

// Counters are the totals of a Service.
type Counters struct {
	Admitted, Refused, Refunded            atomic.Int64
	Reports, ReportsFailed, ReportsServed  atomic.Int64
	AnnouncementsSent, AnnouncementsFailed atomic.Int64
	Probes, Avoidances                     atomic.Int64
}

// CounterValues are the values of Counters, and the organisations that are known now.
type CounterValues struct {
	Admitted, Refused, Refunded            int64
	Reports, ReportsFailed, ReportsServed  int64
	AnnouncementsSent, AnnouncementsFailed int64
	// Probes are the empty reports that ask for an answer, which Reports contains as well. Avoidances is how often a failure domain
	// or node began to be avoided, Avoided how many are now.
	Probes, Avoidances int64
	Avoided            int
	// Collected is the number of nodes that report through this one.
	Collected int
	// Active is 1 if the configuration in force contains an organisation with a rate.
	Active int
	// Tracked is the number of organisations with recent requests at this node, Buckets of those that it owns.
	Tracked, Buckets int
}

// Service runs the state machines of a node. It implements dispatch.Quota.
type Service struct {
	settings Settings
	deps     Dependencies
	counters Counters
	pool     *ants.Pool
	wake     chan struct{}

	mu     sync.Mutex
	entry  *Entry
	owner  *Owner
	active bool
	rates  Rates
	// seen is the last view that was looked at, members what it contains, taken at membersAt.
	seen      *view.View
	content   *config.Content
	members   Members
	membersAt time.Duration
	fleet     fleetSize
}

// NewService returns a Service that does nothing before the configuration contains an organisation with a rate.
func NewService(s Settings, d Dependencies) (*Service, error) {
	pool, err := ants.NewPool(callsMax, ants.WithNonblocking(true), ants.WithPanicHandler(func(p any) { panic(p) }))
	if err != nil {
		return nil, fmt.Errorf("worker pool: %w", err)
	}
	first := uint64(s.Started.UnixNano())
	return &Service{
		settings: s, deps: d, pool: pool, wake: make(chan struct{}, 1),
		entry: NewEntry(s.Node, first), owner: NewOwner(s.Node, s.Limit, uint32(first>>32)^uint32(first)),
	}, nil
}

// SetLimit replaces the bound.
func (s *Service) SetLimit(limit Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.SetLimit(limit)
}

// takeOverFleet takes over the number of nodes that was stated.
func (s *Service) takeOverFleet(v *view.View, now time.Duration) {
	if !v.FleetStated {
		return
	}
	if !s.fleet.stated {
		s.deps.Log.WithFields(log.Fields{
			"event": "quota_nodes_stated", "nodes": max(v.FleetFloor, len(v.Nodes)), "after_ms": now.Milliseconds(),
			"refused": s.counters.Refused.Load(),
		}).Info("number of nodes that share the quotas is known")
	}
	s.fleet.state(v.FleetFloor, now)
}

// now returns the time as the state machines count it.
func (s *Service) now() time.Duration { return time.Since(s.settings.Started) }

// Admit implements dispatch.Quota.
func (s *Service) Admit(o *config.Organisation, now time.Time) (admitted bool, retryAfter time.Duration) {
	if o.RatePerSecond <= 0 {
		return true, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.deps.View(); v.Content != s.content {
		s.takeOver(v, s.now())
	}
	admitted, retryAfter = s.entry.Admit(o, now.Sub(s.settings.Started))
	if admitted {
		s.counters.Admitted.Add(1)
		return true, 0
	}
	s.counters.Refused.Add(1)
	return false, retryAfter
}

// Preview implements dispatch.Quota.
func (s *Service) Preview(o *config.Organisation, now time.Time) Preview {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Like Admit, so that the answer is that for the configuration in force.
	if v := s.deps.View(); v.Content != s.content {
		s.takeOver(v, s.now())
	}
	return s.entry.Preview(o, now.Sub(s.settings.Started))
}

// Refund implements dispatch.Quota.
func (s *Service) Refund(o *config.Organisation, now time.Time) {
	if o.RatePerSecond <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Refunded.Add(1)
	s.entry.Refund(o, now.Sub(s.settings.Started))
}

// takeOver takes over the rates and members of a view.
func (s *Service) takeOver(v *view.View, now time.Duration) {
	if v == s.seen && s.fleet.floor == 0 {
		return
	}
	changed := v.Content != s.content || v.FleetStated && !s.fleet.stated
	if !changed && now-s.membersAt < membersInterval {
		return
	}
	s.takeOverFleet(v, now)
	s.seen, s.content = v, v.Content
	if changed {
		s.rates = Rates{}
		if v.Content != nil {
			s.rates = RatesOf(v.Content.Organisations)
		}
		wasActive := s.active
		s.active = len(s.rates.Organisations) > 0
		if s.active && !wasActive {
			select {
			case s.wake <- struct{}{}:
			default:
			}
		}
	}
	if !s.active && !changed {
		return
	}
	s.membersAt = now
	live, known := liveOf(v.Nodes)
	m := s.fleet.members(live, known, s.rates.Partitions, now)
	if !changed && s.members.same(&m) {
		return
	}
	s.members = m
	s.entry.SetMembers(s.members, s.rates, v.Offset, now)
	s.owner.SetMembers(s.members, s.rates, v.Offset)
}

// Run reports and announces until ctx ends.
func (s *Service) Run(ctx context.Context) {
	defer s.pool.Release()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wake:
		}
		interval := inactiveInterval
		if s.tick(ctx) {
			interval = tickInterval
		}
		timer.Reset(interval)
	}
}

// tick sends what is due. It returns false if the configuration has no organisation with a rate.
func (s *Service) tick(ctx context.Context) bool {
	s.mu.Lock()
	now := s.now()
	s.takeOver(s.deps.View(), now)
	if !s.active {
		s.mu.Unlock()
		return false
	}
	reports := s.entry.Due(now)
	changes := s.entry.Changes(now)
	avoidances := s.entry.Avoidances()
	pushes := append(s.owner.Tick(now), s.entry.Forwards()...)
	s.mu.Unlock()
	s.logChanges(changes)
	s.logAvoidances(avoidances)
	for i := range reports {
		s.report(ctx, &reports[i])
	}
	for i := range pushes {
		s.push(ctx, &pushes[i])
	}
	return true
}

// logChanges logs which organisations start and stop being limited at this node.
func (s *Service) logChanges(changes []Change) {
	for _, c := range changes {
		entry := s.deps.Log.WithFields(log.Fields{
			"event": "organisation_limited", "organisation": c.Organisation.Name, "active": c.Limited,
			"rate_per_s": c.Organisation.RatePerSecond, "burst": c.Organisation.Burst, "refused": c.Refused,
		})
		if c.Limited {
			entry.Warn("organisation exceeds its quota; requests are refused")
			continue
		}
		entry.Info("organisation is within its quota again")
	}
}

// logAvoidances logs which owners are replaced because they do not answer, and which are owners again.
func (s *Service) logAvoidances(list []Avoidance) {
	for _, a := range list {
		entry := s.deps.Log.WithFields(log.Fields{
			"event": "quota_owner_avoided", "active": a.Active, "failure_domain": a.Domain, "node": a.Node, "owner": a.Owner,
		})
		if a.Active {
			s.counters.Avoidances.Add(1)
			entry.Warn("owner of quotas does not answer; others are used instead")
			continue
		}
		entry.Info("avoided owners of quotas are used again")
	}
}

// report sends a report to its owner.
func (s *Service) report(ctx context.Context, out *Outgoing) {
	s.counters.Reports.Add(1)
	if out.probe {
		s.counters.Probes.Add(1)
	}
	if out.To.Node == s.settings.Node {
		news, err := s.serveReport(&out.Report)
		s.finish(out, &news, err)
		return
	}
	err := s.pool.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var news wire.QuotaNews
		err := s.deps.Call(ctx, out.To.Address, methodReport, &out.Report, &news)
		s.finish(out, &news, err)
	})
	if err != nil {
		s.finish(out, nil, err)
	}
}

// finish takes over the result of a report.
func (s *Service) finish(out *Outgoing, news *wire.QuotaNews, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.counters.ReportsFailed.Add(1)
		s.entry.Failed(out)
		return
	}
	s.entry.Answered(out, news, s.now())
}

// push sends news to the nodes that get it.
func (s *Service) push(ctx context.Context, push *Push) {
	news, to := &push.News, push.To
	s.announced(news)
	workers := min(pushWorkers, len(to))
	for w := range workers {
		err := s.pool.Submit(func() {
			for i := w; i < len(to); i += workers {
				if to[i].Node != s.settings.Node {
					s.announce(ctx, news, to[i])
				}
			}
		})
		if err != nil {
			s.counters.AnnouncementsFailed.Add(1)
		}
	}
}

func (s *Service) announce(ctx context.Context, news *wire.QuotaNews, to Peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.counters.AnnouncementsSent.Add(1)
	if err := s.deps.Call(ctx, to.Address, methodAnnounce, news, &wire.QuotaPushReply{}); err != nil {
		s.counters.AnnouncementsFailed.Add(1)
	}
}

// announced takes over news.
func (s *Service) announced(news *wire.QuotaNews) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.Announce(news)
}

// serveReport answers a report as the owner of its partition.
func (s *Service) serveReport(r *wire.QuotaReport) (wire.QuotaNews, error) {
	if r.Known > 0 && !s.deps.View().FleetStated {
		s.deps.HearFleetSize(r.Known)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.takeOver(s.deps.View(), now)
	if !s.active {
		return wire.QuotaNews{}, errNotOwner
	}
	serve := s.owner.Report
	if r.Partition == wire.QuotaCollected {
		serve = s.entry.Collect
	}
	news, ok := serve(r, now)
	if !ok {
		return wire.QuotaNews{}, errNotOwner
	}
	s.counters.ReportsServed.Add(1)
	return news, nil
}

// Receiver is the net/rpc service between entry nodes and owners.
type Receiver struct{ service *Service }

// Receiver returns the net/rpc service of the node.
func (s *Service) Receiver() *Receiver { return &Receiver{s} }

// Report takes over what an entry node counted.
func (r *Receiver) Report(args *wire.QuotaReport, reply *wire.QuotaNews) error {
	news, err := r.service.serveReport(args)
	*reply = news
	return err
}

// Announce takes over news of an owner.
func (r *Receiver) Announce(args *wire.QuotaNews, _ *wire.QuotaPushReply) error {
	r.service.announced(args)
	return nil
}

// Counters returns the values of the counters.
func (s *Service) Counters() CounterValues {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.counters
	v := CounterValues{
		Admitted: c.Admitted.Load(), Refused: c.Refused.Load(), Refunded: c.Refunded.Load(),
		Reports: c.Reports.Load(), ReportsFailed: c.ReportsFailed.Load(), ReportsServed: c.ReportsServed.Load(),
		AnnouncementsSent: c.AnnouncementsSent.Load(), AnnouncementsFailed: c.AnnouncementsFailed.Load(),
		Probes: c.Probes.Load(), Avoidances: c.Avoidances.Load(), Avoided: len(s.entry.avoided),
		Collected: s.entry.collectedCount(s.now()) - 1,
		Tracked:   len(s.entry.states), Buckets: s.owner.buckets(),
	}
	if s.active {
		v.Active = 1
	}
	return v
}

// Dump is the state of the quotas of a node.
type Dump struct {
	Counters CounterValues
	// Nodes is the number of nodes that share the quotas. NodesUnstated is true if no source has stated it yet.
	Nodes         int
	NodesUnstated bool
	// Collector is the node that this one reports through; empty if it reports to the owners itself. Avoided are the failure domains
	// and nodes that are not used because they did not answer.
	Collector string
	Avoided   []string
	// Owners are the owners of the partitions, Limited the organisations that they have limited.
	Owners  []string
	Limited []LimitedOrganisation
	// Owned are the buckets of limited organisations of the partitions that this node owns.
	Owned []OwnedBucket
}

// Dump returns the state of the quotas.
func (s *Service) Dump() Dump {
	d := Dump{Counters: s.Counters()}
	s.mu.Lock()
	defer s.mu.Unlock()
	d.Nodes, d.NodesUnstated = s.members.Known, s.members.Unstated
	for i := range s.entry.partitions {
		d.Owners = append(d.Owners, s.entry.partitions[i].owner.Node)
	}
	d.Collector, d.Avoided = s.entry.collector.owner.Node, s.entry.avoidedNames()
	d.Limited, d.Owned = s.entry.limited(), s.owner.limited()
	return d
}
