package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/ctl/client"
	"wagtailford.example/ctl/output"
)

// difference is one resource that differs between two versions.
type difference struct {
	// Change is added, removed or changed.
	Change string `json:"change"`
	// Kind is service or route.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Before and After show the values of a changed resource.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Changes of a resource.
const (
	added   = "added"
	removed = "removed"
	changed = "changed"
)

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FROM TO",
		Short: "Compare two versions (0 for the current one)",
		Args:  args(2),
		RunE: func(cmd *cobra.Command, values []string) error {
			var versions [2]uint64
			for i := range versions {
				var err error
				if versions[i], err = parseVersion(values[i]); err != nil {
					return err
				}
			}
			return a.call(cmd.Context(), func(ctx context.Context, c *client.Client) error {
				var contents [2]*pb.Content
				for i := range contents {
					response, err := c.Config.GetVersion(ctx, &pb.GetVersionRequest{Version: versions[i]})
					if err != nil {
						return err
					}
					contents[i] = response.GetContent()
				}
				return a.printDiff(cmd.OutOrStdout(), diff(contents[0], contents[1]))
			})
		},
	}
}

func (a *app) printDiff(w io.Writer, differences []difference) error {
	if a.printer.Format == output.FormatJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(differences)
	}
	marks := map[string]string{added: "+", removed: "-", changed: "~"}
	for _, d := range differences {
		text := fmt.Sprintf("%s %s %s\n", marks[d.Change], d.Kind, d.Name)
		if d.Change == changed {
			text += fmt.Sprintf("    before: %s\n    after:  %s\n", d.Before, d.After)
		}
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// diff lists the resources that differ, routes first, each sorted by name.
func diff(before, after *pb.Content) []difference {
	old, current := resources(before), resources(after)
	differences := []difference{}
	for key, message := range old {
		switch {
		case current[key] == nil:
			differences = append(differences, difference{Change: removed, Kind: key.kind, Name: key.name})
		case !proto.Equal(message, current[key]):
			differences = append(differences, difference{
				Change: changed, Kind: key.kind, Name: key.name, Before: describe(message), After: describe(current[key]),
			})
		}
	}
	for key := range current {
		if old[key] == nil {
			differences = append(differences, difference{Change: added, Kind: key.kind, Name: key.name})
		}
	}
	sort.Slice(differences, func(i, j int) bool {
		a, b := differences[i], differences[j]
		return a.Kind < b.Kind || a.Kind == b.Kind && a.Name < b.Name
	})
	return differences
}

type resourceKey struct {
	kind, name string
}

func resources(content *pb.Content) map[resourceKey]proto.Message {
	all := make(map[resourceKey]proto.Message)
	for _, s := range content.GetServices() {
		all[resourceKey{"service", s.GetName()}] = s
	}
	for _, r := range content.GetRoutes() {
		all[resourceKey{"route", r.GetName()}] = r
	}
	return all
}

// describe shows the fields of a resource in one line.
func describe(m proto.Message) string {
	r, ok := m.(*pb.Route)
	if !ok {
		return fmt.Sprintf("description=%q", m.(*pb.Service).GetDescription())
	}
	return fmt.Sprintf("caller=%s path-prefix=%s to=[%s] timeout-ms=%s max-attempts=%s idempotent-methods=[%s]",
		r.GetCaller(), r.GetPathPrefix(), formatDestinations(r.GetDestinations()),
		orDefault(r.GetTimeoutMs()), orDefault(r.GetMaxAttempts()), strings.Join(r.GetIdempotentMethods(), ","))
}
