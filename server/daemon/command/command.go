// Package command holds the commands of wagtaild.
package command

import (
	"context"
	"fmt"
	"os"
	"runtime"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/spf13/cobra"

	"wagtailford.example/server/daemon"
	"wagtailford.example/server/daemon/buildinfo"
	"wagtailford.example/server/daemon/logging"
	"wagtailford.example/server/daemon/settings"
	"wagtailford.example/server/state/config"
)

// OpenPlatform connects a node with the platform whose store is at an address.
type OpenPlatform func(store string) (daemon.Platform, error)

// New returns the root command.
func New(open OpenPlatform) *cobra.Command {
	root := &cobra.Command{
		Use:           "wagtaild",
		Short:         "Node of a wagtailford mesh",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(open), checkCommand(), printCommand(), versionCommand())
	return root
}

func runCommand(open OpenPlatform) *cobra.Command {
	var level string
	cmd := &cobra.Command{
		Use:   "run FILE",
		Short: "Run the node with a settings file until SIGTERM",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			signals := hangups()
			parsed, err := log.ParseLevel(level)
			if err != nil || parsed > log.ErrorLevel {
				return fmt.Errorf("unknown log level %q: use debug, info, warn or error", level)
			}
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			lines := logging.NewBounded(os.Stdout)
			defer lines.Flush()
			logging.Setup(lines, parsed)
			hlog.SetLevel(hlog.LevelFatal)
			node, err := newNode(s, open)
			if err != nil {
				return err
			}
			r := reloader{file: args[0], node: node}
			go r.watch(cmd.Context(), signals)
			return node.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&level, "log-level", "info", "debug, info, warn or error; can be changed at run time")
	return cmd
}

// node is a daemon that runs until its context ends.
type node interface {
	Run(ctx context.Context) error
	// Reload takes over changed settings as far as a running node can.
	Reload(next *settings.Settings)
}

// newNode assembles the node that the settings describe.
func newNode(s *settings.Settings, open OpenPlatform) (node, error) {
	if s.Platform.Store == "" {
		return daemon.New(s)
	}
	platform, err := open(s.Platform.Store)
	if err != nil {
		return nil, err
	}
	return daemon.NewHosted(s, platform)
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-settings FILE",
		Short: "Check a settings file and list every fault",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), args[0]+": valid")
			return nil
		},
	}
}

func printCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "print-settings",
		Short: "Print every key with unit, range and default",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return settings.Print(cmd.OutOrStdout()) },
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the commit that the program was built from, and the version of its rules",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintf(cmd.OutOrStdout(), "wagtaild %s, rule version %d, %s\n", buildinfo.Commit(), config.RuleVersion, runtime.Version())
		},
	}
}
