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

// html is the output of a timeline as one page.
const html printer.Format = "html"

// followInterval is the time between two rounds of following.
const followInterval = time.Second

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "merge the events of all daemons",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "since", Usage: "age of the oldest events (default: all that are kept)"},
			&cli.StringFlag{Name: "group", Usage: "only events of the group"},
			&cli.StringFlag{Name: "instance", Usage: "only events of the instance"},
			&cli.StringFlag{Name: "source", Usage: "only events by or about the daemon"},
			&cli.StringSliceFlag{Name: "kind", Usage: "only events of the kind; can be repeated"},
			&cli.BoolFlag{Name: "follow", Usage: "go on until interrupted"},
		},
		Action: action(func(ctx context.Context, c *cli.Command, s *session) error {
			if c.Bool("follow") && s.Output == html {
				return &client.Failure{Exit: client.ExitUsage, Detail: "a page can't follow"}
			}
			filter := timeliner.Filter{Group: c.String("group"), Instance: c.String("instance"), Daemon: c.String("source"), Kinds: c.StringSlice("kind")}
			if since := c.Duration("since"); since > 0 {
				filter.Since = time.Now().Add(-since)
			}
			return s.timeline(ctx, timeliner.New(filter), c.Bool("follow"))
		}),
	}
}

func (s *session) timeline(ctx context.Context, t *timeliner.Timeliner, follow bool) error {
	told := make(map[string]bool)
	for {
		replies, err := s.round(ctx, t)
		if ctx.Err() != nil {
			return nil // Following was interrupted.
		}
		if err != nil {
			return err
		}
		story := timeliner.Timeline{Events: t.Merge(replies), Missing: missing(replies)}
		if !follow {
			return s.tell(story, client.PartialError(replies))
		}
		if err := s.continueStory(story, told); err != nil {
			return err
		}
		select {
		case <-time.After(followInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// round asks all daemons for what they have recorded since the last round.
func (s *session) round(ctx context.Context, t *timeliner.Timeliner) ([]client.Reply[timeliner.DaemonEvents], error) {
	return client.CallAll(ctx, s.client, s.Options.Daemon, func(ctx context.Context, d *client.Daemon) (timeliner.DaemonEvents, error) {
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

func missing(replies []client.Reply[timeliner.DaemonEvents]) []string {
	var names []string
	for _, r := range replies {
		if r.Err != nil {
			names = append(names, fmt.Sprintf("%s (%v)", r.ID, r.Err))
		}
	}
	return names
}

// tell writes a whole story.
func (s *session) tell(story timeliner.Timeline, partial error) error {
	var err error
	switch s.Output {
	case html:
		err = timeliner.WritePage(os.Stdout, story)
	case printer.JSON:
		err = s.printer.PrintLine(story, "")
	default:
		printLines(story.Events)
	}
	for _, name := range story.Missing {
		fmt.Fprintf(os.Stderr, "not reached: %s\n", name)
	}
	if err != nil {
		return err
	}
	return partial
}

// continueStory writes one round of following. It tells once which daemons are
// missing.
func (s *session) continueStory(story timeliner.Timeline, told map[string]bool) error {
	for _, name := range story.Missing {
		if !told[name] {
			told[name] = true
			fmt.Fprintf(os.Stderr, "not reached: %s\n", name)
		}
	}
	if s.Output == printer.JSON {
		for _, e := range story.Events {
			if err := s.printer.PrintLine(e, ""); err != nil {
				return err
			}
		}
		return nil
	}
	printLines(story.Events)
	return nil
}

func printLines(events []*daemon.TimelineEvent) {
	for _, e := range events {
		fmt.Println(timeliner.Line(e))
	}
}
