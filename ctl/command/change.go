package command

import (
	"context"
	"fmt"
	"os"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	pb "wagtailford.example/api/wagtailford/v1"
	"wagtailford.example/ctl/client"
)

// change holds the flags of commands that change the configuration.
type change struct {
	id       string
	base     uint64
	operator string
	wait     bool
}

func (ch *change) register(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&ch.id, "change-id", "", "identity of the change; a repeat under the same id has no further effect")
	flags.Uint64Var(&ch.base, "base-version", 0, "version that the change is based on; 0 for the current one")
	flags.StringVar(&ch.operator, "operator", os.Getenv("USER"), "name for the history")
	flags.BoolVar(&ch.wait, "wait", false, "return when the version is in force everywhere")
}

// read prepares a change. Its errors are never of unknown outcome, since nothing was sent yet.
type read func(ctx context.Context, c *client.Client) error

// send makes a change.
type send func(ctx context.Context, c *client.Client, options *pb.ChangeOptions) (*pb.ChangeResponse, error)

// reachable is the read of a change that needs none. A daemon out of reach is thereby told apart from a connection
// that was lost while the change was under way.
func reachable(ctx context.Context, c *client.Client) error {
	_, err := c.Config.ListVersions(ctx, &pb.ListVersionsRequest{PageSize: 1})
	return err
}

// apply makes a change, prints its version and waits for convergence if asked to.
func (a *app) apply(ctx context.Context, ch *change, prepare read, f send) error {
	return a.call(ctx, func(ctx context.Context, c *client.Client) error {
		if err := prepare(ctx, c); err != nil {
			return err
		}
		// Somebody who states the id may be repeating an attempt that reached the log.
		mayRepeat := ch.id != ""
		if !mayRepeat {
			ch.id = uuid.NewString()
		}
		response, err := f(ctx, c, &pb.ChangeOptions{ChangeId: ch.id, BaseVersion: ch.base, Operator: ch.operator})
		if err != nil {
			return client.ChangeError(err, ch.id, mayRepeat)
		}
		err = a.printer.Print(response, []string{"VERSION", "CHANGE ID", "REPEATED"}, [][]string{{
			fmt.Sprint(response.GetVersion()), response.GetChangeId(), fmt.Sprint(response.GetRepeated()),
		}})
		if err != nil || !ch.wait {
			return err
		}
		return waitConverged(ctx, c, response.GetVersion())
	})
}

// basedOn makes the version that was read the base of the change, unless the operator stated another one.
func (ch *change) basedOn(version uint64) {
	if ch.base == 0 {
		ch.base = version
	}
}
