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

// Ways of a put.
const (
	createOnly = "create"
	updateOnly = "update"
)

func (a *app) serviceCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "service", Short: "Create, update, delete, list and describe services"}
	cmd.AddCommand(
		a.putServiceCommand(createOnly), a.putServiceCommand(updateOnly),
		a.deleteServiceCommand(), a.listServicesCommand(), a.describeServiceCommand())
	return cmd
}

func (a *app) putServiceCommand(mode string) *cobra.Command {
	var ch change
	var description string
	cmd := &cobra.Command{
		Use:   mode + " NAME",
		Short: mode + " a service",
		Args:  args(1),
		RunE: func(_ *cobra.Command, values []string) error {
			return a.apply(&ch, func(ctx context.Context, c *client.Client, o *pb.ChangeOptions) (*pb.ChangeResponse, error) {
				return c.Config.PutService(ctx, &pb.PutServiceRequest{
					Service:    &pb.Service{Name: values[0], Description: description},
					Options:    o,
					CreateOnly: mode == createOnly,
					UpdateOnly: mode == updateOnly,
				})
			})
		},
	}
	cmd.Flags().StringVar(&description, "description", "", "free text")
	ch.register(cmd)
	return cmd
}

func (a *app) deleteServiceCommand() *cobra.Command {
	var ch change
	cmd := &cobra.Command{
		Use:   "delete NAME",
		Short: "Delete a service that no route names",
		Args:  args(1),
		RunE: func(_ *cobra.Command, values []string) error {
			return a.apply(&ch, func(ctx context.Context, c *client.Client, o *pb.ChangeOptions) (*pb.ChangeResponse, error) {
				return c.Config.DeleteService(ctx, &pb.DeleteServiceRequest{Name: values[0], Options: o})
			})
		},
	}
	ch.register(cmd)
	return cmd
}

func (a *app) listServicesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List services",
		Args:  args(0),
		RunE: func(*cobra.Command, []string) error {
			return a.call(func(ctx context.Context, c *client.Client) error {
				all := &pb.ListServicesResponse{}
				request := &pb.ListServicesRequest{PageSize: pageSize}
				for {
					page, err := c.Config.ListServices(ctx, request)
					if err != nil {
						return err
					}
					all.Services = append(all.Services, page.GetServices()...)
					all.Version = page.GetVersion()
					request.PageToken = page.GetNextPageToken()
					if request.PageToken == "" {
						break
					}
				}
				var rows [][]string
				for _, s := range all.GetServices() {
					rows = append(rows, []string{s.GetName(), s.GetDescription()})
				}
				return a.printer.Print(all, []string{"NAME", "DESCRIPTION"}, rows)
			})
		},
	}
}

func (a *app) describeServiceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "describe NAME",
		Short: "Describe a service",
		Args:  args(1),
		RunE: func(_ *cobra.Command, values []string) error {
			return a.call(func(ctx context.Context, c *client.Client) error {
				response, err := c.Config.GetService(ctx, &pb.GetServiceRequest{Name: values[0]})
				if err != nil {
					return err
				}
				return a.printer.Print(response, []string{"NAME", "DESCRIPTION", "LAST CHANGED"}, [][]string{{
					response.GetService().GetName(), response.GetService().GetDescription(), fmt.Sprint(response.GetLastChanged()),
				}})
			})
		},
	}
}

func (a *app) routeCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "route", Short: "Create, update, delete, list and describe routes"}
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
		Short: mode + " a route",
		Args:  args(1),
		RunE: func(_ *cobra.Command, values []string) error {
			route.Name = values[0]
			for _, text := range destinations {
				d, err := parseDestination(text)
				if err != nil {
					return usage(err)
				}
				route.Destinations = append(route.Destinations, d)
			}
			return a.apply(&ch, func(ctx context.Context, c *client.Client, o *pb.ChangeOptions) (*pb.ChangeResponse, error) {
				return c.Config.PutRoute(ctx, &pb.PutRouteRequest{
					Route: route, Options: o, CreateOnly: mode == createOnly, UpdateOnly: mode == updateOnly,
				})
			})
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&route.Caller, "caller", "*", "caller that the route applies to, * for every caller")
	flags.StringVar(&route.PathPrefix, "path-prefix", "/", "path prefix that the route applies to")
	flags.StringArrayVar(&destinations, "to", nil, "destination SERVICE[:WEIGHT][,LABEL=VALUE...], may be repeated")
	flags.Uint32Var(&route.TimeoutMs, "timeout-ms", 0, "time limit of a request in milliseconds, 0 for the default")
	flags.Uint32Var(&route.MaxAttempts, "max-attempts", 0, "attempts of an idempotent request, 0 for the default")
	flags.StringSliceVar(&route.IdempotentMethods, "idempotent-method", nil, "method to treat as idempotent")
	ch.register(cmd)
	return cmd
}

// parseDestination reads SERVICE[:WEIGHT][,LABEL=VALUE...].
func parseDestination(text string) (*pb.Destination, error) {
	parts := strings.Split(text, ",")
	d := &pb.Destination{Weight: 1}
	service, weight, weighted := strings.Cut(parts[0], ":")
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
		RunE: func(_ *cobra.Command, values []string) error {
			return a.apply(&ch, func(ctx context.Context, c *client.Client, o *pb.ChangeOptions) (*pb.ChangeResponse, error) {
				return c.Config.DeleteRoute(ctx, &pb.DeleteRouteRequest{Name: values[0], Options: o})
			})
		},
	}
	ch.register(cmd)
	return cmd
}

var routeHeader = []string{"NAME", "CALLER", "PATH PREFIX", "DESTINATIONS", "TIMEOUT MS", "MAX ATTEMPTS"}

func routeRow(r *pb.Route) []string {
	return []string{
		r.GetName(), r.GetCaller(), r.GetPathPrefix(), formatDestinations(r.GetDestinations()),
		fmt.Sprint(r.GetTimeoutMs()), fmt.Sprint(r.GetMaxAttempts()),
	}
}

func (a *app) listRoutesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List routes",
		Args:  args(0),
		RunE: func(*cobra.Command, []string) error {
			return a.call(func(ctx context.Context, c *client.Client) error {
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
		RunE: func(_ *cobra.Command, values []string) error {
			return a.call(func(ctx context.Context, c *client.Client) error {
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
