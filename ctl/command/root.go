// Package command holds the commands of wagtailctl.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

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

// Run runs the command line and returns its exit code, see client.ExitCode.
func Run(ctx context.Context, arguments []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := New(stdout)
	root.SetArgs(arguments)
	root.SetIn(stdin)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(stderr, "wagtailctl:", client.Explain(err))
	}
	return client.ExitCode(err)
}

// New returns the root command, which writes results to w.
func New(w io.Writer) *cobra.Command {
	a := &app{printer: output.Printer{Writer: w}}
	root := &cobra.Command{
		Use:           "wagtailctl",
		Short:         "Manage a wagtailford mesh",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, values []string) error {
			if len(values) == 0 {
				return cmd.Help()
			}
			return unknownCommand(cmd, values)
		},
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return usage(a.checkFlags())
		},
	}
	root.SetOut(w)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
	a.registerFlags(root)
	root.AddCommand(a.serviceCommand(), a.routeCommand(), a.versionCommand(), a.statusCommand(),
		a.targetCommand(), a.drainCommand(), a.undrainCommand(), a.dumpCommand(), a.explainCommand(), a.explainRouteCommand())
	root.InitDefaultCompletionCmd()
	for _, cmd := range root.Commands() {
		if !cmd.Runnable() && cmd.HasSubCommands() {
			cmd.Args = cobra.ArbitraryArgs
			cmd.RunE = unknownCommand
		}
	}
	return root
}

func (a *app) registerFlags(root *cobra.Command) {
	flags := root.PersistentFlags()
	server := os.Getenv(ServerVariable)
	if server == "" {
		server = "127.0.0.1:7490"
	}
	flags.StringVar(&a.options.Server, "server", server, "operator address HOST:PORT of any daemon; "+ServerVariable+" sets the default")
	flags.StringVar(&a.options.CertFile, "cert", "", "operator's certificate, PEM; goes together with --key and --ca")
	flags.StringVar(&a.options.KeyFile, "key", "", "operator's private key, PEM")
	flags.StringVar(&a.options.CAFile, "ca", "", "certificate authority of the daemons, PEM")
	flags.StringVarP(&a.printer.Format, "output", "o", output.FormatTable, "output format: table or json")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "time limit of the command")
}

// checkFlags checks the flags that all commands share.
func (a *app) checkFlags() error {
	if a.timeout <= 0 {
		return fmt.Errorf("--timeout %v is not positive", a.timeout)
	}
	return errors.Join(a.options.Check(), a.printer.Check())
}

// unknownCommand refuses a call of a command that only groups others.
func unknownCommand(cmd *cobra.Command, values []string) error {
	if len(values) > 0 {
		hint := ""
		if similar := cmd.SuggestionsFor(values[0]); len(similar) > 0 {
			hint = "; similar: " + strings.Join(similar, ", ")
		}
		return usage(fmt.Errorf("unknown command %q for %q%s", values[0], cmd.CommandPath(), hint))
	}
	var names []string
	for _, sub := range cmd.Commands() {
		if sub.IsAvailableCommand() {
			names = append(names, sub.Name())
		}
	}
	return usage(fmt.Errorf("%q needs one of the commands %s", cmd.CommandPath(), strings.Join(names, ", ")))
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
	return func(cmd *cobra.Command, values []string) error {
		if err := check(cmd, values); err != nil {
			return usage(fmt.Errorf("%w; usage: %s", err, cmd.UseLine()))
		}
		return nil
	}
}

// call runs f with a client and the command's time limit.
func (a *app) call(ctx context.Context, f func(ctx context.Context, c *client.Client) error) error {
	c, err := client.New(a.options)
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	return f(ctx, c)
}
