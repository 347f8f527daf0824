// Command standin runs stand-ins of the systems that tarragonshed works with, a
// platform and targets, and a whole deployment as a demo.
//
// # Usage
//
//	standin demo [--deployment trust|umusego] [--daemons N] [--local-groups]
//	standin fault KIND [flags]      Injects a fault into a running demo.
//	standin platform --listen ADDRESS
//	standin target --name NAME --listen ADDRESS ...
//
// Exit codes: 0 ended as requested, 1 failed, 2 the command line is invalid.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"tarragonshed.example/standin/demonstrator"
	"tarragonshed.example/standin/platform"
	"tarragonshed.example/standin/target"
)

func main() {
	command := &cli.Command{
		Name:                  "standin",
		Usage:                 "stand-ins of the platform and of targets, and a demo deployment",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			demonstrator.Command(),
			demonstrator.FaultCommand(),
			platform.Command(),
			target.Command(),
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
