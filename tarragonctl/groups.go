package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"tarragonshed.example/tarragonctl/client"
	"tarragonshed.example/tarragonctl/printer"
	"tarragonshed.example/wire/operator/gen/group"
	"tarragonshed.example/wire/operator/gen/types"
)

func groupsCommand() *cli.Command {
	return &cli.Command{
		Name:  "groups",
		Usage: "show the groups of the asked daemon's manifest, with the latest that any daemon knows",
		Action: action(func(ctx context.Context, _ *cli.Command, s *session) error {
			groups, err := s.daemon().Groups(ctx)
			if err != nil {
				return err
			}
			replies, err := client.CallAll(ctx, s.client, s.Options.Daemon, func(ctx context.Context, d *client.Daemon) ([]*group.Group, error) {
				return d.Groups(ctx)
			})
			if err != nil {
				return err
			}
			for _, r := range replies {
				improve(groups, r.Answer)
			}
			columns := printer.Columns("GROUP", "INSTANCE", "DOMAIN", "ROLE", "TERM", "LAST", "APPLIED", "STALENESS", "SLOTS", "CONNECTIONS", "HOMES")
			err = s.printer.Print(groups, columns, func(row printer.Row) {
				for _, g := range groups {
					for _, i := range g.Instances {
						row(g.Name, i.Name, i.Domain, role(i), number(i.Term), position(i.Last), position(i.Applied), milliseconds(i.StalenessMilliseconds), i.Slots, i.Connections, strings.Join(i.Homes, ","))
					}
				}
			})
			return errors.Join(err, client.PartialError(replies))
		}),
	}
}

// improve takes over what another daemon knows better.
func improve(groups, others []*group.Group) {
	for _, g := range groups {
		for _, other := range others {
			if other.Name != g.Name {
				continue
			}
			if other.Term > g.Term {
				g.Primary, g.Term = other.Primary, other.Term
			}
			improveInstances(g.Instances, other.Instances)
		}
	}
}

func improveInstances(instances, others []*group.GroupInstance) {
	for _, i := range instances {
		for _, other := range others {
			if other.Name == i.Name && fresher(other, i) {
				homes := i.Homes
				*i = *other
				i.Homes = homes
			}
		}
	}
}

// fresher reports whether a is known from a later report than b.
func fresher(a, b *group.GroupInstance) bool {
	if !a.Known || !b.Known {
		return a.Known
	}
	if *a.Term != *b.Term {
		return *a.Term > *b.Term
	}
	if a.Last.Index != b.Last.Index {
		return a.Last.Index > b.Last.Index
	}
	return *a.StalenessMilliseconds < *b.StalenessMilliseconds
}

func role(i *group.GroupInstance) string {
	text := "unknown"
	if i.Role != nil {
		text = *i.Role
	}
	if i.Leaving {
		text += " (leaving)"
	}
	return text
}

func number(n *uint64) string {
	if n == nil {
		return ""
	}
	return fmt.Sprint(*n)
}

func position(p *types.Position) string {
	if p == nil {
		return ""
	}
	return fmt.Sprintf("%d/%d", p.Term, p.Index)
}

func milliseconds(n *int64) string {
	if n == nil {
		return ""
	}
	return fmt.Sprintf("%d ms", *n)
}

func groupCommand() *cli.Command {
	return &cli.Command{
		Name:  "group",
		Usage: "act on a group",
		Commands: []*cli.Command{{
			Name:      "change-primary",
			Usage:     "change the primary of a group without losing a write",
			ArgsUsage: "GROUP",
			Flags:     []cli.Flag{&cli.StringFlag{Name: "to", Usage: "instance that becomes primary (default: the best one)"}},
			Action: action(func(ctx context.Context, c *cli.Command, s *session) error {
				name, err := oneArgument(c, "GROUP")
				if err != nil {
					return err
				}
				fmt.Fprintf(os.Stderr, "changing the primary of %s\n", name)
				primary, err := s.daemon().ChangePrimary(ctx, name, c.String("to"))
				if err != nil {
					return err
				}
				return s.printer.PrintLine(map[string]string{"group": name, "primary": primary}, "primary of %s: %s", name, primary)
			}),
		}},
	}
}

// oneArgument returns the only argument of a command.
func oneArgument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", &client.Failure{Exit: client.ExitUsage, Detail: fmt.Sprintf("%s takes one argument: %s", c.FullName(), name)}
	}
	return c.Args().First(), nil
}
