package command

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/ctl/client"
)

// Ways of a put.
const (
	createOnly = "create"
	updateOnly = "update"
)

// Flags of the fields of services and routes.
const (
	flagDescription = "description"
	flagCaller      = "caller"
	flagPathPrefix  = "path-prefix"
	flagTo          = "to"
	flagTimeout     = "timeout-ms"
	flagAttempts    = "max-attempts"
	flagMethod      = "idempotent-method"
)

func (a *app) serviceCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "services", Aliases: []string{"service"}, Short: "Create, update, delete, list and describe services"}
	cmd.AddCommand(
		a.putServiceCommand(createOnly), a.putServiceCommand(updateOnly),
		a.deleteServiceCommand(), a.listServicesCommand(), a.describeServiceCommand())
	return cmd
}

func (a *app) putServiceCommand(mode string) *cobra.Command {
	var ch change
	service := &pb.Service{}
	cmd := &cobra.Command{
		Use:   mode + " NAME",
		Short: shortOfPut(mode, "service"),
		Args:  args(1),
		RunE: func(cmd *cobra.Command, values []string) error {
			service.Name = values[0]
			prepare := reachable
			if mode == updateOnly {
				prepare = func(ctx context.Context, c *client.Client) error { return ch.keepService(ctx, c, cmd, service) }
			}
			return a.apply(cmd.Context(), &ch, prepare, func(ctx context.Context, c *client.Client, o *pb.ChangeOptions) (*pb.ChangeResponse, error) {
				return c.Config.PutService(ctx, &pb.PutServiceRequest{
					Service: service, Options: o, CreateOnly: mode == createOnly, UpdateOnly: mode == updateOnly,
				})
			})
		},
	}
	cmd.Flags().StringVar(&service.Description, flagDescription, "", "free text")
	ch.register(cmd)
	return cmd
}

func shortOfPut(mode, kind string) string {
	if mode == createOnly {
		return "Create a " + kind
	}
	return "Update a " + kind + "; what no flag names stays as it is"
}

// keepService fills in the fields that no flag names.
func (ch *change) keepService(ctx context.Context, c *client.Client, cmd *cobra.Command, service *pb.Service) error {
	old, err := c.Config.GetService(ctx, &pb.GetServiceRequest{Name: service.GetName()})
	if err != nil {
		return err
	}
	ch.basedOn(old.GetVersion())
	if !cmd.Flags().Changed(flagDescription) {
		service.Description = old.GetService().GetDescription()
	}
	return nil
}

func (a *app) deleteServiceCommand() *cobra.Command {
	var ch change
	cmd := &cobra.Command{
		Use:   "delete NAME",
		Short: "Delete a service that no route names",
		Args:  args(1),
		RunE: func(cmd *cobra.Command, values []string) error {
			return a.apply(cmd.Context(), &ch, reachable, func(ctx context.Context, c *client.Client, o *pb.ChangeOptions) (*pb.ChangeResponse, error) {
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
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.call(cmd.Context(), func(ctx context.Context, c *client.Client) error {
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
		RunE: func(cmd *cobra.Command, values []string) error {
			return a.call(cmd.Context(), func(ctx context.Context, c *client.Client) error {
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
