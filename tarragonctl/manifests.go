package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"os/user"
	"strings"

	"github.com/urfave/cli/v3"

	"tarragonshed.example/manifest"
	"tarragonshed.example/tarragonctl/client"
	"tarragonshed.example/tarragonctl/differ"
	"tarragonshed.example/tarragonctl/printer"
	"tarragonshed.example/wire/operator/gen/daemon"
	wiremanifest "tarragonshed.example/wire/operator/gen/manifest"
	"tarragonshed.example/wire/operator/gen/types"
)

func manifestCommand() *cli.Command {
	return &cli.Command{
		Name:  "manifest",
		Usage: "check, push and show manifests",
		Commands: []*cli.Command{
			{Name: "check", Usage: "check a document without a daemon", ArgsUsage: "FILE", Action: action(check)},
			{Name: "push", Usage: "have a document accepted", ArgsUsage: "FILE", Flags: pushFlags(), Action: action(push)},
			{
				Name: "show", Usage: "write the document in force, or of a version",
				Flags:  []cli.Flag{&cli.Uint64Flag{Name: "version", Usage: "version (default: the one in force)"}},
				Action: action(show),
			},
			{
				Name: "diff", Usage: "compare a document, or a version, with the one in force", ArgsUsage: "[FILE]",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: "from", Usage: "version to compare with (default: the one in force)"},
					&cli.Uint64Flag{Name: "to", Usage: "version that is compared, in place of a file"},
				},
				Action: action(diff),
			},
			{
				Name: "history", Usage: "show the accepted manifests, latest first",
				Flags:  []cli.Flag{&cli.IntFlag{Name: "limit", Value: 50, Usage: "largest number of manifests"}},
				Action: action(history),
			},
			{Name: "status", Usage: "show which version is accepted, and in force on each daemon", Action: action(manifestStatus)},
		},
	}
}

func pushFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: "base", Usage: "version that the document was made from; zero for the first one (required)"},
		&cli.StringFlag{Name: "push-id", Usage: "id of an earlier push to repeat (default: a new one)"},
		&cli.StringFlag{Name: "author", Usage: "who pushes (default: the user's name)"},
	}
}

func readFile(c *cli.Command) (string, []byte, error) {
	path, err := oneArgument(c, "FILE")
	if err != nil {
		return "", nil, err
	}
	document, err := os.ReadFile(path)
	if err != nil {
		return "", nil, &client.Failure{Exit: client.ExitUsage, Detail: err.Error()}
	}
	return path, document, nil
}

func check(_ context.Context, c *cli.Command, s *session) error {
	path, document, err := readFile(c)
	if err != nil {
		return err
	}
	_, problems := manifest.Parse(document)
	if s.Output == printer.JSON || len(problems) > 0 {
		list := append(manifest.Problems{}, problems...)
		if err := s.printer.Print(list, printer.Columns("LINE", "CODE", "SEVERITY", "KEY", "PROBLEM"), func(row printer.Row) {
			for _, p := range problems {
				severity := "error"
				if p.Warning {
					severity = "warning"
				}
				row(p.Line, p.Code, severity, p.Path, p.Detail)
			}
		}); err != nil {
			return err
		}
	}
	if problems.HasErrors() {
		return &client.Failure{Exit: client.ExitRefused, Detail: fmt.Sprintf("%s has problems", path)}
	}
	if s.Output == printer.JSON {
		return nil
	}
	return s.printer.PrintLine(nil, "%s can be pushed", path)
}

func push(ctx context.Context, c *cli.Command, s *session) error {
	_, document, err := readFile(c)
	if err != nil {
		return err
	}
	if !c.IsSet("base") {
		return &client.Failure{Exit: client.ExitUsage, Detail: "--base has to name the version that the document was made from"}
	}
	id := c.String("push-id")
	if id == "" {
		id = "push-" + strings.ToLower(rand.Text())
	}
	author := c.String("author")
	if author == "" {
		if u, err := user.Current(); err == nil {
			author = u.Username
		}
	}
	fmt.Fprintf(os.Stderr, "push id %s\n", id)
	payload := &wiremanifest.PushPayload{PushID: id, Base: c.Uint64("base"), Document: document, Author: &author}
	record, err := s.daemon().Push(ctx, payload)
	var failure *client.Failure
	if errors.As(err, &failure) && failure.Exit == client.ExitUnknown {
		failure.Detail += fmt.Sprintf("; to learn the outcome, repeat: tarragonctl manifest push --base %d --push-id %s %s", payload.Base, id, c.Args().First())
	}
	if err != nil {
		return err
	}
	return s.printer.PrintLine(record, "version %d is accepted", record.Version)
}

func show(ctx context.Context, c *cli.Command, s *session) error {
	answer, err := s.daemon().Manifest(ctx, c.Uint64("version"))
	if err != nil {
		return err
	}
	value := map[string]any{"record": answer.Record, "document": string(answer.Document)}
	fmt.Fprintf(os.Stderr, "version %d, digest %.12s\n", answer.Record.Version, answer.Record.Digest)
	return s.printer.PrintLine(value, "%s", strings.TrimSuffix(string(answer.Document), "\n"))
}

func diff(ctx context.Context, c *cli.Command, s *session) error {
	from, err := s.daemon().Manifest(ctx, c.Uint64("from"))
	if err != nil {
		return err
	}
	var after []byte
	if to := c.Uint64("to"); to != 0 {
		answer, err := s.daemon().Manifest(ctx, to)
		if err != nil {
			return err
		}
		after = answer.Document
	} else if _, after, err = readFile(c); err != nil {
		return err
	}
	lines := differ.Lines(string(from.Document), string(after))
	if len(lines) == 0 && s.Output != printer.JSON {
		return s.printer.PrintLine(nil, "no difference from version %d", from.Record.Version)
	}
	return s.printer.PrintLine(lines, "%s", strings.Join(lines, "\n"))
}

func history(ctx context.Context, c *cli.Command, s *session) error {
	records, err := s.daemon().History(ctx, c.Int("limit"))
	if err != nil {
		return err
	}
	return s.printer.Print(records, printer.Columns("VERSION", "DIGEST", "PUSH ID", "AUTHOR", "PUSHED"), func(row printer.Row) {
		for _, r := range records {
			row(r.Version, short(r.Digest), deref(r.PushID), deref(r.Author), pushedAt(r))
		}
	})
}

// shortDigest is the number of letters of a digest that tables show.
const shortDigest = 12

func short(digest string) string { return digest[:min(len(digest), shortDigest)] }

func deref(text *string) string {
	if text == nil {
		return ""
	}
	return *text
}

func pushedAt(r *types.ManifestRecord) string {
	if r.PushedAt == nil {
		return ""
	}
	return moment(*r.PushedAt)
}

func manifestStatus(ctx context.Context, _ *cli.Command, s *session) error {
	replies, err := client.CallAll(ctx, s.client, s.Options.Daemon, func(ctx context.Context, d *client.Daemon) (*daemon.StatusResult, error) {
		return d.Status(ctx)
	})
	if err != nil {
		return err
	}
	accepted, err := s.daemon().Accepted(ctx)
	line := "accepted: the platform did not answer"
	if err == nil {
		line = fmt.Sprintf("accepted: version %d, digest %s", accepted.Version, short(accepted.Digest))
	}
	if s.Output != printer.JSON {
		fmt.Println(line)
	}
	value := map[string]any{"accepted": accepted, "daemons": plain(replies)}
	err = s.printer.Print(value, printer.Columns("DAEMON", "DOMAIN", "VERSION", "DIGEST", "IN FORCE SINCE"), func(row printer.Row) {
		for _, r := range replies {
			if r.Err != nil {
				row(r.ID, r.Domain, "not reached", "", "")
				continue
			}
			row(r.ID, r.Domain, r.Answer.Manifest.Version, short(r.Answer.Manifest.Digest), moment(r.Answer.ManifestSince))
		}
	})
	return errors.Join(err, client.PartialError(replies))
}
