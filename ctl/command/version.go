package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/ctl/client"
	"wagtailford.example/ctl/output"
)

func (a *app) versionCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "versions", Aliases: []string{"version"}, Short: "Publish, compare and list versions of the configuration"}
	cmd.AddCommand(a.publishCommand(), a.rollForwardCommand(), a.showCommand(), a.diffCommand(), a.historyCommand(),
		a.statusCommand())
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
			return a.apply(cmd.Context(), &ch, reachable, func(ctx context.Context, c *client.Client, o *pb.ChangeOptions) (*pb.ChangeResponse, error) {
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
		RunE: func(cmd *cobra.Command, values []string) error {
			version, err := parseVersion(values[0])
			if err != nil {
				return err
			}
			if version == 0 {
				return usage(errors.New("version 0 is not an earlier version"))
			}
			var earlier *pb.GetVersionResponse
			getEarlier := func(ctx context.Context, c *client.Client) error {
				earlier, err = c.Config.GetVersion(ctx, &pb.GetVersionRequest{Version: version})
				return err
			}
			return a.apply(cmd.Context(), &ch, getEarlier, func(ctx context.Context, c *client.Client, o *pb.ChangeOptions) (*pb.ChangeResponse, error) {
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
			return a.call(cmd.Context(), func(ctx context.Context, c *client.Client) error {
				response, err := c.Config.GetVersion(ctx, &pb.GetVersionRequest{Version: version})
				if err != nil {
					return err
				}
				return output.WriteJSON(cmd.OutOrStdout(), protojson.MarshalOptions{}, response.GetContent())
			})
		},
	}
}

func (a *app) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List remembered versions, newest first",
		Args:  args(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.call(cmd.Context(), func(ctx context.Context, c *client.Client) error {
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
