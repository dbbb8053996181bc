package config

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// snapshotFormat is the version of the encoding of snapshots.
const snapshotFormat = 1

// MaxSnapshotBytes bounds an encoded snapshot. The windows and limits of the rules, and checkWholeSize for configurations
// that are published complete, keep snapshots below it.
const MaxSnapshotBytes = 4 << 20

// snapshot is the encoded form of a state.
type snapshot struct {
	Version    Version        `msgpack:"v"`
	Sequence   uint64         `msgpack:"sq,omitempty"`
	Content    *Content       `msgpack:"c"`
	Decisions  []*Verdict     `msgpack:"d"`
	Changes    []lastChange   `msgpack:"l"`
	Tombstones []lastChange   `msgpack:"t"`
	Floor      change         `msgpack:"f"`
	History    []historyEntry `msgpack:"h"`
}

type lastChange struct {
	Kind Kind   `msgpack:"k"`
	Name string `msgpack:"n"`
	By   change `msgpack:"b"`
}

// EncodeSnapshot returns the state as data: format, rule version and offset, then a map. Equal states give equal
// data. The data carries everything that later calls of Apply depend on, but not BlockedReason, which the next
// record sets again.
func (s *State) EncodeSnapshot() ([]byte, error) {
	out := snapshot{
		Version: s.version, Sequence: s.sequence, Content: s.content, Decisions: s.decisions, Floor: s.floor, History: s.history,
		Changes:    make([]lastChange, 0, len(s.changes)),
		Tombstones: make([]lastChange, 0, len(s.tombstones)),
	}
	for r, by := range s.changes {
		out.Changes = append(out.Changes, lastChange{r.kind, r.name, by})
	}
	slices.SortFunc(out.Changes, compareChanges)
	for _, t := range s.tombstones {
		out.Tombstones = append(out.Tombstones, lastChange{t.kind, t.name, t.change})
	}
	data, err := encode(&out, uint64(snapshotFormat), uint64(s.rule), s.offset)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

func compareChanges(a, b lastChange) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// SnapshotOffset returns the offset of a snapshot without decoding the rest. The error is an *UnknownRuleError if
// this build cannot use the snapshot, or wraps ErrUndecodable.
func SnapshotOffset(data []byte) (uint64, error) {
	offset, _, err := snapshotHeader(data)
	return offset, err
}

// snapshotHeader returns the offset and the encoded map.
func snapshotHeader(data []byte) (offset uint64, body []byte, err error) {
	if len(data) > MaxSnapshotBytes {
		return 0, nil, fmt.Errorf("%w: snapshot of %d bytes", ErrUndecodable, len(data))
	}
	r := bytes.NewReader(data)
	d := msgpack.NewDecoder(r)
	var header [3]uint64
	for i := range header {
		if header[i], err = d.DecodeUint64(); err != nil {
			return 0, nil, fmt.Errorf("%w: %w", ErrUndecodable, err)
		}
	}
	switch {
	case header[0] != snapshotFormat:
		return 0, nil, fmt.Errorf("%w: snapshot format %d", ErrUndecodable, header[0])
	case header[1] == 0 || header[1] > 1<<32-1:
		return 0, nil, fmt.Errorf("%w: rule version %d", ErrUndecodable, header[1])
	case header[1] > uint64(RuleVersion):
		return 0, nil, &UnknownRuleError{Rule: uint32(header[1])}
	}
	return header[2], data[len(data)-r.Len():], nil
}

// DecodeSnapshot returns the state that EncodeSnapshot wrote. It checks the content as Apply does. The error is an
// *UnknownRuleError or wraps ErrUndecodable.
func DecodeSnapshot(data []byte) (*State, error) {
	offset, body, err := snapshotHeader(data)
	if err != nil {
		return nil, err
	}
	in := snapshot{}
	if err := decode(body, &in, maxSnapshotElements); err != nil {
		return nil, err
	}
	if err := checkSnapshot(offset, &in); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUndecodable, err)
	}
	s := &State{
		offset: offset, version: in.Version, sequence: in.Sequence, rule: RuleVersion,
		content: in.Content, decisions: in.Decisions,
		changes: make(map[resource]change, len(in.Changes)), floor: in.Floor, history: in.History,
	}
	for _, c := range in.Changes {
		s.changes[resource{c.Kind, c.Name}] = c.By
	}
	for _, t := range in.Tombstones {
		s.tombstones = append(s.tombstones, tombstone{resource{t.Kind, t.Name}, t.By})
	}
	return s, nil
}

// checkSnapshot returns an error if the fold cannot have produced the snapshot.
func checkSnapshot(offset uint64, in *snapshot) error {
	if in.Content == nil || in.Version > offset {
		return fmt.Errorf("version %d at offset %d", in.Version, offset)
	}
	if len(in.Decisions) > decisionWindow || len(in.Tombstones) > tombstoneWindow || len(in.History) > historyWindow {
		return errors.New("a window is exceeded")
	}
	if slices.Contains(in.Decisions, nil) {
		return errors.New("a decision is missing")
	}
	if !slices.IsSortedFunc(in.Content.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) }) ||
		!slices.IsSortedFunc(in.Content.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) }) {
		return errors.New("content is not sorted")
	}
	if !slices.IsSortedFunc(in.Content.Organisations, func(a, b Organisation) int { return cmp.Compare(a.Name, b.Name) }) ||
		!slices.IsSortedFunc(in.Content.Rollouts, compareRollouts) ||
		!slices.IsSortedFunc(in.Content.UnplacedRollouts, compareRollouts) {
		return errors.New("content is not sorted")
	}
	if in.Sequence != 0 {
		if detail := checkWhole(in.Content); detail != "" {
			return &InvalidError{Sequence: in.Sequence, Detail: detail}
		}
		return nil
	}
	if refused := validate(in.Content); refused != nil {
		return fmt.Errorf("%s: %s", refused.reason, refused.detail)
	}
	return checkHistory(in)
}

// checkHistory returns an error unless the history ends with the version in force and every resource has a change.
func checkHistory(in *snapshot) error {
	newest := Version(0)
	for i := range in.History {
		v := in.History[i].Info.Version
		if v <= newest {
			return fmt.Errorf("version %d after version %d", v, newest)
		}
		newest = v
	}
	if newest != in.Version {
		return fmt.Errorf("history ends with version %d, not %d", newest, in.Version)
	}
	if len(in.Changes) != len(in.Content.Services)+len(in.Content.Routes) {
		return fmt.Errorf("%d last changes for %d services and %d routes",
			len(in.Changes), len(in.Content.Services), len(in.Content.Routes))
	}
	for i, c := range in.Changes {
		if i > 0 && compareChanges(in.Changes[i-1], c) >= 0 {
			return fmt.Errorf("last change of %s %q is out of order", c.Kind, c.Name)
		}
		_, isService := find(in.Content.Services, c.Name, serviceName)
		_, isRoute := find(in.Content.Routes, c.Name, routeName)
		known := c.Kind == KindService && isService || c.Kind == KindRoute && isRoute
		if !known || c.By.Version > in.Version {
			return fmt.Errorf("last change of %s %q in version %d", c.Kind, c.Name, c.By.Version)
		}
	}
	return nil
}
