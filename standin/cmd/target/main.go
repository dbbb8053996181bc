// Command target runs a stand-in target application.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"wagtailford.example/standin/target"
)

func main() {
	var options target.Options
	var listen string
	cmd := &cobra.Command{
		Use:          "target",
		Short:        "Run a stand-in target application",
		SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			return run(listen, options)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "address for requests")
	flags.StringVar(&options.Name, "name", "target", "name in answers")
	flags.StringVar(&options.Service, "service", "", "service of the target")
	flags.StringVar(&options.Announce, "announce", "", "base URL of the node's announce listener")
	flags.StringToStringVar(&options.Labels, "label", nil, "labels of the target")
	flags.IntVar(&options.Slots, "slots", 18, "concurrent requests")
	flags.DurationVar(&options.Latency, "latency", 2*time.Millisecond, "time that a request takes")
	flags.DurationVar(&options.RenewInterval, "renew", 500*time.Millisecond, "interval between announcements")
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}

func run(listen string, options target.Options) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Println("listening", l.Addr())
	t := target.New(l, options)
	failed := make(chan error, 1)
	go func() { failed <- t.Run() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	left := make(chan error, 1)
	go func() { left <- t.KeepAnnounced(ctx) }()
	select {
	case err := <-failed:
		return err
	case err := <-left:
		return err
	}
}
