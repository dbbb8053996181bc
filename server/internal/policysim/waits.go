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

// Waits is a run of nodes that send requests to the targets of one service in one failure domain. Each node knows the
// load of a target from its own requests only.
type Waits struct {
	Senders, Targets int
	// Load is the share of the slots that the requests use.
	Load float64
	// Unlimited lets requests wait as long as the objective permits, instead of as long as no other target is expected
	// to respond sooner.
	Unlimited  bool
	DurationMS float64
	Seed       uint64
}

// WaitsReport counts the requests by result. MeanMS is the mean time to a response in milliseconds, Offers the number of
// nodes that requests were sent to.
type WaitsReport struct {
	Requests, InTime, Late, Refused, Offers int
	MeanMS                                  float64
}

// Sizes of the model.
const (
	waitSlots     = 12
	waitServiceMS = 220.0
	waitSpread    = 0.5
	waitObjective = 600 * time.Millisecond
	waitTimeout   = 2 * time.Second
	waitOffersMax = 8
)

type waitsRun struct {
	clock
	Waits
	// arrivals draws the requests, random everything else, so that two policies get the same requests.
	arrivals, random *rand.Rand

	senders []*routing.Tracker
	targets []*waitsTarget
	entries []*endpoint.Entry
	lastID  uint64
	totalMS float64
	report  WaitsReport
}

type waitsTarget struct {
	state  *admission.State
	queued map[uint64]*offer
}

// offer is a request at one target.
type offer struct {
	*waitsRequest
	target  int
	attempt routing.Attempt
}

type waitsRequest struct {
	sender     int
	startedMS  float64
	durationMS float64
	offers     int
	tried      map[string]bool
	waits      routing.WaitLimit
}

// RunWaits plays the requests until all of them have a result.
func RunWaits(p Waits) WaitsReport {
	r := &waitsRun{Waits: p, arrivals: rand.New(rand.NewPCG(p.Seed, 7)), random: rand.New(rand.NewPCG(p.Seed, 8))}
	for range p.Senders {
		r.senders = append(r.senders, routing.NewTracker(routing.DefaultSettings()))
	}
	for i := range p.Targets {
		r.targets = append(r.targets, &waitsTarget{
			state: admission.New(admission.Settings{Slots: waitSlots, Queue: 300}), queued: make(map[uint64]*offer),
		})
		r.entries = append(r.entries, &endpoint.Entry{
			Node: fmt.Sprintf("t%d", i), Slots: waitSlots, FailureDomain: "d",
			Key: endpoint.Key{State: endpoint.Alive, Revision: 1},
		})
	}
	r.after(0, r.arrive)
	r.run()
	r.report.MeanMS = r.totalMS / float64(max(r.report.InTime+r.report.Late, 1))
	return r.report
}

func (r *waitsRun) unixMS() int64 { return startMS + int64(r.nowMS) }

func (r *waitsRun) time() time.Time {
	return time.UnixMilli(startMS).Add(time.Duration(r.nowMS * float64(time.Millisecond)))
}

// arrive starts one request and schedules the next one, with exponential gaps and long-tailed service times.
func (r *waitsRun) arrive() {
	if r.nowMS >= r.DurationMS {
		return
	}
	r.after(r.arrivals.ExpFloat64()*waitServiceMS/(r.Load*waitSlots*float64(r.Targets)), r.arrive)
	r.report.Requests++
	r.offer(&waitsRequest{
		sender: r.arrivals.IntN(r.Senders), startedMS: r.nowMS, tried: make(map[string]bool),
		durationMS: waitServiceMS * math.Exp(waitSpread*r.arrivals.NormFloat64()-waitSpread*waitSpread/2),
	})
}

// offer sends a request to the target of its sender's choice.
func (r *waitsRun) offer(q *waitsRequest) {
	tracker := r.senders[q.sender]
	choice := &routing.Choice{
		Candidates: r.entries, NearCount: len(r.entries), Exclude: q.tried, NowMS: r.unixMS(),
		Stat:     func(node string) routing.NodeStats { return tracker.StatOf(node, 1, r.unixMS()) },
		Locality: routing.Locality{FailureDomain: "d"}, Settings: routing.DefaultSettings(), Random: r.random.Uint64,
	}
	selection := routing.ChooseLowestCost(choice, routing.Demand{Objective: waitObjective}, routing.CostWeights{}, "")
	if selection.Target == nil && q.waits.Reconsider(q.tried) {
		r.offer(q)
		return
	}
	if selection.Target == nil || q.offers == waitOffersMax {
		r.report.Refused++
		return
	}
	q.waits.Max = selection.MaxWait
	q.offers++
	q.tried[selection.Target.Node] = true
	r.report.Offers++
	var target int
	fmt.Sscanf(selection.Target.Node, "t%d", &target)
	o := &offer{waitsRequest: q, target: target, attempt: tracker.Begin(selection.Target.Node, r.unixMS())}
	maxWait := q.waits.Limit()
	if r.Unlimited {
		maxWait = 0
	}
	r.after(latencyMS, func() { r.receive(o, maxWait) })
}

func (r *waitsRun) receive(o *offer, maxWait time.Duration) {
	r.lastID++
	left := time.Duration((o.startedMS - r.nowMS) * float64(time.Millisecond))
	a := admission.Arrival{
		ID: r.lastID, Kind: 1, Deadline: r.time().Add(left + waitTimeout), Due: r.time().Add(left + waitObjective), MaxWait: maxWait,
	}
	t := r.targets[o.target]
	switch verdict, reason := t.state.Admit(r.time(), a); verdict {
	case admission.Granted:
		r.start(o)
	case admission.Queued:
		t.queued[a.ID] = o
	case admission.Refused:
		r.respond(o, reason)
	}
}

func (r *waitsRun) start(o *offer) {
	r.after(o.durationMS, func() {
		t := r.targets[o.target]
		t.state.Observe(time.Duration(o.durationMS*float64(time.Millisecond)), 1)
		r.respond(o, outcome.ReasonNone)
		for _, action := range t.state.ReleaseSlot(r.time(), 1) {
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

// respond sends the response of a target, with its load, to the sender. reason is set if the target refused the request.
func (r *waitsRun) respond(o *offer, reason outcome.Reason) {
	state := r.targets[o.target].state
	report := &routing.Report{
		InUse: state.InUse(), Queued: state.Queued(), Kind: 1, ServiceTime: state.KindTime(1),
		Full: reason == outcome.ReasonQueueFull, Wait: state.Wait(r.time(), 1),
	}
	r.after(latencyMS, func() {
		r.senders[o.sender].EndWithReport(o.attempt, routing.Succeeded, report, r.unixMS())
		if reason != outcome.ReasonNone {
			if reason == outcome.ReasonWaitExceeded {
				o.waits.Record(r.entries[o.target].Node, o.tried)
			}
			r.offer(o.waitsRequest)
			return
		}
		took := r.nowMS - o.startedMS
		r.totalMS += took
		if took <= float64(waitObjective.Milliseconds()) {
			r.report.InTime++
		} else {
			r.report.Late++
		}
	})
}
