package command

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/ctl/client"
)

func (a *app) routeCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "routes", Aliases: []string{"route"}, Short: "Create, update, delete, list and describe routes"}
	cmd.AddCommand(
		a.putRouteCommand(createOnly), a.putRouteCommand(updateOnly),
		a.deleteRouteCommand(), a.listRoutesCommand(), a.describeRouteCommand())
	return cmd
}

func (a *app) putRouteCommand(mode string) *cobra.Command {
	var ch change
	route := &pb.Route{}
	var destinations []string
	cmd := &cobra.Command{
		Use:   mode + " NAME",
		Short: shortOfPut(mode, "route"),
		Args:  args(1),
		RunE: func(cmd *cobra.Command, values []string) error {
			route.Name = values[0]
			for _, text := range destinations {
				d, err := parseDestination(text)
				if err != nil {
					return usage(err)
				}
				route.Destinations = append(route.Destinations, d)
			}
			prepare := reachable
			if mode == updateOnly {
				prepare = func(ctx context.Context, c *client.Client) error { return ch.keepRoute(ctx, c, cmd, route) }
			}
			return a.apply(cmd.Context(), &ch, prepare, func(ctx context.Context, c *client.Client, o *pb.ChangeOptions) (*pb.ChangeResponse, error) {
				return c.Config.PutRoute(ctx, &pb.PutRouteRequest{
					Route: route, Options: o, CreateOnly: mode == createOnly, UpdateOnly: mode == updateOnly,
				})
			})
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&route.Caller, flagCaller, "*", "caller that the route applies to, * for every caller")
	flags.StringVar(&route.PathPrefix, flagPathPrefix, "/", "path prefix that the route applies to")
	flags.StringArrayVar(&destinations, flagTo, nil, "destination SERVICE[:WEIGHT][,LABEL=VALUE...], may be repeated")
	flags.Uint32Var(&route.TimeoutMs, flagTimeout, 0, "time limit of a request in milliseconds, 0 for the daemon's default")
	flags.Uint32Var(&route.MaxAttempts, flagAttempts, 0, "attempts of an idempotent request, 0 for the daemon's default")
	flags.StringSliceVar(&route.IdempotentMethods, flagMethod, nil, "method to treat as idempotent in addition to GET, HEAD, OPTIONS, PUT and DELETE")
	ch.register(cmd)
	return cmd
}

// keepRoute fills in the fields that no flag names.
func (ch *change) keepRoute(ctx context.Context, c *client.Client, cmd *cobra.Command, route *pb.Route) error {
	response, err := c.Config.GetRoute(ctx, &pb.GetRouteRequest{Name: route.GetName()})
	if err != nil {
		return err
	}
	ch.basedOn(response.GetVersion())
	old := response.GetRoute()
	for flag, keep := range map[string]func(){
		flagCaller:     func() { route.Caller = old.GetCaller() },
		flagPathPrefix: func() { route.PathPrefix = old.GetPathPrefix() },
		flagTo:         func() { route.Destinations = old.GetDestinations() },
		flagTimeout:    func() { route.TimeoutMs = old.GetTimeoutMs() },
		flagAttempts:   func() { route.MaxAttempts = old.GetMaxAttempts() },
		flagMethod:     func() { route.IdempotentMethods = old.GetIdempotentMethods() },
	} {
		if !cmd.Flags().Changed(flag) {
			keep()
		}
	}
	return nil
}

// parseDestination reads SERVICE[:WEIGHT][,LABEL=VALUE...].
func parseDestination(text string) (*pb.Destination, error) {
	parts := strings.Split(text, ",")
	d := &pb.Destination{Weight: 1}
	service, weight, weighted := strings.Cut(parts[0], ":")
	if service == "" {
		return nil, fmt.Errorf("destination %q names no service", text)
	}
	d.Service = service
	if weighted {
		n, err := strconv.ParseUint(weight, 10, 32)
		if err != nil {
			return nil, fmt.Errorf("destination %q: weight %q is not a number", text, weight)
		}
		d.Weight = uint32(n)
	}
	for _, part := range parts[1:] {
		label, value, ok := strings.Cut(part, "=")
		if !ok {
			return nil, fmt.Errorf("destination %q: label %q has no value", text, part)
		}
		if d.Labels == nil {
			d.Labels = make(map[string]string)
		}
		d.Labels[label] = value
	}
	return d, nil
}

func formatDestinations(destinations []*pb.Destination) string {
	var all []string
	for _, d := range destinations {
		text := fmt.Sprintf("%s:%d", d.GetService(), d.GetWeight())
		var labels []string
		for label, value := range d.GetLabels() {
			labels = append(labels, label+"="+value)
		}
		sort.Strings(labels)
		all = append(all, strings.Join(append([]string{text}, labels...), ","))
	}
	return strings.Join(all, " ")
}

func (a *app) deleteRouteCommand() *cobra.Command {
	var ch change
	cmd := &cobra.Command{
		Use:   "delete NAME",
		Short: "Delete a route",
		Args:  args(1),
		RunE: func(cmd *cobra.Command, values []string) error {
			return a.apply(cmd.Context(), &ch, reachable, func(ctx context.Context, c *client.Client, o *pb.ChangeOptions) (*pb.ChangeResponse, error) {
				return c.Config.DeleteRoute(ctx, &pb.DeleteRouteRequest{Name: values[0], Options: o})
			})
		},
	}
	ch.register(cmd)
	return cmd
}

var routeHeader = []string{"NAME", "CALLER", "PATH PREFIX", "DESTINATIONS", "TIMEOUT MS", "MAX ATTEMPTS", "IDEMPOTENT METHODS"}

func routeRow(r *pb.Route) []string {
	return []string{
		r.GetName(), r.GetCaller(), r.GetPathPrefix(), formatDestinations(r.GetDestinations()),
		orDefault(r.GetTimeoutMs()), orDefault(r.GetMaxAttempts()), strings.Join(r.GetIdempotentMethods(), ","),
	}
}

// orDefault shows 0, which stands for the daemon's setting.
func orDefault(n uint32) string {
	if n == 0 {
		return "default"
	}
	return fmt.Sprint(n)
}

func (a *app) listRoutesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List routes",
		Args:  args(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.call(cmd.Context(), func(ctx context.Context, c *client.Client) error {
				all := &pb.ListRoutesResponse{}
				request := &pb.ListRoutesRequest{PageSize: pageSize}
				for {
					page, err := c.Config.ListRoutes(ctx, request)
					if err != nil {
						return err
					}
					all.Routes = append(all.Routes, page.GetRoutes()...)
					all.Version = page.GetVersion()
					request.PageToken = page.GetNextPageToken()
					if request.PageToken == "" {
						break
					}
				}
				var rows [][]string
				for _, r := range all.GetRoutes() {
					rows = append(rows, routeRow(r))
				}
				return a.printer.Print(all, routeHeader, rows)
			})
		},
	}
}

func (a *app) describeRouteCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "describe NAME",
		Short: "Describe a route",
		Args:  args(1),
		RunE: func(cmd *cobra.Command, values []string) error {
			return a.call(cmd.Context(), func(ctx context.Context, c *client.Client) error {
				response, err := c.Config.GetRoute(ctx, &pb.GetRouteRequest{Name: values[0]})
				if err != nil {
					return err
				}
				row := append(routeRow(response.GetRoute()), fmt.Sprint(response.GetLastChanged()))
				return a.printer.Print(response, append(append([]string{}, routeHeader...), "LAST CHANGED"), [][]string{row})
			})
		},
	}
}
