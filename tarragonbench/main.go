// Command tarragonbench runs experiments on deployments of tarragonshed and
// reports the latencies, outcomes and violated guarantees that callers see.
//
// # Usage
//
//	tarragonbench run experiments/failover-stop.toml --output results/
//	tarragonbench sweep experiments/replica-reads.toml --over homes=1,2,4
//	tarragonbench compare results/before.json results/after.json
//	tarragonbench report results/*.json --html report.html
//	tarragonbench spread --program ./tarragonshed --daemons 4 --daemons 12
//
// Exit codes: 0 no run failed and no guarantee was violated, 1 the command failed, 2 a
// guarantee was violated or a run failed.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"tarragonshed.example/tarragonbench/experimenter"
)

const violationExitCode = 2

var errNotPassed = errors.New("a guarantee was violated or a run failed")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := command().Run(ctx, os.Args)
	switch {
	case errors.Is(err, errNotPassed):
		fmt.Fprintln(os.Stderr, "tarragonbench:", err)
		os.Exit(violationExitCode)
	case err != nil:
		fmt.Fprintln(os.Stderr, "tarragonbench:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	output := &cli.StringFlag{Name: "output", Usage: "write results into the `DIRECTORY`", Value: "results"}
	seeds := []cli.Flag{
		output,
		&cli.IntFlag{Name: "runs", Usage: "runs for each deployment, instead of the experiment's"},
		&cli.Uint64Flag{Name: "seed", Usage: "first seed, instead of the experiment's"},
		&cli.StringFlag{Name: "commit", Usage: "`REVISION` under test, if the program was built without it"},
		&cli.StringSliceFlag{Name: "set", Usage: "`KEY=VALUE` of the experiment to change"},
	}
	return &cli.Command{
		Name:                  "tarragonbench",
		Usage:                 "run experiments on deployments of tarragonshed",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			{Name: "run", Usage: "run experiments", ArgsUsage: "EXPERIMENT.toml ...", Flags: seeds, Action: run},
			{
				Name: "sweep", Usage: "run an experiment for each value of a key", ArgsUsage: "EXPERIMENT.toml", Action: sweep,
				Flags: append([]cli.Flag{&cli.StringFlag{Name: "over", Usage: "`KEY=VALUE,VALUE,...`", Required: true}}, seeds...),
			},
			spreadCommand(),
			placeCommand(),
			{Name: "compare", Usage: "compare the measurements of two results", ArgsUsage: "BEFORE.json AFTER.json", Action: compare},
			{
				Name: "report", Usage: "print results and write them as a page", ArgsUsage: "RESULT.json ...", Action: report,
				Flags: []cli.Flag{&cli.StringFlag{Name: "html", Usage: "write one self-contained page to the `FILE`"}},
			},
		},
	}
}

func run(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("no experiment given")
	}
	passed := true
	for _, path := range c.Args().Slice() {
		ok, err := perform(ctx, c, path, "")
		if err != nil {
			return err
		}
		passed = passed && ok
	}
	return verdict(passed)
}

func sweep(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("exactly one experiment must be given")
	}
	values, err := experimenter.ParseSweep(c.String("over"))
	if err != nil {
		return err
	}
	passed := true
	for _, value := range values {
		ok, err := perform(ctx, c, c.Args().First(), value.String(), value)
		if err != nil {
			return err
		}
		passed = passed && ok
	}
	return verdict(passed)
}

// verdict returns errNotPassed unless all runs passed.
func verdict(passed bool) error {
	if !passed {
		return errNotPassed
	}
	return nil
}

// perform runs one experiment, prints and writes its result, and reports whether it passed.
// A variant is added to the experiment's name.
func perform(ctx context.Context, c *cli.Command, path, variant string, overrides ...experimenter.Override) (bool, error) {
	for _, text := range c.StringSlice("set") {
		set, err := experimenter.ParseSweep(text)
		if err != nil {
			return false, err
		}
		overrides = append(overrides, set...)
	}
	e, err := experimenter.Read(path, overrides...)
	if err != nil {
		return false, err
	}
	if n := c.Int("runs"); n > 0 {
		e.Runs = n
	}
	if seed := c.Uint64("seed"); seed > 0 {
		e.FirstSeed = seed
	}
	if variant != "" {
		e.Name += " " + variant
	}
	result, err := experimenter.Perform(ctx, e, func(line string) { _, _ = fmt.Fprintln(c.Root().ErrWriter, e.Name, line) })
	if err != nil {
		return false, err
	}
	if result.Commit == "" {
		result.Commit = c.String("commit")
	}
	if err := result.WriteTable(c.Root().Writer); err != nil {
		return false, err
	}
	for _, r := range result.Runs {
		for _, v := range r.Violations() {
			_, _ = fmt.Fprintf(c.Root().Writer, "%s seed %d: %s\n", r.Deployment, r.Seed, v)
		}
	}
	return result.Passed(), write(c.String("output"), e.Name, result)
}

// write writes a result as JSON to a file that is named after the experiment.
func write(directory, name string, result experimenter.Result) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	document, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	file := strings.NewReplacer(" ", "-", "=", "-", "/", "-").Replace(name) + ".json"
	return os.WriteFile(filepath.Join(directory, file), document, 0o644)
}

// read reads a result from a JSON file.
func read(path string) (experimenter.Result, error) {
	var result experimenter.Result
	document, err := os.ReadFile(path)
	if err != nil {
		return result, err
	}
	if err := json.Unmarshal(document, &result); err != nil {
		return result, fmt.Errorf("%s: %w", path, err)
	}
	return result, nil
}

func compare(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return errors.New("exactly two results must be given")
	}
	before, err := read(c.Args().Get(0))
	if err != nil {
		return err
	}
	after, err := read(c.Args().Get(1))
	if err != nil {
		return err
	}
	return experimenter.WriteComparison(c.Root().Writer, before, after)
}

func report(_ context.Context, c *cli.Command) error {
	var results []experimenter.Result
	for _, path := range c.Args().Slice() {
		result, err := read(path)
		if err != nil {
			return err
		}
		results = append(results, result)
		if err := result.WriteTable(c.Root().Writer); err != nil {
			return err
		}
	}
	if c.String("html") == "" {
		return nil
	}
	file, err := os.Create(c.String("html"))
	if err != nil {
		return err
	}
	return errors.Join(experimenter.WritePage(file, results), file.Close())
}
