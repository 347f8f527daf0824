// Package demonstrator runs the demo: a deployment on fixed loopback ports that
// prints its addresses and its events, and accepts faults from the fault command.
//
// # Usage
//
//	command := &cli.Command{Commands: []*cli.Command{
//		demonstrator.Command(),
//		demonstrator.FaultCommand(),
//	}}
//
// The fault command sends faults to the running demo at the platform's address.
package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"tarragonshed.example/recorder"
	"tarragonshed.example/standin/deployer"
)

// faultPath is the path at which a running demo accepts faults.
const faultPath = "/standin/fault"

// drainTimeout bounds the wait for requests in flight after Ctrl-C.
const drainTimeout = 30 * time.Second

// printInterval is the interval at which new events are printed.
const printInterval = 100 * time.Millisecond

// Command returns the demo command.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole deployment on loopback until Ctrl-C",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "trust", Usage: "the users' deployment to reproduce: trust or umusego"},
			&cli.IntFlag{Name: "daemons", Value: 4, Usage: "daemons in each failure domain, 1 to 10"},
			&cli.IntFlag{Name: "homes", Value: 2, Usage: "daemons that own the connections to each instance"},
			&cli.BoolFlag{Name: "local-groups", Usage: "put the instances of a group into one failure domain"},
			&cli.DurationFlag{Name: "max-staleness", Usage: "default staleness bound of reads; zero means read-your-writes"},
			&cli.BoolFlag{Name: "verbose", Usage: "also print the daemons' logs"},
		},
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) error {
	profile, err := deployer.ProfileNamed(command.String("deployment"))
	if err != nil {
		return err
	}
	faults := &faultHandler{}
	options := []deployer.Option{
		deployer.WithProfile(profile),
		deployer.WithDaemons(command.Int("daemons")),
		deployer.WithHomes(command.Int("homes")),
		deployer.WithMaxStaleness(command.Duration("max-staleness")),
		deployer.WithFixedPorts(),
		deployer.WithHandler(faultPath, faults),
	}
	if command.Bool("local-groups") {
		options = append(options, deployer.WithLocalGroups())
	}
	if command.Bool("verbose") {
		options = append(options, deployer.WithLogger(log.New(os.Stderr)))
	}
	d, err := deployer.New(options...)
	if err != nil {
		return err
	}
	faults.deployment.Store(d)
	describe(os.Stdout, d)
	printEvents(ctx, os.Stdout, d)
	fmt.Println("draining")
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return d.Shutdown(drainCtx)
}

// describe prints the table of addresses and example commands.
func describe(w io.Writer, d *deployer.Deployment) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "DAEMON\tDOMAIN\tCALLERS\tOPERATOR\tPEERS")
	for _, m := range d.Daemons() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", m.ID, m.Domain, m.CallerAddress, m.OperatorAddress, m.PeerAddress)
	}
	table.Flush()
	fmt.Fprintf(w, "\nplatform  %s\ngroups    %v\n", d.PlatformURL, d.Groups())
	first := d.Daemons()[0].ID
	fmt.Fprintf(w, "\ntry       psql %q\n", d.URL(first, d.Groups()[0]))
	fmt.Fprintf(w, "          go run ./standin fault stop-target --target primary:%s\n", d.Groups()[0])
	fmt.Fprintf(w, "          go run ./tarragonctl --token %s status\n\n", deployer.Token)
}

// printEvents prints new events every printInterval until the context ends.
func printEvents(ctx context.Context, w io.Writer, d *deployer.Deployment) {
	var last recorder.Time
	ticker := time.NewTicker(printInterval)
	defer ticker.Stop()
	for {
		for _, e := range d.Timeline(last) {
			last = e.Time
			if shown(e) {
				fmt.Fprintln(w, e)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// shown reports whether to print an event. Events of every request or connection are
// left out.
func shown(e recorder.Event) bool {
	switch e.Kind {
	case recorder.WriteAcknowledged, recorder.ConnectionOpened, recorder.ConnectionClosed:
		return false
	default:
		return true
	}
}

// decodeFault decodes the fault from the body of a request of the fault command.
func decodeFault(body io.Reader) (deployer.Fault, error) {
	var f deployer.Fault
	decoder := json.NewDecoder(io.LimitReader(body, maxFaultBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&f)
	return f, err
}

// maxFaultBytes bounds the body of a request of the fault command.
const maxFaultBytes = 64 << 10

// ServeHTTP injects the fault in the request.
func (h *faultHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d := h.deployment.Load()
	if d == nil {
		http.Error(w, "the deployment is still starting", http.StatusServiceUnavailable)
		return
	}
	f, err := decodeFault(r.Body)
	if err == nil {
		err = d.Inject(f)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fmt.Fprintln(w, f)
}
