// Command wagtailctl is the operators' command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"

	"wagtailford.example/ctl/client"
	"wagtailford.example/ctl/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := command.New(os.Stdout).ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "wagtailctl:", client.Explain(err))
	os.Exit(exitCode(err))
}

// exitCode treats an unknown command, which cobra reports as a plain error, as a mistake in the arguments.
func exitCode(err error) int {
	var usage *client.UsageError
	if !errors.As(err, &usage) && strings.HasPrefix(err.Error(), "unknown command") {
		return client.ExitUsage
	}
	return client.ExitCode(err)
}
