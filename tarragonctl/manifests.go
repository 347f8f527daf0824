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
			{Name: "check", Usage: "validate a manifest file locally, without a daemon", ArgsUsage: "FILE", Action: action(check)},
			{Name: "push", Usage: "submit a manifest file for acceptance", ArgsUsage: "FILE", Flags: pushFlags(), Action: action(push)},
			{
				Name: "show", Usage: "print the manifest in force, or another version",
				Flags:  []cli.Flag{&cli.Uint64Flag{Name: "version", Usage: "version to print (default: the one in force)"}},
				Action: action(show),
			},
			{
				Name: "diff", Usage: "compare a manifest file, or a version, with the one in force", ArgsUsage: "[FILE]",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: "from", Usage: "version to compare with (default: the one in force)"},
					&cli.Uint64Flag{Name: "to", Usage: "version to compare, instead of a file"},
				},
				Action: action(diff),
			},
			{
				Name: "history", Usage: "list the accepted manifests, latest first",
				Flags:  []cli.Flag{&cli.IntFlag{Name: "limit", Value: 50, Usage: "maximum number of manifests"}},
				Action: action(history),
			},
			{Name: "status", Usage: "show the accepted version, and the version in force on each daemon", Action: action(manifestStatus)},
		},
	}
}

func pushFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: "base", Usage: "version that the file is based on; 0 for the first manifest (required)"},
		&cli.StringFlag{Name: "push-id", Usage: "id of an earlier push to retry (default: a new id)"},
		&cli.StringFlag{Name: "author", Usage: "author to record (default: the name of the operating system user)"},
	}
}

// readFile returns the path that the FILE argument holds, and the content of the file.
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

func check(_ context.Context, c *cli.Command, inv *invocation) error {
	path, document, err := readFile(c)
	if err != nil {
		return err
	}
	_, problems := manifest.Parse(document)
	if inv.Output == printer.JSON || len(problems) > 0 {
		list := append(manifest.Problems{}, problems...)
		if err := inv.printer.Print(list, printer.Columns("LINE", "CODE", "SEVERITY", "KEY", "PROBLEM"), func(row printer.Row) {
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
		return &client.Failure{Exit: client.ExitRefused, Detail: fmt.Sprintf("%s is not a valid manifest", path)}
	}
	if inv.Output == printer.JSON {
		return nil
	}
	return inv.printer.PrintLine(nil, "%s can be pushed", path)
}

func push(ctx context.Context, c *cli.Command, inv *invocation) error {
	_, document, err := readFile(c)
	if err != nil {
		return err
	}
	if !c.IsSet("base") {
		return &client.Failure{Exit: client.ExitUsage, Detail: "--base is required: the version that the file is based on"}
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
	record, err := inv.daemon().Push(ctx, payload)
	var failure *client.Failure
	if errors.As(err, &failure) && failure.Exit == client.ExitUnknown {
		failure.Detail += fmt.Sprintf("; to find out the outcome, run: tarragonctl manifest push --base %d --push-id %s %s", payload.Base, id, c.Args().First())
	}
	if err != nil {
		return err
	}
	return inv.printer.PrintLine(record, "version %d is accepted", record.Version)
}

func show(ctx context.Context, c *cli.Command, inv *invocation) error {
	answer, err := inv.daemon().Manifest(ctx, c.Uint64("version"))
	if err != nil {
		return err
	}
	value := map[string]any{"record": answer.Record, "document": string(answer.Document)}
	fmt.Fprintf(os.Stderr, "version %d, digest %.12s\n", answer.Record.Version, answer.Record.Digest)
	return inv.printer.PrintLine(value, "%s", strings.TrimSuffix(string(answer.Document), "\n"))
}

func diff(ctx context.Context, c *cli.Command, inv *invocation) error {
	from, err := inv.daemon().Manifest(ctx, c.Uint64("from"))
	if err != nil {
		return err
	}
	var after []byte
	if to := c.Uint64("to"); to != 0 {
		answer, err := inv.daemon().Manifest(ctx, to)
		if err != nil {
			return err
		}
		after = answer.Document
	} else if _, after, err = readFile(c); err != nil {
		return err
	}
	lines := differ.Lines(string(from.Document), string(after))
	if len(lines) == 0 && inv.Output != printer.JSON {
		return inv.printer.PrintLine(nil, "no difference from version %d", from.Record.Version)
	}
	return inv.printer.PrintLine(lines, "%s", strings.Join(lines, "\n"))
}

func history(ctx context.Context, c *cli.Command, inv *invocation) error {
	records, err := inv.daemon().History(ctx, c.Int("limit"))
	if err != nil {
		return err
	}
	return inv.printer.Print(records, printer.Columns("VERSION", "DIGEST", "PUSH ID", "AUTHOR", "PUSHED"), func(row printer.Row) {
		for _, r := range records {
			row(r.Version, shortenDigest(r.Digest), deref(r.PushID), deref(r.Author), formatPushedAt(r))
		}
	})
}

// shortDigestLength is the number of leading hexadecimal digits of a digest in tables.
const shortDigestLength = 12

func shortenDigest(digest string) string { return digest[:min(len(digest), shortDigestLength)] }

func deref(text *string) string {
	if text == nil {
		return ""
	}
	return *text
}

func formatPushedAt(r *types.ManifestRecord) string {
	if r.PushedAt == nil {
		return ""
	}
	return formatTime(*r.PushedAt)
}

func manifestStatus(ctx context.Context, _ *cli.Command, inv *invocation) error {
	replies, err := client.CallAll(ctx, inv.client, inv.Options.Daemon, func(ctx context.Context, d *client.Daemon) (*daemon.StatusResult, error) {
		return d.Status(ctx)
	})
	if err != nil {
		return err
	}
	accepted, err := inv.daemon().Accepted(ctx)
	line := "accepted: the platform did not answer"
	if err == nil {
		line = fmt.Sprintf("accepted: version %d, digest %s", accepted.Version, shortenDigest(accepted.Digest))
	}
	if inv.Output != printer.JSON {
		fmt.Println(line)
	}
	value := map[string]any{"accepted": accepted, "daemons": toReplyJSON(replies)}
	err = inv.printer.Print(value, printer.Columns("DAEMON", "DOMAIN", "VERSION", "DIGEST", "IN FORCE SINCE"), func(row printer.Row) {
		for _, r := range replies {
			if r.Err != nil {
				row(r.ID, r.Domain, "not reached", "", "")
				continue
			}
			row(r.ID, r.Domain, r.Answer.Manifest.Version, shortenDigest(r.Answer.Manifest.Digest), formatTime(r.Answer.ManifestSince))
		}
	})
	return errors.Join(err, client.PartialError(replies))
}
