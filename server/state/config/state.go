package config

import (
	"maps"
	"slices"
)

// State is the result of folding the records up to an offset. It is immutable: Apply returns another State.
type State struct {
	offset  uint64
	version Version
	// sequence is the publisher's number of a configuration that was installed whole.
	sequence uint64
	// rule is the highest rule version among the folded records; a snapshot states it.
	rule    uint32
	content *Content
	// decisions are the verdicts of the newest records that carried a change id, oldest first.
	decisions []*Verdict
	// changes holds the last change of every existing resource.
	changes map[resource]change
	// tombstones are the last changes of removed resources, oldest first. Every resource that is in neither
	// changes nor tombstones was last changed no later than floor.
	tombstones []tombstone
	floor      change
	// history holds the newest versions, oldest first.
	history []historyEntry
	// blocked says why the state does not move on; empty if it does.
	blocked string
}

// resource names one service or route.
type resource struct {
	kind Kind
	name string
}

// change identifies the accepted change that a later one may conflict with.
type change struct {
	Version  Version `msgpack:"v"`
	ID       string  `msgpack:"id"`
	Operator string  `msgpack:"o,omitempty"`
}

type tombstone struct {
	resource
	change
}

// historyEntry is a remembered version. Undo turns its content into the one before it; keepsUndo is false for
// versions whose undo was dropped.
type historyEntry struct {
	Info      VersionInfo  `msgpack:"i"`
	Undo      []Difference `msgpack:"u,omitempty"`
	KeepsUndo bool         `msgpack:"k,omitempty"`
}

// New returns the state before the first record.
func New() *State {
	return &State{rule: RuleVersion, content: &Content{}, changes: map[resource]change{}}
}

// Offset returns the offset of the last record folded; 0 before the first.
func (s *State) Offset() uint64 { return s.offset }

// Version returns the last accepted version; 0 before the first. It never exceeds Offset.
func (s *State) Version() Version { return s.version }

// Content returns the accepted content. It must not be modified.
func (s *State) Content() *Content { return s.content }

// BlockedReason says why the state does not move past Offset; empty if nothing blocks it.
func (s *State) BlockedReason() string { return s.blocked }

// Verdict returns the first verdict on a change id, as long as it is remembered.
func (s *State) Verdict(changeID string) (Verdict, bool) {
	for _, v := range slices.Backward(s.decisions) {
		if v.ChangeID == changeID {
			return *v, true
		}
	}
	return Verdict{}, false
}

// LastChanged returns the version that changed an existing resource last; 0 if there is no such resource.
func (s *State) LastChanged(kind Kind, name string) Version {
	return s.changes[resource{kind, name}].Version
}

// History returns the remembered versions, newest first, at most 256.
func (s *State) History() []VersionInfo {
	out := make([]VersionInfo, 0, len(s.history))
	for _, h := range slices.Backward(s.history) {
		out = append(out, h.Info)
	}
	return out
}

// ContentOf returns the content of the current version or of one of the 32 before it; false if it is not
// remembered. The content of version 0 is empty.
func (s *State) ContentOf(v Version) (*Content, bool) {
	if v == s.version {
		return s.content, true
	}
	content := s.content
	for i := len(s.history) - 1; i >= 0 && s.history[i].KeepsUndo; i-- {
		content = patch(content, s.history[i].Undo)
		if v == s.versionBefore(i) {
			return content, true
		}
	}
	return nil, false
}

// versionBefore returns the version before entry i of the history; 0, the empty content, before the first. The
// history is longer than undoWindow, so its oldest entry keeps its undo only if it is the first version of all.
func (s *State) versionBefore(i int) Version {
	if i == 0 {
		return 0
	}
	return s.history[i-1].Info.Version
}

// lastChange returns the change that a change to the resource must be based on.
func (s *State) lastChange(r resource) change {
	if c, exists := s.changes[r]; exists {
		return c
	}
	for _, t := range slices.Backward(s.tombstones) {
		if t.resource == r {
			return t.change
		}
	}
	return s.floor
}

// moved returns a copy of the state with the record at the offset folded.
func (s *State) moved(offset uint64) *State {
	next := *s
	next.offset = offset
	next.blocked = ""
	return &next
}

// remember adds the verdict on a change id.
func (s *State) remember(v Verdict) {
	s.decisions = appendBounded(s.decisions, &v, decisionWindow)
}

// accept installs a content that differs from the previous one as described.
func (s *State) accept(content *Content, by change, info VersionInfo) {
	differences := Diff(s.content, content)
	s.content = content
	s.version = by.Version
	s.changes = maps.Clone(s.changes)
	s.tombstones = slices.Clone(s.tombstones)
	for _, d := range differences {
		s.noteChange(d, by)
	}
	s.history = appendBounded(s.history, historyEntry{Info: info, Undo: invert(differences), KeepsUndo: true}, historyWindow)
	dropUndo(s.history)
}

// noteChange records who changed a resource last.
func (s *State) noteChange(d Difference, by change) {
	r := resource{d.Kind, d.Name}
	if d.ServiceAfter != nil || d.RouteAfter != nil {
		s.changes[r] = by
		s.tombstones = slices.DeleteFunc(s.tombstones, func(t tombstone) bool { return t.resource == r })
		return
	}
	delete(s.changes, r)
	s.tombstones = append(s.tombstones, tombstone{r, by})
	if len(s.tombstones) > tombstoneWindow {
		s.floor = s.tombstones[0].change
		s.tombstones = s.tombstones[1:]
	}
}

// appendBounded returns a copy of the list with the element added and the oldest one dropped beyond max. The
// list itself stays as it is, since older states share it.
func appendBounded[T any](list []T, element T, maxLen int) []T {
	drop := max(0, len(list)+1-maxLen)
	out := make([]T, 0, len(list)+1-drop)
	out = append(out, list[drop:]...)
	return append(out, element)
}

// invert returns the differences in the other direction, without the previous values.
func invert(differences []Difference) []Difference {
	out := make([]Difference, len(differences))
	for i, d := range differences {
		out[i] = Difference{Kind: d.Kind, Name: d.Name, ServiceAfter: d.ServiceBefore, RouteAfter: d.RouteBefore}
	}
	return out
}

// dropUndo keeps the undo of the newest versions within undoWindow and undoBytes.
func dropUndo(history []historyEntry) {
	bytes := 0
	for i := len(history) - 1; i >= 0 && history[i].KeepsUndo; i-- {
		bytes += undoSize(history[i].Undo)
		if len(history)-i > undoWindow || bytes > undoBytes {
			history[i].Undo = nil
			history[i].KeepsUndo = false
		}
	}
}

func undoSize(undo []Difference) int {
	size := 0
	for _, d := range undo {
		size += serviceOverhead + len(d.Name)
		if d.ServiceAfter != nil {
			size += serviceSize(d.ServiceAfter)
		}
		if d.RouteAfter != nil {
			size += routeSize(d.RouteAfter)
		}
	}
	return size
}
