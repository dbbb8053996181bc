package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mustEncode returns the record data of a change.
func mustEncode(c Change) []byte {
	data, err := EncodeChange(c)
	if err != nil {
		panic(err)
	}
	return data
}

// fold applies changes as the next records and returns the state with the last verdict.
func fold(s *State, changes ...Change) (*State, Verdict) {
	var v Verdict
	for _, c := range changes {
		s, v = s.Apply(Record{Offset: s.Offset() + 1, TimeMS: 7, Data: mustEncode(c)})
	}
	return s, v
}

func putService(id string, base Version, name string) Change {
	return Change{ID: id, Base: base, Operator: "op-" + id, Op: OpPutService, Service: &Service{Name: name}}
}

func putRoute(id string, base Version, r Route) Change {
	return Change{ID: id, Base: base, Op: OpPutRoute, Route: &r}
}

func publish(id string, base Version, services []string, routes ...Route) Change {
	c := &Content{Routes: routes}
	for _, name := range services {
		c.Services = append(c.Services, Service{Name: name})
	}
	return Change{ID: id, Base: base, Op: OpPublish, Content: c}
}

func route(name, caller, prefix string, services ...string) Route {
	r := Route{Name: name, Caller: caller, PathPrefix: prefix}
	for _, s := range services {
		r.Destinations = append(r.Destinations, Destination{Service: s, Weight: 1})
	}
	return r
}

// TestVerdicts guards against a rule of the fold that is not enforced, or enforced on too much. Every case starts
// from version 3: services a and b (changed in 1) and c (changed in 2), route r to a; version 3 removed service d.
func TestVerdicts(t *testing.T) {
	labelled := route("x", "y", "/y", "a")
	labelled.Destinations[0].Labels = map[string]string{"k": "not ascii é"}
	heavy := route("x", "y", "/y", "a")
	heavy.Destinations[0].Weight = 1001
	slow := route("x", "y", "/y", "a")
	slow.Timeout = time.Hour
	method := route("x", "y", "/y", "a")
	method.IdempotentMethods = []string{"post"}
	createOnly, updateOnly := putService("n", 3, "a"), putService("n", 3, "new")
	createOnly.CreateOnly, updateOnly.UpdateOnly = true, true
	cases := []struct {
		name   string
		change Change
		result Result
		reason RejectReason
	}{
		{"new service", putService("n", 0, "new"), Accepted, ""},
		{"change based on its last change", putService("n", 1, "a"), Accepted, ""},
		{"change based on an older version", putService("n", 1, "c"), Conflicted, ""},
		{"base 0 of a resource that changed", putService("n", 0, "a"), Conflicted, ""},
		{"removed resource put again from before", putService("n", 2, "d"), Conflicted, ""},
		{"removed resource put again", putService("n", 3, "d"), Accepted, ""},
		{"base above the version", putService("n", 4, "a"), Rejected, RejectUnknownBase},
		{"repeated id", putService("two", 3, "new"), Repeated, ""},
		{"publish on an older version", publish("n", 2, []string{"a"}), Conflicted, ""},
		{"publish without base", publish("n", 0, []string{"a"}), Conflicted, ""},
		{"publish", publish("n", 3, []string{"z", "a"}), Accepted, ""},
		{"publish of nothing", publish("n", 3, nil), Accepted, ""},
		{"service given twice", publish("n", 3, []string{"a", "a"}), Rejected, RejectDuplicateName},
		{"route given twice", publish("n", 3, []string{"a"}, route("x", "*", "/1", "a"), route("x", "*", "/2", "a")), Rejected, RejectDuplicateName},
		{"ambiguous routes", putRoute("n", 3, route("q", "*", "/", "b")), Rejected, RejectAmbiguousRoute},
		{"same prefix for another caller", putRoute("n", 3, route("q", "web", "/", "b")), Accepted, ""},
		{"destination without service", putRoute("n", 3, route("q", "web", "/", "nope")), Rejected, RejectUnknownService},
		{"publish drops a service in use", publish("n", 3, []string{"b"}, route("r", "*", "/", "a")), Rejected, RejectUnknownService},
		{"service in use removed", Change{ID: "n", Base: 3, Op: OpDeleteService, Name: "a"}, Rejected, RejectServiceInUse},
		{"service removed", Change{ID: "n", Base: 3, Op: OpDeleteService, Name: "b"}, Accepted, ""},
		{"unknown service removed", Change{ID: "n", Base: 3, Op: OpDeleteService, Name: "nope"}, Rejected, RejectNotFound},
		{"route removed", Change{ID: "n", Base: 3, Op: OpDeleteRoute, Name: "r"}, Accepted, ""},
		{"create of an existing service", createOnly, Rejected, RejectAlreadyExists},
		{"update of a new service", updateOnly, Rejected, RejectNotFound},
		{"no destination", putRoute("n", 3, route("x", "y", "/y")), Rejected, RejectInvalidField},
		{"prefix without slash", putRoute("n", 3, route("x", "y", "y", "a")), Rejected, RejectInvalidField},
		{"empty caller", putRoute("n", 3, route("x", "", "/y", "a")), Rejected, RejectInvalidField},
		{"label", putRoute("n", 3, labelled), Rejected, RejectInvalidField},
		{"weight", putRoute("n", 3, heavy), Rejected, RejectInvalidField},
		{"timeout", putRoute("n", 3, slow), Rejected, RejectInvalidField},
		{"method", putRoute("n", 3, method), Rejected, RejectInvalidField},
		{"service name", putService("n", 3, "Upper"), Rejected, RejectInvalidName},
		{"operation without its field", Change{ID: "n", Base: 3, Op: OpPutRoute, Name: "r"}, Rejected, RejectInvalidField},
		{"unknown operation", Change{ID: "n", Base: 3, Op: 77}, Rejected, RejectInvalidField},
		{"no change id", putService("", 3, "new"), Rejected, RejectInvalidChangeID},
		{"too many services", publish("n", 3, strings.Split(strings.Repeat("a ", 256)+"a", " ")), Rejected, RejectLimitExceeded},
	}
	base, v := fold(New(), publish("one", 0, []string{"a", "b", "d"}, route("r", "*", "/", "a")), putService("two", 1, "c"),
		Change{ID: "three", Base: 2, Op: OpDeleteService, Name: "d"})
	assert.Equal(t, v.Version, Version(3))
	before, _ := base.EncodeSnapshot()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, v := fold(base, c.change)
			assert.Equal(t, v.Result, c.result, "%+v", v)
			assert.Equal(t, v.Reason, c.reason, "%+v", v)
			assert.Equal(t, s.Offset(), uint64(4))
			if c.result == Accepted {
				assert.Equal(t, s.Version(), Version(4))
				return
			}
			assert.Equal(t, s.Version(), Version(3))
			assert.DeepEqual(t, s.Content(), base.Content())
		})
	}
	after, _ := base.EncodeSnapshot()
	assert.DeepEqual(t, before, after) // Apply must not change the state it is called on.
}

// TestUnfoldableRecords guards against a reader that guesses at records it cannot judge, or stops at garbage.
func TestUnfoldableRecords(t *testing.T) {
	s, _ := fold(New(), putService("one", 0, "a"))
	future := mustEncode(Change{Rule: RuleVersion + 1, ID: "x", Op: 99})
	large := append(mustEncode(putService("big", 1, "b")), make([]byte, limits.MaxRecordBytes)...)
	deep := append([]byte("\xa2wf\x01"), []byte(strings.Repeat("\x91", 100_000))...)
	cases := []struct {
		name   string
		record Record
		result Result
		reason RejectReason
		offset uint64
	}{
		{"unknown rule version", Record{Offset: 2, Data: future}, Blocked, RejectUnknownRule, 1},
		{"large record of an unknown rule version", Record{Offset: 2, Data: append(future, large...)}, Blocked, RejectUnknownRule, 1},
		{"after a gap", Record{Offset: 3, Data: mustEncode(putService("two", 1, "b"))}, Ahead, "", 1},
		{"folded before", Record{Offset: 1, Data: mustEncode(putService("two", 1, "b"))}, Stale, "", 1},
		{"empty", Record{Offset: 2}, Rejected, RejectUndecodable, 2},
		{"foreign data that starts with a small number", Record{Offset: 2, Data: []byte("hello")}, Rejected, RejectUndecodable, 2},
		{"oversized", Record{Offset: 2, Data: large}, Rejected, RejectTooLarge, 2},
		{"deeply nested", Record{Offset: 2, Data: deep}, Rejected, RejectUndecodable, 2},
		{"bytes after the change", Record{Offset: 2, Data: append(mustEncode(putService("two", 1, "b")), 0)}, Rejected, RejectUndecodable, 2},
		{"huge announced list", Record{Offset: 2, Data: []byte("\xa2wf\x01\x81\xa7content\x81\xa1r\xdd\xff\xff\xff\xff")}, Rejected, RejectUndecodable, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, v := s.Apply(c.record)
			assert.Equal(t, v.Result, c.result, "%+v", v)
			assert.Equal(t, v.Reason, c.reason)
			assert.Equal(t, next.Offset(), c.offset)
			assert.Equal(t, next.Version(), Version(1))
			assert.Equal(t, next.BlockedReason() != "", c.result == Blocked)
		})
	}
}

// TestVerdictOfRepeat guards against a repeat that hides what became of the change, and against a conflict that does
// not name the winner.
func TestVerdictOfRepeat(t *testing.T) {
	s, lost := fold(New(), putService("one", 0, "a"), putService("two", 0, "a"))
	assert.Equal(t, lost.WinnerID, "one")
	assert.Equal(t, lost.WinnerOperator, "op-one")
	assert.Equal(t, lost.Current, Version(1))
	s, repeat := fold(s, putService("two", 1, "a"))
	assert.Equal(t, repeat.Result, Repeated)
	assert.Equal(t, repeat.First, Conflicted)
	first, known := s.Verdict("two")
	assert.Assert(t, known)
	assert.DeepEqual(t, first, lost)
}

// TestWindowsAreBounded guards against memory that grows with history, and against a change that escapes the conflict
// check because the removal it lost against is no longer remembered.
func TestWindowsAreBounded(t *testing.T) {
	s := New()
	for i := range 2000 {
		name := fmt.Sprintf("s%d", i)
		put := putService("p"+name, s.Version(), name)
		s, _ = fold(s, put, Change{ID: "d" + name, Base: s.Version() + 1, Op: OpDeleteService, Name: name})
	}
	assert.Equal(t, s.Version(), Version(4000))
	assert.Equal(t, len(s.decisions), decisionWindow)
	assert.Equal(t, len(s.tombstones), tombstoneWindow)
	assert.Equal(t, len(s.History()), historyWindow)
	_, v := fold(s, putService("late", 1, "s0"))
	assert.Equal(t, v.Result, Conflicted)
	data, err := s.EncodeSnapshot()
	assert.NilError(t, err)
	assert.Assert(t, len(data) < MaxSnapshotBytes)
}

// TestContentFitsOneRecord guards against an accepted content that no publish could carry, for which contentSize
// must be an upper bound of the encoded size.
func TestContentFitsOneRecord(t *testing.T) {
	long := func(n int) string { return strings.Repeat("x", n) }
	r := route(long(63), long(128), "/"+long(255))
	r.Timeout = limits.MaxTimeout
	r.MaxAttempts = 10
	r.IdempotentMethods = []string{"REPORT", "PROPFIND"}
	for i := range 32 {
		labels := map[string]string{}
		for j := range 16 {
			labels[fmt.Sprint(j)] = long(60)
		}
		r.Destinations = append(r.Destinations, Destination{Service: fmt.Sprint("s", i), Labels: labels, Weight: 1000})
	}
	c := &Content{Services: []Service{{Name: long(63), Description: long(256)}}, Routes: []Route{r}}
	data, err := encode(c)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= contentSize(c), "%d > %d", len(data), contentSize(c))
	_, err = EncodeChange(Change{ID: "x", Op: OpPutService, Service: &Service{Description: long(limits.MaxRecordBytes)}})
	var large *TooLargeError
	assert.Assert(t, errors.As(err, &large))
}
