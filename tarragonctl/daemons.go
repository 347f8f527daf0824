package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"tarragonshed.example/tarragonctl/client"
	"tarragonshed.example/tarragonctl/options"
	"tarragonshed.example/tarragonctl/printer"
	"tarragonshed.example/wire/operator/gen/daemon"
)

// drainInterval is the interval at which the progress of a drain is polled.
const drainInterval = 500 * time.Millisecond

// invocation holds the options, the client and the printer of one run of a command.
type invocation struct {
	options.Options
	client  *client.Client
	printer *printer.Printer
}

// newInvocation reads the options of a command and creates its client and printer. Its
// errors have [client.ExitUsage].
func newInvocation(c *cli.Command) (*invocation, error) {
	o, err := options.Read(c)
	if err != nil {
		return nil, err
	}
	if o.Output != printer.Table && o.Output != printer.JSON && (o.Output != htmlFormat || c.Name != "timeline") {
		return nil, &client.Failure{Exit: client.ExitUsage, Detail: fmt.Sprintf("unknown output format %q", o.Output)}
	}
	api, err := o.Client()
	if err != nil {
		return nil, err
	}
	return &invocation{Options: o, client: api, printer: printer.New(os.Stdout, o.Output)}, nil
}

// daemon returns the client of the daemon given by --daemon.
func (inv *invocation) daemon() *client.Daemon { return inv.client.Daemon(inv.Daemon) }

// action returns an action that reads the options and calls run.
func action(run func(context.Context, *cli.Command, *invocation) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		inv, err := newInvocation(c)
		if err != nil {
			return err
		}
		return run(ctx, c, inv)
	}
}

// formatTime formats nanoseconds since the Unix epoch in UTC. It returns an empty text
// for zero.
func formatTime(nanoseconds int64) string {
	if nanoseconds == 0 {
		return ""
	}
	return time.Unix(0, nanoseconds).UTC().Format(time.RFC3339)
}

// replyJSON is the JSON form of a [client.Reply].
type replyJSON[A any] struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	State  string `json:"state"`
	Answer A      `json:"answer"`
	Error  string `json:"error,omitempty"`
}

func toReplyJSON[A any](replies []client.Reply[A]) []replyJSON[A] {
	list := make([]replyJSON[A], 0, len(replies))
	for _, r := range replies {
		item := replyJSON[A]{ID: r.ID, Domain: r.Domain, State: r.State, Answer: r.Answer}
		if r.Err != nil {
			item.Error = r.Err.Error()
		}
		list = append(list, item)
	}
	return list
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state that each daemon reports of itself",
		Action: action(func(ctx context.Context, _ *cli.Command, inv *invocation) error {
			replies, err := client.CallAll(ctx, inv.client, inv.Options.Daemon, func(ctx context.Context, d *client.Daemon) (*daemon.StatusResult, error) {
				return d.Status(ctx)
			})
			if err != nil {
				return err
			}
			columns := printer.Columns("ID", "DOMAIN", "STATE", "MANIFEST", "IN FORCE SINCE", "SESSIONS", "ACTIVE", "PLATFORM", "STARTED")
			err = inv.printer.Print(toReplyJSON(replies), columns, func(row printer.Row) {
				for _, r := range replies {
					if r.Err != nil {
						row(r.ID, r.Domain, r.State, "not reached", "", "", "", "", "")
						continue
					}
					a := r.Answer
					row(a.ID, a.Domain, a.State, a.Manifest.Version, formatTime(a.ManifestSince), a.Sessions, a.Transactions, formatReachable(a.PlatformReachable), formatTime(a.StartedAt))
				}
			})
			return errors.Join(err, client.PartialError(replies))
		}),
	}
}

func formatReachable(ok bool) string {
	if ok {
		return "reachable"
	}
	return "unreachable"
}

func sessionsCommand() *cli.Command {
	return &cli.Command{
		Name:  "sessions",
		Usage: "list the callers' sessions on all daemons",
		Flags: []cli.Flag{&cli.IntFlag{Name: "limit", Value: 1000, Usage: "maximum number of sessions per daemon"}},
		Action: action(func(ctx context.Context, c *cli.Command, inv *invocation) error {
			replies, err := client.CallAll(ctx, inv.client, inv.Options.Daemon, func(ctx context.Context, d *client.Daemon) (*daemon.SessionsResult, error) {
				return d.Sessions(ctx, c.Int("limit"))
			})
			if err != nil {
				return err
			}
			columns := printer.Columns("DAEMON", "ID", "CALLER", "GROUP", "ADDRESS", "STATE", "SINCE", "POSITION")
			err = inv.printer.Print(toReplyJSON(replies), columns, func(row printer.Row) {
				for _, r := range replies {
					if r.Err != nil {
						row(r.ID, "not reached", "", "", "", "", "", "")
						continue
					}
					for _, session := range r.Answer.Sessions {
						row(r.ID, session.ID, session.Caller, session.Group, session.Address, session.State, formatTime(session.Since), fmt.Sprintf("%d/%d", session.Position.Term, session.Position.Index))
					}
				}
			})
			return errors.Join(err, client.PartialError(replies))
		}),
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "drain the daemon given by --daemon and show the progress until it has stopped",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "no-wait", Usage: "return as soon as the drain has started"}},
		Action: action(func(ctx context.Context, c *cli.Command, inv *invocation) error {
			if err := inv.daemon().Drain(ctx); err != nil {
				return err
			}
			if c.Bool("no-wait") {
				return inv.printer.PrintLine(map[string]any{"draining": true}, "draining")
			}
			return inv.awaitDrain(ctx)
		}),
	}
}

// awaitDrain writes the progress of a drain to standard error until a status call fails,
// which it takes to mean that the daemon has stopped.
func (inv *invocation) awaitDrain(ctx context.Context) error {
	for {
		status, err := inv.daemon().Status(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return inv.printer.PrintLine(map[string]any{"drained": true}, "drained: the daemon has ended")
		}
		fmt.Fprintf(os.Stderr, "draining: %d sessions, %d active transactions\n", status.Sessions, status.Transactions)
		select {
		case <-time.After(drainInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "show the versions of this program and of all daemons",
		Action: action(func(ctx context.Context, _ *cli.Command, inv *invocation) error {
			replies, err := client.CallAll(ctx, inv.client, inv.Options.Daemon, func(ctx context.Context, d *client.Daemon) (*daemon.VersionResult, error) {
				return d.Version(ctx)
			})
			if err != nil {
				_ = inv.printer.PrintLine(map[string]string{"tarragonctl": Version}, "tarragonctl %s", Version)
				return err
			}
			value := map[string]any{"tarragonctl": Version, "daemons": toReplyJSON(replies)}
			err = inv.printer.Print(value, printer.Columns("PROCESS", "VERSION", "REVISION", "GO"), func(row printer.Row) {
				row("tarragonctl", Version, "", "")
				for _, r := range replies {
					if r.Err != nil {
						row(r.ID, "not reached", "", "")
						continue
					}
					row(r.ID, r.Answer.Version, r.Answer.Revision, r.Answer.Go)
				}
			})
			return errors.Join(err, client.PartialError(replies))
		}),
	}
}
