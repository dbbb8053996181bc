package config

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func organisation(name string, keys ...string) Organisation {
	o := Organisation{Name: name}
	for _, key := range keys {
		if err := o.AddKey(key); err != nil {
			panic(err)
		}
	}
	return o
}

// Guards against an installed configuration with organisations that cannot be told apart or have no usable quota, and against
// a message that contains a key.
func TestOrganisationsAreChecked(t *testing.T) {
	rated := func(rate, burst float64) []Organisation {
		o := organisation("o", "secret-key")
		o.RatePerSecond, o.Burst = rate, burst
		return []Organisation{o}
	}
	for _, c := range []struct {
		name  string
		list  []Organisation
		valid bool
	}{
		{"two", []Organisation{organisation("a", "secret-key"), organisation("b", "other")}, true},
		{"without keys", []Organisation{organisation("a")}, true},
		{"one key twice in one organisation", []Organisation{organisation("a", "secret-key", "secret-key")}, true},
		{"fractional rate, no burst", rated(0.25, 0), true},
		{"no rate", rated(0, 5), true},
		{"shared key", []Organisation{organisation("a", "secret-key"), organisation("b", "secret-key")}, false},
		{"same name", []Organisation{organisation("a", "secret-key"), organisation("a", "other")}, false},
		{"no name", []Organisation{organisation("", "secret-key")}, false},
		{"negative rate", rated(-1, 5), false},
		{"infinite rate", rated(math.Inf(1), 5), false},
		{"no number", rated(math.NaN(), 5), false},
		{"negative burst", rated(1, -5), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			state, err := FromWhole(&Whole{Offset: 3, Sequence: 3, Content: Content{Organisations: c.list}})
			assert.Equal(t, err == nil, c.valid, "%v", err)
			if err != nil {
				assert.Assert(t, !strings.Contains(err.Error(), "secret-key"))
				return
			}
			data, err := state.EncodeSnapshot()
			assert.NilError(t, err)
			assert.Assert(t, !strings.Contains(string(data), "secret-key"))
			read, err := DecodeSnapshot(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, read.Content().Organisations, state.Content().Organisations)
		})
	}
	var o Organisation
	assert.ErrorContains(t, o.AddKey(""), "0 bytes")
	assert.ErrorContains(t, o.AddKey(strings.Repeat("k", 64<<10)), "65536 bytes")
}

// snapshotOf returns the snapshot of a content as the build that set its members wrote it.
func snapshotOf(t *testing.T, c Content) []byte {
	state := New()
	state.offset, state.version, state.sequence, state.content = 3, 3, 3, sorted(&c)
	data, err := state.EncodeSnapshot()
	assert.NilError(t, err)
	return data
}

// Guards against an empty list of organisations that becomes an absent one, which requires no keys, in a sorted copy, in a
// snapshot, or in the next configuration after an order of a rollout; and against the reverse.
func TestRequiredKeysSurviveEachForm(t *testing.T) {
	for _, c := range []struct {
		name     string
		content  Content
		required bool
	}{
		{"absent", Content{Authentication: KeysNotRequired}, false},
		{"unstated, without organisations", Content{}, false},
		{"unstated, with organisations", Content{Organisations: []Organisation{organisation("a", "k")}}, true},
		{"empty", Content{Authentication: KeysRequired}, true},
		{"empty, not nil", Content{Authentication: KeysRequired, Organisations: []Organisation{}}, true},
		{"organisation without keys", Content{Authentication: KeysRequired, Organisations: []Organisation{organisation("a")}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			state, err := FromWhole(&Whole{Offset: 3, Sequence: 3, Content: c.content})
			assert.NilError(t, err)
			assert.Equal(t, state.Content().RequiresKeys(), c.required)
			for range 2 {
				data, err := state.EncodeSnapshot()
				assert.NilError(t, err)
				state, err = DecodeSnapshot(data)
				assert.NilError(t, err)
				assert.Equal(t, state.Content().RequiresKeys(), c.required)
			}
			var orders RolloutOrders
			orders.Set(Rollout{Service: "s", TargetVersion: "v2", Duration: 1, Position: 4})
			w, changed := orders.Update(state)
			assert.Assert(t, changed)
			next, err := FromWhole(w)
			assert.NilError(t, err)
			assert.Equal(t, next.Content().RequiresKeys(), c.required)
		})
	}
}

// Guards against a node that requires no keys because a build without the member sent it the configuration, which may have had
// an empty list, and against contradictory snapshots.
func TestSnapshotsThatDoNotStateWhetherKeysAreRequired(t *testing.T) {
	list := []Organisation{organisation("a", "k")}
	for _, c := range []struct {
		name    string
		content Content
		err     string
	}{
		{"older build, no organisations", Content{}, "does not state"},
		{"older build, organisations", Content{Organisations: list}, ""},
		{"organisations, but no keys required", Content{Authentication: KeysNotRequired, Organisations: list}, "need no keys"},
		{"unknown value", Content{Authentication: KeysRequired + 1}, "unknown authentication"},
	} {
		t.Run(c.name, func(t *testing.T) {
			read, err := DecodeSnapshot(snapshotOf(t, c.content))
			if c.err != "" {
				assert.ErrorContains(t, err, c.err)
				assert.ErrorIs(t, err, ErrUndecodable)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, read.Content().RequiresKeys())
		})
	}
	// A configuration of records has no list of organisations, and its snapshots stay as they are.
	data, err := New().EncodeSnapshot()
	assert.NilError(t, err)
	state, err := DecodeSnapshot(data)
	assert.NilError(t, err)
	assert.Assert(t, !state.Content().RequiresKeys())
}

// Guards against a configuration with very many keys that is installed and cannot be passed on to other nodes.
func TestManyKeysFitIntoASnapshot(t *testing.T) {
	o := Organisation{Name: "o", KeyDigests: make([]byte, 100_000*KeyDigestBytes)}
	for i := range 100_000 {
		o.KeyDigests[i*KeyDigestBytes] = byte(i)
		o.KeyDigests[i*KeyDigestBytes+1] = byte(i >> 8)
		o.KeyDigests[i*KeyDigestBytes+2] = byte(i >> 16)
	}
	state, err := FromWhole(&Whole{Offset: 3, Sequence: 3, Content: Content{Organisations: []Organisation{o}}})
	assert.NilError(t, err)
	data, err := state.EncodeSnapshot()
	assert.NilError(t, err)
	_, err = DecodeSnapshot(data)
	assert.NilError(t, err)
}
