package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"tarragonshed.example/tarragonctl/client"
	"tarragonshed.example/tarragonctl/printer"
	"tarragonshed.example/tarragonctl/timeliner"
	"tarragonshed.example/wire/operator/gen/daemon"
)

// htmlFormat writes a timeline as a self-contained HTML page. Only the command timeline
// supports it.
const htmlFormat printer.Format = "html"

// followInterval is the interval at which --follow polls all daemons.
const followInterval = time.Second

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show the merged events of all daemons",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "since", Usage: "maximum age of events (default: all that the daemons keep)"},
			&cli.StringFlag{Name: "group", Usage: "only events of the group"},
			&cli.StringFlag{Name: "instance", Usage: "only events of the instance"},
			&cli.StringFlag{Name: "source", Usage: "only events recorded by the daemon or about it"},
			&cli.StringSliceFlag{Name: "kind", Usage: "only events of the kind; can be repeated"},
			&cli.BoolFlag{Name: "follow", Usage: "print new events until interrupted"},
		},
		Action: action(func(ctx context.Context, c *cli.Command, inv *invocation) error {
			if c.Bool("follow") && inv.Output == htmlFormat {
				return &client.Failure{Exit: client.ExitUsage, Detail: "--follow cannot be combined with --output html"}
			}
			filter := timeliner.Filter{Group: c.String("group"), Instance: c.String("instance"), Daemon: c.String("source"), Kinds: c.StringSlice("kind")}
			if since := c.Duration("since"); since > 0 {
				filter.Since = time.Now().Add(-since)
			}
			return inv.timeline(ctx, timeliner.New(filter), c.Bool("follow"))
		}),
	}
}

func (inv *invocation) timeline(ctx context.Context, t *timeliner.Timeliner, follow bool) error {
	reported := make(map[string]bool)
	for {
		replies, err := inv.fetchEvents(ctx, t)
		if ctx.Err() != nil {
			return nil // The operator interrupted --follow.
		}
		if err != nil {
			return err
		}
		timeline := timeliner.Timeline{Events: t.Merge(replies), Missing: missingDaemons(replies)}
		if !follow {
			return inv.writeTimeline(timeline, client.PartialError(replies))
		}
		if err := inv.writeUpdate(timeline, reported); err != nil {
			return err
		}
		select {
		case <-time.After(followInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// fetchEvents returns the events that the daemons have recorded since the last round, all
// pages of them.
func (inv *invocation) fetchEvents(ctx context.Context, t *timeliner.Timeliner) ([]client.Reply[timeliner.DaemonEvents], error) {
	return client.CallAll(ctx, inv.client, inv.Options.Daemon, func(ctx context.Context, d *client.Daemon) (timeliner.DaemonEvents, error) {
		answer := timeliner.DaemonEvents{Address: d.Address}
		since := t.Since(d.Address)
		for {
			page, err := d.Timeline(ctx, since)
			if err != nil {
				return answer, err
			}
			answer.Events = append(answer.Events, page.Events...)
			if !page.More || len(page.Events) == 0 {
				return answer, nil
			}
			since = *page.Events[len(page.Events)-1].Time
		}
	})
}

// missingDaemons describes the daemons that did not answer, each by its id and the error.
func missingDaemons(replies []client.Reply[timeliner.DaemonEvents]) []string {
	var descriptions []string
	for _, r := range replies {
		if r.Err != nil {
			descriptions = append(descriptions, fmt.Sprintf("%s (%v)", r.ID, r.Err))
		}
	}
	return descriptions
}

// writeTimeline writes a complete timeline to standard output and its missing daemons to
// standard error. It returns partial if the write succeeds.
func (inv *invocation) writeTimeline(timeline timeliner.Timeline, partial error) error {
	var err error
	switch inv.Output {
	case htmlFormat:
		err = timeliner.WritePage(os.Stdout, timeline)
	case printer.JSON:
		err = inv.printer.PrintLine(timeline, "")
	default:
		printLines(timeline.Events)
	}
	for _, name := range timeline.Missing {
		fmt.Fprintf(os.Stderr, "not reached: %s\n", name)
	}
	if err != nil {
		return err
	}
	return partial
}

// writeUpdate writes the events of one round of --follow. Each missing daemon is written
// to standard error once for each distinct error; reported holds those already written.
func (inv *invocation) writeUpdate(timeline timeliner.Timeline, reported map[string]bool) error {
	for _, name := range timeline.Missing {
		if !reported[name] {
			reported[name] = true
			fmt.Fprintf(os.Stderr, "not reached: %s\n", name)
		}
	}
	if inv.Output == printer.JSON {
		for _, e := range timeline.Events {
			if err := inv.printer.PrintLine(e, ""); err != nil {
				return err
			}
		}
		return nil
	}
	printLines(timeline.Events)
	return nil
}

func printLines(events []*daemon.TimelineEvent) {
	for _, e := range events {
		fmt.Println(timeliner.Line(e))
	}
}
