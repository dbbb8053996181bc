// Package command holds the commands of wagtailctl.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/ctl/client"
	"wagtailford.example/ctl/output"
)

// ServerVariable names the environment variable with the default of --server.
const ServerVariable = "WAGTAILCTL_SERVER"

// defaultTimeout limits a command, including the wait of --wait.
const defaultTimeout = 10 * time.Second

// pageSize is the number of entries that a list command asks for at a time.
const pageSize = 500

// app holds the flags that all commands share.
type app struct {
	options client.Options
	printer output.Printer
	timeout time.Duration
}

// change holds the flags of commands that change the configuration.
type change struct {
	id       string
	base     uint64
	operator string
	wait     bool
}

// New returns the root command, which writes results to w.
func New(w io.Writer) *cobra.Command {
	a := &app{printer: output.Printer{Writer: w}}
	root := &cobra.Command{
		Use:           "wagtailctl",
		Short:         "Manage a wagtailford mesh",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return usage(a.printer.Check())
		},
	}
	root.SetOut(w)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
	flags := root.PersistentFlags()
	server := os.Getenv(ServerVariable)
	if server == "" {
		server = "127.0.0.1:7490"
	}
	flags.StringVar(&a.options.Server, "server", server, "operator address of any daemon (default from "+ServerVariable+")")
	flags.StringVar(&a.options.CertFile, "cert", "", "operator's certificate, PEM")
	flags.StringVar(&a.options.KeyFile, "key", "", "operator's private key, PEM")
	flags.StringVar(&a.options.CAFile, "ca", "", "certificate authority of the daemons, PEM")
	flags.StringVarP(&a.printer.Format, "output", "o", output.FormatTable, "output format: table or json")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "time limit of the command")
	root.AddCommand(a.serviceCommand(), a.routeCommand(), a.versionCommand(), a.statusCommand(),
		a.targetCommand(), a.dumpCommand())
	return root
}

// usage marks an error as a mistake in the arguments.
func usage(err error) error {
	if err == nil {
		return nil
	}
	return &client.UsageError{Cause: err}
}

// args checks the number of arguments.
func args(n int) cobra.PositionalArgs {
	check := cobra.ExactArgs(n)
	return func(cmd *cobra.Command, values []string) error { return usage(check(cmd, values)) }
}

// call runs f with a client and the command's time limit.
func (a *app) call(f func(ctx context.Context, c *client.Client) error) error {
	c, err := client.New(a.options)
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	return f(ctx, c)
}

func (ch *change) register(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&ch.id, "change-id", "", "identity of the change; a repeat under the same id has no further effect")
	flags.Uint64Var(&ch.base, "base-version", 0, "version that the change is based on; 0 for the current one")
	flags.StringVar(&ch.operator, "operator", os.Getenv("USER"), "name for the history")
	flags.BoolVar(&ch.wait, "wait", false, "return when the version is in force everywhere")
}

func (ch *change) options() *pb.ChangeOptions {
	if ch.id == "" {
		ch.id = uuid.NewString()
	}
	return &pb.ChangeOptions{ChangeId: ch.id, BaseVersion: ch.base, Operator: ch.operator}
}

// apply makes a change, prints its version and waits for convergence if asked to.
func (a *app) apply(ch *change, f func(context.Context, *client.Client, *pb.ChangeOptions) (*pb.ChangeResponse, error)) error {
	return a.call(func(ctx context.Context, c *client.Client) error {
		options := ch.options()
		response, err := f(ctx, c, options)
		if err != nil {
			return client.ChangeError(err, options.GetChangeId())
		}
		if ch.wait {
			if err := waitConverged(ctx, c, response.GetVersion()); err != nil {
				return err
			}
		}
		return a.printer.Print(response, []string{"VERSION", "CHANGE ID", "REPEATED"}, [][]string{{
			fmt.Sprint(response.GetVersion()), response.GetChangeId(), fmt.Sprint(response.GetRepeated()),
		}})
	})
}
