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

// drainInterval is the time between two looks at the progress of a drain.
const drainInterval = 500 * time.Millisecond

// session is what each command has.
type session struct {
	options.Options
	client  *client.Client
	printer *printer.Printer
}

// newSession reads the options of a command.
func newSession(c *cli.Command) (*session, error) {
	o, err := options.Read(c)
	if err != nil {
		return nil, err
	}
	if o.Output != printer.Table && o.Output != printer.JSON && (o.Output != html || c.Name != "timeline") {
		return nil, &client.Failure{Exit: client.ExitUsage, Detail: fmt.Sprintf("output %q is not known", o.Output)}
	}
	calls, err := o.Client()
	if err != nil {
		return nil, err
	}
	return &session{Options: o, client: calls, printer: printer.New(os.Stdout, o.Output)}, nil
}

// daemon returns the daemon that the options name.
func (s *session) daemon() *client.Daemon { return s.client.Daemon(s.Daemon) }

// action reads the options and runs a command.
func action(run func(context.Context, *cli.Command, *session) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		s, err := newSession(c)
		if err != nil {
			return err
		}
		return run(ctx, c, s)
	}
}

func moment(nanoseconds int64) string {
	if nanoseconds == 0 {
		return ""
	}
	return time.Unix(0, nanoseconds).UTC().Format(time.RFC3339)
}

// reply is what a reply looks like in JSON.
type reply[A any] struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	State  string `json:"state"`
	Answer A      `json:"answer"`
	Error  string `json:"error,omitempty"`
}

func plain[A any](replies []client.Reply[A]) []reply[A] {
	list := make([]reply[A], 0, len(replies))
	for _, r := range replies {
		one := reply[A]{ID: r.ID, Domain: r.Domain, State: r.State, Answer: r.Answer}
		if r.Err != nil {
			one.Error = r.Err.Error()
		}
		list = append(list, one)
	}
	return list
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show all daemons, each by its own word",
		Action: action(func(ctx context.Context, _ *cli.Command, s *session) error {
			replies, err := client.CallAll(ctx, s.client, s.Options.Daemon, func(ctx context.Context, d *client.Daemon) (*daemon.StatusResult, error) {
				return d.Status(ctx)
			})
			if err != nil {
				return err
			}
			columns := printer.Columns("ID", "DOMAIN", "STATE", "MANIFEST", "IN FORCE SINCE", "SESSIONS", "ACTIVE", "PLATFORM", "STARTED")
			err = s.printer.Print(plain(replies), columns, func(row printer.Row) {
				for _, r := range replies {
					if r.Err != nil {
						row(r.ID, r.Domain, r.State, "not reached", "", "", "", "", "")
						continue
					}
					a := r.Answer
					row(a.ID, a.Domain, a.State, a.Manifest.Version, moment(a.ManifestSince), a.Sessions, a.Transactions, reachable(a.PlatformReachable), moment(a.StartedAt))
				}
			})
			return errors.Join(err, client.PartialError(replies))
		}),
	}
}

func reachable(yes bool) string {
	if yes {
		return "reachable"
	}
	return "unreachable"
}

func sessionsCommand() *cli.Command {
	return &cli.Command{
		Name:  "sessions",
		Usage: "show callers' sessions of all daemons",
		Flags: []cli.Flag{&cli.IntFlag{Name: "limit", Value: 1000, Usage: "largest number of sessions of each daemon"}},
		Action: action(func(ctx context.Context, c *cli.Command, s *session) error {
			replies, err := client.CallAll(ctx, s.client, s.Options.Daemon, func(ctx context.Context, d *client.Daemon) (*daemon.SessionsResult, error) {
				return d.Sessions(ctx, c.Int("limit"))
			})
			if err != nil {
				return err
			}
			columns := printer.Columns("DAEMON", "ID", "CALLER", "GROUP", "ADDRESS", "STATE", "SINCE", "POSITION")
			err = s.printer.Print(plain(replies), columns, func(row printer.Row) {
				for _, r := range replies {
					if r.Err != nil {
						row(r.ID, "not reached", "", "", "", "", "", "")
						continue
					}
					for _, one := range r.Answer.Sessions {
						row(r.ID, one.ID, one.Caller, one.Group, one.Address, one.State, moment(one.Since), fmt.Sprintf("%d/%d", one.Position.Term, one.Position.Index))
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
		Usage: "drain the daemon that --daemon names, and show the progress until it is gone",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "no-wait", Usage: "return when the drain has started"}},
		Action: action(func(ctx context.Context, c *cli.Command, s *session) error {
			if err := s.daemon().Drain(ctx); err != nil {
				return err
			}
			if c.Bool("no-wait") {
				return s.printer.PrintLine(map[string]any{"draining": true}, "draining")
			}
			return s.awaitDrain(ctx)
		}),
	}
}

// awaitDrain shows the progress of a drain until the daemon does not answer any more.
func (s *session) awaitDrain(ctx context.Context) error {
	for {
		status, err := s.daemon().Status(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return s.printer.PrintLine(map[string]any{"drained": true}, "drained: the daemon has ended")
		}
		fmt.Fprintf(os.Stderr, "draining: %d sessions, %d active\n", status.Sessions, status.Transactions)
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
		Action: action(func(ctx context.Context, _ *cli.Command, s *session) error {
			replies, err := client.CallAll(ctx, s.client, s.Options.Daemon, func(ctx context.Context, d *client.Daemon) (*daemon.VersionResult, error) {
				return d.Version(ctx)
			})
			if err != nil {
				_ = s.printer.PrintLine(map[string]string{"tarragonctl": Version}, "tarragonctl %s", Version)
				return err
			}
			value := map[string]any{"tarragonctl": Version, "daemons": plain(replies)}
			err = s.printer.Print(value, printer.Columns("PROCESS", "VERSION", "REVISION", "GO"), func(row printer.Row) {
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
