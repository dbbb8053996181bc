package config

import (
	"errors"
	"fmt"
	"unicode/utf8"
)

// Apply folds the next record and returns the new state with the verdict on the record. It depends on nothing
// but the state and the record, so all readers decide alike.
//
// Records must come without a gap: one at or below Offset is Stale, one that is not the next is Ahead, and both
// leave the state as it is. A record of an unknown rule version is Blocked and only sets BlockedReason.
func (s *State) Apply(r Record) (*State, Verdict) {
	if r.Offset <= s.offset {
		return s, Verdict{Offset: r.Offset, Result: Stale}
	}
	if r.Offset != s.offset+1 {
		return s, Verdict{Offset: r.Offset, Result: Ahead}
	}
	c, err := DecodeChange(r.Data)
	var unknown *UnknownRuleError
	if errors.As(err, &unknown) {
		return s.block(r, unknown)
	}
	next := s.moved(r.Offset)
	if err != nil {
		return next, undecodable(r, err)
	}
	if refused := checkIdentity(&c); refused != nil {
		return next, rejected(r, c.ID, refused)
	}
	if first, seen := s.Verdict(c.ID); seen {
		first.First = first.Result
		first.Result = Repeated
		return next, first
	}
	verdict := next.decide(r, &c)
	next.remember(verdict)
	return next, verdict
}

// block returns the state with the reason why it does not move past a record.
func (s *State) block(r Record, err *UnknownRuleError) (*State, Verdict) {
	next := *s
	next.blocked = fmt.Sprintf("record %d: %v", r.Offset, err)
	return &next, Verdict{Offset: r.Offset, Result: Blocked, Reason: RejectUnknownRule, Detail: next.blocked}
}

// undecodable is the verdict on a record whose change id is not known; it cannot be remembered by id.
func undecodable(r Record, err error) Verdict {
	reason := RejectUndecodable
	var large *TooLargeError
	if errors.As(err, &large) {
		reason = RejectTooLarge
	}
	return rejected(r, "", refuse(reason, "%v", err))
}

func rejected(r Record, id string, why *refusal) Verdict {
	return Verdict{Offset: r.Offset, ChangeID: id, Result: Rejected, Reason: why.reason, Detail: why.detail}
}

// checkIdentity refuses a change that cannot be remembered by its id.
func checkIdentity(c *Change) *refusal {
	if !validText(c.ID, limits.MaxChangeIDBytes) {
		c.ID = ""
		return refuse(RejectInvalidChangeID, "a change id has 1 to %d printable characters", limits.MaxChangeIDBytes)
	}
	return nil
}

// decide judges a change whose id is new, and installs its content if it is accepted.
func (s *State) decide(r Record, c *Change) Verdict {
	if len(c.Operator) > limits.MaxOperatorBytes || !utf8.ValidString(c.Operator) {
		c.Operator = ""
		return rejected(r, c.ID, refuse(RejectInvalidField, "operator has at most %d bytes of UTF-8", limits.MaxOperatorBytes))
	}
	if refused := checkShapeOf(c); refused != nil {
		return rejected(r, c.ID, refused)
	}
	if c.Base > s.version {
		return rejected(r, c.ID, refuse(RejectUnknownBase, "base version %d is above version %d", c.Base, s.version))
	}
	if winner, lost := s.conflict(c); lost {
		return Verdict{
			Offset: r.Offset, ChangeID: c.ID, Result: Conflicted, Current: s.version,
			WinnerID: winner.ID, WinnerOperator: winner.Operator,
			Detail: fmt.Sprintf("changed in version %d, after the base version %d", winner.Version, c.Base),
		}
	}
	content, refused := s.edit(c)
	if refused == nil {
		refused = validate(content)
	}
	if refused != nil {
		return rejected(r, c.ID, refused)
	}
	by := change{Version: r.Offset, ID: c.ID, Operator: c.Operator}
	s.accept(content, by, VersionInfo{
		Version: r.Offset, ChangeID: c.ID, Operator: c.Operator, Base: c.Base, Summary: c.Summary(), TimeMS: r.TimeMS,
	})
	return Verdict{Offset: r.Offset, ChangeID: c.ID, Result: Accepted, Version: r.Offset}
}

// checkShapeOf refuses a change that does not carry exactly the fields of its operation.
func checkShapeOf(c *Change) *refusal {
	valid := false
	switch c.Op {
	case OpPutService:
		valid = c.Service != nil && c.Route == nil && c.Content == nil && c.Name == ""
	case OpPutRoute:
		valid = c.Route != nil && c.Service == nil && c.Content == nil && c.Name == ""
	case OpDeleteService, OpDeleteRoute:
		valid = validName(c.Name) && c.Service == nil && c.Route == nil && c.Content == nil
	case OpPublish:
		valid = c.Content != nil && c.Service == nil && c.Route == nil && c.Name == ""
	}
	isPut := c.Op == OpPutService || c.Op == OpPutRoute
	if !isPut && (c.CreateOnly || c.UpdateOnly) {
		valid = false
	}
	if !valid {
		return refuse(RejectInvalidField, "the fields do not fit operation %d", c.Op)
	}
	return nil
}

// Target returns the resource that the change names; false for a publish and an unknown operation.
func (c *Change) Target() (kind Kind, name string, single bool) {
	switch {
	case c.Op == OpPutService && c.Service != nil:
		return KindService, c.Service.Name, true
	case c.Op == OpPutRoute && c.Route != nil:
		return KindRoute, c.Route.Name, true
	case c.Op == OpDeleteService:
		return KindService, c.Name, true
	case c.Op == OpDeleteRoute:
		return KindRoute, c.Name, true
	default:
		return 0, "", false
	}
}

// Summary returns the operation in words, for example "put route cart".
func (c *Change) Summary() string {
	kind, name, single := c.Target()
	switch {
	case !single && c.Content != nil:
		return fmt.Sprintf("publish %d services, %d routes", len(c.Content.Services), len(c.Content.Routes))
	case !single:
		return "unknown operation"
	case c.Op == OpDeleteService || c.Op == OpDeleteRoute:
		return fmt.Sprintf("delete %s %s", kind, name)
	default:
		return fmt.Sprintf("put %s %s", kind, name)
	}
}

// conflict returns the change that the given one lost against.
func (s *State) conflict(c *Change) (change, bool) {
	kind, name, single := c.Target()
	if single {
		last := s.lastChange(resource{kind, name})
		return last, last.Version > c.Base
	}
	if c.Base == s.version {
		return change{}, false
	}
	newest := s.history[len(s.history)-1].Info
	return change{Version: newest.Version, ID: newest.ChangeID, Operator: newest.Operator}, true
}

// edit returns the content after the change, not yet validated.
func (s *State) edit(c *Change) (*Content, *refusal) {
	kind, name, single := c.Target()
	if !single {
		return sorted(c.Content), nil
	}
	_, exists := s.changes[resource{kind, name}]
	isDelete := c.Op == OpDeleteService || c.Op == OpDeleteRoute
	switch {
	case c.CreateOnly && exists:
		return nil, refuse(RejectAlreadyExists, "%s %s exists", kind, name)
	case !exists && (c.UpdateOnly || isDelete):
		return nil, refuse(RejectNotFound, "no %s %s", kind, name)
	}
	if c.Op == OpDeleteService {
		if route, used := usedBy(s.content, name); used {
			return nil, refuse(RejectServiceInUse, "route %s names service %s", route, name)
		}
	}
	d := Difference{Kind: kind, Name: name, ServiceAfter: c.Service, RouteAfter: c.Route}
	return patch(s.content, []Difference{d}), nil
}

// usedBy returns the first route that names the service.
func usedBy(c *Content, service string) (string, bool) {
	for i := range c.Routes {
		for j := range c.Routes[i].Destinations {
			if c.Routes[i].Destinations[j].Service == service {
				return c.Routes[i].Name, true
			}
		}
	}
	return "", false
}
