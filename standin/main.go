// Command standin runs what tarragonshed is used with: a platform and targets,
// and a whole deployment for trying it out.
//
// # Usage
//
//	standin demo [--deployment trust|umusego] [--daemons N] [--local-groups]
//	standin fault KIND [flags]      Brings a fault about in a running demo.
//	standin platform --listen ADDRESS
//	standin target --name NAME --listen ADDRESS ...
//
// Exit codes: 0 ended as asked, 1 failed, 2 the command line is wrong.
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
