package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/ctl/client"
)

func (a *app) versionCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "version", Short: "Publish, compare and list versions of the configuration"}
	cmd.AddCommand(a.publishCommand(), a.rollForwardCommand(), a.showCommand(), a.diffCommand(), a.historyCommand())
	return cmd
}

func (a *app) publishCommand() *cobra.Command {
	var ch change
	var file string
	cmd := &cobra.Command{
		Use:   "publish -f FILE",
		Short: "Replace the whole configuration by the content of a JSON file (- for standard input)",
		Args:  args(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			content, err := readContent(cmd.InOrStdin(), file)
			if err != nil {
				return usage(err)
			}
			return a.apply(&ch, func(ctx context.Context, c *client.Client, o *pb.ChangeOptions) (*pb.ChangeResponse, error) {
				return c.Config.Publish(ctx, &pb.PublishRequest{Content: content, Options: o})
			})
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "-", "file with the content as JSON")
	ch.register(cmd)
	return cmd
}

func readContent(stdin io.Reader, file string) (*pb.Content, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, err
	}
	content := &pb.Content{}
	if err := protojson.Unmarshal(data, content); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return content, nil
}

func (a *app) rollForwardCommand() *cobra.Command {
	var ch change
	cmd := &cobra.Command{
		Use:   "roll-forward VERSION",
		Short: "Publish the content of an earlier version as a new version",
		Args:  args(1),
		RunE: func(_ *cobra.Command, values []string) error {
			version, err := parseVersion(values[0])
			if err != nil {
				return err
			}
			return a.apply(&ch, func(ctx context.Context, c *client.Client, o *pb.ChangeOptions) (*pb.ChangeResponse, error) {
				earlier, err := c.Config.GetVersion(ctx, &pb.GetVersionRequest{Version: version})
				if err != nil {
					return nil, err
				}
				return c.Config.Publish(ctx, &pb.PublishRequest{Content: earlier.GetContent(), Options: o})
			})
		},
	}
	ch.register(cmd)
	return cmd
}

func parseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, usage(fmt.Errorf("version %q is not a number", text))
	}
	return version, nil
}

func (a *app) showCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show [VERSION]",
		Short: "Write the content of a version as JSON, in the form that publish reads",
		Args:  func(cmd *cobra.Command, values []string) error { return usage(cobra.MaximumNArgs(1)(cmd, values)) },
		RunE: func(cmd *cobra.Command, values []string) error {
			var version uint64
			if len(values) == 1 {
				var err error
				if version, err = parseVersion(values[0]); err != nil {
					return err
				}
			}
			return a.call(func(ctx context.Context, c *client.Client) error {
				response, err := c.Config.GetVersion(ctx, &pb.GetVersionRequest{Version: version})
				if err != nil {
					return err
				}
				data, err := protojson.MarshalOptions{Multiline: true}.Marshal(response.GetContent())
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(cmd.OutOrStdout(), string(data))
				return err
			})
		},
	}
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FROM TO",
		Short: "Compare two versions (0 for the current one)",
		Args:  args(2),
		RunE: func(cmd *cobra.Command, values []string) error {
			from, err := parseVersion(values[0])
			if err != nil {
				return err
			}
			to, err := parseVersion(values[1])
			if err != nil {
				return err
			}
			return a.call(func(ctx context.Context, c *client.Client) error {
				before, err := c.Config.GetVersion(ctx, &pb.GetVersionRequest{Version: from})
				if err != nil {
					return err
				}
				after, err := c.Config.GetVersion(ctx, &pb.GetVersionRequest{Version: to})
				if err != nil {
					return err
				}
				for _, line := range diff(before.GetContent(), after.GetContent()) {
					fmt.Fprintln(cmd.OutOrStdout(), line)
				}
				return nil
			})
		},
	}
}

// diff lists resources that were added (+), removed (-) or changed (~).
func diff(before, after *pb.Content) []string {
	old, current := resources(before), resources(after)
	names := make(map[string]bool)
	for name := range old {
		names[name] = true
	}
	for name := range current {
		names[name] = true
	}
	var lines []string
	for name := range names {
		switch {
		case old[name] == nil:
			lines = append(lines, "+ "+name)
		case current[name] == nil:
			lines = append(lines, "- "+name)
		case !proto.Equal(old[name], current[name]):
			lines = append(lines, "~ "+name)
		}
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i][2:] < lines[j][2:] })
	return lines
}

func resources(content *pb.Content) map[string]proto.Message {
	all := make(map[string]proto.Message)
	for _, s := range content.GetServices() {
		all["service "+s.GetName()] = s
	}
	for _, r := range content.GetRoutes() {
		all["route "+r.GetName()] = r
	}
	return all
}

func (a *app) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List remembered versions, newest first",
		Args:  args(0),
		RunE: func(*cobra.Command, []string) error {
			return a.call(func(ctx context.Context, c *client.Client) error {
				all := &pb.ListVersionsResponse{}
				request := &pb.ListVersionsRequest{PageSize: pageSize}
				for {
					page, err := c.Config.ListVersions(ctx, request)
					if err != nil {
						return err
					}
					all.Versions = append(all.Versions, page.GetVersions()...)
					request.PageToken = page.GetNextPageToken()
					if request.PageToken == "" {
						break
					}
				}
				var rows [][]string
				for _, v := range all.GetVersions() {
					rows = append(rows, []string{
						fmt.Sprint(v.GetVersion()), time.UnixMilli(v.GetTimeMs()).UTC().Format(time.RFC3339),
						v.GetOperator(), fmt.Sprint(v.GetBaseVersion()), v.GetSummary(), v.GetChangeId(),
					})
				}
				return a.printer.Print(all, []string{"VERSION", "TIME", "OPERATOR", "BASE", "SUMMARY", "CHANGE ID"}, rows)
			})
		},
	}
}
