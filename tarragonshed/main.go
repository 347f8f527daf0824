// Command tarragonshed is the daemon: a PostgreSQL-wire database proxy with
// session consistency.
//
// # Usage
//
//	tarragonshed serve --settings daemon.toml
//	tarragonshed check --settings daemon.toml
//	tarragonshed version
//
// `serve` runs until SIGTERM or SIGINT and then drains: requests in flight
// complete, and sessions end with the standard shutdown error once they are
// between transactions. A second signal cuts the drain short.
//
// Exit codes: 0 ended after draining, 1 failed or a flag is wrong, 2 the settings
// are invalid.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"tarragonshed.example/tarragonshed/daemon"
	"tarragonshed.example/tarragonshed/settings"
)

// Exit codes.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

// drainTimeout limits how long the drain waits for requests in flight after a signal.
const drainTimeout = 60 * time.Second

func main() {
	command := &cli.Command{
		Name:                  "tarragonshed",
		Usage:                 "PostgreSQL-wire database proxy with session consistency",
		Version:               daemon.Version,
		EnableShellCompletion: true,
		Commands:              []*cli.Command{serveCommand(), checkCommand(), versionCommand()},
	}
	err := command.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	var problems settings.Problems
	if errors.As(err, &problems) {
		fmt.Fprintln(os.Stderr, problems)
		os.Exit(exitInvalidSettings)
	}
	fmt.Fprintln(os.Stderr, "tarragonshed:", err)
	os.Exit(exitFailed)
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "settings", Aliases: []string{"s"}, Required: true,
		Usage: "read the settings from `FILE`", Sources: cli.EnvVars("TARRAGONSHED_SETTINGS"),
	}
}

func load(command *cli.Command) (settings.Settings, error) {
	s, problems := settings.Load(command.String("settings"))
	if len(problems) > 0 {
		return s, problems
	}
	return s, nil
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a settings file and report all problems",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, command *cli.Command) error {
			s, err := load(command)
			if err != nil {
				return err
			}
			fmt.Printf("the settings of daemon %s are valid\n", s.ID)
			return nil
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(context.Context, *cli.Command) error {
			fmt.Println(daemon.Version)
			return nil
		},
	}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run the daemon",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			s, err := load(command)
			if err != nil {
				return err
			}
			return serve(ctx, s)
		},
	}
}

func serve(ctx context.Context, s settings.Settings) error {
	logger := newLogger(os.Stderr, s.Log).With("daemon", string(s.ID))
	d, err := daemon.New(s, daemon.WithLogger(logger))
	if err != nil {
		return err
	}
	defer d.Close()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case got := <-signals:
		logger.Info("draining", "signal", got.String())
	case <-d.Done(): // The drain was requested over the operator API.
		return nil
	}
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return d.Shutdown(drainCtx)
}

// newLogger returns a logger that writes one line for each entry, whatever its values contain.
func newLogger(out io.Writer, s settings.Log) *log.Logger {
	level, err := log.ParseLevel(s.Level)
	if err != nil {
		level = log.InfoLevel
	}
	options := log.Options{Level: level, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter}
	if s.Format == "json" {
		options.Formatter = log.JSONFormatter
	}
	return log.NewWithOptions(out, options)
}
