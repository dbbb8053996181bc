// Command wagtaild is the daemon that runs beside each target.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"wagtailford.example/platform"
	"wagtailford.example/server/daemon/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command.New(platform.Open).ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "wagtaild:", err)
		os.Exit(1)
	}
}
