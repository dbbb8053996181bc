// Command demo runs a small mesh of separate processes and checks what became of every request.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"wagtailford.example/standin/demo"
)

func main() {
	var options demo.Options
	cmd := &cobra.Command{
		Use:           "demo",
		Short:         "Run a small mesh, disturb it and check every request",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return demo.Run(options) },
	}
	cmd.Flags().StringVar(&options.Bin, "bin", "bin", "directory with the built programs")
	cmd.Flags().BoolVar(&options.Hold, "hold", os.Getenv("HOLD") != "", "stay up until interrupted")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}
