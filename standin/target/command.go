package target

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"tarragonshed.example/unit"
)

// Command returns the command that runs one target as a process until the
// context is cancelled.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run one database instance of a group",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Usage: "instance `NAME`", Required: true},
			&cli.StringFlag{Name: "group", Usage: "group `NAME`", Required: true},
			&cli.StringFlag{Name: "listen", Usage: "`HOST:PORT` to listen on", Value: "127.0.0.1:5511"},
			&cli.BoolFlag{Name: "primary", Usage: "start as the primary of term 1"},
			&cli.StringFlag{Name: "follow", Usage: "start as a replica of the instance `NAME` in term 1"},
			&cli.StringFlag{Name: "follow-address", Usage: "`HOST:PORT` of the instance to follow"},
			&cli.IntFlag{Name: "slots", Usage: "data statements that run concurrently", Value: DefaultSlots},
			&cli.IntFlag{Name: "connections", Usage: "maximum number of open connections", Value: DefaultConnections},
			&cli.IntFlag{Name: "group-size", Usage: "number of instances in the group", Value: DefaultGroupSize},
			&cli.DurationFlag{Name: "connect-delay", Usage: "duration of a connection's startup", Value: DefaultConnectDelay},
			&cli.DurationFlag{Name: "service-time", Usage: "additional time that a data statement holds its slot"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	options := []Option{
		WithAddress(c.String("listen")), WithSlots(c.Int("slots")), WithConnections(c.Int("connections")),
		WithGroupSize(c.Int("group-size")), WithConnectDelay(c.Duration("connect-delay")), WithServiceTime(c.Duration("service-time")),
	}
	switch {
	case c.Bool("primary"):
		options = append(options, WithPrimary())
	case c.String("follow") != "":
		options = append(options, WithFollow(unit.InstanceName(c.String("follow")), c.String("follow-address")))
	}
	t, err := New(unit.InstanceName(c.String("name")), unit.GroupName(c.String("group")), options...)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.Root().Writer, "target %s listens on %s\n", t.Name(), t.Address())
	<-ctx.Done()
	return t.Destroy()
}
