package config

import (
	"bytes"
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The seed is fixed, so that a run is repeatable; -rapid.seed=N on the command line replaces it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// anyRecords draws a log: changes over few names, so that conflicts, repeats and rejections are frequent, and some
// garbage.
func anyRecords(t *rapid.T) []Record {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	n := rapid.IntRange(1, 40).Draw(t, "records")
	out := make([]Record, n)
	for i := range out {
		out[i] = Record{Offset: uint64(i + 1), TimeMS: int64(i)}
		if rapid.IntRange(0, 15).Draw(t, "garbage") == 0 {
			out[i].Data = rapid.SliceOf(rapid.Byte()).Draw(t, "data")
			continue
		}
		c := Change{
			ID:   fmt.Sprint("c", rapid.IntRange(0, n).Draw(t, "id")),
			Base: uint64(max(0, i-rapid.IntRange(0, 4).Draw(t, "age"))),
			Op:   Op(rapid.IntRange(1, 5).Draw(t, "op")),
		}
		drawOperation(t, &c, names)
		out[i].Data = mustEncode(c)
	}
	return out
}

func drawOperation(t *rapid.T, c *Change, names *rapid.Generator[string]) {
	anyRoute := func() Route {
		return route("r"+names.Draw(t, "route"), "*", "/"+names.Draw(t, "prefix"), names.Draw(t, "destination"))
	}
	switch c.Op {
	case OpPutService:
		c.Service = &Service{Name: names.Draw(t, "service"), Description: rapid.StringN(0, 5, 9).Draw(t, "text")}
	case OpPutRoute:
		r := anyRoute()
		c.Route = &r
	case OpDeleteService:
		c.Name = names.Draw(t, "service")
	case OpDeleteRoute:
		c.Name = "r" + names.Draw(t, "route")
	case OpPublish:
		c.Content = &Content{}
		for _, name := range rapid.SliceOfDistinct(names, rapid.ID[string]).Draw(t, "services") {
			c.Content.Services = append(c.Content.Services, Service{Name: name})
		}
		if rapid.Bool().Draw(t, "with route") {
			c.Content.Routes = []Route{anyRoute()}
		}
	}
}

func encodedState(t assert.TestingT, s *State) []byte {
	data, err := s.EncodeSnapshot()
	assert.NilError(t, err)
	return append(data, s.blocked...)
}

// TestSnapshotContinues guards against a snapshot that lacks something later verdicts depend on: a reader that starts
// from a snapshot must decide like one that folded everything.
func TestSnapshotContinues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := anyRecords(t)
		cut := rapid.IntRange(0, len(records)).Draw(t, "cut")
		whole, restored := New(), New()
		for i, r := range records {
			if i == cut {
				data, err := restored.EncodeSnapshot()
				assert.NilError(t, err)
				restored, err = DecodeSnapshot(data)
				assert.NilError(t, err)
			}
			var a, b Verdict
			whole, a = whole.Apply(r)
			restored, b = restored.Apply(r)
			assert.Equal(t, a, b)
		}
		if next := whole.Offset(); next < uint64(len(records)) {
			// A reader goes on after its offset, so it meets the record that blocks it again.
			restored, _ = restored.Apply(records[next])
		}
		assert.Assert(t, bytes.Equal(encodedState(t, whole), encodedState(t, restored)))
	})
}

// TestRedeliveryChangesNothing guards against a reader that repeated or reordered deliveries lead to another result
// or a lower offset or version (I1).
func TestRedeliveryChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := anyRecords(t)
		want := New()
		for _, r := range records {
			want, _ = want.Apply(r)
		}
		deliveries := rapid.SliceOfN(rapid.IntRange(0, len(records)-1), 0, 80).Draw(t, "deliveries")
		s := New()
		deliver := func(r Record) {
			offset, version := s.Offset(), s.Version()
			s, _ = s.Apply(r)
			assert.Assert(t, s.Offset() >= offset && s.Version() >= version && s.Version() <= s.Offset())
		}
		for _, i := range deliveries {
			deliver(records[i])
		}
		for _, r := range records {
			deliver(r)
		}
		assert.Assert(t, bytes.Equal(encodedState(t, want), encodedState(t, s)))
	})
}

// assertWhole checks the content without the code that validates it.
func assertWhole(t assert.TestingT, c *Content) {
	services := map[string]bool{}
	for _, s := range c.Services {
		assert.Assert(t, !services[s.Name], s.Name)
		services[s.Name] = true
	}
	matches := map[string]bool{}
	for _, r := range c.Routes {
		match := r.Caller + " " + r.PathPrefix
		assert.Assert(t, !matches[match], match)
		matches[match] = true
		for _, d := range r.Destinations {
			assert.Assert(t, services[d.Service], "route %s names service %q", r.Name, d.Service)
		}
	}
}

// TestContentIsAlwaysWhole guards against a content with a route to a missing service (I2) or a partly applied record
// (I3), against a wrong last change, and against recent versions that are rebuilt wrongly.
func TestContentIsAlwaysWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		contents := map[Version]*Content{0: {}}
		for _, r := range anyRecords(t) {
			before := s
			var v Verdict
			s, v = s.Apply(r)
			if v.Result != Accepted {
				assert.Assert(t, s.Content() == before.Content() && s.Version() == before.Version())
				continue
			}
			assertWhole(t, s.Content())
			for _, d := range Diff(before.Content(), s.Content()) {
				if d.ServiceAfter != nil || d.RouteAfter != nil {
					assert.Equal(t, s.LastChanged(d.Kind, d.Name), v.Version)
				}
			}
			contents[v.Version] = s.Content()
		}
		versions := append(s.History(), VersionInfo{})
		for _, info := range versions[:min(len(versions), undoWindow)] {
			got, known := s.ContentOf(info.Version)
			assert.Assert(t, known)
			assert.Equal(t, len(Diff(got, contents[info.Version])), 0)
		}
	})
}

// FuzzDecodeChange guards against record data that stops a reader, or that decodes to something else when passed on.
func FuzzDecodeChange(f *testing.F) {
	f.Add(mustEncode(putService("one", 0, "a")))
	f.Add(mustEncode(publish("two", 1, []string{"a"}, route("r", "*", "/", "a"))))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeChange(data)
		New().Apply(Record{Offset: 1, Data: data})
		if err != nil {
			return
		}
		again, err := EncodeChange(c)
		if err != nil {
			return // The canonical form of a change can be longer than the limit.
		}
		back, err := DecodeChange(again)
		assert.NilError(t, err)
		twice, err := EncodeChange(back)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(again, twice))
	})
}

// FuzzDecodeSnapshot guards against snapshot data that stops a reader or installs an invalid content.
func FuzzDecodeSnapshot(f *testing.F) {
	s, _ := fold(New(), publish("one", 0, []string{"a", "b"}, route("r", "*", "/", "a")), putService("two", 0, "a"),
		Change{ID: "three", Base: 1, Op: OpDeleteService, Name: "b"})
	f.Add(encodedState(f, s))
	f.Add(encodedState(f, New()))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeSnapshot(data)
		if err != nil {
			return
		}
		assert.Assert(t, s.Version() <= s.Offset())
		assertWhole(t, s.Content())
		s.ContentOf(0)
		_, v := fold(s, publish("new", s.Version(), []string{"a"}))
		assert.Assert(t, v.Result != Blocked)
		_, err = s.EncodeSnapshot()
		assert.NilError(t, err)
	})
}
