package config

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// State is a minimal stand-in for the fold; the implementation of this package replaces it.
type State struct {
	OffsetV  uint64             `msgpack:"o"`
	VersionV Version            `msgpack:"v"`
	ContentV *Content           `msgpack:"c"`
	Verdicts map[string]Verdict `msgpack:"d"`
	Blocked  string             `msgpack:"-"`
}

// New returns the empty state.
func New() *State { return &State{ContentV: &Content{}, Verdicts: map[string]Verdict{}} }

// Offset is the last offset folded.
func (s *State) Offset() uint64 { return s.OffsetV }

// Version is the version in force.
func (s *State) Version() Version { return s.VersionV }

// Content is the content in force.
func (s *State) Content() *Content { return s.ContentV }

// BlockedReason says why the state cannot move on; empty if it can.
func (s *State) BlockedReason() string { return s.Blocked }

// Verdict returns the verdict on a change.
func (s *State) Verdict(id string) (Verdict, bool) {
	v, ok := s.Verdicts[id]
	return v, ok
}

// EncodeSnapshot returns the encoded state.
func (s *State) EncodeSnapshot() ([]byte, error) { return msgpack.Marshal(s) }

// DecodeSnapshot decodes a state.
func DecodeSnapshot(data []byte) (*State, error) {
	s := New()
	return s, msgpack.Unmarshal(data, s)
}

// Apply folds one record.
func (s *State) Apply(r Record) (*State, Verdict) {
	if r.Offset <= s.OffsetV {
		return s, Verdict{Offset: r.Offset, Result: Stale}
	}
	next := &State{OffsetV: r.Offset, VersionV: s.VersionV, ContentV: s.ContentV, Verdicts: s.Verdicts}
	var change Change
	if err := msgpack.Unmarshal(r.Data, &change); err != nil {
		return next, Verdict{Offset: r.Offset, Result: Rejected, Reason: RejectUndecodable}
	}
	if change.Rule != RuleVersion {
		blocked := *s
		blocked.Blocked = "unknown rule version"
		return &blocked, Verdict{Offset: r.Offset, Result: Blocked}
	}
	content := applyStub(s.ContentV, change)
	if content == nil {
		return next, Verdict{Offset: r.Offset, Result: Rejected, Reason: RejectUnknownService}
	}
	next.ContentV = content
	next.VersionV = r.Offset
	return next, Verdict{Offset: r.Offset, ChangeID: change.ID, Result: Accepted, Version: r.Offset}
}

func applyStub(old *Content, change Change) *Content {
	content := &Content{Services: slices.Clone(old.Services), Routes: slices.Clone(old.Routes)}
	switch change.Op {
	case OpPutService:
		content.Services = append(content.Services, *change.Service)
	case OpPutRoute:
		content.Routes = append(content.Routes, *change.Route)
	case OpPublish:
		content = change.Content
	}
	for _, route := range content.Routes {
		for _, d := range route.Destinations {
			if !slices.ContainsFunc(content.Services, func(s Service) bool { return s.Name == d.Service }) {
				return nil
			}
		}
	}
	return content
}
