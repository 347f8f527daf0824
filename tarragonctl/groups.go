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
		Usage: "list the groups in the manifest of the daemon given by --daemon, with the latest state known to any daemon",
		Action: action(func(ctx context.Context, _ *cli.Command, inv *invocation) error {
			groups, err := inv.daemon().Groups(ctx)
			if err != nil {
				return err
			}
			replies, err := client.CallAll(ctx, inv.client, inv.Options.Daemon, func(ctx context.Context, d *client.Daemon) ([]*group.Group, error) {
				return d.Groups(ctx)
			})
			if err != nil {
				return err
			}
			for _, r := range replies {
				mergeNewer(groups, r.Answer)
			}
			columns := printer.Columns("GROUP", "INSTANCE", "DOMAIN", "ROLE", "TERM", "LAST", "APPLIED", "STALENESS", "SLOTS", "CONNECTIONS", "HOMES")
			err = inv.printer.Print(groups, columns, func(row printer.Row) {
				for _, g := range groups {
					for _, i := range g.Instances {
						row(g.Name, i.Name, i.Domain, formatRole(i), formatNumber(i.Term), formatPosition(i.Last), formatPosition(i.Applied), formatMilliseconds(i.StalenessMilliseconds), i.Slots, i.Connections, strings.Join(i.Homes, ","))
					}
				}
			})
			return errors.Join(err, client.PartialError(replies))
		}),
	}
}

// mergeNewer updates groups in place with the newer state in others, which is the answer
// of another daemon.
func mergeNewer(groups, others []*group.Group) {
	for _, g := range groups {
		for _, other := range others {
			if other.Name != g.Name {
				continue
			}
			if other.Term > g.Term {
				g.Primary, g.Term = other.Primary, other.Term
			}
			mergeNewerInstances(g.Instances, other.Instances)
		}
	}
}

// mergeNewerInstances updates the instances of one group in place. It keeps their homes
// (the daemons that own the connections to an instance), because each daemon derives them
// from its own manifest and member list.
func mergeNewerInstances(instances, others []*group.GroupInstance) {
	for _, i := range instances {
		for _, other := range others {
			if other.Name == i.Name && newer(other, i) {
				homes := i.Homes
				*i = *other
				i.Homes = homes
			}
		}
	}
}

// newer reports whether a comes from a later report of the instance than b: by term, then
// by last position, then by lower staleness. A report that is missing is never newer.
func newer(a, b *group.GroupInstance) bool {
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

func formatRole(i *group.GroupInstance) string {
	text := "unknown"
	if i.Role != nil {
		text = *i.Role
	}
	if i.Leaving {
		text += " (leaving)"
	}
	return text
}

func formatNumber(n *uint64) string {
	if n == nil {
		return ""
	}
	return fmt.Sprint(*n)
}

func formatPosition(p *types.Position) string {
	if p == nil {
		return ""
	}
	return fmt.Sprintf("%d/%d", p.Term, p.Index)
}

func formatMilliseconds(n *int64) string {
	if n == nil {
		return ""
	}
	return fmt.Sprintf("%d ms", *n)
}

func groupCommand() *cli.Command {
	return &cli.Command{
		Name:  "group",
		Usage: "manage a group",
		Commands: []*cli.Command{{
			Name:      "change-primary",
			Usage:     "change the primary of a group without losing writes",
			ArgsUsage: "GROUP",
			Flags:     []cli.Flag{&cli.StringFlag{Name: "to", Usage: "instance to make primary (default: chosen by the daemon)"}},
			Action: action(func(ctx context.Context, c *cli.Command, inv *invocation) error {
				name, err := oneArgument(c, "GROUP")
				if err != nil {
					return err
				}
				fmt.Fprintf(os.Stderr, "changing the primary of %s\n", name)
				primary, err := inv.daemon().ChangePrimary(ctx, name, c.String("to"))
				if err != nil {
					return err
				}
				return inv.printer.PrintLine(map[string]string{"group": name, "primary": primary}, "primary of %s: %s", name, primary)
			}),
		}},
	}
}

// oneArgument returns the only argument of a command, or an error with
// [client.ExitUsage] if there is not exactly one.
func oneArgument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", &client.Failure{Exit: client.ExitUsage, Detail: fmt.Sprintf("%s takes one argument: %s", c.FullName(), name)}
	}
	return c.Args().First(), nil
}
