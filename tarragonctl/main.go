// Command tarragonctl is the command-line tool for operators of tarragonshed.
//
// # Usage
//
//	tarragonctl --daemon 127.0.0.1:7432 --token change-me status
//	tarragonctl manifest push --base 6 manifest.toml
//	tarragonctl timeline --since 5m --group pulp-ledger-1 --output html > timeline.html
//
// docs/operators/tarragonctl.md describes the commands, the exit codes and the setup of
// shell completion.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"tarragonshed.example/tarragonctl/client"
	"tarragonshed.example/tarragonctl/options"
)

// Version is the version of the program.
const Version = "0.1.0"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args))
}

// run executes a command line and returns the exit code. Errors are logged to standard
// error, the problems of a refused manifest line by line.
func run(ctx context.Context, arguments []string) int {
	err := root().Run(ctx, arguments)
	if err == nil {
		return client.ExitOK
	}
	var failure *client.Failure
	if !errors.As(err, &failure) {
		log.Error(err)
		return client.ExitFailure
	}
	for _, p := range failure.Problems {
		fmt.Fprintf(os.Stderr, "line %d: TS%04d: %s: %s\n", p.Line, p.Code, p.Path, p.Detail)
	}
	log.Error(failure.Detail)
	return failure.Exit
}

func root() *cli.Command {
	command := &cli.Command{
		Name:                  "tarragonctl",
		Usage:                 "operate tarragonshed",
		Version:               Version,
		EnableShellCompletion: true,
		Flags:                 options.Flags(),
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			statusCommand(),
			groupsCommand(),
			groupCommand(),
			sessionsCommand(),
			drainCommand(),
			timelineCommand(),
			versionCommand(),
			manifestCommand(),
		},
	}
	setUsageErrorHandler(command)
	return command
}

// setUsageErrorHandler makes invalid flags of the command and of all its subcommands end
// with [client.ExitUsage].
func setUsageErrorHandler(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &client.Failure{Exit: client.ExitUsage, Detail: err.Error()}
	}
	for _, subcommand := range command.Commands {
		setUsageErrorHandler(subcommand)
	}
}
