// Package layers keeps the import rules between the layers of the server module.
package layers

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// module is the path of the server module.
const module = "wagtailford.example/server/"

// allowed lists for each top directory which other top directories its packages may import. Imports within a
// directory are allowed.
var allowed = map[string][]string{
	"cmd":          {"daemon"},
	"daemon":       {"coordination", "protocol", "transport", "state"},
	"coordination": {"protocol", "transport", "state"},
	"protocol":     {"transport", "state"},
	"transport":    {},
	"state":        {},
	// Baselines and simulations call the decisions that they compare; nothing that ships may import them.
	"internal": {"coordination", "protocol", "transport", "state"},
}

// forbidden returns the reason why a package directory must not import a path; empty if it may.
func forbidden(dir, path string) string {
	if !strings.HasPrefix(path, module) {
		return ""
	}
	from, _, _ := strings.Cut(filepath.ToSlash(dir), "/")
	to, _, _ := strings.Cut(strings.TrimPrefix(path, module), "/")
	list, known := allowed[from]
	if !known {
		return "directory " + from + " belongs to no layer"
	}
	if from != to && !slices.Contains(list, to) {
		return from + " must not import " + to
	}
	return ""
}

// Guards against an import from a lower layer to a higher one, and against a directory outside the layers.
func TestImports(t *testing.T) {
	root := filepath.Join("..", "..")
	files := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		files++
		dir, err := filepath.Rel(root, filepath.Dir(path))
		for _, spec := range file.Imports {
			if reason := forbidden(dir, strings.Trim(spec.Path.Value, `"`)); reason != "" {
				t.Errorf("%s: %s (%s)", path, reason, spec.Path.Value)
			}
		}
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, files > 10, "the walk found only %d files", files)
}

// Guards against a rule table that lets a forbidden import pass.
func TestForbidden(t *testing.T) {
	cases := []struct {
		dir, path string
		bad       bool
	}{
		{"state/config", module + "transport/peer", true},
		{"state/config", module + "protocol/wire", true},
		{"transport/peer", module + "state/config", true},
		{"transport/peer", module + "protocol/wire", true},
		{"protocol/wire", module + "coordination/control", true},
		{"coordination/control", module + "daemon", true},
		{"cmd/wagtaild", module + "state/config", true},
		{"extra", module + "state/config", true},
		{"coordination/routing", module + "internal/baseline", true},
		{"daemon", module + "internal/policysim", true},
		{"internal/baseline", module + "daemon", true},
		{"protocol/wire", module + "state/config", false},
		{"coordination/control", module + "coordination/fanout", false},
		{"state/view", module + "state/config", false},
		{"state/config", "time", false},
	}
	for _, c := range cases {
		assert.Equal(t, forbidden(c.dir, c.path) != "", c.bad, "%s imports %s", c.dir, c.path)
	}
}
