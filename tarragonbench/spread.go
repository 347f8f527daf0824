package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"tarragonshed.example/tarragonbench/spreader"
)

// spreadCommand returns the command that measures the distribution of manifests and the
// resources that idle daemons use, see package spreader.
func spreadCommand() *cli.Command {
	return &cli.Command{
		Name:  "spread",
		Usage: "measure the time from the acceptance of a manifest until it is in force on all daemons, and the resource use of idle daemons",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "`PATH` of the daemon's program", Required: true},
			&cli.IntSliceFlag{Name: "daemons", Usage: "number of daemons; can be repeated", Value: []int{4, 12}},
			&cli.IntSliceFlag{Name: "groups", Usage: "number of groups; can be repeated", Value: []int{0}},
			&cli.IntFlag{Name: "pushes", Usage: "number of manifest versions to push", Value: 20},
			&cli.BoolFlag{Name: "cut", Usage: "partition a failure domain from the platform at each acceptance"},
			&cli.DurationFlag{Name: "rest", Usage: "time over which the resource use of idle daemons is measured; zero for none", Value: 30 * time.Second},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			encoder := json.NewEncoder(os.Stdout)
			for _, daemons := range c.IntSlice("daemons") {
				for _, groups := range c.IntSlice("groups") {
					fmt.Fprintf(os.Stderr, "%d daemons, %d groups\n", daemons, groups)
					result, err := spreader.Run(ctx, spreader.Plan{
						Program: c.String("program"), Daemons: daemons, Groups: groups,
						Pushes: c.Int("pushes"), Cut: c.Bool("cut"), Rest: c.Duration("rest"),
					})
					if err != nil {
						return err
					}
					if err := encoder.Encode(result); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
}
