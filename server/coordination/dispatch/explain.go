package dispatch

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"wagtailford.example/server/coordination/quota"
	"wagtailford.example/server/coordination/rollout"
	"wagtailford.example/server/coordination/routing"
	"wagtailford.example/server/protocol/outcome"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

// ExplainRequest describes a request of a caller outside the mesh that states no timeout.
type ExplainRequest struct {
	// Host, Path and Method are those of Request.
	Host, Path, Method string
	// Organisation is the name of the organisation that sends the request; empty for a request without a key.
	Organisation string
	// Idempotent replaces what the route and the method say; nil leaves it.
	Idempotent *bool
}

// Explanation is how a request would be placed now. The fields are set as far as the decisions get.
type Explanation struct {
	Node    string
	Version config.Version
	// Behind is true if the node knows of a newer configuration.
	Behind bool
	// Balance is the policy that selects targets.
	Balance        string
	Route, Service string
	// ServiceDecided is false if the node starts the route at a random one of its services.
	ServiceDecided bool
	// Rollout is the chosen software version; nil if the service has no order.
	Rollout *rollout.Choice
	// Organisation is the organisation of the request, empty if it has none. OrganisationPriority ranks its requests, then
	// Priority those of the route; 0 comes first.
	Organisation                   string
	OrganisationPriority, Priority int
	// Nested is true if the requests of the route are known to be calls of running requests.
	Nested     bool
	Idempotent bool
	// Attempts limits the attempts that reach a target. Objective is 0 if the route has none.
	Attempts           int
	Timeout, Objective time.Duration
	// Quota is nil if the request has no organisation.
	Quota *quota.Preview
	// Candidates are the members of the service, those in Order first.
	Candidates []ExplainedCandidate
	// Order are the nodes that are tried if each refuses the request for a reason that says nothing of the others.
	Order []string
	// Refused is the result if the request is refused before it is sent anywhere; nil if it is sent.
	Refused *Result
}

// ExplainedCandidate is a member of the service.
type ExplainedCandidate struct {
	Entry *endpoint.Entry
	// Rating is nil for members that may not receive new requests.
	Rating *routing.Rating
	// Excluded is why the member is not compared with others; empty if it is.
	Excluded string
}

// Reasons for which a member may not receive new requests, besides its state.
const (
	excludedVersion   = "software_version"
	excludedTest      = "rollout_test"
	excludedWithdrawn = "withdrawn"
	excludedState     = "state"
)

// Explain returns how a request would be placed now. It makes the decisions of Do without sending the request and without
// changing what later requests depend on. The random variation of ranks is left out.
func (h *Handler) Explain(r *ExplainRequest) *Explanation {
	s := &explaining{h: h, request: r, explanation: &Explanation{Node: h.settings.Node, Balance: h.settings.Balance}}
	s.run(&Trace{Started: time.Now()})
	return s.explanation
}

// explaining are the steps of an explanation.
type explaining struct {
	h           *Handler
	request     *ExplainRequest
	explanation *Explanation
	// ratings are those of the first choice, by node. It is complete once selected is true.
	ratings  map[string]*routing.Rating
	selected bool
	// stats are the statistics of the candidates as of their first use, by node.
	stats map[string]routing.NodeStats
}

func (s *explaining) run(trace *Trace) {
	e := s.explanation
	j, refused := s.h.prepare(&Request{Host: s.request.Host, Path: s.request.Path, Method: s.request.Method}, trace, s)
	v := trace.View
	if v == nil {
		v = s.currentView()
	}
	if v != nil && v.Version != 0 {
		e.Version, e.Behind = v.Version, s.h.isBehind(v)
	}
	e.Route, e.Refused = trace.Route, refused
	if refused != nil {
		return
	}
	j.explaining = s
	if s.request.Idempotent != nil {
		j.idempotent = *s.request.Idempotent
	}
	e.Service, e.Idempotent, e.Attempts, e.Nested = j.service, j.idempotent, j.limits.attempts, j.request.Nested
	e.Priority = j.request.Priority
	e.Timeout = j.limits.deadline.Sub(trace.Started)
	if j.limits.objective.Before(j.limits.deadline) {
		e.Objective = j.limits.objective.Sub(trace.Started)
	}
	target := j.selectTarget()
	s.selected = true
	if j.pick != nil {
		choice := j.pick.Choice()
		e.Rollout = &choice
	}
	if target == nil {
		e.Refused = j.resultOf(refusal(j.lastRefusal))
	}
	for target != nil {
		e.Order = append(e.Order, target.Node)
		j.tried[target.Node] = true
		j.lastRefusal = outcome.ReasonConnectFailed
		if !j.shouldRetry(context.Background(), refusal(outcome.ReasonConnectFailed)) {
			break
		}
		target = j.selectTarget()
	}
	s.addCandidates(j)
}

// addCandidates describes the members of the service. The first choice has rated those that may receive new requests.
func (s *explaining) addCandidates(j *job) {
	e := s.explanation
	for _, member := range j.view.ByService[j.service] {
		c := ExplainedCandidate{Entry: member, Rating: s.ratings[member.Node]}
		switch {
		case c.Rating != nil:
			c.Excluded = c.Rating.Verdict.String()
		case member.Withdrawn:
			c.Excluded = excludedWithdrawn
		case j.pick != nil && !j.pick.Filter().Allows(member.SoftwareVersion):
			c.Excluded = excludedVersion
		case j.pick != nil && !j.pick.Filter().AllowsNode(member.Node):
			// Other targets of the version are tested at full load.
			c.Excluded = excludedTest
		default:
			c.Excluded = excludedState
		}
		e.Candidates = append(e.Candidates, c)
	}
	order := make(map[string]int, len(e.Order))
	for i, node := range e.Order {
		order[node] = i
	}
	// place returns the position in Order or a group behind it, and the rank within that group.
	place := func(c *ExplainedCandidate) (group int, rank time.Duration) {
		switch at, ordered := order[c.Entry.Node]; {
		case ordered:
			return at, 0
		case c.Rating == nil:
			return len(e.Order) + 2, 0
		case c.Excluded == "":
			return len(e.Order), c.Rating.Rank
		}
		return len(e.Order) + 1, c.Rating.Rank
	}
	slices.SortFunc(e.Candidates, func(a, b ExplainedCandidate) int {
		groupA, rankA := place(&a)
		groupB, rankB := place(&b)
		return cmp.Or(cmp.Compare(groupA, groupB), cmp.Compare(rankA, rankB), cmp.Compare(a.Entry.Node, b.Entry.Node))
	})
}

// currentView leaves it to requests to remove what is kept of nodes that are not in the view. It is not used for others.
func (s *explaining) currentView() *view.View { return s.h.deps.View() }

// organisation looks up the organisation by name in place of its key. One without keys cannot send requests.
func (s *explaining) organisation(v *view.View, route *config.Route, _ *Request) (*config.Organisation, *Result) {
	rule := v.KeyRule()
	if rule == config.KeysIgnored || rule != config.KeysDecide && s.request.Organisation == "" {
		return nil, nil
	}
	var named *config.Organisation
	for i := range v.Content.Organisations {
		if o := &v.Content.Organisations[i]; o.Name == s.request.Organisation && len(o.KeyDigests) > 0 {
			named = o
		}
	}
	o, refused := s.h.admitOrganisation(v, route, named, false)
	if o != nil {
		s.explanation.Organisation, s.explanation.OrganisationPriority = o.Name, int(o.Priority)
	}
	return o, refused
}

func (s *explaining) destination(route *config.Route) *config.Destination {
	next, decided := s.h.splitter.Peek(route)
	s.explanation.ServiceDecided = decided
	return next
}

func (s *explaining) admit(o *config.Organisation, _ time.Duration) *Result {
	if o == nil || s.h.deps.Quota == nil {
		return nil
	}
	p := s.h.deps.Quota.Preview(o, time.Now())
	s.explanation.Quota = &p
	return quotaResult(p.Admitted, p.RetryAfter)
}

func (s *explaining) pick(v *view.View, service string, kind uint32, now time.Time) *rollout.Pick {
	return s.h.deps.Rollouts.Preview(v, service, kind, now)
}

// statsOf returns the statistics of candidates, of which all choices of the explanation use the same copy.
func (s *explaining) statsOf(kind uint32, nowMS int64, list []*endpoint.Entry) func(node string) routing.NodeStats {
	missing := make([]*endpoint.Entry, 0, len(list))
	for _, e := range list {
		if _, known := s.stats[e.Node]; !known {
			missing = append(missing, e)
		}
	}
	if s.stats == nil {
		s.stats = make(map[string]routing.NodeStats, len(missing))
	}
	for i, stat := range s.h.tracker.CopyStats(kind, nowMS, missing) {
		s.stats[missing[i].Node] = stat
	}
	return func(node string) routing.NodeStats { return s.stats[node] }
}

// choose keeps the ratings of the first choice. If the request is moved to the other version, that takes two rounds.
func (s *explaining) choose(c *routing.Choice, d routing.Demand) routing.Selection {
	weights, node := s.h.settings.Weights, s.h.settings.Node
	if s.selected {
		c.Random = s.random
		return s.h.policy.Choose(c, d, weights, node)
	}
	selection, ratings := s.h.policy.Explain(c, d, weights, node)
	if s.ratings == nil {
		s.ratings = make(map[string]*routing.Rating)
	}
	maps.Copy(s.ratings, ratings)
	return selection
}

func (s *explaining) recordFallback() {}

// random returns the middle of the range, which leaves the random sequence of requests as it is.
func (s *explaining) random() uint64 { return 1 << 63 }
