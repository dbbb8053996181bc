package config

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func wholeContent() Content {
	return Content{
		Services: []Service{{Name: "orders"}, {Name: "catalog"}},
		Routes: []Route{{
			Name: "r1", Host: "shop.example", Caller: AnyCaller, PathPrefix: "/a/", Timeout: time.Second, MaxAttempts: 2,
			Destinations: []Destination{{Service: "orders", Weight: 1000}},
		}},
	}
}

// Guards against a published configuration that is installed although a route of it could not be served, or although
// it is not complete.
func TestWholeIsCheckedAsAWhole(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Content)
		valid  bool
	}{
		{"valid", func(*Content) {}, true},
		{"no routes", func(c *Content) { c.Routes = nil }, true},
		{"many routes", func(c *Content) {
			for i := range 2000 {
				r := c.Routes[0]
				r.PathPrefix = "/many" + string(rune('a'+i%26)) + time.Duration(i).String() + "/"
				c.Routes = append(c.Routes, r)
			}
		}, true},
		{"unknown service", func(c *Content) { c.Routes[0].Destinations[0].Service = "gone" }, false},
		{"no destination", func(c *Content) { c.Routes[0].Destinations = nil }, false},
		{"no host", func(c *Content) { c.Routes[0].Host = "" }, false},
		{"prefix without slash at the end", func(c *Content) { c.Routes[0].PathPrefix = "/a" }, false},
		{"prefix without slash at the start", func(c *Content) { c.Routes[0].PathPrefix = "a/" }, false},
		{"empty prefix", func(c *Content) { c.Routes[0].PathPrefix = "" }, false},
		{"no timeout", func(c *Content) { c.Routes[0].Timeout = 0 }, false},
		{"no attempts", func(c *Content) { c.Routes[0].MaxAttempts = 0 }, false},
		{"same match twice", func(c *Content) { c.Routes = append(c.Routes, c.Routes[0]) }, false},
		{"service twice", func(c *Content) { c.Services = append(c.Services, c.Services[0]) }, false},
		{"service without name", func(c *Content) { c.Services[0].Name = "" }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			content := wholeContent()
			c.change(&content)
			state, err := FromWhole(&Whole{Offset: 7, Sequence: 3, Content: content})
			if !c.valid {
				var invalid *InvalidError
				assert.Assert(t, errors.As(err, &invalid), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, state.Offset(), uint64(7))
			assert.Equal(t, state.Version(), uint64(7))
			assert.Equal(t, state.Sequence(), uint64(3))
		})
	}
}

// Guards against a configuration that a peer passes on and that changes on the way, or that the receiver refuses.
func TestWholeTravelsAsSnapshot(t *testing.T) {
	content := wholeContent()
	content.Routes[0].Repetition = NonIdempotent
	content.Routes[0].Priority = 2
	content.Routes[0].LatencyObjective = 500 * time.Millisecond
	content.Services[0].ConnectionsMax = 110
	content.Services[0].HealthPath = "/healthz"
	content.CallerIdleTimeout = 15 * time.Second
	state, err := FromWhole(&Whole{Offset: 9, Sequence: 4, TimeMS: 5, Content: content})
	assert.NilError(t, err)
	data, err := state.EncodeSnapshot()
	assert.NilError(t, err)
	copied, err := DecodeSnapshot(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, copied.Content(), state.Content())
	assert.Equal(t, copied.Offset(), uint64(9))
	assert.Equal(t, copied.Sequence(), uint64(4))
}
