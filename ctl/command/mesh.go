package command

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/ctl/client"
)

// Intervals between two calls that read the status.
const (
	waitInterval  = 100 * time.Millisecond
	watchInterval = time.Second
)

func (a *app) statusCommand() *cobra.Command {
	var watch bool
	var version uint64
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the version in force on each node and how far convergence is",
		Args:  args(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			for {
				if err := a.call(cmd.Context(), func(ctx context.Context, c *client.Client) error {
					return a.printStatus(ctx, c, version)
				}); err != nil || !watch {
					return err
				}
				select {
				case <-cmd.Context().Done():
					return nil
				case <-time.After(watchInterval):
				}
			}
		},
	}
	cmd.Flags().BoolVarP(&watch, "watch", "w", false, "repeat every second until interrupted")
	cmd.Flags().Uint64Var(&version, "version", 0, "version to measure convergence against, 0 for the current one")
	return cmd
}

func (a *app) printStatus(ctx context.Context, c *client.Client, version uint64) error {
	response, err := c.Mesh.GetStatus(ctx, &pb.GetStatusRequest{Version: version})
	if err != nil {
		return err
	}
	var rows [][]string
	for _, n := range response.GetNodes() {
		ready, version := fmt.Sprint(n.GetReady()), fmt.Sprint(n.GetVersion())
		if n.GetUnreachable() {
			ready, version = "-", "unreachable"
		}
		rows = append(rows, []string{n.GetNode(), n.GetFailureDomain(), n.GetState(), ready, version, limitText(n.GetLimitPerSecond())})
	}
	rows = append(rows, []string{"TOTAL", "", "", "", fmt.Sprintf("%d of %d at version %d",
		response.GetConverged(), len(response.GetNodes()), response.GetVersion()), ""})
	if reason := response.GetBlockedReason(); reason != "" {
		rows = append(rows, []string{"BLOCKED", "", "", "", reason, ""})
	}
	return a.printer.Print(response, []string{"NODE", "FAILURE DOMAIN", "STATE", "READY", "VERSION", "TARGET LIMIT"}, rows)
}

// limitText formats the limit of a target; empty if there is none.
func limitText(perSecond float64) string {
	if perSecond == 0 {
		return ""
	}
	return fmt.Sprintf("%.3g/s", perSecond)
}

// waitConverged returns when the version is in force on every node that is not declared dead or left. Errors of the
// status are no reason to stop before the time limit, since the version is accepted.
func waitConverged(ctx context.Context, c *client.Client, version uint64) error {
	result := &client.NotConvergedError{Version: version}
	for {
		response, err := c.Mesh.GetStatus(ctx, &pb.GetStatusRequest{Version: version})
		if err == nil {
			result.Asked = true
			result.Nodes = laggingNodes(response, version)
		}
		if err == nil && len(result.Nodes) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return result
		case <-time.After(waitInterval):
		}
	}
}

func laggingNodes(response *pb.GetStatusResponse, version uint64) []string {
	var lagging []string
	for _, n := range response.GetNodes() {
		if n.GetState() == "dead" || n.GetState() == "left" {
			continue
		}
		if n.GetUnreachable() || n.GetVersion() < version {
			lagging = append(lagging, n.GetNode())
		}
	}
	return lagging
}

func (a *app) targetCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "targets", Aliases: []string{"target"}, Short: "List, drain and undrain targets"}
	cmd.AddCommand(a.listTargetsCommand(), a.drainCommand(), a.undrainCommand())
	return cmd
}

func (a *app) listTargetsCommand() *cobra.Command {
	var service string
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the targets that have announced themselves",
		Args:  args(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.call(cmd.Context(), func(ctx context.Context, c *client.Client) error {
				all := &pb.ListTargetsResponse{}
				request := &pb.ListTargetsRequest{Service: service, PageSize: pageSize}
				for {
					page, err := c.Mesh.ListTargets(ctx, request)
					if err != nil {
						return err
					}
					all.Targets = append(all.Targets, page.GetTargets()...)
					request.PageToken = page.GetNextPageToken()
					if request.PageToken == "" {
						break
					}
				}
				var rows [][]string
				for _, t := range all.GetTargets() {
					rows = append(rows, []string{
						t.GetNode(), t.GetService(), t.GetAddress(), t.GetFailureDomain(), fmt.Sprint(t.GetSlots()), t.GetState(),
						limitText(t.GetLimitPerSecond()),
					})
				}
				return a.printer.Print(all, []string{"NODE", "SERVICE", "ADDRESS", "FAILURE DOMAIN", "SLOTS", "STATE", "LIMIT"}, rows)
			})
		},
	}
	cmd.Flags().StringVar(&service, "service", "", "restrict the list to one service")
	return cmd
}

func (a *app) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "drain NODE",
		Short: "Stop new work for the target beside a node; work in flight finishes",
		Args:  args(1),
		RunE: func(cmd *cobra.Command, values []string) error {
			return a.call(cmd.Context(), func(ctx context.Context, c *client.Client) error {
				response, err := c.Mesh.DrainTarget(ctx, &pb.DrainTargetRequest{Node: values[0]})
				if err != nil {
					return err
				}
				return a.printer.Print(response, []string{"NODE", "STATE"}, [][]string{{values[0], response.GetState()}})
			})
		},
	}
}

func (a *app) undrainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "undrain NODE",
		Short: "Let a drained target take work again; takes effect when a drain in progress has ended",
		Args:  args(1),
		RunE: func(cmd *cobra.Command, values []string) error {
			return a.call(cmd.Context(), func(ctx context.Context, c *client.Client) error {
				response, err := c.Mesh.UndrainTarget(ctx, &pb.UndrainTargetRequest{Node: values[0]})
				if err != nil {
					return err
				}
				return a.printer.Print(response, []string{"NODE", "STATE"}, [][]string{{values[0], response.GetState()}})
			})
		},
	}
}

func (a *app) dumpCommand() *cobra.Command {
	var node string
	cmd := &cobra.Command{
		Use:   "dump",
		Short: "Write the state of one daemon process as JSON",
		Args:  args(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.call(cmd.Context(), func(ctx context.Context, c *client.Client) error {
				response, err := c.Mesh.DumpState(ctx, &pb.DumpStateRequest{Node: node})
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(cmd.OutOrStdout(), string(response.GetJson()))
				return err
			})
		},
	}
	cmd.Flags().StringVar(&node, "node", "", "node to dump, empty for the one that answers")
	return cmd
}
