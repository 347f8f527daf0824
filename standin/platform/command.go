package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"tarragonshed.example/member"
	"tarragonshed.example/unit"
)

// shutdownTimeout bounds the wait for calls in flight at shutdown.
const shutdownTimeout = 5 * time.Second

// vmFile is the content of the file that --vms names.
type vmFile struct {
	VMs []vmEntry `toml:"vms"`
}

type vmEntry struct {
	ID              unit.DaemonID    `toml:"id"`
	Incarnation     unit.Incarnation `toml:"incarnation"`
	Domain          unit.DomainName  `toml:"domain"`
	PeerAddress     string           `toml:"peer-address"`
	OperatorAddress string           `toml:"operator-address"`
	CallerAddress   string           `toml:"caller-address"`
}

// Command returns the command "platform", which serves a Platform until it is
// interrupted.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve an in-memory platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7300", Usage: "host:port to listen on"},
			&cli.StringFlag{Name: "vms", Usage: "TOML file with the VM list: [[vms]] with id, incarnation, domain and addresses"},
			&cli.DurationFlag{Name: "list-lag", Usage: "how far the served VM list lags behind"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			p := New()
			p.ListLag(c.Duration("list-lag"))
			if err := p.load(c.String("vms")); err != nil {
				return trace.Wrap(err)
			}
			return trace.Wrap(p.serve(ctx, c.String("listen")))
		},
	}
}

func (p *Platform) load(path string) error {
	if path == "" {
		return nil
	}
	var file vmFile
	if _, err := toml.DecodeFile(path, &file); err != nil {
		return trace.Wrap(err, "platform: VM list %s", path)
	}
	for _, vm := range file.VMs {
		p.SetVM(member.Daemon{
			ID: vm.ID, Incarnation: vm.Incarnation, Domain: vm.Domain, State: member.Live,
			PeerAddress: vm.PeerAddress, OperatorAddress: vm.OperatorAddress, CallerAddress: vm.CallerAddress,
		})
	}
	return nil
}

func (p *Platform) serve(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	log.Info("platform is listening", "address", listener.Addr())
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: shutdownTimeout}
	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(bounded)
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}
