package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"

	"tarragonshed.example/standin/deployer"
	"tarragonshed.example/unit"
)

// faultHandler accepts faults for a running deployment.
type faultHandler struct {
	deployment atomic.Pointer[deployer.Deployment]
}

// faultTimeout bounds the request of the fault command.
const faultTimeout = 30 * time.Second

// FaultCommand returns the fault command.
func FaultCommand() *cli.Command {
	command := &cli.Command{
		Name:  "fault",
		Usage: "inject a fault into a running demo",
	}
	for _, kind := range deployer.FaultKinds {
		command.Commands = append(command.Commands, kindCommand(kind))
	}
	return command
}

func kindCommand(kind deployer.FaultKind) *cli.Command {
	return &cli.Command{
		Name:  string(kind),
		Usage: usages[kind],
		Flags: flags(kind),
		Action: func(ctx context.Context, command *cli.Command) error {
			return post(ctx, command.String("demo"), deployer.Fault{
				Kind:    kind,
				Target:  command.String("target"),
				Daemon:  unit.DaemonID(command.String("daemon")),
				From:    command.String("from"),
				To:      command.String("to"),
				OneWay:  command.Bool("one-way"),
				By:      command.Duration("by"),
				Receive: command.Bool("receive"),
				Share:   command.Float("share"),
				Seed:    command.Uint64("seed"),
			})
		},
	}
}

var usages = map[deployer.FaultKind]string{
	deployer.StopTarget:          "stop a target; its connections are reset",
	deployer.StartTarget:         "restart a stopped target with its data",
	deployer.PauseTarget:         "make a target unresponsive, as SIGSTOP does",
	deployer.ResumeTarget:        "resume a paused target",
	deployer.Cut:                 "cut nodes off from each other",
	deployer.Heal:                "remove all cuts",
	deployer.Lag:                 "delay the application (or receipt) of records on a replica",
	deployer.Silence:             "make open connections transfer no more data while new ones work",
	deployer.PlatformDown:        "make every call of the platform fail",
	deployer.PlatformUp:          "end all faults of the platform",
	deployer.PlatformSlow:        "delay every answer of the platform",
	deployer.PlatformLoseAnswers: "lose answers of the platform after the call has taken effect",
	deployer.StopDaemon:          "stop a daemon without draining, as a crash does",
	deployer.StartDaemon:         "start a stopped daemon as a new incarnation",
	deployer.PauseDaemon:         "stop a daemon from sending and receiving",
	deployer.ResumeDaemon:        "resume a paused daemon",
	deployer.MarkLeaving:         "mark a target or a daemon's VM as leaving",
}

func flags(kind deployer.FaultKind) []cli.Flag {
	list := []cli.Flag{
		&cli.StringFlag{Name: "demo", Value: fmt.Sprintf("http://127.0.0.1:%d", deployer.PlatformPort), Usage: "`URL` of the running demo"},
	}
	target := &cli.StringFlag{Name: "target", Usage: "an instance `NAME` or primary:GROUP"}
	daemon := &cli.StringFlag{Name: "daemon", Usage: "a daemon's `ID`"}
	sides := []cli.Flag{
		&cli.StringFlag{Name: "from", Value: "any", Usage: "`NODES` such as domain:NAME, vm:NAME, target:NAME, primary:GROUP, callers:DOMAIN, vms, targets, callers, platform or any"},
		&cli.StringFlag{Name: "to", Value: "any", Usage: "`NODES` as for --from"},
	}
	switch kind {
	case deployer.StopTarget, deployer.StartTarget, deployer.PauseTarget, deployer.ResumeTarget:
		return append(list, target)
	case deployer.Lag:
		return append(list, target, &cli.DurationFlag{Name: "by", Usage: "the lag"}, &cli.BoolFlag{Name: "receive", Usage: "delay receipt instead of application"})
	case deployer.Cut:
		return append(append(list, sides...), &cli.BoolFlag{Name: "one-way", Usage: "block traffic from --from to --to only"})
	case deployer.Silence:
		return append(list, sides...)
	case deployer.StopDaemon, deployer.StartDaemon, deployer.PauseDaemon, deployer.ResumeDaemon:
		return append(list, daemon)
	case deployer.MarkLeaving:
		return append(list, target, daemon)
	case deployer.PlatformSlow:
		return append(list, &cli.DurationFlag{Name: "by", Usage: "the delay"})
	case deployer.PlatformLoseAnswers:
		return append(list, &cli.FloatFlag{Name: "share", Usage: "share of answers, 0 to 1"}, &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random choice"})
	default:
		return list
	}
}

// post sends a fault to a running demo.
func post(ctx context.Context, demo string, f deployer.Fault) error {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, demo+faultPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s", strings.TrimSpace(string(text)))
	}
	fmt.Print(string(text))
	return nil
}
