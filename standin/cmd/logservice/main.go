// Command logservice runs the stand-in for the platform's log service.
package main

import (
	"fmt"
	"net"
	"os"

	"github.com/spf13/cobra"

	"wagtailford.example/standin/logservice"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var listen string
	var settings logservice.Settings
	cmd := &cobra.Command{
		Use:          "logservice",
		Short:        "Stand-in for the platform's log service, in memory",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			return run(listen, settings)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	flags.IntVar(&settings.RetentionRecords, "retention-records", 0, "records that a stream keeps; 0 keeps all")
	flags.DurationVar(&settings.Retention, "retention", 0, "time that a record is kept; 0 keeps it for ever")
	return cmd
}

// run serves until the process gets a termination signal, which hertz handles.
func run(listen string, settings logservice.Settings) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := logservice.New(l, settings)
	// The listener queues connections from here on.
	fmt.Printf("listening %s\n", l.Addr())
	server.Spin()
	return nil
}
