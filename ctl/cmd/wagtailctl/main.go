// Command wagtailctl is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"

	"wagtailford.example/ctl/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := command.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
