package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/urfave/cli/v3"

	"tarragonshed.example/tarragonbench/reshuffler"
)

// placeCommand returns the command that compares methods of placing instances on daemons,
// see package reshuffler.
func placeCommand() *cli.Command {
	return &cli.Command{
		Name:  "place",
		Usage: "compare methods of placing instances on the daemons of a failure domain, by moves and skew",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "daemons", Usage: "number of daemons; can be repeated", Value: []int{4, 12, 115}},
			&cli.IntSliceFlag{Name: "instances", Usage: "number of instances; can be repeated", Value: []int{12, 960}},
			&cli.IntFlag{Name: "trials", Usage: "number of trials, each with other names of daemons and instances", Value: 100},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			encoder := json.NewEncoder(os.Stdout)
			for _, daemons := range c.IntSlice("daemons") {
				for _, instances := range c.IntSlice("instances") {
					for _, way := range reshuffler.Ways {
						if err := encoder.Encode(reshuffler.Compare(way, daemons, instances, c.Int("trials"))); err != nil {
							return err
						}
					}
				}
			}
			return nil
		},
	}
}
